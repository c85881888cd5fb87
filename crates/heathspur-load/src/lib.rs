//! The logic of a load test, without I/O and clocks: [`plan`] reads the plan, [`schedule`] draws when each request
//! is sent, [`audit`] collects the results.
//!
//! The load is open-loop: a request is sent at its intended time whether or not others were answered, and its latency
//! counts from there, so a slow server can't slow its own measurement down (coordinated omission).
#![forbid(unsafe_code)]

pub mod audit;
pub mod plan;
pub mod schedule;
mod validation;
