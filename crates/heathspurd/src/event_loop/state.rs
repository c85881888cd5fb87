//! What the owning task owns: the module, all requests, and the links' near ends.

use crate::clock::Clock;
use crate::event_loop::inbox::LoopEvent;
use crate::event_loop::request_table::RequestTable;
use crate::frontend::FrontendContext;
use crate::idempotency::IdempotencyStore;
use crate::membership::MembershipHandle;
use crate::peers::connection::PeerAddress;
use crate::peers::interpreter;
use crate::peers::registration;
use crate::peers::store;
use crate::signals::SignalState;
use async_channel::Sender;
use heathspur::{AdmissionController, Event, RequestId, Settings, Time, Token};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Whether commands reach the interpreter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    Down,
    /// Connected; once this question is answered, or it is so late, all notices that were missed have come.
    Resuming(u64, Time),
    /// It is late, and nothing about gauges was heard on this link. What was told on an earlier one is not
    /// told again: it may have ended, and would run twice.
    Late,
    Up,
}

impl LinkState {
    pub fn is_up(self) -> bool {
        matches!(self, LinkState::Up | LinkState::Late)
    }
}

/// A timer of the module that is due and waits for the gauges.
pub(crate) struct PendingTimer {
    pub nonce: u64,
    pub token: Token,
    pub until: Time,
}

/// All that the owning task owns.
pub(crate) struct EventLoop {
    pub settings: Settings,
    pub frontend: Rc<FrontendContext>,
    pub readiness: Rc<registration::Readiness>,
    pub interpreter: Rc<interpreter::Link>,
    pub peer_addresses: PeerAddresses,
    pub interpreter_link: LinkState,
    pub store: Rc<store::Link<LoopEvent>>,
    pub table: RequestTable,
    pub idempotency: IdempotencyStore,
    pub timers: BinaryHeap<Reverse<(Time, Token)>>,
    pub call_timers: BTreeSet<(Time, RequestId)>,
    pub next_call: u64,
    /// Where the fleet's view is kept: what others are told of this server.
    pub members: Option<MembershipHandle>,
    /// What the operators ask for.
    pub signals: Rc<SignalState>,
    pub events: Vec<Event>,
    /// The time of this batch.
    pub now: Time,
    pub clock: Clock,
    pub seed: u64,
    pub stop: Duration,
    pub controller: Option<AdmissionController>,
    pub pending_timers: VecDeque<PendingTimer>,
    pub next_nonce: u64,
    /// The last question that was answered.
    pub answered: u64,
    pub prune_at: Time,
    /// When the fronts are shut, and when the process ends whatever is left.
    pub drain: Option<(Time, Time)>,
    pub stop_accepting: Sender<()>,
    /// Where connections that close are told, once the last one is waited for.
    pub closed: Sender<()>,
}

/// Where the peers that are called once in a while are found.
pub(crate) struct PeerAddresses {
    pub interpreter: Rc<PeerAddress>,
    pub registration: Rc<PeerAddress>,
}
