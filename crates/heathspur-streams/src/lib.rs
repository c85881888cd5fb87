//! Decisions of an HTTP/2 server (RFC 9113) about its streams and connections, without I/O or
//! clocks.
//!
//! The state machines take events and return actions; the caller performs the I/O. Whether a
//! request is admitted is decided by `heathspur`: a stream that is refused here was never submitted
//! to it.
//!
//! | module | decides |
//! | --- | --- |
//! | [`stream_lifecycle`] | how a stream's state changes with each event, and what has to be sent |
//! | [`connection_drain`] | the steps of a connection's graceful shutdown (GOAWAY) |
//! | [`stream_limits`] | how many streams may be open, and how large the flow-control windows are |
//! | [`response_memory`] | which response is dropped when unread responses exceed their limit |
//! | [`frame_cost`] | when a connection's frames count as abuse |
#![forbid(unsafe_code)]

pub mod connection_drain;
pub mod frame_cost;
pub mod response_memory;
pub mod stream_lifecycle;
pub mod stream_limits;

/// Monotonic time in microseconds, from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time `micros` microseconds later.
    pub fn after(self, micros: u64) -> Time {
        Time(self.0.saturating_add(micros))
    }

    /// Returns the microseconds since `earlier`, or 0 if `earlier` is later than this time.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
