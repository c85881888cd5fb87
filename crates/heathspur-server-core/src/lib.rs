//! Decisions of a server around its traffic, without I/O and clocks: events in, actions out. The caller carries the
//! actions out.
//!
//! - [`registration`]: the schedule of reports to the registration service.
//! - [`connection_permits`]: the limit on connections, and which connection is evicted when another needs its permit.
//! - [`reload`]: which parts of a reloaded configuration may take effect.
//!
//! Admission, scheduling and rejection are decided by `heathspur`. A time is the duration since a fixed point, which is
//! the same for all calls of one object.
#![forbid(unsafe_code)]

pub mod connection_permits;
pub mod registration;
pub mod reload;
