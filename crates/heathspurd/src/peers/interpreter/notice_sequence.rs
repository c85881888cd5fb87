//! Classifies the numbers of the interpreter's notices as new, duplicate or out of sequence. Performs no I/O.
//!
//! The interpreter numbers its notices consecutively and retains the last 4,000 for a connection that resumes. A number
//! that is too high may have been corrupted in transit. It ends the connection, so that the interpreter sends the
//! notices after the last accepted one again.

/// Maximum number of consecutive connections that end because of an out-of-sequence number. On the next such
/// connection, the lowest of these numbers is accepted.
const MAX_REJECTED_CONNECTIONS: u32 = 3;
/// Number of notices that the interpreter retains. While the server reconnects, newer notices may evict older ones, so
/// the oldest retained number may rise.
const RETAINED_NOTICES: u64 = 4_000;

/// The relation of a notice's number to the numbers accepted before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SequencePosition {
    /// The notice is the next one.
    Next,
    /// The notice is the next one available: the interpreter no longer retains the notices before it.
    NextAfterGap,
    /// The notice was accepted before.
    Duplicate,
    /// The number is too high. The connection must end, so that the interpreter sends the notices after the last
    /// accepted one again.
    OutOfSequence,
}

/// The out-of-sequence numbers received since the last accepted notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RejectedNumbers {
    lowest: u64,
    /// Number of connections that ended because of such a number.
    connections: u32,
    /// Whether the first out-of-sequence number was also the first number on its connection.
    first_at_connection_start: bool,
}

impl RejectedNumbers {
    /// Returns whether `number`, the first one on a new connection, confirms the rejected one: it is equal, or higher
    /// by at most the notices that the interpreter may have sent in the meantime. If the rejected number had been
    /// corrupted in transit, the interpreter would send the correct number this time.
    fn is_confirmed_by(&self, number: u64) -> bool {
        number >= self.lowest && number - self.lowest <= RETAINED_NOTICES
    }
}

/// The notice numbers accepted so far. The reader updates a copy, which replaces the original once the event loop has
/// received the notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NoticeSequence {
    /// The last accepted number; 0 if there is none.
    last: u64,
    /// Whether neither a numbered notice nor the answer to a query has been read on this connection yet, so that missed
    /// notices may still arrive.
    at_connection_start: bool,
    rejected: Option<RejectedNumbers>,
    /// Whether this interpreter is known to skip numbers, so that a gap does not indicate a fault.
    peer_skips_numbers: bool,
}

impl NoticeSequence {
    /// Returns the last accepted number, or 0 if there is none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Records that a new connection resumes after the last accepted number.
    pub fn begin_connection(&mut self) {
        self.at_connection_start = true;
    }

    /// Records that all missed notices have arrived, because the interpreter answered a query on this connection.
    pub fn mark_caught_up(&mut self) {
        self.at_connection_start = false;
    }

    /// Classifies the number of the next notice, and accepts it unless it is a duplicate or out of sequence.
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

    /// Accepts a gap that a second connection has confirmed. If the gap was at the start of a connection, more notices
    /// were missed than the interpreter retains; otherwise, this interpreter skips numbers.
    fn accept_gap(&mut self, number: u64, rejected: RejectedNumbers) -> SequencePosition {
        self.advance_to(number);
        if rejected.first_at_connection_start {
            return SequencePosition::NextAfterGap;
        }
        self.peer_skips_numbers = true;
        SequencePosition::Next
    }

    /// Rejects an out-of-sequence number, unless too many connections have ended because of such numbers.
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
            // Bounds the number of reconnections. Only numbers that are too high are rejected, so the lowest one is
            // the closest to the correct number.
            self.advance_to(rejected.lowest);
            return SequencePosition::Next;
        }
        self.rejected = Some(rejected);
        SequencePosition::OutOfSequence
    }

    /// Accepts a number and discards the record of rejected ones.
    fn advance_to(&mut self, number: u64) {
        self.last = number;
        self.rejected = None;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/notice_sequence.rs"]
mod tests;
