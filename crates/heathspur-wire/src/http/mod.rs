//! Reading and writing of HTTP/1.1 requests and responses with `Content-Length` bodies.

mod fields;
mod reader;
mod start_line;
mod writer;

pub use fields::{has_close_option, parse_decimal, Fields};
pub use reader::{Limits, Message, Reader};
pub use start_line::{request_line, status_line};
pub use writer::{write_request, write_response, ConnectionOption};

/// The reason why bytes are not an acceptable message.
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
    /// Returns the status code with which the server answers a request that has this error.
    pub fn status(self) -> u16 {
        match self {
            Error::Malformed | Error::InvalidLength | Error::UnsupportedTransferCoding => 400,
            Error::BodyTooLarge => 413,
            Error::HeadTooLarge => 431,
        }
    }
}
