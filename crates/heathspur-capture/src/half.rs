//! One direction of a TCP connection: segments in, bytes in their order out, what is missing told.
//!
//! Positions are counted from the first byte of the direction in 64 bits, so sequence numbers may wrap
//! (RFC 9293, section 3.4). Where segments overlap, the byte that was captured first stands: that is what
//! most receivers have given to their program already. A later copy with other bytes is counted.

use crate::Stamp;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// How far ahead of what came a segment may lie, in bytes: the largest window of RFC 7323 is a gigabyte,
/// but what a hole can hold back is bounded far below.
const AHEAD: i64 = 16 * 1024 * 1024;
/// So many segments far off in a row, and the direction goes on from there.
const STRAYS: u32 = 3;
/// Bytes kept of what was given already, to tell whether a later copy is the same.
const TAIL: usize = 512;

/// Bytes that wait for those before them, or the place of bytes that were never kept.
#[derive(Clone, Debug)]
enum Piece {
    Bytes { time: Stamp, bytes: Bytes },
    Lost { time: Stamp, length: u64 },
}

impl Piece {
    fn len(&self) -> u64 {
        match self {
            Piece::Bytes { bytes, .. } => bytes.len() as u64,
            Piece::Lost { length, .. } => *length,
        }
    }

    fn time(&self) -> Stamp {
        match self {
            Piece::Bytes { time, .. } | Piece::Lost { time, .. } => *time,
        }
    }
}

/// What a direction gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Given {
    /// The next bytes, and when they were captured first.
    Bytes { time: Stamp, bytes: Bytes },
    /// So many bytes are missing here; an unknown number where it begins anew.
    Hole { length: Option<u64> },
    /// All up to its FIN or RST was given.
    End { reset: bool },
}

/// What was odd about segments, as counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Odd {
    /// Segments, or parts of them, that had come before with the same bytes.
    pub repeated: u64,
    /// The same with other bytes; the first stood.
    pub conflicting: u64,
    /// Segments that came before one that precedes them.
    pub out_of_order: u64,
    /// Probes of an idle connection.
    pub keep_alives: u64,
    /// Segments too far from the rest to belong to it.
    pub stray: u64,
    /// Times that a direction went on elsewhere after strays.
    pub resynchronised: u64,
    /// Segments behind an end, or of a connection that was over.
    pub after_end: u64,
    /// Segments, or parts of them, from before the place where the capture starts with a connection.
    pub before_start: u64,
}

#[derive(Debug)]
pub(crate) struct Half {
    /// Sequence number and position of the next byte to be given.
    next: Option<(u32, u64)>,
    pieces: BTreeMap<u64, Piece>,
    held: usize,
    /// Position of the end, and whether it is a reset.
    end: Option<(u64, bool)>,
    ended: bool,
    strays: u32,
    tail: VecDeque<u8>,
    given: VecDeque<Given>,
}

impl Half {
    pub fn new() -> Half {
        Half {
            next: None,
            pieces: BTreeMap::new(),
            held: 0,
            end: None,
            ended: false,
            strays: 0,
            tail: VecDeque::new(),
            given: VecDeque::new(),
        }
    }

    /// The first byte has this sequence number.
    pub fn starts_at(&mut self, seq: u32) {
        if self.next.is_none() {
            self.next = Some((seq, 0));
        }
    }

    pub fn started(&self) -> bool {
        self.next.is_some()
    }

    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Bytes that wait for others.
    pub fn held(&self) -> usize {
        self.held
    }

    /// When the oldest of what waits was captured.
    pub fn waits_since(&self) -> Option<Stamp> {
        self.pieces.values().map(Piece::time).min()
    }

    /// The next of what is ready.
    pub fn take(&mut self) -> Option<Given> {
        self.given.pop_front()
    }

