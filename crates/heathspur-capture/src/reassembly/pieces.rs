//! Out-of-order pieces of a direction, keyed by their offset from its first byte.
//!
//! Pieces do not overlap. If a new piece overlaps existing ones, the bytes captured first are retained, because most
//! receivers have already delivered these to their application.

use super::direction::Anomalies;
use crate::Timestamp;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::ops::Range;

/// Captured bytes, or the place of bytes that are missing because the capture truncated their packet.
#[derive(Clone, Debug)]
pub(super) enum Piece {
    Bytes { time: Timestamp, bytes: Bytes },
    Truncated { time: Timestamp, length: u64 },
}

impl Piece {
    pub fn len(&self) -> u64 {
        match self {
            Piece::Bytes { bytes, .. } => bytes.len() as u64,
            Piece::Truncated { length, .. } => *length,
        }
    }

    fn time(&self) -> Timestamp {
        match self {
            Piece::Bytes { time, .. } | Piece::Truncated { time, .. } => *time,
        }
    }
}

/// A part of a segment that is being inserted: the captured payload, or the place of truncated bytes.
struct Incoming<'a> {
    time: Timestamp,
    range: Range<u64>,
    /// `None` for truncated bytes.
    payload: Option<&'a [u8]>,
}

impl Incoming<'_> {
    /// Returns the piece for a part of the range.
    fn piece(&self, part: Range<u64>) -> Piece {
        let time = self.time;
        match self.payload {
            Some(payload) => {
                let bytes = Bytes::copy_from_slice(&payload[relative(&part, self.range.start)]);
                Piece::Bytes { time, bytes }
            }
            None => {
                let length = part.end - part.start;
                Piece::Truncated { time, length }
            }
        }
    }
}

/// The result of comparing the overlapping parts of two copies.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    has_equal: bool,
    has_different: bool,
}

/// The pieces of a direction that are buffered until the bytes before them are captured.
#[derive(Debug, Default)]
pub(super) struct Pieces {
    by_offset: BTreeMap<u64, Piece>,
    buffered_bytes: usize,
}

impl Pieces {
    pub fn is_empty(&self) -> bool {
        self.by_offset.is_empty()
    }

    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    pub fn contains_start(&self, offset: u64) -> bool {
        self.by_offset.contains_key(&offset)
    }

    pub fn first_start(&self) -> Option<u64> {
        self.by_offset.keys().next().copied()
    }

    pub fn oldest_time(&self) -> Option<Timestamp> {
        self.by_offset.values().map(Piece::time).min()
    }

    pub fn clear(&mut self) {
        self.by_offset.clear();
        self.buffered_bytes = 0;
    }

    /// Removes the first piece if it starts at this offset.
    pub fn take_first_at(&mut self, offset: u64) -> Option<Piece> {
        let entry = self.by_offset.first_entry()?;
        if *entry.key() != offset {
            return None;
        }
        let piece = entry.remove();
        if let Piece::Bytes { bytes, .. } = &piece {
            self.buffered_bytes -= bytes.len();
        }
        Some(piece)
    }

    /// Inserts a payload and the place of the truncated bytes after it.
    pub fn insert(
        &mut self,
        time: Timestamp,
        start: u64,
        payload: &[u8],
        truncated: u64,
        anomalies: &mut Anomalies,
    ) {
        let payload_end = start + payload.len() as u64;
        if !payload.is_empty() {
            let incoming = Incoming {
                time,
                range: start..payload_end,
                payload: Some(payload),
            };
            self.insert_part(&incoming, anomalies);
        }
        if truncated > 0 {
            let incoming = Incoming {
                time,
                range: payload_end..payload_end + truncated,
                payload: None,
            };
            self.insert_part(&incoming, anomalies);
        }
    }

    /// Fills the gaps between the existing pieces in the range, and compares the parts that overlap them.
    fn insert_part(&mut self, incoming: &Incoming<'_>, anomalies: &mut Anomalies) {
        let range = &incoming.range;
        let mut filled_to = range.start;
        let mut comparison = Comparison::default();
        for existing in self.overlapping(range) {
            if existing.end <= filled_to {
                continue;
            }
            if existing.start > filled_to {
                self.put(incoming, filled_to..existing.start.min(range.end));
            }
            if let Some(payload) = incoming.payload {
                self.merge(incoming, payload, &existing, &mut comparison);
            }
            filled_to = filled_to.max(existing.end);
        }
        if filled_to < range.end {
            self.put(incoming, filled_to..range.end);
        }
        anomalies.conflicting += u64::from(comparison.has_different);
        anomalies.repeated += u64::from(comparison.has_equal && !comparison.has_different);
    }

    /// Returns the ranges of the pieces that may overlap a range, in order.
    fn overlapping(&self, range: &Range<u64>) -> Vec<Range<u64>> {
        let preceding = self.by_offset.range(..=range.start).next_back();
        let first = preceding.map_or(range.start, |(&start, _)| start);
        self.by_offset
            .range(first..range.end)
            .map(|(&start, piece)| start..start + piece.len())
            .collect()
    }

    /// Compares a payload with an existing piece, or fills the place of truncated bytes with it.
    fn merge(
        &mut self,
        incoming: &Incoming<'_>,
        payload: &[u8],
        existing: &Range<u64>,
        comparison: &mut Comparison,
    ) {
        let Some(Piece::Bytes { bytes, .. }) = self.by_offset.get(&existing.start) else {
            self.recover(incoming, existing);
            return;
        };
        let overlap = intersection(existing, &incoming.range);
        let new = &payload[relative(&overlap, incoming.range.start)];
        let old = &bytes[relative(&overlap, existing.start)];
        comparison.has_equal |= new == old;
        comparison.has_different |= new != old;
    }

    /// Replaces the place of truncated bytes by the bytes of another copy of the packet, as far as that contains them.
    fn recover(&mut self, incoming: &Incoming<'_>, existing: &Range<u64>) {
        let Some(Piece::Truncated { time, .. }) = self.by_offset.remove(&existing.start) else {
            return;
        };
        let overlap = intersection(existing, &incoming.range);
        self.put_truncated(time, existing.start..overlap.start);
        self.put(incoming, overlap.clone());
        self.put_truncated(time, overlap.end..existing.end);
    }

    fn put(&mut self, incoming: &Incoming<'_>, part: Range<u64>) {
        let start = part.start;
        let piece = incoming.piece(part);
        if let Piece::Bytes { bytes, .. } = &piece {
            self.buffered_bytes += bytes.len();
        }
        self.by_offset.insert(start, piece);
    }

    fn put_truncated(&mut self, time: Timestamp, range: Range<u64>) {
        if !range.is_empty() {
            let length = range.end - range.start;
            self.by_offset
                .insert(range.start, Piece::Truncated { time, length });
        }
    }
}

fn intersection(a: &Range<u64>, b: &Range<u64>) -> Range<u64> {
    a.start.max(b.start)..a.end.min(b.end)
}

/// Converts a range of offsets to indices into bytes that begin at offset `base`.
fn relative(range: &Range<u64>, base: u64) -> Range<usize> {
    (range.start - base) as usize..(range.end - base) as usize
}
