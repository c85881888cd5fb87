//! The fleet's view, kept by its servers, without I/O or clocks: events in, actions out.
//!
//! Failure detection is SWIM's (Das, Gupta, Motivala, DSN 2002): a probe each period, indirect probes through
//! `k` others, suspicion before death, incarnations by which a member refutes, news piggybacked and sent about
//! λ·log N times. Lifeguard's parts (Dadgar, Phillips, Currey, 2018) are on unless turned off as a baseline:
//! local health that slows a slow member's own accusations, suspicion that shortens with independent
//! confirmations, and the suspect told directly. A periodic push-pull of the whole view with one peer (a dead
//! one now and then) merges the halves of a healed partition.
//!
//! Every table and queue is bounded ([`Settings`]); what is past a bound or malformed is counted
//! ([`Refusals`]) and dropped. Datagrams are at most [`wire::LARGEST`] bytes, postcard in a versioned envelope.
#![forbid(unsafe_code)]

mod core;
mod exchange;
mod member;
mod merge;
mod probe;
pub mod record;
mod refusals;
mod settings;
mod spread;
mod suspicion;
pub mod wire;

pub use crate::core::{Action, Cause, Entry, Event, Members, View};
pub use member::{Id, Load, Member, Stand, State, LONGEST_NAME, WHOLE};
pub use refusals::{Refusals, Told};
pub use settings::{OutOfBounds, Settings};
