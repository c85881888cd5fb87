//! Admission and scheduling for one server behind balancers that it cannot change.
//!
//! [`Server`] is fed batches of [`Event`]s and answers with [`Action`]s. It reads no clock, does no
//! I/O and draws randomness only from its seed, so the same events always give the same actions.
#![forbid(unsafe_code)]

mod decide;
pub mod interface;

pub use decide::AdmissionController;
pub use interface::*;
