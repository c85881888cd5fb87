//! Resource and time limits of a replay.

use crate::Nanos;

/// What a replay may use, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of simultaneous connections.
    pub max_connections: usize,
    /// Largest number of requests that are sent and not answered.
    pub max_in_flight: usize,
    /// A request that could not be sent within this time of its due time is skipped.
    pub send_timeout: Nanos,
    /// A request that is not answered within this time is abandoned together with its connection.
    pub response_timeout: Nanos,
    /// First delay before reconnecting. It doubles with each failure, and half of it is random.
    pub initial_backoff: Nanos,
    /// Longest delay before reconnecting.
    pub max_backoff: Nanos,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 4096,
            max_in_flight: 8192,
            send_timeout: 1_000_000_000,
            response_timeout: 30_000_000_000,
            initial_backoff: 10_000_000,
            max_backoff: 1_000_000_000,
        }
    }
}
