//! The events that drive a member and the actions that it asks its shell to carry out.

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
    /// Time has passed; to be delivered at least every tenth of a protocol period.
    Tick,
    /// Join the fleet through the seeds, retrying with backoff until one answers.
    Join,
    /// Announce that this member leaves, and stop probing.
    Leave,
}

/// Why the state of a member changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCause {
    /// It was seen for the first time.
    Joined,
    /// It answered neither a direct nor an indirect probe.
    ProbeMissed,
    /// Another member reported the change.
    Gossip,
    /// It refuted a suspicion with a higher incarnation.
    Refuted,
    /// Its suspicion timed out.
    SuspicionTimeout,
    /// It announced that it leaves.
    Left,
    /// It was dead or left for longer than the retention time and is no longer in the table.
    Reaped,
}

impl ChangeCause {
    /// Its name in logs.
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

/// An output of the state machine, for the shell to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
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
        /// Its new state; `None` once it is no longer in the table.
        to: Option<MemberState>,
        /// Its incarnation as known here.
        incarnation: u64,
        /// The reason.
        cause: ChangeCause,
    },
    /// This member raised its own incarnation, to refute or to leave; the shell may persist it.
    IncarnationRaised(u64),
    /// Input was rejected since the last report; at most one report a period.
    InputRejected(RejectionReport),
}
