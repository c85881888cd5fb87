//! Reassembles one direction of a TCP connection: turns segments into bytes in order, with holes where bytes are
//! missing.
//!
//! Offsets are 64-bit numbers that count from the first byte of the direction, because sequence numbers wrap (RFC 9293,
//! section 3.4).

use super::pieces::{Piece, Pieces};
use super::recent::RecentBytes;
use crate::Timestamp;
use bytes::Bytes;
use std::collections::VecDeque;

/// The maximum distance of a segment from the expected byte, in bytes. The largest window of RFC 7323 is a gigabyte,
/// but the bound on the bytes buffered behind a gap is far lower.
const MAX_DISTANCE_BYTES: i64 = 16 * 1024 * 1024;
/// The number of successive stray segments after which the direction resynchronises to them.
const STRAYS_TO_RESYNCHRONISE: u32 = 3;

/// The output of a direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Output {
    /// The next bytes, with the time at which they were first captured.
    Bytes { time: Timestamp, bytes: Bytes },
    /// Missing bytes. Their number is unknown where the direction resynchronised.
    Hole { length: Option<u64> },
    /// The FIN or RST, after all bytes that precede it.
    End { reset: bool },
}

/// Counts of irregular segments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Anomalies {
    /// Segments that repeat captured bytes, in full or in part.
    pub repeated: u64,
    /// Segments with other bytes than were captured for the same sequence numbers. The bytes captured first are used.
    pub conflicting: u64,
    /// Segments that were captured before one that precedes them.
    pub out_of_order: u64,
    /// Keep-alive probes.
    pub keep_alives: u64,
    /// Segments too far from the others to belong to the direction.
    pub stray: u64,
    /// The number of times that a direction resynchronised to stray segments.
    pub resynchronised: u64,
    /// Segments after the end of a direction or connection.
    pub after_end: u64,
    /// Segments that begin before the first captured byte of a direction.
    pub before_start: u64,
}

/// The payload of a segment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Payload<'a> {
    pub time: Timestamp,
    /// The sequence number of the first byte.
    pub seq: u32,
    pub bytes: &'a [u8],
    /// The number of bytes after `bytes` that the capture truncated.
    pub truncated: u64,
}

impl Payload<'_> {
    fn len(&self) -> u64 {
        self.bytes.len() as u64 + self.truncated
    }
}

/// A position in a direction.
#[derive(Clone, Copy, Debug)]
struct Position {
    seq: u32,
    offset: u64,
}

impl Position {
    /// Returns the distance to a sequence number, which is negative if the number precedes the position.
    fn distance_to(self, seq: u32) -> i64 {
        i64::from(seq.wrapping_sub(self.seq) as i32)
    }

    fn plus(self, count: u64) -> Position {
        Position {
            seq: self.seq.wrapping_add(count as u32),
            offset: self.offset + count,
        }
    }
}

/// The position of a FIN or RST.
#[derive(Clone, Copy, Debug)]
struct EndMark {
    offset: u64,
    reset: bool,
}

/// The state of one direction.
#[derive(Debug, Default)]
pub(super) struct Direction {
    /// The position of the next byte to be delivered, once a segment determined it.
    next: Option<Position>,
    pieces: Pieces,
    end: Option<EndMark>,
    ended: bool,
    /// The number of successive stray segments.
    strays: u32,
    recent: RecentBytes,
    output: VecDeque<Output>,
}

impl Direction {
    /// Sets the sequence number of the first byte, unless it is known already.
    pub fn start_at(&mut self, seq: u32) {
        self.next.get_or_insert(Position { seq, offset: 0 });
    }

    pub fn is_started(&self) -> bool {
        self.next.is_some()
    }

    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the number of bytes buffered behind gaps.
    pub fn buffered_bytes(&self) -> usize {
        self.pieces.buffered_bytes()
    }

