//! Settings, a test harness and an invariant checker shared by the integration tests.
//!
//! The checker fails on the first action that breaks a rule of the service: each request is
//! answered once and in time, a request that is not idempotent runs at most once, memory and
//! concurrency stay within their limits, and a drain ends before the process stops. It doesn't
//! model execution speed.
#![allow(dead_code)]

use heathspur::*;
use std::collections::{BTreeMap, BTreeSet};

/// Index of the idempotent class in [`settings`]: priority weight 1, may call the dependency.
pub const IDEMPOTENT: usize = 0;
/// Index of the keyed class in [`settings`]: priority weight 4, may call the dependency.
pub const KEYED: usize = 1;
/// Index of the non-idempotent class in [`settings`]: priority weight 2, makes no calls.
pub const NON_IDEMPOTENT: usize = 2;

/// Returns a span of `millis` milliseconds.
pub fn ms(millis: u64) -> Span {
    Span(millis * 1000)
}

/// Returns a class with a latency objective of 2 s and a client timeout of 6 s.
pub fn class(priority_weight: f64, idempotency: Idempotency, may_call: bool) -> Class {
    Class {
        latency_objective: ms(2000),
        latency_objective_per_work: 0.0,
        client_timeout: ms(6000),
        priority_weight,
        late_weight: 0.0,
        idempotency,
        dedup_window: if idempotency == Idempotency::Keyed {
            ms(20_000)
        } else {
            ms(0)
        },
        may_call,
        degraded_weight: 0.0,
    }
}

/// Returns settings with four cores, an idempotent, a keyed and a non-idempotent class, and memory
/// for about 60 runs.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(1.0, Idempotency::Idempotent, true),
            class(4.0, Idempotency::Keyed, true),
            class(2.0, Idempotency::NonIdempotent, false),
        ],
        servers: 4,
        callers: 2,
        cores: 4,
        memory_kb: 5000.0,
        run_memory_factor: 8.0,
        dedup_entry_kb: 20.0,
        preemption: Preemption::Restart,
        cold_start_capacity: 0.2,
        warm_up: ms(10_000),
        overload_concurrency: 5.0,
        overload_window: ms(2000),
        client_idle_timeout: ms(30_000),
        answer_slack: ms(60),
        drain_grace: ms(1000),
        dependency: Dependency::Tier,
        max_retry_after: Some(ms(1000)),
        worst_class_weight: 0.2,
        tick: ms(2),
        ..Settings::default()
    }
}

/// Returns a first attempt without optional fields that takes 10 kB while queued.
pub fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        has_subject: false,
        remaining_deadline: None,
        cost_hint: None,
        queued_memory_kb: 10.0,
        is_retry: false,
        queueing_delay: ms(0),
        previous_attempt: None,
    }
}

/// The state of a request on the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Waits for a run slot.
    Queued,
    /// Occupies a run slot.
    Running,
    /// Waits for a call to the dependency to be made.
    AwaitingCall,
    /// Waits for a call to the dependency to end.
    Calling,
    /// Waits for the result of another attempt.
    AwaitingResult,
}

/// A request that the controller has been given and that has not ended.
#[derive(Debug)]
pub struct TrackedRequest {
    pub class: usize,
    pub state: State,
    pub has_run: bool,
    pub answered: bool,
    pub arrived_at: Time,
    pub deadline: Time,
    /// Memory while queued, in kilobytes.
    pub memory_kb: f64,
    /// When its run or its latest call started; when it was delivered if neither has.
    pub started_at: Time,
    pub idempotency_key: u64,
    /// Whether a call may be made: a first one, or a retry of one that was idempotent or never ran.
    pub may_call: bool,
}

/// A drain in progress.
#[derive(Clone, Copy, Debug)]
pub struct DrainPeriod {
    pub began_at: Time,
    pub stops_at: Time,
}

