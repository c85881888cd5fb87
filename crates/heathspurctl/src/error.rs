//! Errors of the commands, and the exit codes that report them.

use heathspur_capture::file::FileError;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// A replay or a load lost a request or violated a rule, or a file is invalid.
const EXIT_FAILED: u8 = 1;
/// A file or an argument cannot be used.
const EXIT_UNUSABLE: u8 = 2;
/// A capture is damaged.
const EXIT_DAMAGED: u8 = 3;

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A capture is damaged; everything before the damage was used.
    #[error("{}: {damage}", path.display())]
    DamagedCapture {
        /// The capture.
        path: PathBuf,
        /// Where and why reading ended.
        damage: FileError,
    },
    /// The requests of a capture exceed the limit on loaded bytes.
    #[error("{}: the requests total {bytes} bytes, more than the limit of {limit} bytes (see --most-bytes)", path.display())]
    CaptureTooLarge {
        /// The capture.
        path: PathBuf,
        /// Total size of its requests, in bytes.
        bytes: u64,
        /// Largest total size, in bytes.
        limit: u64,
    },
    /// Requests would be sent more than once with the same IDs and keys.
    #[error(
        "--loop and --scale-load above 1 send requests more than once, which requires --renew"
    )]
    RenewRequired,
    /// A capture cannot be replayed with the given options.
    #[error("{}: {source}", path.display())]
    ReplayPlan {
        /// The capture.
        path: PathBuf,
        /// The cause.
        #[source]
        source: heathspur_replay::plan::Error,
    },
    /// The responses to a replay violate a rule of the service.
    #[error("the responses violate a rule of the service: see `late`, `answers to nothing` and `keys with two results` above")]
    ReplayViolatesRules,
    /// A replay lost requests.
    #[error("some requests were not sent or not answered")]
    ReplayIncomplete,
    /// A load lost requests, or retries got different results.
    #[error("{unanswered} requests without a response, {mismatched_retries} retries with a different result")]
    LoadFailed {
        /// Requests without a response.
        unanswered: u64,
        /// Retries whose result differs from that of the first attempt.
        mismatched_retries: u64,
    },
    /// The plan of a load or an experiment cannot be used.
    #[error(transparent)]
    Plan(heathspur_config::Error),
    /// An operator's file is invalid.
    #[error(transparent)]
    Config(heathspur_config::Error),
    /// An operator's file does not match the schema.
    #[error("{}: {reason}", path.display())]
    SchemaViolation {
        /// The file.
        path: PathBuf,
        /// Place and reason.
        reason: String,
    },
    /// A daemon did not return its membership view.
    #[error("{address}: cannot get the membership view: {source}")]
    MembershipView {
        /// Address of the daemon.
        address: SocketAddrV4,
        /// The cause.
        #[source]
        source: io::Error,
    },
}

impl Error {
    /// Wraps an I/O error of standard output.
    pub fn stdout(source: io::Error) -> Error {
        Error::File {
            path: "standard output".into(),
            source,
        }
    }

    /// Returns the exit code that reports the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::ReplayViolatesRules
            | Error::ReplayIncomplete
            | Error::LoadFailed { .. }
            | Error::Config(_)
            | Error::SchemaViolation { .. } => EXIT_FAILED,
            Error::File { .. }
            | Error::CaptureTooLarge { .. }
            | Error::RenewRequired
            | Error::ReplayPlan { .. }
            | Error::Plan(_)
            | Error::MembershipView { .. } => EXIT_UNUSABLE,
            Error::DamagedCapture { .. } => EXIT_DAMAGED,
        }
    }
}