    /// Payload that was captured, and so many bytes behind it that were not kept.
    pub fn segment(&mut self, time: Stamp, seq: u32, payload: &[u8], lost: u64, odd: &mut Odd) {
        let length = payload.len() as u64 + lost;
        if length == 0 || self.ended {
            odd.after_end += u64::from(length > 0);
            return;
        }
        let (next_seq, next) = *self.next.get_or_insert((seq, 0));
        let off = i64::from(seq.wrapping_sub(next_seq) as i32);
        if !(-AHEAD..=AHEAD).contains(&off) {
            odd.stray += 1;
            self.strays += 1;
            if self.strays < STRAYS {
                return;
            }
            // The connection is elsewhere: a long gap in the capture, or a card that renumbered.
            odd.resynchronised += 1;
            self.flush(true);
            self.given.push_back(Given::Hole { length: None });
            self.tail.clear();
            self.next = Some((seq, next));
            return self.segment(time, seq, payload, lost, odd);
        }
        self.strays = 0;
        if off == -1 && length == 1 {
            // A probe repeats the last byte, or sends any byte in its place (RFC 9293, section 3.8.4).
            odd.keep_alives += 1;
            return;
        }
        let start = next as i64 + off;
        let before = ((-off).max(0) as u64).min(length);
        if start < 0 {
            odd.before_start += 1;
        } else if before > 0 {
            self.compare_given(-off as usize, payload, odd);
        }
        if before < length {
            let from = (start + before as i64) as u64;
            if from > next {
                odd.out_of_order += u64::from(!self.pieces.contains_key(&from));
            }
            let skip = (before as usize).min(payload.len());
            self.add(
                time,
                from,
                &payload[skip..],
                length - before - (payload.len() - skip) as u64,
                odd,
            );
        }
        self.advance();
    }

    /// The direction ends at this sequence number.
    pub fn ends_at(&mut self, seq: u32, reset: bool) {
        let (next_seq, next) = *self.next.get_or_insert((seq, 0));
        let off = i64::from(seq.wrapping_sub(next_seq) as i32);
        if self.end.is_none() {
            // An end that lies nowhere near is one for now.
            let at = if off.abs() > AHEAD {
                next
            } else {
                next.saturating_add_signed(off)
            };
            self.end = Some((at.max(next), reset));
        }
        self.advance();
    }

    /// Whether anything waits.
    pub fn waits(&self) -> bool {
        !self.pieces.is_empty()
    }

    /// Bytes before what waits will not come any more: the first gap becomes a hole. False if there is none.
    pub fn give_up_gap(&mut self) -> bool {
        let Some((seq, next)) = self.next else {
            return false;
        };
        let first = self.pieces.keys().next().copied();
        let end = self.end.map(|(at, _)| at);
        let Some(to) = [first, end]
            .into_iter()
            .flatten()
            .min()
            .filter(|&to| to > next)
        else {
            return false;
        };
        self.given.push_back(Given::Hole {
            length: Some(to - next),
        });
        self.tail.clear();
        self.next = Some((seq.wrapping_add((to - next) as u32), to));
        self.advance();
        true
    }

    /// All that waits is given, with holes where there are any.
    pub fn flush(&mut self, go_on: bool) {
        while !self.pieces.is_empty() || !go_on && !self.ended && self.end.is_some() {
            self.advance();
            if !self.give_up_gap() {
                break;
            }
        }
    }

    /// Whether what came again is what was given, as far as that is known. It begins so many bytes back.
    fn compare_given(&mut self, back: usize, payload: &[u8], odd: &mut Odd) {
        let unknown = back.saturating_sub(self.tail.len());
        let known = self.tail.iter().skip(self.tail.len() - (back - unknown));
        let again = payload.get(unknown..).unwrap_or(&[]);
        if again.iter().zip(known).any(|(a, b)| a != b) {
            odd.conflicting += 1;
        } else {
            odd.repeated += 1;
        }
    }

    /// Enters what is new of a piece into those that wait; of what is there already the first stands.
    fn add(&mut self, time: Stamp, from: u64, payload: &[u8], lost: u64, odd: &mut Odd) {
        let to = from + payload.len() as u64;
        if !payload.is_empty() {
            self.fill(time, from, to, Some(payload), odd);
        }
        if lost > 0 {
            self.fill(time, to, to + lost, None, odd);
        }
    }

