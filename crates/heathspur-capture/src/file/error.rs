//! Errors of capture files.

use super::pcapng::MAX_INTERFACES;

/// The reason why the rest of a file can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileErrorKind {
    /// The first bytes are not those of a capture file.
    #[error("the file is neither pcap nor pcapng")]
    UnknownFormat,
    /// A record or block claims more bytes than allowed.
    #[error("a record states a length of {0} bytes, which exceeds the limit")]
    TooLong(u64),
    /// The lengths or fields of a record or block contradict each other, or a field has an invalid value.
    #[error("the lengths or fields of a block contradict each other")]
    Malformed,
    /// A packet refers to an interface that was not described.
    #[error("a packet refers to interface {0}, which was not described")]
    UnknownInterface(u32),
    /// A section describes too many interfaces.
    #[error("a section describes more than {MAX_INTERFACES} interfaces")]
    TooManyInterfaces,
    /// The file ends in a record or block, of which this many bytes are present.
    #[error("the file ends {0} bytes into a record")]
    Truncated(u64),
}

/// The position and the reason at which reading a file stopped. All packets before it were returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {kind}")]
pub struct FileError {
    /// Offset in the file at which the record or block begins, in bytes.
    pub offset: u64,
    /// The reason.
    pub kind: FileErrorKind,
}
