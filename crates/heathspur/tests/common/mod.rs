//! Shared settings, a driver and a checker of the four rules of the service. The checker models no
//! speeds: it fails on the first action that breaks a rule for a request.
#![allow(dead_code)]

use heathspur::*;
use std::collections::{BTreeMap, BTreeSet};

pub fn ms(n: u64) -> Span {
    Span(n * 1000)
}

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

/// Four cores, three classes (idempotent, keyed, not idempotent), memory for about 60 runs.
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

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Queued,
    Running,
    AtCall,
    Calling,
    AwaitingResult,
}

#[derive(Debug)]
pub struct TrackedRequest {
    pub class: usize,
    pub state: State,
    pub ran: bool,
    pub answered: bool,
    pub arrived: Time,
    pub deadline: Time,
    pub memory_kb: f64,
    pub since: Time,
    pub identity: u64,
    pub may_call: bool,
}

/// A controller with the events it was given and the actions it answered.
pub struct Harness {
    pub settings: Settings,
    pub controller: AdmissionController,
    pub now: Time,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub all: Vec<Action>,
    pub last: Vec<Action>,
    pub timers: Vec<(Time, Token)>,
    /// The gauges sent with every timer.
    pub gauges: Gauges,
    /// Arrivals of keyed attempts that ran, by idempotency key.
    pub keyed_runs: BTreeMap<u64, Time>,
    pub entries: BTreeMap<u64, (RequestId, Time)>,
    pub drain: Option<(Time, Time)>,
    pub answers: BTreeMap<RequestId, usize>,
    /// Stopped runs, whose ends are reported in a batch of their own.
    pub stopped: BTreeSet<RequestId>,
}

impl Harness {
    pub fn new(set: Settings) -> Harness {
        let mut bench = Harness {
            controller: AdmissionController::new(set.clone(), 7),
            settings: set,
            now: Time(1_000_000_000),
            requests: BTreeMap::new(),
            all: Vec::new(),
            last: Vec::new(),
            timers: Vec::new(),
            gauges: Gauges::default(),
            keyed_runs: BTreeMap::new(),
            entries: BTreeMap::new(),
            drain: None,
            answers: BTreeMap::new(),
            stopped: BTreeSet::new(),
        };
        bench.batch(&[]);
        bench
    }

