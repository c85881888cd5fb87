//! Emulator of a fleet: many instances of the server's membership state machine on a simulated network.
//!
//! Time is emulated in milliseconds and advances by a fixed tick. Every random draw is derived from one seed, so a
//! run repeats exactly. The faults are loss, delay with jitter (which reorders datagrams), duplication,
//! partitions, one-way cuts, paused and slow members, clocks that run fast or slow, and crashes followed by
//! restarts with a higher incarnation.
#![forbid(unsafe_code)]

pub mod experiment;
mod false_deaths;
mod fleet;
mod network;
mod node;
mod outcome;
pub mod plan;
mod validation;
mod views;

pub use fleet::{Fleet, ObservedChange};
pub use network::{Network, NetworkFaults, Traffic};
pub use node::Node;
pub use outcome::{quantile, FaultOutcome, Run, ViewSample};
pub use views::{FailureDetection, MembershipViews};
