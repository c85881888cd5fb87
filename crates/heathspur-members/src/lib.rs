//! Fleet membership as a state machine without I/O or clocks: it takes events and returns actions.
//!
//! Failures are detected by SWIM (Das, Gupta, Motivala, DSN 2002). Each protocol period a member probes another one,
//! indirectly through `k` other members if the direct probe is not acked. A member that fails its probe becomes
//! suspect before it is declared dead, and refutes the suspicion with a higher incarnation. Updates are piggybacked on
//! other messages, and each is sent about λ·log N times.
//!
//! The extensions of Lifeguard (Dadgar, Phillips, Currey, 2018) are on by default and are switched off only for
//! comparison. A member whose own probes fail slows its probes and accusations (local health), independent
//! confirmations shorten a suspicion, and accusations are sent to the suspect itself.
//!
//! A periodic push-pull exchanges the full view with one peer. Some of these peers are dead members, so that the two
//! sides of a healed partition merge.
//!
//! [`Membership`] composes parts that each own their state: the local member, the member table, the failure
//! detector, the gossip queue, joining, anti-entropy and the limits on input.
//!
//! [`Settings`] bounds every table and queue. Input that is malformed or exceeds a bound is dropped and counted in
//! [`RejectedInput`]. A datagram has at most [`wire::MAX_DATAGRAM_BYTES`] bytes: a versioned envelope encoded with
//! postcard.
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
