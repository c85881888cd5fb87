//! State machine of a replay: decides when connections are opened and closed, and when requests are sent or skipped.
//!
//! A connection is `Disconnected`, `Connecting`, `Connected`, or `BackingOff` before it reconnects. The caller passes
//! events with their times to [`Runner::on_event`], calls [`Runner::poll`] no later than [`Runner::next_timer_at`], and
//! executes the actions that it returns. A request that was sent is never sent again, because the server may have
//! executed it.

use crate::connection::{Connection, ConnectionState, IdleKey};
use crate::event::{Action, ConnectFailure, Event};
use crate::limits::Limits;
use crate::outcome::{Counts, NotSentReason, Outcome, RequestState};
use crate::plan::{Plan, PlannedRequest};
use crate::Nanos;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// A connection is opened this long before its next request is due.
const CONNECT_LEAD_TIME: Nanos = 20_000_000;
/// Interval at which a connection that must be opened is checked again while the limit on connections is reached.
const CAPACITY_CHECK_INTERVAL: Nanos = 5_000_000;
/// The most doublings of the backoff, which prevents overflow. [`Limits::max_backoff`] usually applies earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A connection must be checked for due requests.
    Check(usize),
    /// The backoff of a connection has ended.
    Reconnect(usize),
    /// The response timeout of a request has expired.
    ResponseTimeout(usize),
}

/// A replay in progress.
#[derive(Debug)]
pub struct Runner<'a> {
    plan: &'a Plan,
    limits: Limits,
    connections: Vec<Connection>,
    outcomes: Vec<Outcome>,
    timers: BinaryHeap<Reverse<(Nanos, Timer)>>,
    idle: BTreeSet<IdleKey>,
    /// Connections that are being opened or are open.
    open_connections: usize,
    in_flight: usize,
    /// Requests whose state is pending.
    remaining: usize,
    rng: StdRng,
    counts: Counts,
    actions: Vec<Action>,
}

