//! Arrival of a request: it is joined to its earlier attempts and queued, or answered at once.

use super::{tightest_objective_s, AdmissionController};
use crate::action::Action;
use crate::class_queues::QueueIndex;
use crate::event::{Request, RequestId};
use crate::ewma::FAST_WEIGHT;
use crate::idempotency_groups::JoinOutcome;
use crate::requests::{Phase, RequestState};
use crate::settings::{Class, Idempotency};
use crate::time::{Span, Time};

impl AdmissionController {
    pub(super) fn on_request(&mut self, request: &Request) {
        let class = request.class.0;
        if class >= self.settings.classes.len() || self.requests.contains(request.id) {
            return;
        }
        let mut state = self.new_state(request);
        self.record_arrival(request);
        let may_run = self.join_attempts(request, &mut state);
        let deadline = self.client_deadline(request, state.arrived_at);
        let is_due = self.now + self.answer_margin() >= deadline;
        let is_past_grace = self
            .drain
            .is_past_grace(state.arrived_at, self.settings.drain_grace);
        let queue = state.queue;
        self.requests.insert(request.id, state);
        if is_due || is_past_grace || !may_run || self.stall.is_stalled() {
            self.reject_or_fail(request.id);
        } else if self.has_group_run(request.id) {
            self.replay_result(request.id);
        } else {
            self.queues.push(queue, request.id);
        }
        self.shed_for_memory();
    }

    fn new_state(&mut self, request: &Request) -> RequestState {
        let class = request.class.0;
        let arrived_at = self.now - request.queueing_delay;
        let relative_size = self.estimates.relative_size(class, request.cost_hint);
        let deadline = self.client_deadline(request, arrived_at);
        let objective_deadline =
            self.objective_deadline(request, arrived_at, deadline, relative_size);
        let is_over_quota = self.is_over_quota(request);
        RequestState {
            class,
            queue: QueueIndex::new(class, is_over_quota),
            arrived_at,
            deadline: self.drain.bound_deadline(deadline),
            objective_deadline,
            queued_memory_kb: request.queued_memory_kb,
            relative_size,
            has_stated_deadline: request.remaining_deadline.is_some(),
            phase: Phase::Queued,
            has_run: false,
            needs_answer: true,
            time_blocked_on_calls_s: 0.0,
            call_needed_at: Time::default(),
            run_started_at: Time::default(),
            concurrency_at_start: 0.0,
            call_attempts: 0,
            first_attempt: None,
            previous_attempt: request.previous_attempt,
        }
    }

    /// Returns when the client stops waiting: at the deadline that it states, or else when the
    /// client timeout of its class has passed since the arrival.
    fn client_deadline(&self, request: &Request, arrived_at: Time) -> Time {
        match request.remaining_deadline {
            Some(remaining) => self.now + remaining,
            None => arrived_at + self.settings.classes[request.class.0].client_timeout,
        }
    }

    /// Returns when the latency objective passes, which counts from the first attempt.
    ///
    /// If more time remains than lies between the objective and the client's timeout, the age of
    /// the first attempt follows from the stated deadline. If less remains, the client may have
    /// stated a timeout for a single attempt, which is shorter than its timeout for all attempts.
    /// The first attempt is at least as old as this one, so the objective passes no later than it
    /// would if it counted from this attempt's arrival.
    fn objective_deadline(
        &self,
        request: &Request,
        arrived_at: Time,
        deadline: Time,
        relative_size: f64,
    ) -> Time {
        let class = &self.settings.classes[request.class.0];
        let objective = self.latency_objective(class, request.class.0, relative_size);
        let max_lateness = Span(class.client_timeout.0 - objective.0);
        let age_is_known = request
            .remaining_deadline
            .is_some_and(|remaining| remaining > max_lateness);
        let by_deadline = if age_is_known {
            deadline - max_lateness
        } else {
            deadline
        };
        (arrived_at + objective).min(by_deadline)
    }

    fn latency_objective(&self, class: &Class, index: usize, relative_size: f64) -> Span {
        let expected_run_s = self.estimates.expected_run_s(index);
        let for_work_s = class.latency_objective_per_work * expected_run_s * relative_size;
        Span::from_secs(class.latency_objective.secs() + for_work_s).min(class.client_timeout)
    }

    /// Returns whether a request is queued as one beyond its tenant's quota. This also applies to a
    /// retry without a stated deadline, since its objective has usually passed during earlier
    /// attempts.
    fn is_over_quota(&mut self, request: &Request) -> bool {
        let exceeds_quota = request
            .tenant
            .is_some_and(|tenant| !self.quotas.charge(tenant.0, request.is_retry));
        exceeds_quota || request.is_retry && request.remaining_deadline.is_none()
    }

    fn record_arrival(&mut self, request: &Request) {
        let tightest_s = tightest_objective_s(&self.settings);
        self.idle_connections.record_read();
        self.unread_delay
            .add(request.queueing_delay.secs() / tightest_s, FAST_WEIGHT);
        self.memory.add_queued(request.queued_memory_kb);
    }

    /// Joins a keyed request to its earlier attempts. Returns whether it may be served, which is
    /// not the case if the idempotency store has no capacity for it, since a retry could then not
    /// be recognized.
    fn join_attempts(&mut self, request: &Request, state: &mut RequestState) -> bool {
        let class = &self.settings.classes[request.class.0];
        if class.idempotency != Idempotency::Keyed {
            return true;
        }
        let window = class.dedup_window;
        let first_attempt = self
            .idempotency
            .first_attempt(request.id, request.previous_attempt);
        state.first_attempt = Some(first_attempt);
        let outcome = self.idempotency.join(
            request.id,
            first_attempt,
            request.previous_attempt.is_some(),
            window,
            self.now,
            self.memory
                .fits_idempotency_entry(self.idempotency.entries()),
        );
        match outcome {
            JoinOutcome::AlreadyRan => true,
            JoinOutcome::NoCapacity => false,
            JoinOutcome::Entered { is_new_entry } => {
                if is_new_entry {
                    self.memory.add_idempotency_entry();
                }
                self.actions.push(Action::RetainResult {
                    id: request.id,
                    ttl: window,
                });
                true
            }
        }
    }

    /// Returns whether an attempt of the same keyed request has started to run.
    pub(super) fn has_group_run(&self, id: RequestId) -> bool {
        self.requests
            .get(id)
            .and_then(|request| request.first_attempt)
            .is_some_and(|first_attempt| self.idempotency.has_run(first_attempt))
    }

    /// Answers a repeat with the result of the attempt that is running or has run. The repeat fails
    /// while memory is over its limit, since a request that waits for a result can no longer be
    /// shed. A request that repeats no earlier attempt fails as well.
    pub(super) fn replay_result(&mut self, id: RequestId) {
        self.requests.await_result(id);
        let is_repeat = self
            .requests
            .get(id)
            .is_some_and(|request| request.previous_attempt.is_some());
        if is_repeat && !self.memory.is_over_queue_limit() {
            self.actions.push(Action::ReplayResult(id));
        } else {
            self.reject_or_fail(id);
        }
    }

    /// Sheds the newest requests of the lowest priority weight while the memory in use is over the
    /// limit for queueing.
    fn shed_for_memory(&mut self) {
        while self.memory.is_over_queue_limit() {
            let Some(id) = self.queues.pop_newest_of_lowest() else {
                return;
            };
            self.reject_or_fail(id);
        }
    }
}
