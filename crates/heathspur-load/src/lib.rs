//! The logic of a load test, without I/O and clocks: [`plan`] reads the plan, [`schedule`] draws the send time of
//! each request, and [`audit`] collects the results.
//!
//! The load is open-loop: each request is sent at its intended time, whether or not earlier requests were answered,
//! and its latency is measured from that time. A slow server therefore can't delay requests and hide its own latency
//! (coordinated omission).
#![forbid(unsafe_code)]

pub mod audit;
pub mod plan;
pub mod schedule;
mod validation;
