//! The one task that owns the module and all requests. It takes in what has arrived as one batch, lets the
//! module decide once, and carries the actions out in order. It never waits for a peer.

pub(crate) mod admission;
pub(crate) mod commands;
pub(crate) mod completion;
pub(crate) mod dispatch;
pub(crate) mod execution;
pub(crate) mod inbox;
pub(crate) mod interpreter_events;
pub(crate) mod interpreter_session;
pub(crate) mod request_table;

use crate::clock::{self, Clock};
use crate::config::Config;
use crate::event_loop::execution::ExecutionState;
use crate::event_loop::inbox::LoopEvent;
use crate::event_loop::interpreter_session::{LinkState, PeerAddresses, PendingTimer};
use crate::event_loop::request_table::RequestTable;
use crate::frontend::request_queue::RequestQueues;
use crate::frontend::{FrontendContext, IncomingRequest};
use crate::idempotency::IdempotencyStore;
use crate::membership::Handle;
use crate::peers::interpreter;
use crate::peers::registration;
use crate::peers::store;
use crate::signals::SignalState;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use heathspur::{
    Action, AdmissionController, Event, Gauges, RequestId, Settings, Span, Time, Token,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Requests, and events of other kinds, that are taken in at once.
const REQUESTS_AT_ONCE: usize = 64;
pub(crate) const EVENTS: usize = 1024;
/// A timer that is so late says that the process stood still. What has come meanwhile is read within this: by then the
/// reactor, which wakes timers first and may do so from its own thread, has woken those who read as well.
const STOOD: Span = Span(10_000);
const READ: Duration = Duration::from_millis(1);
/// A timer of the module waits so long for the gauges.
const GAUGES: Span = Span(10_000);
pub(crate) const PRUNE: Span = Span(1_000_000);
/// The process ends by itself so long before it is killed, and its fronts are shut so long before that.
const EARLY: Duration = Duration::from_millis(100);
const LEAVE: Duration = Duration::from_millis(300);

/// The last answers are written within this, which lies well within `EARLY`.
const LAST_WRITES: Duration = Duration::from_millis(20);

/// What wakes the owner.
enum Woken {
    Request(IncomingRequest),
    Event(LoopEvent),
    Notice,
    Time,
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
    pub members: Option<Handle>,
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

impl EventLoop {
    pub(crate) async fn work(
        mut self,
        mut requests: RequestQueues<IncomingRequest>,
        inbox: Receiver<LoopEvent>,
    ) {
        let mut actions = Vec::new();
        loop {
            let woken = self.wait(&mut requests, &inbox).await;
            // What has arrived comes before a timer that is late: let it be read first.
            future::yield_now().await;
            self.now = self.clock.now();
            if self.next_time().is_some_and(|at| self.now - at >= STOOD) {
                Timer::after(READ).await;
                self.now = self.clock.now();
            }
            match woken {
                Woken::Request(arrival) => self.take_request(arrival),
                Woken::Event(item) => self.take_event(item),
                Woken::Notice | Woken::Time => {}
            }
            self.take_notices();
            // Events before requests: results, gauges and notices are few and must not wait behind a flood.
            for _ in 0..EVENTS {
                let Ok(item) = inbox.try_recv() else { break };
                self.take_event(item);
            }
            for _ in 0..REQUESTS_AT_ONCE {
                let Some(arrival) = requests.try_next() else {
                    break;
                };
                self.take_request(arrival);
            }
            self.take_time();
            self.decide(&mut actions);
            if self.has_left() {
                return self.finish(requests, inbox, actions).await;
            }
        }
    }

    /// The last turn. Whatever kept the process from its time, what is owed by now is answered, and what was answered
    /// is written: the front's tasks have this long for it.
    async fn finish(
        mut self,
        mut requests: RequestQueues<IncomingRequest>,
        inbox: Receiver<LoopEvent>,
        mut actions: Vec<Action>,
    ) {
        while let Some(arrival) = requests.try_next() {
            self.take_request(arrival);
        }
        let due = self.pending_timers.drain(..).map(|due| due.token);
        for token in due.chain(self.timers.drain().map(|Reverse((_, token))| token)) {
            self.events.push(Event::Timer {
                token,
                gauges: Gauges::default(),
            });
        }
        self.decide(&mut actions);
        let closed =
            async { while self.frontend.connections.open() > 0 && inbox.recv().await.is_ok() {} };
        let late = async {
            Timer::after(LAST_WRITES).await;
        };
        future::or(closed, late).await;
    }

    async fn wait(
        &self,
        requests: &mut RequestQueues<IncomingRequest>,
        inbox: &Receiver<LoopEvent>,
    ) -> Woken {
        if !self.events.is_empty() {
            return Woken::Time;
        }
        let request = async { Woken::Request(requests.next().await) };
        let item = async {
            match inbox.recv().await {
                Ok(item) => Woken::Event(item),
                Err(_) => future::pending().await,
            }
        };
        let notice = async {
            self.signals.notified().await;
            Woken::Notice
        };
        let time = async {
            match self.next_time() {
                Some(at) => Timer::at(self.clock.instant(at)).await,
                None => future::pending().await,
            };
            Woken::Time
        };
        future::or(notice, future::or(item, future::or(request, time))).await
    }

    fn next_time(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let call = self.call_timers.first().map(|(at, _)| *at);
        let gauges = self.pending_timers.front().map(|due| due.until);
        let leave = self.drain.map(|(shut, end)| {
            if self.frontend.stop_accepting.is_closed() {
                end
            } else {
                shut
            }
        });
        let resume = match self.interpreter_link {
            LinkState::Resuming(_, until) => Some(until),
            LinkState::Up | LinkState::Late | LinkState::Down => None,
        };
        [timer, call, gauges, leave, resume, Some(self.prune_at)]
            .into_iter()
            .flatten()
            .min()
    }

    /// The module begins with the interpreter's start: from then on the machine warms up.
    pub(crate) fn begin(&mut self, cold: bool, started: Time) {
        if self.controller.is_some() {
            return;
        }
        self.settings.cold_start = cold;
        let mut module = AdmissionController::new(self.settings.clone(), self.seed);
        let mut actions = Vec::new();
        module.decide(started, &[], &mut actions);
        self.controller = Some(module);
        self.carry_out(&mut actions);
    }

    fn decide(&mut self, actions: &mut Vec<Action>) {
        if self.events.is_empty() {
            return;
        }
        let Some(module) = &mut self.controller else {
            return;
        };
        module.decide(self.now, &self.events, actions);
        let cap = module.concurrency_limit();
        self.events.clear();
        self.carry_out(actions);
        if let Some(members) = &self.members {
            members.load(self.table.len(), cap);
        }
    }

    fn carry_out(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            self.route(action);
        }
    }

    fn take_request(&mut self, arrival: IncomingRequest) {
        self.begin(self.settings.cold_start, self.now);
        self.admit(arrival);
    }

    fn take_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::ClientDisconnected(id) => self.gone(id),
            LoopEvent::ConnectionClosed => {}
            LoopEvent::Interpreter(heard) => self.hear(heard),
            LoopEvent::Store(called) => self.called(called),
        }
    }

    fn take_notices(&mut self) {
        let (drain, config) = self.signals.take();
        if let Some(config) = config {
            self.move_to(&config);
        }
        if drain {
            self.leave();
        }
    }

    /// The peers are found elsewhere from now on. What else the file says holds from the next start.
    fn move_to(&mut self, config: &Config) {
        info!(
            "peers at {}, {} and {:?}",
            config.vm, config.announce, config.store
        );
        self.peer_addresses.interpreter.set(config.vm);
        self.peer_addresses.registration.set(config.announce);
        self.store.set(config.store);
    }

    /// What is due by the clock.
    fn take_time(&mut self) {
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= self.now)
        {
            let Some(Reverse((_, token))) = self.timers.pop() else {
                break;
            };
            if self.interpreter_link.is_up() {
                let nonce = self.ask();
                self.pending_timers.push_back(PendingTimer {
                    nonce,
                    token,
                    until: self.now + GAUGES,
                });
            } else {
                self.events.push(Event::Timer {
                    token,
                    gauges: Gauges::default(),
                });
            }
        }
        while self
            .pending_timers
            .front()
            .is_some_and(|due| due.until <= self.now)
        {
            let Some(due) = self.pending_timers.pop_front() else {
                break;
            };
            self.events.push(Event::Timer {
                token: due.token,
                gauges: Gauges::default(),
            });
        }
        while self
            .call_timers
            .first()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            let Some((_, id)) = self.call_timers.pop_first() else {
                break;
            };
            let Some(entry) = self.table.get(id) else {
                continue;
            };
            if let ExecutionState::Calling { call, .. } = entry.work {
                let outcome = self.store.give_up_late(call);
                self.call_ended(id, outcome);
            }
        }
        if matches!(self.interpreter_link, LinkState::Resuming(_, until) if until <= self.now) {
            self.resume_late();
        }
        if self.prune_at <= self.now {
            self.prune_at = self.now + PRUNE;
            self.idempotency.prune(clock::unix());
            self.store.prune();
        }
    }

    /// The notice to drain.
    fn leave(&mut self) {
        if self.drain.is_some() {
            return;
        }
        info!("told to leave");
        self.begin(self.settings.cold_start, self.now);
        let span = |d: Duration| Span(d.as_micros() as u64);
        let stop = self.stop.saturating_sub(EARLY);
        let shut = span(stop.saturating_sub(LEAVE)).min(self.settings.drain_grace);
        // The last answers are given before the stop that the module is told; they are on their way then.
        self.drain = Some((self.now + shut, self.now + span(stop + EARLY / 2)));
        if let Some(members) = &self.members {
            members.leave();
        }
        self.frontend.draining.set(true);
        self.frontend.abandon_responses_at.set(Some(
            self.clock
                .instant(self.now + span(stop.saturating_sub(LEAVE))),
        ));
        self.frontend.connections.tell_closed(self.closed.clone());
        self.events.push(Event::Drain(span(stop)));
    }

    /// Shuts the front when nothing new would be run any more; true once all is answered, or nothing can be.
    fn has_left(&mut self) -> bool {
        let Some((shut, end)) = self.drain else {
            return false;
        };
        if self.now >= shut {
            self.stop_accepting.close();
        }
        let owed = || self.table.find(|entry| entry.reply.is_some()).len();
        self.frontend.stop_accepting.is_closed()
            && (self.frontend.connections.open() == 0 && owed() == 0 || self.now >= end)
    }
}
