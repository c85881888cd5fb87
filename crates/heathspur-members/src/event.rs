//! The events that drive the state machine, and the actions that its caller carries out.

use crate::member::{MemberId, MemberState};
use crate::rejected_input::RejectionReport;
use std::net::SocketAddrV4;

/// An input of the state machine.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram was received.
    Datagram {
        /// The source address.
        from: SocketAddrV4,
        /// The payload; one longer than [`crate::wire::MAX_DATAGRAM_BYTES`] is rejected.
        bytes: &'a [u8],
    },
    /// Time has passed. The caller delivers this event at least every tenth of a protocol period.
    Tick,
    /// Joins the fleet through the seeds, with retries and backoff until one answers.
    Join,
    /// Announces that the local member leaves, and stops its probes.
    Leave,
}

/// Why the state of a member changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCause {
    /// The member was seen for the first time.
    Joined,
    /// The member acked neither a direct nor an indirect probe.
    ProbeMissed,
    /// Another member reported the change.
    Gossip,
    /// The member announced a higher incarnation, by which it refuted an accusation or came back after a restart.
    Refuted,
    /// The suspicion of the member timed out.
    SuspicionTimeout,
    /// The member announced that it leaves.
    Left,
    /// The member had been dead or left for longer than the retention time and was removed from the table.
    Reaped,
}

impl ChangeCause {
    /// Returns the cause's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeCause::Joined => "joined",
            ChangeCause::ProbeMissed => "probe missed",
            ChangeCause::Gossip => "gossip",
            ChangeCause::Refuted => "refuted",
            ChangeCause::SuspicionTimeout => "suspicion timed out",
            ChangeCause::Left => "left",
            ChangeCause::Reaped => "reaped",
        }
    }
}

/// An output of the state machine, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a datagram.
    Send {
        /// The destination.
        to: SocketAddrV4,
        /// The payload, at most [`crate::wire::MAX_DATAGRAM_BYTES`] long.
        bytes: Vec<u8>,
    },
    /// The state of a member changed.
    StateChanged {
        /// The member.
        id: MemberId,
        /// Its new state; `None` if it was removed from the table.
        to: Option<MemberState>,
        /// Its incarnation in the local view.
        incarnation: u64,
        /// Why the state changed.
        cause: ChangeCause,
    },
    /// The local member raised its own incarnation, to refute a suspicion, to publish a vote or to leave. The caller
    /// may persist it.
    IncarnationRaised(u64),
    /// Input was rejected since the last report. There is at most one report in a protocol period, and at most one in a
    /// second.
    InputRejected(RejectionReport),
}
