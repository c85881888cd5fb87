//! The one task that owns the admission controller and the state of all requests. Each turn takes in all
//! input as one batch, lets the controller decide once, and carries its actions out in order. It never waits for a peer.
//!
//! A request passes through `admission` (registered and passed to the controller), `dispatch` (the controller's
//! actions), `commands` (to interpreter and store), `interpreter_events` and `store_events` (their results) and
//! `completion` (answered and released). `execution` has the states that it goes through.

mod admission;
mod commands;
mod completion;
mod controller;
mod controller_timers;
mod deadlines;
mod dispatch;
mod drain;
mod execution;
pub(crate) mod inbox;
mod interpreter_events;
mod interpreter_session;
mod peer_addresses;
mod request_table;
mod shutdown;
mod store_calls;
mod store_events;

pub(crate) use peer_addresses::PeerAddresses;

use crate::clock::Clock;
use crate::config::Config;
use crate::event_loop::controller::Controller;
use crate::event_loop::controller_timers::ControllerTimers;
use crate::event_loop::deadlines::PRUNE_INTERVAL;
use crate::event_loop::drain::Drain;
use crate::event_loop::inbox::LoopEvent;
use crate::event_loop::interpreter_session::InterpreterSession;
use crate::event_loop::request_table::RequestTable;
use crate::event_loop::store_calls::StoreCalls;
use crate::frontend::request_queue::RequestQueues;
use crate::frontend::{FrontendContext, IncomingRequest};
use crate::idempotency::IdempotencyStore;
use crate::membership::MembershipHandle;
use crate::peers::interpreter;
use crate::peers::registration::Readiness;
use crate::peers::store;
use crate::signals::SignalState;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use heathspur::{Action, Settings, Time};
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Requests that one turn takes in at most.
const MAX_REQUESTS_PER_TURN: usize = 64;
/// Other events that one turn takes in at most, and that may wait for it.
pub(crate) const INBOX_CAPACITY: usize = 1024;
/// Time after a stall in which readers take in the input that arrived meanwhile. The reactor wakes timers first, possibly from
/// a thread of its own; within this time it has woken the readers too.
const STALL_READ_TIME: Duration = Duration::from_millis(1);

/// The cause of the next turn.
enum Wakeup {
    Request(IncomingRequest),
    Event(LoopEvent),
    Signal,
    Deadline,
}

/// The parts that an event loop is built from.
pub(crate) struct EventLoopParts {
    pub settings: Settings,
    /// Seeds the controller's random numbers.
    pub seed: u64,
    /// From the signal to drain to the end of the process.
    pub stop_timeout: Duration,
    pub frontend: Rc<FrontendContext>,
    pub readiness: Rc<Readiness>,
    pub interpreter: Rc<interpreter::Link>,
    pub store: Rc<store::Link<LoopEvent>>,
    pub peer_addresses: PeerAddresses,
    pub idempotency: IdempotencyStore,
    pub members: Option<MembershipHandle>,
    pub signals: Rc<SignalState>,
    /// Closed by the event loop once no new request is accepted.
    pub stop_accepting: Sender<()>,
    /// Notified of each connection that closes during a drain.
    pub connection_closed: Sender<()>,
}

/// The owner of the admission controller and of all requests. Each part owns its state.
pub(crate) struct EventLoop {
    controller: Controller,
    timers: ControllerTimers,
    table: RequestTable,
    idempotency: IdempotencyStore,
    interpreter: InterpreterSession,
    calls: StoreCalls,
    peer_addresses: PeerAddresses,
    frontend: Rc<FrontendContext>,
    readiness: Rc<Readiness>,
    /// The fleet membership, where it is on.
    members: Option<MembershipHandle>,
    signals: Rc<SignalState>,
    drain: Drain,
    connection_closed: Sender<()>,
    clock: Clock,
    /// The time of this turn.
    now: Time,
    next_prune: Time,
}

impl EventLoop {
    /// An event loop without requests, whose controller has not started.
    pub fn new(parts: EventLoopParts) -> EventLoop {
        let clock = Clock::start();
        let now = clock.now();
        EventLoop {
            controller: Controller::new(parts.settings, parts.seed),
            timers: ControllerTimers::default(),
            table: RequestTable::default(),
            idempotency: parts.idempotency,
            interpreter: InterpreterSession::new(parts.interpreter),
            calls: StoreCalls::new(parts.store),
            peer_addresses: parts.peer_addresses,
            frontend: parts.frontend,
            readiness: parts.readiness,
            members: parts.members,
            signals: parts.signals,
            drain: Drain::new(parts.stop_timeout, parts.stop_accepting),
            connection_closed: parts.connection_closed,
            clock,
            now,
            next_prune: now + PRUNE_INTERVAL,
        }
    }