impl<'a> Runner<'a> {
    /// Creates the runner of a replay that has not started.
    pub fn new(plan: &'a Plan, limits: Limits, seed: u64) -> Runner<'a> {
        let pending = |request: &PlannedRequest| Outcome {
            intended_at: request.send_at,
            sent_at: None,
            state: RequestState::Pending,
        };
        let open_times = || plan.connections.iter().map(|planned| planned.open_at);
        let timers = open_times()
            .enumerate()
            .map(|(connection, open_at)| Reverse((open_at, Timer::Check(connection))));
        Runner {
            plan,
            limits: Limits {
                max_connections: limits.max_connections.max(1),
                ..limits
            },
            connections: open_times().map(Connection::new).collect(),
            outcomes: plan.requests.iter().map(pending).collect(),
            timers: timers.collect(),
            idle: BTreeSet::new(),
            open_connections: 0,
            in_flight: 0,
            remaining: plan.requests.len(),
            rng: StdRng::seed_from_u64(seed),
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// Returns whether every request has ended.
    pub fn is_done(&self) -> bool {
        self.remaining == 0
    }

    /// Returns the latest time at which [`Runner::poll`] must be called.
    pub fn next_timer_at(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns the outcome of each request, by its index in the plan.
    pub fn outcomes(&self) -> &[Outcome] {
        &self.outcomes
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Handles an event.
    pub fn on_event(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Connected(connection) => self.on_connected(now, connection),
            Event::ConnectFailed(connection, failure) => {
                self.on_connect_failed(now, connection, failure);
            }
            Event::Response {
                connection,
                status,
                body_digest,
                first_byte_at,
                close,
            } => {
                let answered = RequestState::Answered {
                    status,
                    body_digest,
                    first_byte_at,
                    last_byte_at: now,
                };
                self.on_response(now, connection, answered, close);
            }
            Event::Closed(connection) => self.on_closed(now, connection),
        }
    }

    /// Handles the expired timers, and appends all actions since the last call to `actions`.
    pub fn poll(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.on_timer(now, at, timer);
        }
        actions.append(&mut self.actions);
    }

    fn on_timer(&mut self, now: Nanos, expired_at: Nanos, timer: Timer) {
        match timer {
            Timer::Check(connection) => {
                if self.connections[connection].next_check_at == Some(expired_at) {
                    self.connections[connection].next_check_at = None;
                    self.check(now, connection);
                }
            }
            Timer::Reconnect(connection) => {
                if self.connections[connection].state == ConnectionState::BackingOff {
                    self.connections[connection].state = ConnectionState::Disconnected;
                    self.check(now, connection);
                }
            }
            Timer::ResponseTimeout(request) => self.on_response_timeout(now, request),
        }
    }

    /// Returns the next request of a connection and when it is due. `None` if all requests were sent or skipped, or
    /// while the next one waits for a response.
    fn next_due(&self, connection: usize) -> Option<(usize, Nanos)> {
        let planned = &self.plan.connections[connection];
        let state = &self.connections[connection];
        let index = *planned.requests.get(state.next_request)?;
        let request = &self.plan.requests[index];
        let due_at = match request.delay_after_response {
            Some(_) if !state.in_flight.is_empty() => return None,
            Some(delay) => {
                let earliest = state.last_response_at.map_or(0, |at| at + delay);
                request.send_at.max(earliest)
            }
            None => request.send_at,
        };
        Some((index, due_at.max(planned.open_at)))
    }

    /// Sends the due requests of a connection, opens it if a request is due soon, and closes it after the last one.
    fn check(&mut self, now: Nanos, connection: usize) {
        self.set_idle(connection, None);
        while let Some((request, due_at)) = self.next_due(connection) {
            self.outcomes[request].intended_at = due_at;
            if due_at > now {
                self.prepare_connection(now, connection, due_at);
                return;
            }
            if now - due_at > self.limits.send_timeout {
                let reason = self.connections[connection].not_sent_reason();
                self.skip(connection, request, reason);
            } else if self.connections[connection].state != ConnectionState::Connected {
                // Skips the request if the connection is not opened in time.
                self.schedule_check(connection, due_at + self.limits.send_timeout + 1);
                self.prepare_connection(now, connection, due_at);
                return;
            } else if self.in_flight >= self.limits.max_in_flight {
                self.skip(connection, request, NotSentReason::InFlightLimit);
            } else {
                self.send(now, connection, request);
            }
        }
        self.close_if_finished(connection);
    }

    /// Prepares a connection for a request that cannot be sent yet.
    fn prepare_connection(&mut self, now: Nanos, connection: usize, due_at: Nanos) {
        let connect_at = due_at.saturating_sub(CONNECT_LEAD_TIME);
        match self.connections[connection].state {
            ConnectionState::Disconnected => {
                if connect_at <= now || self.plan.connections[connection].open_at >= now {
                    self.connect(now, connection);
                } else {
                    self.schedule_check(connection, connect_at);
                }
            }
            ConnectionState::Connected => {
                self.schedule_check(connection, due_at);
                if self.connections[connection].in_flight.is_empty() {
                    self.set_idle(connection, Some(due_at));
                }
            }
            ConnectionState::Connecting | ConnectionState::BackingOff => {}
        }
    }

    fn close_if_finished(&mut self, connection: usize) {
        let state = &self.connections[connection];
        let all_sent = state.next_request == self.plan.connections[connection].requests.len();
        let is_connected = state.state == ConnectionState::Connected;
        if all_sent && state.in_flight.is_empty() && is_connected {
            self.close(connection);
        }
    }

    /// Schedules a check of a connection, unless an earlier one is scheduled.
    fn schedule_check(&mut self, connection: usize, at: Nanos) {
        let next_check_at = &mut self.connections[connection].next_check_at;
        if next_check_at.is_none_or(|scheduled| at < scheduled) {
            *next_check_at = Some(at);
            self.timers.push(Reverse((at, Timer::Check(connection))));
        }
    }

    /// Marks a connection as idle until a time, or as in use if that is `None`.
    fn set_idle(&mut self, connection: usize, until: Option<Nanos>) {
        let key = until.map(|until| (Reverse(until), connection));
        let previous = std::mem::replace(&mut self.connections[connection].idle_key, key);
        if let Some(previous) = previous {
            self.idle.remove(&previous);
        }
        if let Some(key) = key {
            self.idle.insert(key);
        }
    }

    fn skip(&mut self, connection: usize, request: usize, reason: NotSentReason) {
        self.connections[connection].next_request += 1;
        self.finish(request, RequestState::NotSent(reason));
    }

    fn send(&mut self, now: Nanos, connection: usize, request: usize) {
        let state = &mut self.connections[connection];
        state.next_request += 1;
        state.in_flight.push_back(request);
        self.in_flight += 1;
        self.counts.peak_in_flight = self.counts.peak_in_flight.max(self.in_flight);
        self.outcomes[request].sent_at = Some(now);
        let timeout_at = now + self.limits.response_timeout;
        self.timers
            .push(Reverse((timeout_at, Timer::ResponseTimeout(request))));
        self.actions.push(Action::Send(request));
    }

    fn connect(&mut self, now: Nanos, connection: usize) {
        let is_full = self.open_connections >= self.limits.max_connections;
        if is_full && !self.evict_idle(now) {
            self.connections[connection].last_failure = ConnectFailure::Exhausted;
            self.schedule_check(connection, now + CAPACITY_CHECK_INTERVAL);
            return;
        }
        self.open_connections += 1;
        self.counts.peak_connections = self.counts.peak_connections.max(self.open_connections);
        self.connections[connection].state = ConnectionState::Connecting;
        self.actions.push(Action::Connect(connection));
    }

    /// Closes the idle connection whose next request is due last; it is opened again in time for that request. A
    /// connection that is needed soon is not closed, since reopening it would require another eviction.
    fn evict_idle(&mut self, now: Nanos) -> bool {
        let last_due = self.idle.first().copied();
        let Some((Reverse(until), connection)) =
            last_due.filter(|(Reverse(until), _)| *until > now + 2 * CONNECT_LEAD_TIME)
        else {
            return false;
        };
        self.counts.idle_evictions += 1;
        self.close(connection);
        self.schedule_check(connection, until.saturating_sub(CONNECT_LEAD_TIME));
        true
    }

    fn close(&mut self, connection: usize) {
        self.set_disconnected(connection);
        self.actions.push(Action::Close(connection));
    }

    fn set_disconnected(&mut self, connection: usize) {
        self.set_idle(connection, None);
        self.connections[connection].state = ConnectionState::Disconnected;
        self.open_connections -= 1;
    }

    fn on_connected(&mut self, now: Nanos, connection: usize) {
        let state = &mut self.connections[connection];
        if state.state != ConnectionState::Connecting {
            return;
        }
        state.state = ConnectionState::Connected;
        state.failures = 0;
        self.counts.connected += 1;
        self.check(now, connection);
    }

    fn on_connect_failed(&mut self, now: Nanos, connection: usize, failure: ConnectFailure) {
        if self.connections[connection].state != ConnectionState::Connecting {
            return;
        }
        self.counts.connect_failures += 1;
        self.open_connections -= 1;
        if failure == ConnectFailure::Exhausted {
            // The limit on connections exceeds the file descriptors or ports that are available.
            self.evict_idle(now);
        }
        let delay = self.next_backoff(connection);
        let state = &mut self.connections[connection];
        state.state = ConnectionState::BackingOff;
        state.last_failure = failure;
        state.failures += 1;
        self.timers
            .push(Reverse((now + delay, Timer::Reconnect(connection))));
    }

    fn next_backoff(&mut self, connection: usize) -> Nanos {
        let doublings = self.connections[connection]
            .failures
            .min(MAX_BACKOFF_DOUBLINGS);
        let delay = self
            .limits
            .initial_backoff
            .saturating_mul(1 << doublings)
            .min(self.limits.max_backoff)
            .max(1);
        delay / 2 + self.rng.random_range(0..=delay / 2)
    }

    fn on_response(&mut self, now: Nanos, connection: usize, answered: RequestState, close: bool) {
        let Some(request) = self.connections[connection].in_flight.pop_front() else {
            self.counts.unexpected_responses += 1;
            return;
        };
        self.in_flight -= 1;
        self.connections[connection].last_response_at = Some(now);
        self.finish(request, answered);
        if close && self.connections[connection].state == ConnectionState::Connected {
            // Requests sent after it on this connection will not be answered.
            self.lose_in_flight(connection);
            self.close(connection);
        }
        self.check(now, connection);
    }

    fn on_closed(&mut self, now: Nanos, connection: usize) {
        match self.connections[connection].state {
            ConnectionState::Connected => {
                let had_requests = !self.connections[connection].in_flight.is_empty();
                self.counts.connections_lost += u64::from(had_requests);
                self.lose_in_flight(connection);
                self.set_disconnected(connection);
                self.check(now, connection);
            }
            ConnectionState::Connecting => {
                self.on_connect_failed(now, connection, ConnectFailure::Refused);
            }
            ConnectionState::Disconnected | ConnectionState::BackingOff => {}
        }
    }

    /// Ends the requests in flight on a connection as unanswered.
    fn lose_in_flight(&mut self, connection: usize) {
        for request in std::mem::take(&mut self.connections[connection].in_flight) {
            self.in_flight -= 1;
            self.finish(request, RequestState::ConnectionLost);
        }
    }

    fn on_response_timeout(&mut self, now: Nanos, request: usize) {
        let connection = self.plan.requests[request].connection;
        let is_pending = self.outcomes[request].state == RequestState::Pending;
        let state = &mut self.connections[connection];
        if !is_pending || state.state != ConnectionState::Connected {
            return;
        }
        state.in_flight.retain(|in_flight| *in_flight != request);
        self.in_flight -= 1;
        self.finish(request, RequestState::TimedOut);
        // A late response could not be distinguished from the response to the next request.
        self.lose_in_flight(connection);
        self.close(connection);
        self.check(now, connection);
    }

    fn finish(&mut self, request: usize, state: RequestState) {
        let outcome = &mut self.outcomes[request];
        if outcome.state == RequestState::Pending {
            outcome.state = state;
            self.remaining -= 1;
        }
    }
}
