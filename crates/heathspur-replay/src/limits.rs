//! Resource and time limits of a replay.

use crate::Nanos;

/// Resource limits and timeouts of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of simultaneous connections.
    pub max_connections: usize,
    /// Largest number of requests in flight.
    pub max_in_flight: usize,
    /// A request that cannot be sent within this time after its due time is skipped.
    pub send_timeout: Nanos,
    /// A request that is not answered within this time is timed out, and its connection is closed.
    pub response_timeout: Nanos,
    /// First delay before reconnecting. The delay doubles with each failure, and half of it is random.
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