/// A controller, with the state of its requests as events and actions have changed it.
pub struct Harness {
    pub settings: Settings,
    pub controller: AdmissionController,
    pub now: Time,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// The actions of the last batch.
    pub last_actions: Vec<Action>,
    pub timers: Vec<(Time, Token)>,
    /// The gauges sent with every timer event.
    pub gauges: Gauges,
    /// Arrival time of the last attempt that ran, by idempotency key.
    pub keyed_runs: BTreeMap<u64, Time>,
    /// The idempotency store: the retained attempt and its expiry, by idempotency key.
    pub store_entries: BTreeMap<u64, (RequestId, Time)>,
    pub drain: Option<DrainPeriod>,
    /// Number of final answers, by request.
    pub answer_counts: BTreeMap<RequestId, usize>,
    /// Stopped runs whose completion has not been reported; it is reported in a separate batch.
    pub stopped_runs: BTreeSet<RequestId>,
}

impl Harness {
    pub fn new(settings: Settings) -> Harness {
        let mut harness = Harness {
            controller: AdmissionController::new(settings.clone(), 7),
            settings,
            now: Time(1_000_000_000),
            requests: BTreeMap::new(),
            actions: Vec::new(),
            last_actions: Vec::new(),
            timers: Vec::new(),
            gauges: Gauges::default(),
            keyed_runs: BTreeMap::new(),
            store_entries: BTreeMap::new(),
            drain: None,
            answer_counts: BTreeMap::new(),
            stopped_runs: BTreeSet::new(),
        };
        harness.decide(&[]);
        harness
    }

