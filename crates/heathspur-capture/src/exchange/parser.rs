//! Parses the messages of one side of a connection, and resynchronises where bytes are missing.

use super::matching::Matcher;
use super::message::{Cause, Found, Message};
use super::resync::find_message_start;
use super::stream::{Mode, SkippedBytes, Stream};
use super::Limits;
use crate::{ConnectionId, Side, Timestamp};
use heathspur_wire::framing::{self, Chunks, Head, Kind, Length};
use heathspur_wire::http::{self, request_line, status_line};
use std::collections::VecDeque;

/// Whether parsing can continue with the bytes in the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Advanced,
    NeedsBytes,
}

/// The state of the message whose body is being read.
enum BodyState {
    /// The message ends at this position in the buffer.
    Complete(usize),
    Incomplete,
    /// The message has this many bytes, which exceeds the limit.
    TooLong(u64),
    Malformed,
}

/// One side of a connection while an event of it is processed.
pub(super) struct Parser<'a> {
    pub connection: ConnectionId,
    pub side: Side,
    pub limits: &'a Limits,
    pub stream: &'a mut Stream,
    pub matcher: &'a mut Matcher,
    pub found: &'a mut VecDeque<Found>,
}

impl Parser<'_> {
    /// Processes bytes that the side sent.
    pub fn process_bytes(&mut self, time: Timestamp, bytes: &[u8]) {
        self.stream.push(time, bytes);
        self.parse_buffer();
    }

    /// Processes a hole in the bytes of the side. Its length may be unknown.
    pub fn process_hole(&mut self, length: Option<u64>) {
        let is_inside_message = length.is_some_and(|length| self.skip_message_with_hole(length));
        if !is_inside_message {
            self.lose_message(Cause::Hole);
        }
    }

    /// Processes the end of the side.
    pub fn process_end(&mut self) {
        let cause = match &self.stream.mode {
            Mode::Finished => return,
            Mode::Body { head, .. } if matches!(head.length, Length::UntilClose) => {
                self.complete_message(self.stream.buffer.len());
                self.stream.mode = Mode::Finished;
                return;
            }
            Mode::Resynchronise(cause) | Mode::Skip { cause, .. } => *cause,
            Mode::Head | Mode::Body { .. } => Cause::Truncated,
        };
        self.stream.skip_all();
        self.stream.mode = Mode::Finished;
        let cause = if self.stream.is_http {
            cause
        } else {
            Cause::NotHttp.max(cause)
        };
        self.report_skipped(cause);
    }

    /// Skips the buffered bytes and searches for the next message.
    pub fn lose_message(&mut self, cause: Cause) {
        self.stream.skip_all();
        if !matches!(self.stream.mode, Mode::Finished) {
            self.stream.mode = Mode::Resynchronise(cause);
        }
        self.matcher.match_by_time();
    }

    fn parse_buffer(&mut self) {
        while self.step() == Progress::Advanced {}
    }

    fn step(&mut self) -> Progress {
        match self.stream.mode {
            Mode::Resynchronise(cause) => self.resynchronise(cause),
            Mode::Head => self.parse_head(),
            Mode::Body { .. } => self.parse_body(),
            Mode::Skip { remaining, cause } => self.skip_message(remaining, cause),
            Mode::Finished => {
                self.stream.skip_all();
                Progress::NeedsBytes
            }
        }
    }

    fn resynchronise(&mut self, cause: Cause) -> Progress {
        let stream = &mut *self.stream;
        let Some(start) = find_message_start(&stream.buffer, self.side) else {
            // The buffer may end with an incomplete first line, which is retained.
            let excess = stream.buffer.len().saturating_sub(self.limits.head);
            stream.skip(excess);
            return Progress::NeedsBytes;
        };
        stream.skip(start);
        stream.mode = Mode::Head;
        self.report_skipped(cause);
        Progress::Advanced
    }

    fn parse_head(&mut self) -> Progress {
        // Servers ignore empty lines before a message.
        while self.stream.buffer.starts_with(b"\r\n") {
            drop(self.stream.consume(2));
        }
        if self.stream.buffer.is_empty() {
            return Progress::NeedsBytes;
        }
        match self.next_head() {
            Ok(None) => return Progress::NeedsBytes,
            Ok(Some(head)) => {
                self.stream.is_http = true;
                let chunks = Chunks::new(head.end);
                self.stream.mode = Mode::Body { head, chunks };
            }
            Err(http::Error::HeadTooLarge) => self.lose_message(Cause::TooLarge),
            Err(_) => {
                // One byte is skipped, so that the same position is not recognised again.
                self.stream.skip(1);
                self.stream.mode = Mode::Resynchronise(Cause::NotHttp);
            }
        }
        Progress::Advanced
    }

    fn next_head(&self) -> Result<Option<Head>, http::Error> {
        let to_head = self.matcher.expects_head_response();
        framing::parse_head(&self.stream.buffer, self.limits.head, |line| {
            match self.side {
                Side::Client => request_line(line).map(|_| Kind::Request),
                Side::Server => status_line(line).map(|status| Kind::Response { status, to_head }),
            }
        })
    }

    fn parse_body(&mut self) -> Progress {
        match self.body_state() {
            BodyState::Complete(end) => self.complete_message(end),
            BodyState::TooLong(length) => self.begin_skipping(length, Cause::TooLarge),
            BodyState::Malformed => self.lose_message(Cause::NotHttp),
            BodyState::Incomplete => {
                if self.stream.buffer.len() <= self.limits.message + self.limits.head {
                    return Progress::NeedsBytes;
                }
                self.lose_message(Cause::TooLarge);
            }
        }
        Progress::Advanced
    }

    fn body_state(&mut self) -> BodyState {
        let buffer = &self.stream.buffer;
        let Mode::Body { head, chunks } = &mut self.stream.mode else {
            return BodyState::Incomplete;
        };
        match head.length {
            Length::Bytes(length) if length > self.limits.message as u64 => {
                BodyState::TooLong(head.end as u64 + length)
            }
            Length::Bytes(length) => {
                let end = head.end + length as usize;
                if buffer.len() >= end {
                    BodyState::Complete(end)
                } else {
                    BodyState::Incomplete
                }
            }
            Length::Chunked => match chunks.end(buffer) {
                Ok(Some(end)) => BodyState::Complete(end),
                Ok(None) => BodyState::Incomplete,
                Err(_) => BodyState::Malformed,
            },
            Length::UntilClose => BodyState::Incomplete,
        }
    }

    /// Removes the message of `end` bytes from the buffer and matches it.
    fn complete_message(&mut self, end: usize) {
        let mode = std::mem::replace(&mut self.stream.mode, Mode::Head);
        let Mode::Body { head, .. } = mode else {
            return;
        };
        let (first_byte_at, last_byte_at) =
            (self.stream.first_time(), self.stream.latest_time(end));
        let message = Message {
            bytes: self.stream.consume(end),
            line: head.start_line,
            fields: head.fields,
            body: head.end..end,
            first_byte_at,
            last_byte_at,
        };
        match self.side {
            Side::Client => self.matcher.add_request(message, self.found),
            Side::Server => self.matcher.add_response(message, self.found),
        }
    }

    /// Starts to skip a message with a known number of bytes left. The message still counts when responses are matched
    /// to requests.
    fn begin_skipping(&mut self, remaining: u64, cause: Cause) {
        match self.side {
            Side::Client => {
                let time = self.stream.first_time();
                self.matcher.skip_request(time, self.found);
            }
            Side::Server => self.matcher.skip_response(),
        }
        self.stream.mode = Mode::Skip { remaining, cause };
    }

    fn skip_message(&mut self, remaining: u64, cause: Cause) -> Progress {
        let count = remaining.min(self.stream.buffer.len() as u64);
        self.stream.skip(count as usize);
        self.continue_skipping(remaining - count, cause)
    }

    fn continue_skipping(&mut self, remaining: u64, cause: Cause) -> Progress {
        if remaining > 0 {
            self.stream.mode = Mode::Skip { remaining, cause };
            return Progress::NeedsBytes;
        }
        self.stream.mode = Mode::Head;
        self.report_skipped(cause);
        Progress::Advanced
    }

    /// Skips the current message if the hole lies within it, in which case the start of the next one is known. Returns
    /// false if it does not.
    fn skip_message_with_hole(&mut self, length: u64) -> bool {
        match &self.stream.mode {
            Mode::Skip { remaining, cause } if length <= *remaining => {
                let (remaining, cause) = (*remaining - length, *cause);
                self.continue_skipping(remaining, cause);
                true
            }
            Mode::Body { head, .. } => {
                let Length::Bytes(body) = head.length else {
                    return false;
                };
                let buffered = self.stream.buffer.len() as u64;
                let missing = (head.end as u64 + body).saturating_sub(buffered);
                if length > missing {
                    return false;
                }
                self.begin_skipping(missing - length, Cause::Hole);
                self.stream.skip_all();
                self.parse_buffer();
                true
            }
            _ => false,
        }
    }

    /// Reports the bytes skipped since the last report.
    fn report_skipped(&mut self, cause: Cause) {
        if let Some(SkippedBytes { count, time }) = self.stream.skipped.take() {
            self.found.push_back(Found::Skipped {
                connection: self.connection,
                side: self.side,
                cause,
                bytes: count,
                time,
            });
        }
    }
}
