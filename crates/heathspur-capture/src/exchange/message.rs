//! Messages found in a capture, and reports of bytes that belong to none.

use crate::{ConnId, Side, Stamp};
use bytes::Bytes;
use heathspur_wire::http::{request_line, status_line, Fields};
use std::fmt;
use std::ops::Range;

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// All its bytes.
    pub bytes: Bytes,
    /// The range of its request or status line.
    pub line: Range<usize>,
    /// The range of its header fields.
    pub fields: Range<usize>,
    /// The range of its body, with the chunk framing if it has one.
    pub body: Range<usize>,
    /// When its first byte was captured.
    pub first: Stamp,
    /// When its last byte was captured.
    pub last: Stamp,
}

impl Message {
    /// The value of the first header field of that name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        Fields::over(&self.bytes[self.fields.clone()])
            .filter_map(Result::ok)
            .find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// The bytes of its body.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }

    /// Method and target, if it is a request.
    pub fn request_line(&self) -> Option<(&[u8], &[u8])> {
        request_line(&self.bytes[self.line.clone()]).ok()
    }

    /// Status code, if it is a response.
    pub fn status(&self) -> Option<u16> {
        status_line(&self.bytes[self.line.clone()]).ok()
    }
}

/// The reason why bytes were skipped.
///
/// `heathspurctl` prints the [`Debug`] text, so that text is fixed and may differ from the names.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Bytes of the message, or before it, are missing.
    Hole,
    /// The message is longer than [`super::Limits`] allow.
    TooLarge,
    /// The bytes are not HTTP/1.1.
    NotHttp,
    /// The connection ended in the middle of the message.
    Truncated,
    /// The memory for incomplete messages was exhausted.
    Memory,
}

impl fmt::Debug for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Hole => "Hole",
            Cause::TooLarge => "TooLarge",
            Cause::NotHttp => "NotHttp",
            Cause::Truncated => "Cut",
            Cause::Memory => "Memory",
        })
    }
}

/// What was found, in order for each side of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// A request.
    Request {
        /// The connection.
        conn: ConnId,
        /// Its position among the requests of the connection, from 0; requests skipped as too large count.
        index: u64,
        /// The request.
        message: Message,
    },
    /// A final response.
    Response {
        /// The connection.
        conn: ConnId,
        /// The index of its request, where that is known.
        to: Option<u64>,
        /// The response.
        message: Message,
    },
    /// Bytes that belong to no complete message.
    Skipped {
        /// The connection.
        conn: ConnId,
        /// The sender.
        side: Side,
        /// Why they were skipped.
        cause: Cause,
        /// How many bytes were captured.
        bytes: u64,
        /// When the first of them was captured.
        time: Stamp,
    },
}
