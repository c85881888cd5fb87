//! The unparsed bytes of one side of a connection, with their capture times.

use super::message::Cause;
use crate::Timestamp;
use bytes::{Bytes, BytesMut};
use heathspur_wire::framing::{Chunks, Head};
use std::collections::VecDeque;

/// The position of the parser in one side's bytes.
#[derive(Debug)]
pub(super) enum Mode {
    /// Searches for the start of a message after bytes that were lost or could not be parsed.
    Resynchronise(Cause),
    /// At the start of a message, or in its head.
    Head,
    /// In the body of a message whose head was parsed.
    Body { head: Head, chunks: Chunks },
    /// In a message that is skipped and has this many bytes left.
    Skip { remaining: u64, cause: Cause },
    /// After the end of the side.
    Finished,
}

/// Bytes that were skipped and not reported yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct SkippedBytes {
    pub count: u64,
    /// The capture time of the first of them.
    pub time: Timestamp,
}

/// The parser state of one side of a connection.
#[derive(Debug)]
pub(super) struct Stream {
    pub mode: Mode,
    pub buffer: BytesMut,
    /// The length and capture time of each chunk in the buffer.
    chunks: VecDeque<(usize, Timestamp)>,
    pub skipped: Option<SkippedBytes>,
    /// Whether a message head was parsed on this side.
    pub is_http: bool,
}

impl Stream {
    pub fn new(mode: Mode) -> Stream {
        Stream {
            mode,
            buffer: BytesMut::new(),
            chunks: VecDeque::new(),
            skipped: None,
            is_http: false,
        }
    }

    pub fn push(&mut self, time: Timestamp, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.chunks.push_back((bytes.len(), time));
    }

    /// Returns the capture time of the first byte in the buffer.
    pub fn first_time(&self) -> Timestamp {
        self.chunks
            .front()
            .map_or(Timestamp::default(), |&(_, time)| time)
    }

    /// Returns the latest capture time of the first `count` bytes in the buffer.
    pub fn latest_time(&self, count: usize) -> Timestamp {
        let mut latest = self.first_time();
        let mut covered = 0;
        for &(length, time) in &self.chunks {
            if covered >= count {
                break;
            }
            covered += length;
            latest = latest.max(time);
        }
        latest
    }

    /// Removes the first `count` bytes from the buffer.
    pub fn consume(&mut self, count: usize) -> Bytes {
        let mut remaining = count;
        while let Some((length, _)) = self.chunks.front_mut() {
            if *length > remaining {
                *length -= remaining;
                break;
            }
            remaining -= *length;
            self.chunks.pop_front();
        }
        self.buffer.split_to(count).freeze()
    }

    /// Removes the first `count` bytes from the buffer and counts them as skipped.
    pub fn skip(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        let time = self.first_time();
        let skipped = self.skipped.get_or_insert(SkippedBytes { count: 0, time });
        skipped.count += count as u64;
        drop(self.consume(count));
    }

    /// Skips all bytes in the buffer.
    pub fn skip_all(&mut self) {
        self.skip(self.buffer.len());
    }
}
