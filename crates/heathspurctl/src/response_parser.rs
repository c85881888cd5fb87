//! Incremental parser of the responses on a replay connection.

use crate::source::digest;
use heathspur_replay::Nanos;
use heathspur_wire::framing::{self, Chunks, Head, Kind, Length};
use heathspur_wire::http::{self, status_line};
use std::time::Instant;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Digest of the body.
    pub body_digest: u64,
    /// Time of the first byte, from the start of the replay.
    pub first_byte_at: Nanos,
    /// Whether this response is the last one on its connection.
    pub close: bool,
}

/// A response with a complete head and an incomplete body.
struct PartialResponse {
    status: u16,
    head: Head,
    chunks: Chunks,
}

impl PartialResponse {
    /// Returns the end of the response in the buffer, or `None` if it is not known yet.
    fn end(&mut self, buffer: &[u8]) -> Result<Option<usize>, http::Error> {
        match self.head.length {
            Length::Bytes(length) => {
                let length = usize::try_from(length).ok();
                Ok(length.map(|length| self.head.end + length))
            }
            Length::Chunked => self.chunks.end(buffer),
            Length::UntilClose => Ok(None),
        }
    }
}

/// Buffers the bytes of a connection and splits them into responses.
pub struct ResponseParser {
    /// Start of the replay.
    start: Instant,
    buffer: Vec<u8>,
    partial: Option<PartialResponse>,
    /// When the first buffered byte was received.
    first_byte_at: Option<Instant>,
}

impl ResponseParser {
    /// Creates a parser that measures times from `start`.
    pub fn new(start: Instant) -> ResponseParser {
        ResponseParser {
            start,
            buffer: Vec::new(),
            partial: None,
            first_byte_at: None,
        }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.first_byte_at.get_or_insert_with(Instant::now);
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffered bytes exceed the largest size of a response.
    pub fn is_too_large(&self) -> bool {
        self.buffer.len() > MAX_RESPONSE_BYTES
    }

    /// Returns the next complete final response and skips informational ones. `to_head` is whether the request is a
    /// HEAD request, whose response has no body.
    pub fn next_response(&mut self, to_head: bool) -> Result<Option<Response>, http::Error> {
        while !self.buffer.is_empty() {
            if self.partial.is_none() {
                self.partial = self.parse_head(to_head)?;
            }
            let Some(partial) = &mut self.partial else {
                break;
            };
            let end = partial.end(&self.buffer)?;
            let Some(end) = end.filter(|end| *end <= self.buffer.len()) else {
                break;
            };
            let response = self.take_response(end);
            if let Some(response) = response.filter(|response| !is_informational(response.status)) {
                return Ok(Some(response));
            }
        }
        Ok(None)
    }

    /// Returns the response that is completed by the end of the connection, because its length was not declared.
    pub fn finish(self) -> Option<Response> {
        let partial = self.partial?;
        if partial.head.length != Length::UntilClose {
            return None;
        }
        Some(Response {
            status: partial.status,
            body_digest: digest(&self.buffer[partial.head.end..]),
            first_byte_at: self
                .first_byte_at
                .map_or(0, |at| nanos_since(self.start, at)),
            close: true,
        })
    }

    fn parse_head(&self, to_head: bool) -> Result<Option<PartialResponse>, http::Error> {
        let mut status = 0;
        let kind = |line: &[u8]| -> Result<Kind, http::Error> {
            status = status_line(line)?;
            Ok(Kind::Response { status, to_head })
        };
        let head = framing::parse_head(&self.buffer, MAX_HEAD_BYTES, kind)?;
        Ok(head.map(|head| PartialResponse {
            status,
            chunks: Chunks::new(head.end),
            head,
        }))
    }

    /// Removes the response that ends at `end` from the buffer.
    fn take_response(&mut self, end: usize) -> Option<Response> {
        let partial = self.partial.take()?;
        let body_digest = digest(&self.buffer[partial.head.end..end]);
        self.buffer.drain(..end);
        let first_byte_at = self.first_byte_at.take().unwrap_or_else(Instant::now);
        if !self.buffer.is_empty() {
            self.first_byte_at = Some(Instant::now());
        }
        Some(Response {
            status: partial.status,
            body_digest,
            first_byte_at: nanos_since(self.start, first_byte_at),
            close: partial.head.close,
        })
    }
}

fn is_informational(status: u16) -> bool {
    (100..200).contains(&status)
}

fn nanos_since(start: Instant, at: Instant) -> Nanos {
    at.saturating_duration_since(start).as_nanos() as Nanos
}
