//! Decisions of the server outside admission, without I/O or clocks. The state machines take events and return actions
//! that the caller carries out.
//!
//! - [`registration`]: the schedule of reports to the registration service.
//! - [`connection_permits`]: the limit on connections, and which connection is evicted when another needs its permit.
//! - [`reload`]: whether a reloaded configuration is accepted, and which of its fields need a restart.
//!
//! Admission and scheduling of requests are decided by `heathspur`. Points in time are given as the [`Duration`] since
//! an arbitrary origin, which has to be the same in all calls of one object.
//!
//! [`Duration`]: std::time::Duration
#![forbid(unsafe_code)]

pub mod connection_permits;
pub mod registration;
pub mod reload;
