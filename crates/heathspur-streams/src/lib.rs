//! Decisions of an HTTP/2 server (RFC 9113) about its streams and connections, without I/O and clocks.
//!
//! Events go in, actions come out; the caller moves the bytes. Admission is decided by `heathspur`:
//! a request that is refused here never reached it.
//!
//! | module | decides |
//! | --- | --- |
//! | [`stream_lifecycle`] | what an event means for one stream |
//! | [`connection_drain`] | the graceful shutdown of a connection (GOAWAY) |
//! | [`stream_limits`] | how many streams may be open, and the flow-control windows |
//! | [`response_memory`] | which response is dropped when unread ones exceed their memory |
//! | [`frame_cost`] | when the frames of a connection are abuse |
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

    /// Returns the microseconds since `earlier`, or 0 if that lies ahead.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