    /// Returns whether anything is buffered behind a gap.
    pub fn is_waiting(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Returns the capture time of the oldest piece behind a gap.
    pub fn waiting_since(&self) -> Option<Timestamp> {
        self.pieces.oldest_time()
    }

    /// Removes and returns the next output.
    pub fn next_output(&mut self) -> Option<Output> {
        self.output.pop_front()
    }

    /// Processes the payload of a segment.
    pub fn add_payload(&mut self, payload: Payload<'_>, anomalies: &mut Anomalies) {
        if payload.len() == 0 {
            return;
        }
        if self.ended {
            anomalies.after_end += 1;
            return;
        }
        let next = self.next_or_start(payload.seq);
        let distance = next.distance_to(payload.seq);
        if distance.abs() > MAX_DISTANCE_BYTES {
            self.process_stray(payload, next, anomalies);
            return;
        }
        self.strays = 0;
        if distance == -1 && payload.len() == 1 {
            // A keep-alive probe repeats the last byte, or has any byte in its place (RFC 9293, section 3.8.4).
            anomalies.keep_alives += 1;
            return;
        }
        let delivered = self.check_delivered(payload, next, distance, anomalies);
        if delivered < payload.len() {
            let start = next
                .offset
                .saturating_add_signed(distance + delivered as i64);
            self.insert(payload, delivered, start, next, anomalies);
        }
        self.advance();
    }

    /// Marks the sequence number at which the direction ends.
    pub fn end_at(&mut self, seq: u32, reset: bool) {
        let next = self.next_or_start(seq);
        if self.end.is_none() {
            let distance = next.distance_to(seq);
            // An end that is too far away is treated as one at the current position.
            let offset = if distance.abs() > MAX_DISTANCE_BYTES {
                next.offset
            } else {
                next.offset.saturating_add_signed(distance)
            };
            let offset = offset.max(next.offset);
            self.end = Some(EndMark { offset, reset });
        }
        self.advance();
    }

    /// Stops waiting for the bytes of the first gap and delivers a hole instead. Returns false if there is no gap.
    pub fn abandon_gap(&mut self) -> bool {
        let Some(next) = self.next else {
            return false;
        };
        let end = self.end.map(|end| end.offset);
        let gap_end = [self.pieces.first_start(), end].into_iter().flatten().min();
        let Some(gap_end) = gap_end.filter(|&gap_end| gap_end > next.offset) else {
            return false;
        };
        let length = gap_end - next.offset;
        self.push_hole(Some(length));
        self.next = Some(next.plus(length));
        self.advance();
        true
    }

    /// Delivers all pieces and the end, with holes for the gaps between.
    pub fn flush(&mut self) {
        while self.is_waiting() || (self.end.is_some() && !self.ended) {
            self.advance();
            if !self.abandon_gap() {
                break;
            }
        }
    }

    /// Delivers all pieces, with holes for the gaps between.
    fn flush_pieces(&mut self) {
        while self.is_waiting() {
            self.advance();
            if !self.abandon_gap() {
                break;
            }
        }
    }

    fn next_or_start(&mut self, seq: u32) -> Position {
        *self.next.get_or_insert(Position { seq, offset: 0 })
    }

    /// Counts a segment far from the expected position. Several in a row mean that the direction continues there, as
    /// after a long gap in the capture, or if a network card changed the sequence numbers.
    fn process_stray(&mut self, payload: Payload<'_>, next: Position, anomalies: &mut Anomalies) {
        anomalies.stray += 1;
        self.strays += 1;
        if self.strays < STRAYS_TO_RESYNCHRONISE {
            return;
        }
        anomalies.resynchronised += 1;
        self.flush_pieces();
        self.push_hole(None);
        self.next = Some(Position {
            seq: payload.seq,
            offset: next.offset,
        });
        self.add_payload(payload, anomalies);
    }

    /// Returns the number of bytes of a payload that were delivered before. Compares them with the delivered bytes.
    fn check_delivered(
        &self,
        payload: Payload<'_>,
        next: Position,
        distance: i64,
        anomalies: &mut Anomalies,
    ) -> u64 {
        let behind = distance.min(0).unsigned_abs();
        if behind > next.offset {
            anomalies.before_start += 1;
        } else if behind > 0 {
            if self.recent.agrees_with(payload.bytes, behind as usize) {
                anomalies.repeated += 1;
            } else {
                anomalies.conflicting += 1;
            }
        }
        behind.min(payload.len())
    }

    /// Inserts the part of a payload after its first `skipped` bytes.
    fn insert(
        &mut self,
        payload: Payload<'_>,
        skipped: u64,
        start: u64,
        next: Position,
        anomalies: &mut Anomalies,
    ) {
        if start > next.offset && !self.pieces.contains_start(start) {
            anomalies.out_of_order += 1;
        }
        let skipped_captured = (skipped as usize).min(payload.bytes.len());
        let bytes = &payload.bytes[skipped_captured..];
        let truncated = payload.len() - skipped - bytes.len() as u64;
        self.pieces
            .insert(payload.time, start, bytes, truncated, anomalies);
    }

    /// Delivers everything up to the next gap.
    fn advance(&mut self) {
        let Some(mut next) = self.next else {
            return;
        };
        while let Some(piece) = self.pieces.take_first_at(next.offset) {
            let length = match self.end {
                Some(end) => piece.len().min(end.offset.saturating_sub(next.offset)),
                None => piece.len(),
            };
            self.deliver(piece, length);
            next = next.plus(length);
            if length == 0 {
                break;
            }
        }
        self.next = Some(next);
        self.deliver_end(next);
    }

    /// Delivers the first `length` bytes of a piece.
    fn deliver(&mut self, piece: Piece, length: u64) {
        match piece {
            Piece::Bytes { time, bytes } => {
                let bytes = bytes.slice(..length as usize);
                self.recent.push(&bytes);
                if !bytes.is_empty() {
                    self.output.push_back(Output::Bytes { time, bytes });
                }
            }
            // The capture truncated the packet, and no other copy is expected.
            Piece::Truncated { .. } => self.push_hole(Some(length)),
        }
    }

    fn deliver_end(&mut self, next: Position) {
        let Some(end) = self.end else {
            return;
        };
        if end.offset <= next.offset && !self.ended {
            self.ended = true;
            self.pieces.clear();
            self.output.push_back(Output::End { reset: end.reset });
        }
    }

    fn push_hole(&mut self, length: Option<u64>) {
        self.recent.clear();
        self.output.push_back(Output::Hole { length });
    }
}
