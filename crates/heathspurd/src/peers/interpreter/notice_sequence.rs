//! Classifies the numbers of the interpreter's notices: new, duplicate, or damaged on the way. No I/O.
//!
//! The interpreter numbers its notices consecutively and retains the last 4,000 for a connection that resumes. A
//! number that cannot be right ends the connection, so that the notices after the last accepted one are sent again.

/// Connections ended in a row for an out-of-sequence number before the lowest such number is accepted.
const MAX_REJECTED_CONNECTIONS: u32 = 3;
/// Notices that the interpreter retains. The oldest retained number advances while a connection is re-established.
const RETAINED_NOTICES: u64 = 4_000;

/// How a notice's number relates to the numbers accepted before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequencePosition {
    /// The next notice.
    Next,
    /// The next notice that exists: the interpreter no longer retains those in between.
    NextAfterGap,
    /// Accepted before.
    Duplicate,
    /// Too high to be next: the connection has to end, and the notices after the last accepted one are sent again.
    OutOfSequence,
}

/// Out-of-sequence numbers seen since the last accepted notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RejectedNumbers {
    lowest: u64,
    /// Connections that ended for such a number.
    connections: u32,
    /// Whether the first of these numbers was the first one on its connection.
    first_at_connection_start: bool,
}

impl RejectedNumbers {
    /// Whether a number that starts the next connection repeats the rejected one, or is as far beyond it as notices
    /// may have been made meanwhile. A number damaged on the way would come back undamaged.
    fn is_confirmed_by(&self, number: u64) -> bool {
        number >= self.lowest && number - self.lowest <= RETAINED_NOTICES
    }
}

/// The notice numbers accepted so far. The reader works on a copy, which replaces the original once the notice has
/// been passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NoticeSequence {
    last: u64,
    /// No numbered notice has been read on this connection yet, so missed ones may still arrive.
    at_connection_start: bool,
    rejected: Option<RejectedNumbers>,
    /// The interpreter was seen to skip numbers, so a gap says nothing.
    peer_skips_numbers: bool,
}

impl NoticeSequence {
    /// The last accepted number; 0 for none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A new connection resumes after the last accepted number.
    pub fn begin_connection(&mut self) {
        self.at_connection_start = true;
    }

    /// All missed notices have arrived: the interpreter has answered a query on this connection.
    pub fn caught_up(&mut self) {
        self.at_connection_start = false;
    }

    /// Classifies the next notice's number and accepts it unless it is a duplicate or out of sequence.
    pub fn accept(&mut self, number: u64) -> SequencePosition {
        let at_connection_start = std::mem::replace(&mut self.at_connection_start, false);
        if number <= self.last {
            return SequencePosition::Duplicate;
        }
        if number == self.last + 1 || self.peer_skips_numbers {
            self.advance_to(number);
            return SequencePosition::Next;
        }
        match self.rejected {
            Some(rejected) if at_connection_start && rejected.is_confirmed_by(number) => {
                self.accept_gap(number, rejected)
            }
            _ => self.reject(number, at_connection_start),
        }
    }

    /// Accepts a gap that a second connection has confirmed: either more notices were missed than are retained, or
    /// this interpreter skips numbers.
    fn accept_gap(&mut self, number: u64, rejected: RejectedNumbers) -> SequencePosition {
        self.advance_to(number);
        if rejected.first_at_connection_start {
            return SequencePosition::NextAfterGap;
        }
        self.peer_skips_numbers = true;
        SequencePosition::Next
    }

    fn reject(&mut self, number: u64, at_connection_start: bool) -> SequencePosition {
        let rejected = match self.rejected {
            None => RejectedNumbers {
                lowest: number,
                connections: 1,
                first_at_connection_start: at_connection_start,
            },
            Some(rejected) => RejectedNumbers {
                lowest: rejected.lowest.min(number),
                connections: rejected.connections + 1,
                ..rejected
            },
        };
        if rejected.connections > MAX_REJECTED_CONNECTIONS {
            // Bounds the reconnections. Where numbers are damaged upwards, the lowest is the closest to the truth.
            self.advance_to(rejected.lowest);
            return SequencePosition::Next;
        }
        self.rejected = Some(rejected);
        SequencePosition::OutOfSequence
    }

    fn advance_to(&mut self, number: u64) {
        self.last = number;
        self.rejected = None;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/notice_sequence.rs"]
mod tests;
