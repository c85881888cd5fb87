//! Messages found in a capture, and reports of bytes that belong to none.

use crate::{ConnectionId, Side, Timestamp};
use bytes::Bytes;
use heathspur_wire::http::{request_line, status_line, Fields};
use std::fmt;
use std::ops::Range;

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The bytes of the message.
    pub bytes: Bytes,
    /// The range of the request or status line.
    pub line: Range<usize>,
    /// The range of the header fields.
    pub fields: Range<usize>,
    /// The range of the body, including any chunk framing.
    pub body: Range<usize>,
    /// The capture time of the first byte.
    pub first_byte_at: Timestamp,
    /// The latest capture time of its bytes.
    pub last_byte_at: Timestamp,
}

impl Message {
    /// Returns the value of the first header field with this name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        Fields::over(&self.bytes[self.fields.clone()])
            .filter_map(Result::ok)
            .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns the bytes of the body, including any chunk framing.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }

    /// Returns the method and the target, if the message is a request.
    pub fn request_line(&self) -> Option<(&[u8], &[u8])> {
        request_line(&self.bytes[self.line.clone()]).ok()
    }

    /// Returns the status code, if the message is a response.
    pub fn status(&self) -> Option<u16> {
        status_line(&self.bytes[self.line.clone()]).ok()
    }
}

/// The reason why bytes were skipped.
///
/// `heathspurctl` prints the [`Debug`](fmt::Debug) text, so that text is fixed and may differ from the names.
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

/// A message, or skipped bytes. Those of one side of a connection are in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// A request.
    Request {
        /// The connection.
        connection: ConnectionId,
        /// The index of the request on its connection, from 0. Skipped requests whose end is known count as well.
        index: u64,
        /// The request.
        message: Message,
    },
    /// A final response.
    Response {
        /// The connection.
        connection: ConnectionId,
        /// The index of its request, if known.
        request_index: Option<u64>,
        /// The response.
        message: Message,
    },
    /// Bytes that belong to no complete message.
    Skipped {
        /// The connection.
        connection: ConnectionId,
        /// The sender.
        side: Side,
        /// The reason why they were skipped.
        cause: Cause,
        /// The number of bytes that were captured and skipped.
        bytes: u64,
        /// The capture time of the first of them.
        time: Timestamp,
    },
}