    /// Advances the clock and delivers the timers that become due.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].0) {
            if self.timers[i].0 > end {
                break;
            }
            let (at, token) = self.timers.remove(i);
            self.now = self.now.max(at);
            self.batch(&[Event::Timer {
                token,
                gauges: self.gauges,
            }]);
        }
        self.now = end;
    }

    /// Delivers a request. `identity` stands for its idempotency key, by which a retry names the
    /// attempt that the idempotency store would name.
    pub fn arrive(&mut self, mut r: Request, identity: u64) {
        let arrived = self.now - r.queueing_delay;
        if self.settings.classes[r.class.0].idempotency == Idempotency::Keyed
            && r.previous_attempt.is_none()
        {
            let entry = self
                .entries
                .get(&identity)
                .filter(|(_, until)| *until >= arrived);
            r.previous_attempt = entry.map(|(id, _)| *id);
        }
        self.track(&r, identity);
        self.batch(&[Event::Request(r)]);
    }

    pub fn track(&mut self, r: &Request, identity: u64) {
        let class = &self.settings.classes[r.class.0];
        let arrived = self.now - r.queueing_delay;
        let due = r
            .remaining_deadline
            .map_or(arrived + class.client_timeout, |p| self.now + p)
            .max(self.now);
        let known = TrackedRequest {
            class: r.class.0,
            state: State::Queued,
            ran: false,
            answered: false,
            arrived,
            deadline: due,
            memory_kb: r.queued_memory_kb,
            since: self.now,
            identity,
            may_call: true,
        };
        self.requests.insert(r.id, known);
    }

    pub fn complete_run(&mut self, id: u64, outcome: Outcome) {
        let id = RequestId(id);
        let Some(k) = self.requests.remove(&id) else {
            return;
        };
        if !k.answered && matches!(outcome, Outcome::Ok | Outcome::Error) {
            *self.answers.entry(id).or_default() += 1;
        }
        let latency = self.now - k.since;
        self.batch(&[Event::RunCompleted {
            id,
            outcome,
            latency,
        }]);
    }

    pub fn need_call(&mut self, id: u64) {
        let k = self.requests.get_mut(&RequestId(id)).expect("known");
        k.state = State::AtCall;
        k.may_call = true;
        self.batch(&[Event::CallNeeded(RequestId(id))]);
    }

    pub fn complete_call(&mut self, id: u64, outcome: Outcome) {
        let safe = {
            let k = self.requests.get(&RequestId(id)).expect("known");
            self.settings.classes[k.class].idempotency == Idempotency::Idempotent
        };
        let k = self.requests.get_mut(&RequestId(id)).expect("known");
        let latency = self.now - k.since;
        k.state = if outcome == Outcome::Ok {
            State::Running
        } else {
            State::AtCall
        };
        let never_ran = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NoLongerNeeded
        );
        k.may_call = safe || never_ran;
        self.batch(&[Event::CallCompleted {
            id: RequestId(id),
            outcome,
            latency,
        }]);
    }

    pub fn cancel(&mut self, id: u64) {
        let id = RequestId(id);
        if let Some(k) = self.requests.get_mut(&id) {
            k.answered = true;
            if matches!(k.state, State::Queued | State::AwaitingResult) {
                self.requests.remove(&id);
            }
        }
        self.batch(&[Event::ClientCancelled(id)]);
    }

    pub fn drain(&mut self, left: Span) {
        self.drain = Some((self.now, self.now + left));
        self.batch(&[Event::Drain(left)]);
    }

    pub fn batch(&mut self, events: &[Event]) {
        self.last.clear();
        let mut actions = Vec::new();
        self.controller.decide(self.now, events, &mut actions);
        for action in &actions {
            self.apply(action);
        }
        self.all.extend(actions.iter().cloned());
        self.check();
        let ended = std::mem::take(&mut self.stopped);
        if !ended.is_empty() {
            let cancelled = |id| Event::RunCompleted {
                id,
                outcome: Outcome::Cancelled,
                latency: ms(1),
            };
            self.batch(&ended.into_iter().map(cancelled).collect::<Vec<_>>());
        }
        self.last = actions;
    }

    fn answer(&mut self, id: RequestId) {
        let now = self.now;
        let k = self
            .requests
            .get_mut(&id)
            .unwrap_or_else(|| panic!("answered {id:?}, which is not known"));
        assert!(!k.answered, "{id:?} answered twice");
        assert!(
            now <= k.deadline + self.settings.answer_slack,
            "{id:?} answered after its due time"
        );
        k.answered = true;
        *self.answers.entry(id).or_default() += 1;
        if matches!(k.state, State::Queued | State::AwaitingResult) {
            self.requests.remove(&id);
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Run(id) => {
                let now = self.now;
                let k = self
                    .requests
                    .get_mut(id)
                    .unwrap_or_else(|| panic!("ran {id:?}, which is not known"));
                assert_eq!(k.state, State::Queued, "{id:?} run while it is not held");
                let effect = self.settings.classes[k.class].idempotency;
                assert!(
                    effect == Idempotency::Idempotent || !k.ran,
                    "{id:?} run again"
                );
                if effect == Idempotency::Keyed {
                    let window = self.settings.classes[k.class].dedup_window;
                    if let Some(&before) = self.keyed_runs.get(&k.identity) {
                        assert!(
                            k.arrived > before + window,
                            "{id:?}: an effect twice in its window"
                        );
                    }
                    self.keyed_runs.insert(k.identity, k.arrived);
                }
                if let Some((since, _)) = self.drain {
                    assert!(
                        k.arrived <= since + self.settings.drain_grace,
                        "{id:?} run past the grace"
                    );
                }
                (k.state, k.ran, k.since) = (State::Running, true, now);
            }
            Action::Stop(id) => {
                assert_ne!(
                    self.settings.preemption,
                    Preemption::None,
                    "stopped where nothing can be"
                );
                if let Some(k) = self
                    .requests
                    .get_mut(id)
                    .filter(|k| k.state == State::Running)
                {
                    if k.answered {
                        self.requests.remove(id);
                        self.stopped.insert(*id);
                    } else {
                        k.state = State::Queued;
                    }
                }
            }
            Action::Reject { id, .. } => {
                let k = &self.requests[id];
                let safe = self.settings.classes[k.class].idempotency == Idempotency::Idempotent;
                assert!(safe || !k.ran, "{id:?} rejected after it ran");
                if self.settings.classes[k.class].idempotency == Idempotency::Keyed {
                    let window = self.settings.classes[k.class].dedup_window;
                    let ran = self
                        .keyed_runs
                        .get(&k.identity)
                        .is_some_and(|&at| k.arrived <= at + window);
                    assert!(!ran, "{id:?} rejected though a try of it ran");
                }
                self.answer(*id);
            }
            Action::Fail(id) => self.answer(*id),
            Action::Call { id, .. } => {
                let now = self.now;
                let k = self.requests.get_mut(id).expect("calls for what is known");
                assert_eq!(k.state, State::AtCall, "{id:?} stands at no call");
                assert!(k.may_call, "{id:?}: a call repeated that may have run");
                (k.state, k.since) = (State::Calling, now);
            }
            Action::SkipCall(id) => {
                let k = self.requests.get_mut(id).expect("skips for what is known");
                assert!(
                    self.settings.classes[k.class].degraded_weight > 0.0,
                    "{id:?} skipped a call it needs"
                );
                k.state = State::Running;
            }
            Action::RetainResult { id, ttl } => {
                let k = &self.requests[id];
                self.entries.insert(k.identity, (*id, self.now + *ttl));
            }
            Action::EvictResult(id) => self.entries.retain(|_, (entry, _)| entry != id),
            Action::ReplayResult(id) => {
                self.requests.get_mut(id).expect("known").state = State::AwaitingResult
            }
            Action::SetTimer { after, token } => self.timers.push((self.now + *after, *token)),
            Action::SetLoadSignal(_) => assert_ne!(self.settings.load_signal, LoadSignal::None),
            Action::Health { .. } | Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    /// Checks what must hold after every batch.
    fn check(&self) {
        let now = self.now;
        let mut memory = 0.0;
        for (id, k) in &self.requests {
            let running = matches!(k.state, State::Running | State::AtCall | State::Calling);
            memory += k.memory_kb
                * if running {
                    self.settings.run_memory_factor
                } else {
                    1.0
                };
            assert!(
                k.answered || now <= k.deadline + self.settings.answer_slack,
                "{id:?} lost: {k:?}"
            );
            if let Some((_, stop)) = self.drain {
                assert!(
                    k.answered || now < stop,
                    "{id:?} not answered before the stop"
                );
            }
        }
        memory += self
            .entries
            .values()
            .filter(|(_, until)| *until >= now)
            .count() as f64
            * self.settings.dedup_entry_kb;
        assert!(
            memory <= self.settings.memory_kb,
            "memory {memory} over {}",
            self.settings.memory_kb
        );
        let running = self
            .requests
            .values()
            .filter(|k| k.state == State::Running)
            .count() as f64;
        let limit = self.settings.cores as f64 * self.settings.overload_concurrency;
        assert!(
            running <= limit,
            "{running} running, overload above {limit}"
        );
    }

    pub fn running(&self) -> Vec<u64> {
        self.in_state(State::Running)
    }

    pub fn in_state(&self, state: State) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, k)| k.state == state)
            .map(|(id, _)| id.0)
            .collect()
    }

    pub fn started(&self) -> Vec<u64> {
        let run = |a: &Action| {
            if let Action::Run(id) = a {
                Some(id.0)
            } else {
                None
            }
        };
        self.all.iter().filter_map(run).collect()
    }

    pub fn rejected(&self) -> Vec<u64> {
        let rejected = |a: &Action| {
            if let Action::Reject { id, .. } = a {
                Some(id.0)
            } else {
                None
            }
        };
        self.all.iter().filter_map(rejected).collect()
    }
}
