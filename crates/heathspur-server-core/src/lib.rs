//! Decisions of a server around its traffic, without I/O and clocks: events in, actions out. Who carries them out
//! moves bytes and nothing else.
//!
//! [`registration`] is the schedule of reports to the announce service. [`connection_permits`] says how many connections there may be,
//! and which one leaves when another needs its permit. [`reload`] says what of a configuration that is read again may
//! hold.
//!
//! What is let in, in what order it runs and what is turned away is not decided here but by `heathspur`. Times are
//! those that passed since any point, the same one for all calls of one object.
#![forbid(unsafe_code)]

pub mod connection_permits;
pub mod registration;
pub mod reload;
