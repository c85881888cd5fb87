//! Overwrites message bodies and header fields that must not be recorded.
//!
//! Bytes are overwritten in place, which preserves lengths, sequence numbers and times. Truncating packets would make
//! recordings smaller, but readers would find gaps and lose the messages around them. Bytes that can't be parsed as
//! HTTP/1.1 are all overwritten, because they may contain anything.

use bytes::{Bytes, BytesMut};
use heathspur_capture::Timestamp;
use heathspur_wire::framing::{self, Head, Kind, Length};
use heathspur_wire::http::{self, request_line, status_line, Fields};
use std::collections::VecDeque;
use std::ops::Range;

/// The longest message head that is buffered, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The byte that replaces each redacted byte.
const FILLER: u8 = b'x';

/// The parts of messages that are overwritten in a recording.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RedactionPolicy {
    /// Whether message bodies are overwritten.
    pub bodies: bool,
    /// Names of the header fields whose values are overwritten; not case-sensitive.
    pub fields: Vec<String>,
}

impl RedactionPolicy {
    /// Returns whether nothing is overwritten.
    pub fn is_empty(&self) -> bool {
        !self.bodies && self.fields.is_empty()
    }

    fn covers_field(&self, name: &[u8]) -> bool {
        self.fields
            .iter()
            .any(|field| name.eq_ignore_ascii_case(field.as_bytes()))
    }
}

/// Redacted bytes with their arrival time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedBytes {
    /// The time at which the bytes arrived.
    pub time: Timestamp,
    /// The redacted bytes.
    pub bytes: Bytes,
}

/// The parser's position in one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// In a message head, which is buffered until it is complete.
    Head,
    /// In a body with this many bytes left.
    Body(u64),
    /// In bytes that cannot be parsed; all of them are overwritten.
    Unknown,
}

/// Redacts one direction of a connection.
#[derive(Debug)]
pub struct Redactor {
    position: Position,
    buffer: BytesMut,
    /// The length and arrival time of each chunk in the buffer.
    chunks: VecDeque<(usize, Timestamp)>,
}

impl Default for Redactor {
    fn default() -> Redactor {
        Redactor {
            position: Position::Head,
            buffer: BytesMut::new(),
            chunks: VecDeque::new(),
        }
    }
}

impl Redactor {
    /// Processes the next bytes. Appends the bytes that are ready to be recorded to `out`.
    pub fn redact(
        &mut self,
        policy: &RedactionPolicy,
        time: Timestamp,
        bytes: &Bytes,
        out: &mut Vec<TimedBytes>,
    ) {
        if policy.is_empty() {
            let bytes = bytes.clone();
            out.push(TimedBytes { time, bytes });
            return;
        }
        self.buffer.extend_from_slice(bytes);
        self.chunks.push_back((bytes.len(), time));
        while !self.buffer.is_empty() {
            match self.position {
                Position::Unknown => self.overwrite_buffer(out),
                Position::Body(remaining) => self.redact_body(policy, remaining, out),
                Position::Head => match parse_head(&self.buffer) {
                    Ok(None) => return,
                    Ok(Some(head)) => self.redact_head(policy, &head, out),
                    Err(_) => self.position = Position::Unknown,
                },
            }
        }
    }

    /// Overwrites and releases the buffered bytes. Must be called where bytes are missing, and at the end of the
    /// direction. All later bytes are overwritten, because the start of a message can't be recognised any more.
    pub fn lose_position(&mut self, out: &mut Vec<TimedBytes>) {
        self.overwrite_buffer(out);
        self.position = Position::Unknown;
    }

    fn overwrite_buffer(&mut self, out: &mut Vec<TimedBytes>) {
        self.buffer.fill(FILLER);
        self.release(self.buffer.len(), out);
    }

    fn redact_body(&mut self, policy: &RedactionPolicy, remaining: u64, out: &mut Vec<TimedBytes>) {
        let count = remaining.min(self.buffer.len() as u64) as usize;
        if policy.bodies {
            self.buffer[..count].fill(FILLER);
        }
        self.release(count, out);
        self.position = position_in_body(remaining - count as u64);
    }

    fn redact_head(&mut self, policy: &RedactionPolicy, head: &Head, out: &mut Vec<TimedBytes>) {
        self.overwrite_fields(policy, head.fields.clone());
        self.release(head.end, out);
        self.position = match head.length {
            Length::Bytes(length) => position_in_body(length),
            Length::Chunked | Length::UntilClose => Position::Unknown,
        };
    }

    fn overwrite_fields(&mut self, policy: &RedactionPolicy, fields: Range<usize>) {
        let base = self.buffer.as_ptr() as usize;
        let values: Vec<Range<usize>> = Fields::over(&self.buffer[fields])
            .filter_map(Result::ok)
            .filter(|(name, _)| policy.covers_field(name))
            .map(|(_, value)| {
                let start = value.as_ptr() as usize - base;
                start..start + value.len()
            })
            .collect();
        for value in values {
            self.buffer[value].fill(FILLER);
        }
    }

    /// Moves the first `count` buffered bytes to `out`, split as they arrived.
    fn release(&mut self, count: usize, out: &mut Vec<TimedBytes>) {
        let mut remaining = count;
        while remaining > 0 {
            let Some((length, time)) = self.chunks.front_mut() else {
                return;
            };
            let part = remaining.min(*length);
            let time = *time;
            *length -= part;
            if *length == 0 {
                self.chunks.pop_front();
            }
            remaining -= part;
            let bytes = self.buffer.split_to(part).freeze();
            out.push(TimedBytes { time, bytes });
        }
    }
}

fn position_in_body(remaining: u64) -> Position {
    match remaining {
        0 => Position::Head,
        remaining => Position::Body(remaining),
    }
}

/// Parses the head of a request or response. Returns `None` while the head is incomplete.
///
/// No response is taken for one to a HEAD request. The server writes no responses to HEAD requests, and none whose body
/// is chunked or ends with the connection.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, http::Error> {
    framing::parse_head(bytes, MAX_HEAD_BYTES, |line| {
        if line.starts_with(b"HTTP/1.") {
            status_line(line).map(|status| Kind::Response {
                status,
                to_head: false,
            })
        } else {
            request_line(line).map(|_| Kind::Request)
        }
    })
}
