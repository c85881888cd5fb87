//! The event loop: the one task that owns the admission controller and the state of all requests. Each iteration
//! processes all pending input as one batch, lets the controller decide once, and performs the resulting actions in
//! order. The event loop never waits for a peer.
//!
//! A request passes through these modules: `admission` submits it to the controller, `dispatch` performs the
//! controller's actions, `commands` sends commands to the interpreter and the store, `interpreter_events` and
//! `store_events` handle their results, `reconnection` resends commands after a break of the link, and `completion`
//! answers and releases the request. `execution` defines the states of a request's execution.

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
mod reconnection;
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

/// Maximum number of queued requests that one iteration processes.
const MAX_REQUESTS_PER_ITERATION: usize = 64;
/// Capacity of the inbox for other events, and the maximum number of them that one iteration processes.
pub(crate) const INBOX_CAPACITY: usize = 1024;
/// Time that readers get after a stall to read the input that arrived during it. The reactor wakes timers first,
/// possibly from another thread; within this time it has woken the readers too.
const STALL_READ_TIME: Duration = Duration::from_millis(1);

/// The cause of the next iteration.
enum Wakeup {
    Request(IncomingRequest),
    Event(LoopEvent),
    /// A signal has requested a drain or a reload.
    Signal,
    /// A deadline has passed, or events wait for the controller's decision.
    Deadline,
}

/// The components from which an [`EventLoop`] is created.
pub(crate) struct EventLoopParts {
    /// The settings of the admission controller.
    pub settings: Settings,
    /// The seed of the controller's random numbers.
    pub seed: u64,
    /// The time from the signal to drain until the platform kills the process.
    pub stop_timeout: Duration,
    /// The state that the frontends share with the event loop.
    pub frontend: Rc<FrontendContext>,
    /// The readiness that is reported to the registration service.
    pub readiness: Rc<Readiness>,
    pub interpreter: Rc<interpreter::Link>,
    pub store: Rc<store::Link<LoopEvent>>,
    pub peer_addresses: PeerAddresses,
    pub idempotency: IdempotencyStore,
    /// The fleet membership, if it is enabled.
    pub membership: Option<MembershipHandle>,
    /// What signals have requested.
    pub signals: Rc<SignalState>,
    /// Closed by the event loop once no new requests are accepted.
    pub stop_accepting: Sender<()>,
    /// Passed to the connection pool, which sends an item for each connection that closes during a drain.
    pub connection_closed: Sender<()>,
}

/// The event loop, which owns the admission controller and the state of all requests.
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
    /// The fleet membership, if it is enabled.
    membership: Option<MembershipHandle>,
    signals: Rc<SignalState>,
    drain: Drain,
    connection_closed: Sender<()>,
    clock: Clock,
    /// The time of the current iteration.
    now: Time,
    /// When expired idempotency entries and idle store connections are removed next.
    next_prune: Time,
}

impl EventLoop {
    /// Creates an event loop without requests, whose controller has not started.
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
            membership: parts.membership,
            signals: parts.signals,
            drain: Drain::new(parts.stop_timeout, parts.stop_accepting),
            connection_closed: parts.connection_closed,
            clock,
            now,
            next_prune: now + PRUNE_INTERVAL,
        }
    }

    /// Runs the event loop until the server has drained.
    pub async fn run(
        mut self,
        mut requests: RequestQueues<IncomingRequest>,
        inbox: Receiver<LoopEvent>,
    ) {
        let mut actions = Vec::new();
        loop {
            let wakeup = self.wait(&mut requests, &inbox).await;
            // Input that has already arrived is processed before a deadline that was missed, so the readers run first.
            future::yield_now().await;
            self.now = self.clock.now();
            if self.has_stalled() {
                Timer::after(STALL_READ_TIME).await;
                self.now = self.clock.now();
            }
            self.process_input(wakeup, &mut requests, &inbox);
            self.handle_deadlines();
            self.decide(&mut actions);
            if self.is_drained() {
                return self.finish(requests, inbox, actions).await;
            }
        }
    }

    /// Waits for input or the next deadline. Returns immediately if events wait for a decision.
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

    /// Processes all input that has arrived, up to the limits per iteration. Events are processed before requests:
    /// results, gauges and notices are few and must not wait behind a burst of requests.
    fn process_input(
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
        for _ in 0..MAX_REQUESTS_PER_ITERATION {
            let Some(request) = requests.try_next() else {
                break;
            };
            self.on_request(request);
        }
    }

    fn on_request(&mut self, request: IncomingRequest) {
        self.start_controller(self.controller.settings().cold_start, self.now);
        self.submit_request(request);
    }

    fn on_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::ClientDisconnected(id) => self.on_client_disconnected(id),
            // The event only wakes the event loop, which then checks whether the drain is complete.
            LoopEvent::ConnectionClosed => {}
            LoopEvent::Interpreter(event) => self.on_interpreter_event(event),
            LoopEvent::Store(event) => self.on_call_completed(event),
        }
    }

    /// Starts the controller as of the time `started`, unless it has started.
    fn start_controller(&mut self, cold: bool, started: Time) {
        if self.controller.is_started() {
            return;
        }
        let mut actions = Vec::new();
        self.controller.start(cold, started, &mut actions);
        self.dispatch_all(&mut actions);
    }

    /// Lets the controller decide on the pending events, and performs its actions.
    fn decide(&mut self, actions: &mut Vec<Action>) {
        let Some(concurrency_limit) = self.controller.decide(self.now, actions) else {
            return;
        };
        self.dispatch_all(actions);
        if let Some(membership) = &self.membership {
            membership.set_load(self.table.len(), concurrency_limit);
        }
    }

    fn dispatch_all(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            self.dispatch(action);
        }
    }

    /// Handles the requests of signals.
    fn handle_signals(&mut self) {
        let requests = self.signals.take();
        if let Some(config) = requests.config {
            self.update_peer_addresses(&config);
        }
        if requests.drain {
            self.begin_drain();
        }
    }

    /// Applies the peers' addresses of a reloaded configuration. Its other fields take effect at the next start.
    fn update_peer_addresses(&mut self, config: &Config) {
        let (interpreter, registration) = (config.interpreter, config.registration);
        let store = config.store;
        info!(
            %interpreter, %registration, ?store,
            "peer addresses reloaded: interpreter {interpreter}, registration service {registration}, store {store:?}"
        );
        self.set_interpreter_address(interpreter);
        self.peer_addresses.registration.set(registration);
        self.calls.set_address(store);
    }
}
