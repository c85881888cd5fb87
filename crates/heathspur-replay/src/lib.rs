//! The logic of a replay, without I/O and clocks: [`plan`] builds a schedule from recorded requests, [`runner`]
//! decides when to connect and when to send, and [`audit`] evaluates the outcomes. [`renew`] replaces IDs, keys and
//! time stamps of requests.
//!
//! Unless stated otherwise, times are nanoseconds from the start of the replay on a monotonic clock.
#![forbid(unsafe_code)]

pub mod audit;
mod connection;
pub mod event;
pub mod histogram;
pub mod limits;
pub mod outcome;
pub mod plan;
pub mod recording;
pub mod renew;
pub mod runner;

/// Nanoseconds from the start of a replay, or between two points of it.
pub type Nanos = u64;