    /// Runs until the server has drained.
    pub async fn run(
        mut self,
        mut requests: RequestQueues<IncomingRequest>,
        inbox: Receiver<LoopEvent>,
    ) {
        let mut actions = Vec::new();
        loop {
            let wakeup = self.wait(&mut requests, &inbox).await;
            // Input that has arrived precedes a deadline that was missed: let the readers run first.
            future::yield_now().await;
            self.now = self.clock.now();
            if self.has_stalled() {
                Timer::after(STALL_READ_TIME).await;
                self.now = self.clock.now();
            }
            self.take_inputs(wakeup, &mut requests, &inbox);
            self.handle_deadlines();
            self.decide(&mut actions);
            if self.is_drained() {
                return self.finish(requests, inbox, actions).await;
            }
        }
    }

    /// Waits for input or for the next deadline; not at all while events wait for a decision.
    async fn wait(
        &self,
        requests: &mut RequestQueues<IncomingRequest>,
        inbox: &Receiver<LoopEvent>,
    ) -> Wakeup {
        if self.controller.has_events() {
            return Wakeup::Deadline;
        }
        let request = async { Wakeup::Request(requests.next().await) };
        let event = async {
            match inbox.recv().await {
                Ok(event) => Wakeup::Event(event),
                Err(_) => future::pending().await,
            }
        };
        let signal = async {
            self.signals.notified().await;
            Wakeup::Signal
        };
        let deadline = async {
            match self.next_deadline() {
                Some(at) => Timer::at(self.clock.instant(at)).await,
                None => future::pending().await,
            };
            Wakeup::Deadline
        };
        future::or(signal, future::or(event, future::or(request, deadline))).await
    }

    /// Takes in all input that has arrived. Events come before requests: results, gauges and notices are few and must not wait
    /// behind a burst of requests.
    fn take_inputs(
        &mut self,
        wakeup: Wakeup,
        requests: &mut RequestQueues<IncomingRequest>,
        inbox: &Receiver<LoopEvent>,
    ) {
        match wakeup {
            Wakeup::Request(request) => self.on_request(request),
            Wakeup::Event(event) => self.on_event(event),
            Wakeup::Signal | Wakeup::Deadline => {}
        }
        self.handle_signals();
        for _ in 0..INBOX_CAPACITY {
            let Ok(event) = inbox.try_recv() else { break };
            self.on_event(event);
        }
        for _ in 0..MAX_REQUESTS_PER_TURN {
            let Some(request) = requests.try_next() else {
                break;
            };
            self.on_request(request);
        }
    }

    fn on_request(&mut self, request: IncomingRequest) {
        self.start_controller(self.controller.settings().cold_start, self.now);
        self.admit(request);
    }

    fn on_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::ClientDisconnected(id) => self.on_client_disconnected(id),
            LoopEvent::ConnectionClosed => {}
            LoopEvent::Interpreter(event) => self.on_interpreter_event(event),
            LoopEvent::Store(event) => self.on_call_completed(event),
        }
    }

    /// Starts the controller, once, as of the given time.
    fn start_controller(&mut self, cold: bool, started: Time) {
        if self.controller.is_started() {
            return;
        }
        let mut actions = Vec::new();
        self.controller.start(cold, started, &mut actions);
        self.carry_out(&mut actions);
    }

    /// Has the controller decide on the events of this turn, and carries its actions out.
    fn decide(&mut self, actions: &mut Vec<Action>) {
        let Some(concurrency_limit) = self.controller.decide(self.now, actions) else {
            return;
        };
        self.carry_out(actions);
        if let Some(members) = &self.members {
            members.set_load(self.table.len(), concurrency_limit);
        }
    }

    fn carry_out(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            self.dispatch(action);
        }
    }

    fn handle_signals(&mut self) {
        let requests = self.signals.take();
        if let Some(config) = requests.config {
            self.move_peers(&config);
        }
        if requests.drain {
            self.begin_drain();
        }
    }

    /// Takes the peers' addresses from a new configuration. Its other fields apply from the next start.
    fn move_peers(&mut self, config: &Config) {
        let (interpreter, registration) = (config.interpreter, config.registration);
        let store = config.store;
        info!(%interpreter, %registration, ?store, "peers at {interpreter}, {registration} and {store:?}");
        self.peer_addresses.set(config);
        self.calls.set_address(store);
    }
}
