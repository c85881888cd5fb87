//! Resource and time limits of a replay.

use crate::Nanos;

/// What a replay may use, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Requests at once that are sent and not answered.
    pub open: usize,
    /// A request that could not leave so long after its time does not leave at all.
    pub late: Nanos,
    /// A request that is not answered for so long is given up, with its connection.
    pub answer: Nanos,
    /// The first wait before a connection is tried again, doubled with each failure, half of it by lot.
    pub backoff: Nanos,
    /// The longest such wait.
    pub longest_backoff: Nanos,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            open: 8192,
            late: 1_000_000_000,
            answer: 30_000_000_000,
            backoff: 10_000_000,
            longest_backoff: 1_000_000_000,
        }
    }
}
