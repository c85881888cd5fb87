//! Fleet membership without I/O or clocks: a state machine that takes events and returns actions.
//!
//! Failure detection is SWIM's (Das, Gupta, Motivala, DSN 2002): a probe each period, indirect probes through `k`
//! other members, suspicion before death, incarnations by which a member refutes, and updates piggybacked and sent
//! about λ·log N times. Lifeguard's parts (Dadgar, Phillips, Currey, 2018) are on unless switched off as a baseline:
//! local health that slows a slow member's own accusations, suspicion that shortens with independent confirmations,
//! and accusations sent to the suspect itself. A periodic push-pull of the whole view with one peer, now and then a
//! dead one, merges the halves of a healed partition.
//!
//! [`Membership`] composes parts that each own their state: the local member, the member table, the failure
//! detector, the gossip queue, joining, anti-entropy and the limits on input.
//!
//! Every table and queue is bounded ([`Settings`]); input that is malformed or over a bound is counted
//! ([`RejectedInput`]) and dropped. Datagrams are at most [`wire::MAX_DATAGRAM_BYTES`] bytes, postcard in a versioned
//! envelope.
#![forbid(unsafe_code)]

mod anti_entropy;
mod event;
mod failure_detector;
mod gossip_queue;
mod input_limits;
mod join;
mod local_member;
mod member;
mod member_states;
mod member_table;
mod membership;
mod rejected_input;
mod settings;
pub mod state_record;
mod suspicion;
mod update_check;
mod view;
pub mod wire;

pub use event::{Action, ChangeCause, Event};
pub use member::{
    Load, Member, MemberId, MemberState, ZoneVote, ALL_TRAFFIC_TENTHS, MAX_NAME_BYTES,
};
pub use member_table::MemberEntry;
pub use membership::Membership;
pub use rejected_input::{RejectedInput, RejectionReport};
pub use settings::{Settings, SettingsError};
pub use view::{MemberSnapshot, View};