    fn fill(&mut self, time: Stamp, from: u64, to: u64, payload: Option<&[u8]>, odd: &mut Odd) {
        let mut at = from;
        let before = self
            .pieces
            .range(..=from)
            .next_back()
            .map(|(&start, _)| start);
        let begin = before.unwrap_or(from);
        // What overlaps, in order: the gaps between are filled, the rest is compared.
        let overlapping: Vec<(u64, u64)> = self
            .pieces
            .range(begin..to)
            .map(|(&start, piece)| (start, start + piece.len()))
            .collect();
        let (mut same, mut other) = (false, false);
        for (start, end) in overlapping {
            if end <= at {
                continue;
            }
            if start > at {
                self.put(time, at, start.min(to), from, payload);
            }
            if let (Some(payload), Some(Piece::Bytes { bytes, .. })) =
                (payload, self.pieces.get(&start))
            {
                let (low, high) = (start.max(from), end.min(to));
                let ours = &payload[(low - from) as usize..(high - from) as usize];
                let theirs = &bytes[(low - start) as usize..(high - start) as usize];
                same |= ours == theirs;
                other |= ours != theirs;
            } else if let Some(payload) = payload {
                // What was lost in one copy is there in the other.
                self.recover(start, end, from, to, payload, time);
            }
            at = at.max(end);
        }
        if at < to {
            self.put(time, at, to, from, payload);
        }
        odd.conflicting += u64::from(other);
        odd.repeated += u64::from(same && !other);
    }

    fn recover(&mut self, start: u64, end: u64, from: u64, to: u64, payload: &[u8], time: Stamp) {
        let Some(Piece::Lost { time: lost_at, .. }) = self.pieces.remove(&start) else {
            return;
        };
        let (low, high) = (start.max(from), end.min(to));
        if start < low {
            self.pieces.insert(
                start,
                Piece::Lost {
                    time: lost_at,
                    length: low - start,
                },
            );
        }
        self.put(time, low, high, from, Some(payload));
        if high < end {
            self.pieces.insert(
                high,
                Piece::Lost {
                    time: lost_at,
                    length: end - high,
                },
            );
        }
    }

    fn put(&mut self, time: Stamp, at: u64, to: u64, from: u64, payload: Option<&[u8]>) {
        let piece = match payload {
            Some(payload) => {
                let bytes =
                    Bytes::copy_from_slice(&payload[(at - from) as usize..(to - from) as usize]);
                self.held += bytes.len();
                Piece::Bytes { time, bytes }
            }
            None => Piece::Lost {
                time,
                length: to - at,
            },
        };
        self.pieces.insert(at, piece);
    }

    /// Gives all that follows without a gap.
    fn advance(&mut self) {
        let Some((mut seq, mut next)) = self.next else {
            return;
        };
        while let Some(entry) = self.pieces.first_entry() {
            if *entry.key() != next {
                break;
            }
            let piece = entry.remove();
            let mut length = piece.len();
            if let Some((end, _)) = self.end {
                length = length.min(end.saturating_sub(next));
            }
            match piece {
                Piece::Bytes { time, bytes } => {
                    self.held -= bytes.len();
                    let bytes = bytes.slice(..length as usize);
                    let keep = bytes.len().min(TAIL);
                    self.tail.extend(&bytes[bytes.len() - keep..]);
                    let over = self.tail.len().saturating_sub(TAIL);
                    self.tail.drain(..over);
                    if !bytes.is_empty() {
                        self.given.push_back(Given::Bytes { time, bytes });
                    }
                }
                Piece::Lost { .. } => {
                    // Its packet was cut when it was captured: no other copy is to be waited for.
                    self.tail.clear();
                    self.given.push_back(Given::Hole {
                        length: Some(length),
                    });
                }
            }
            next += length;
            seq = seq.wrapping_add(length as u32);
            if length == 0 {
                break;
            }
        }
        self.next = Some((seq, next));
        if let Some((_, reset)) = self.end.filter(|(end, _)| *end <= next && !self.ended) {
            self.ended = true;
            self.pieces.clear();
            self.held = 0;
            self.given.push_back(Given::End { reset });
        }
    }
}
