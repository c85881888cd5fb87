//! HTTP/1.1 messages with `Content-Length` bodies: requests and responses are read and written.

mod fields;
mod reader;
mod start_line;
mod writer;

pub use fields::{has_close_option, parse_decimal, Fields};
pub use reader::{Limits, Message, Reader};
pub use start_line::{request_line, status_line};
pub use writer::{write_request, write_response, ConnectionOption};

/// Why bytes are not an acceptable message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes are not HTTP/1.1.
    #[error("not HTTP/1.1")]
    Malformed,
    /// The head exceeds its limit.
    #[error("head too large")]
    HeadTooLarge,
    /// The body exceeds its limit.
    #[error("body too large")]
    BodyTooLarge,
    /// `Content-Length` or a chunk's size is not a number, or there are several lengths.
    #[error("invalid Content-Length")]
    InvalidLength,
    /// The message has a transfer coding that is not supported.
    #[error("unsupported transfer coding")]
    UnsupportedTransferCoding,
}

impl Error {
    /// The status of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            Error::Malformed | Error::InvalidLength | Error::UnsupportedTransferCoding => 400,
            Error::BodyTooLarge => 413,
            Error::HeadTooLarge => 431,
        }
    }
}