    /// Advances the clock and delivers the timers that become due.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].0) {
            if self.timers[i].0 > end {
                break;
            }
            let (due_at, token) = self.timers.remove(i);
            self.now = self.now.max(due_at);
            self.decide(&[Event::Timer {
                token,
                gauges: self.gauges,
            }]);
        }
        self.now = end;
    }

    /// Delivers a request. A keyed request without a previous attempt gets the one that the
    /// idempotency store retains under `idempotency_key`.
    pub fn arrive(&mut self, mut request: Request, idempotency_key: u64) {
        let arrived_at = self.now - request.queueing_delay;
        if self.settings.classes[request.class.0].idempotency == Idempotency::Keyed
            && request.previous_attempt.is_none()
        {
            let entry = self
                .store_entries
                .get(&idempotency_key)
                .filter(|(_, expires_at)| *expires_at >= arrived_at);
            request.previous_attempt = entry.map(|(id, _)| *id);
        }
        self.track(&request, idempotency_key);
        self.decide(&[Event::Request(request)]);
    }

    /// Tracks a request that the caller delivers in a batch of its own.
    pub fn track(&mut self, request: &Request, idempotency_key: u64) {
        let class = &self.settings.classes[request.class.0];
        let arrived_at = self.now - request.queueing_delay;
        let deadline = request
            .remaining_deadline
            .map_or(arrived_at + class.client_timeout, |remaining| {
                self.now + remaining
            })
            .max(self.now);
        let tracked = TrackedRequest {
            class: request.class.0,
            state: State::Queued,
            has_run: false,
            answered: false,
            arrived_at,
            deadline,
            memory_kb: request.queued_memory_kb,
            started_at: self.now,
            idempotency_key,
            may_call: true,
        };
        self.requests.insert(request.id, tracked);
    }

    /// Ends a run or a wait for another attempt's result. Does nothing for a request that is not
    /// tracked.
    pub fn complete_run(&mut self, id: u64, outcome: Outcome) {
        let id = RequestId(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if !request.answered && matches!(outcome, Outcome::Ok | Outcome::Error) {
            *self.answer_counts.entry(id).or_default() += 1;
        }
        let latency = self.now - request.started_at;
        self.decide(&[Event::RunCompleted {
            id,
            outcome,
            latency,
        }]);
    }

    /// Reports that a running request needs a call to the dependency.
    pub fn need_call(&mut self, id: u64) {
        let request = self
            .requests
            .get_mut(&RequestId(id))
            .expect("request is tracked");
        request.state = State::AwaitingCall;
        request.may_call = true;
        self.decide(&[Event::CallNeeded(RequestId(id))]);
    }

    /// Ends a call. The request resumes its run if the call succeeded.
    pub fn complete_call(&mut self, id: u64, outcome: Outcome) {
        let request = self
            .requests
            .get_mut(&RequestId(id))
            .expect("request is tracked");
        let class = &self.settings.classes[request.class];
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let latency = self.now - request.started_at;
        request.state = if outcome == Outcome::Ok {
            State::Running
        } else {
            State::AwaitingCall
        };
        let never_ran = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NoLongerNeeded
        );
        request.may_call = is_idempotent || never_ran;
        self.decide(&[Event::CallCompleted {
            id: RequestId(id),
            outcome,
            latency,
        }]);
    }

    /// Has the client cancel a request.
    pub fn cancel(&mut self, id: u64) {
        let id = RequestId(id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.answered = true;
            if matches!(request.state, State::Queued | State::AwaitingResult) {
                self.requests.remove(&id);
            }
        }
        self.decide(&[Event::ClientCancelled(id)]);
    }

    /// Begins a drain; the process stops after `remaining`.
    pub fn begin_drain(&mut self, remaining: Span) {
        self.drain = Some(DrainPeriod {
            began_at: self.now,
            stops_at: self.now + remaining,
        });
        self.decide(&[Event::Drain(remaining)]);
    }

    /// Delivers a batch of events, applies the resulting actions and checks the invariants.
    pub fn decide(&mut self, events: &[Event]) {
        self.last_actions.clear();
        let mut actions = Vec::new();
        self.controller.decide(self.now, events, &mut actions);
        for action in &actions {
            self.apply(action);
        }
        self.actions.extend(actions.iter().cloned());
        self.check_invariants();
        let stopped_runs = std::mem::take(&mut self.stopped_runs);
        if !stopped_runs.is_empty() {
            let cancelled = |id| Event::RunCompleted {
                id,
                outcome: Outcome::Cancelled,
                latency: ms(1),
            };
            self.decide(&stopped_runs.into_iter().map(cancelled).collect::<Vec<_>>());
        }
        self.last_actions = actions;
    }

    /// Records a final answer, which must be the only one and in time.
    fn answer(&mut self, id: RequestId) {
        let now = self.now;
        let request = self
            .requests
            .get_mut(&id)
            .unwrap_or_else(|| panic!("answered {id:?}, which is not tracked"));
        assert!(!request.answered, "{id:?} answered twice");
        assert!(
            now <= request.deadline + self.settings.answer_slack,
            "{id:?} answered after its deadline"
        );
        request.answered = true;
        *self.answer_counts.entry(id).or_default() += 1;
        if matches!(request.state, State::Queued | State::AwaitingResult) {
            self.requests.remove(&id);
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Run(id) => {
                let now = self.now;
                let request = self
                    .requests
                    .get_mut(id)
                    .unwrap_or_else(|| panic!("started {id:?}, which is not tracked"));
                assert_eq!(
                    request.state,
                    State::Queued,
                    "{id:?} started while it was not queued"
                );
                let idempotency = self.settings.classes[request.class].idempotency;
                assert!(
                    idempotency == Idempotency::Idempotent || !request.has_run,
                    "{id:?} started again, although it is not idempotent"
                );
                if idempotency == Idempotency::Keyed {
                    let window = self.settings.classes[request.class].dedup_window;
                    if let Some(&previous) = self.keyed_runs.get(&request.idempotency_key) {
                        assert!(
                            request.arrived_at > previous + window,
                            "{id:?}: an idempotency key ran twice in its deduplication window"
                        );
                    }
                    self.keyed_runs
                        .insert(request.idempotency_key, request.arrived_at);
                }
                if let Some(drain) = self.drain {
                    assert!(
                        request.arrived_at <= drain.began_at + self.settings.drain_grace,
                        "{id:?} started although it arrived after the drain grace period"
                    );
                }
                (request.state, request.has_run, request.started_at) = (State::Running, true, now);
            }
            Action::Stop(id) => {
                assert_ne!(
                    self.settings.preemption,
                    Preemption::None,
                    "stopped a run on a server without preemption"
                );
                if let Some(request) = self
                    .requests
                    .get_mut(id)
                    .filter(|request| request.state == State::Running)
                {
                    if request.answered {
                        self.requests.remove(id);
                        self.stopped_runs.insert(*id);
                    } else {
                        request.state = State::Queued;
                    }
                }
            }
            Action::Reject { id, .. } => {
                let request = &self.requests[id];
                let class = &self.settings.classes[request.class];
                let is_idempotent = class.idempotency == Idempotency::Idempotent;
                assert!(
                    is_idempotent || !request.has_run,
                    "{id:?} rejected after it ran"
                );
                if class.idempotency == Idempotency::Keyed {
                    let attempt_ran = self
                        .keyed_runs
                        .get(&request.idempotency_key)
                        .is_some_and(|&ran| request.arrived_at <= ran + class.dedup_window);
                    assert!(
                        !attempt_ran,
                        "{id:?} rejected although an attempt with its key ran"
                    );
                }
                self.answer(*id);
            }
            Action::Fail(id) => self.answer(*id),
            Action::Call { id, .. } => {
                let now = self.now;
                let request = self.requests.get_mut(id).expect("caller is tracked");
                assert_eq!(
                    request.state,
                    State::AwaitingCall,
                    "{id:?} made a call without waiting for one"
                );
                assert!(
                    request.may_call,
                    "{id:?} retried a call that may have taken effect"
                );
                (request.state, request.started_at) = (State::Calling, now);
            }
            Action::SkipCall(id) => {
                let request = self.requests.get_mut(id).expect("caller is tracked");
                assert!(
                    self.settings.classes[request.class].degraded_weight > 0.0,
                    "{id:?} skipped a required call"
                );
                request.state = State::Running;
            }
            Action::RetainResult { id, ttl } => {
                let request = &self.requests[id];
                self.store_entries
                    .insert(request.idempotency_key, (*id, self.now + *ttl));
            }
            Action::EvictResult(id) => self.store_entries.retain(|_, (entry, _)| entry != id),
            Action::ReplayResult(id) => {
                self.requests.get_mut(id).expect("request is tracked").state = State::AwaitingResult
            }
            Action::SetTimer { after, token } => self.timers.push((self.now + *after, *token)),
            Action::SetLoadSignal(_) => assert_ne!(self.settings.load_signal, LoadSignal::None),
            Action::Health { .. } | Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    /// Checks what must be true after every batch.
    fn check_invariants(&self) {
        let now = self.now;
        let mut memory_kb = 0.0;
        for (id, request) in &self.requests {
            let has_started = matches!(
                request.state,
                State::Running | State::AwaitingCall | State::Calling
            );
            memory_kb += request.memory_kb
                * if has_started {
                    self.settings.run_memory_factor
                } else {
                    1.0
                };
            assert!(
                request.answered || now <= request.deadline + self.settings.answer_slack,
                "{id:?} not answered by its deadline: {request:?}"
            );
            if let Some(drain) = self.drain {
                assert!(
                    request.answered || now < drain.stops_at,
                    "{id:?} not answered before the process stopped"
                );
            }
        }
        memory_kb += self
            .store_entries
            .values()
            .filter(|(_, expires_at)| *expires_at >= now)
            .count() as f64
            * self.settings.dedup_entry_kb;
        assert!(
            memory_kb <= self.settings.memory_kb,
            "{memory_kb} kB in use, limit {} kB",
            self.settings.memory_kb
        );
        let running = self
            .requests
            .values()
            .filter(|request| request.state == State::Running)
            .count() as f64;
        let overload = self.settings.cores as f64 * self.settings.overload_concurrency;
        assert!(
            running <= overload,
            "{running} requests running, overload above {overload}"
        );
    }

    /// Returns the requests that occupy a run slot.
    pub fn running(&self) -> Vec<u64> {
        self.in_state(State::Running)
    }

    /// Returns the requests in a state, by ascending id.
    pub fn in_state(&self, state: State) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, request)| request.state == state)
            .map(|(id, _)| id.0)
            .collect()
    }

    /// Returns the requests of all `Run` actions, in their order.
    pub fn started(&self) -> Vec<u64> {
        let started = |action: &Action| {
            if let Action::Run(id) = action {
                Some(id.0)
            } else {
                None
            }
        };
        self.actions.iter().filter_map(started).collect()
    }

    /// Returns the requests of all `Reject` actions, in their order.
    pub fn rejected(&self) -> Vec<u64> {
        let rejected = |action: &Action| {
            if let Action::Reject { id, .. } = action {
                Some(id.0)
            } else {
                None
            }
        };
        self.actions.iter().filter_map(rejected).collect()
    }
}
