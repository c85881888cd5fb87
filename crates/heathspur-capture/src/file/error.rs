//! Errors of capture files.

use super::pcapng::MAX_INTERFACES;

/// What makes the rest of a file unreadable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileErrorKind {
    /// The first bytes are not those of a capture file.
    #[error("neither pcap nor pcapng")]
    UnknownFormat,
    /// A record or block claims more bytes than allowed.
    #[error("a record claims {0} bytes, more than any may have")]
    TooLong(u64),
    /// The lengths or fields of a block contradict each other.
    #[error("a block whose parts contradict each other")]
    Malformed,
    /// A packet refers to an interface that was not described.
    #[error("a packet of interface {0}, which was not described")]
    UnknownInterface(u32),
    /// A section describes too many interfaces.
    #[error("more than {MAX_INTERFACES} interfaces")]
    TooManyInterfaces,
    /// The file ends in a record or block, of which this many bytes are present.
    #[error("the file ends {0} bytes into a record")]
    Truncated(u64),
}

/// Where and why reading a file stopped. All packets before were returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {kind}")]
pub struct FileError {
    /// Offset in the file at which the record or block begins, in bytes.
    pub offset: u64,
    /// What is wrong there.
    pub kind: FileErrorKind,
}
