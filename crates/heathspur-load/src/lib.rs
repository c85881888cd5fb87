//! Decisions of a load test, without I/O and clocks: [`plan`] is what is asked for, [`schedule`] when each request is
//! to leave, [`audit`] what came of them.
//!
//! The load is open: a request leaves at its intended time whether or not others were answered, and its latency
//! counts from there, so a slow server can't slow its own measurement down (coordinated omission).
#![forbid(unsafe_code)]

pub mod audit;
pub mod plan;
pub mod schedule;
