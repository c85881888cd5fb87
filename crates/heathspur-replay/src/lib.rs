//! Decisions of a replay, without I/O and clocks: recorded requests become a schedule ([`plan`]), the schedule
//! becomes connections and sends ([`runner`]), and what came of each is audited ([`audit`]). [`renew`] gives
//! requests fresh ids, keys and stamps where that is asked for.
//!
//! Times are nanoseconds from the start of the replay, monotonic.
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
