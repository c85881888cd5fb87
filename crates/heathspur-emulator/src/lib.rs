//! The project's emulator: many membership cores, the daemon's own, on a seeded network of our own.
//!
//! Time is emulated in milliseconds and steps by a fixed tick; every draw comes from one seed, so that a run
//! repeats exactly. Faults: loss, delay with jitter (and so reordering), duplication, partitions by sides,
//! one-way cuts, members paused (they take nothing in nor send) or slow (what they take in waits), clocks
//! that run fast or slow, crashes and restarts with a higher incarnation.
#![forbid(unsafe_code)]

mod beliefs;
pub mod experiment;
mod fleet;
mod net;
pub mod plan;

pub use beliefs::Beliefs;
pub use fleet::{Fleet, Node, Seen};
pub use net::Faults;
