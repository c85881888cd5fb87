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
//! ([`RejectedInput`]) and dropped. Datagrams are at most [`wire::MAX_DATAGRAM_BYTES`] bytes, postcard in a versioned envelope.
#![forbid(unsafe_code)]

mod anti_entropy;
mod failure_detector;
mod gossip_queue;
mod member;
mod member_table;
mod membership;
mod rejected_input;
mod settings;
pub mod state_record;
mod suspicion;
pub mod wire;

pub use crate::membership::{Action, ChangeCause, Event, MemberEntry, Membership, View};
pub use member::{
    Load, Member, MemberId, MemberState, ZoneVote, ALL_TRAFFIC_TENTHS, MAX_NAME_BYTES,
};
pub use rejected_input::{RejectedInput, RejectionReport};
pub use settings::{Settings, SettingsError};
