//! Calls of running requests to the dependency.

use super::AdmissionController;
use crate::action::Action;
use crate::dependency_calls::{CallDecision, WaitingCall};
use crate::event::{Outcome, RequestId};
use crate::requests::{Phase, RequestState};
use crate::settings::Idempotency;
use crate::time::Span;

impl AdmissionController {
    pub(super) fn on_call_needed(&mut self, id: RequestId) {
        self.stall.record_progress(self.now);
        if let Some(class) = self.requests.await_call(id, self.now) {
            self.slot_budgets.vacate(class);
        }
    }

    /// Makes or skips the calls that requests wait for, by decreasing priority weight.
    pub(super) fn make_calls(&mut self) {
        if self.requests.blocked_on_calls() == self.calls.in_flight() {
            return;
        }
        let max_attempts = self.calls.max_attempts();
        for id in self.requests_ready_to_call() {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let call = self.waiting_call(request);
            let decision = self
                .calls
                .decide(self.now, &call, max_attempts, &mut self.random);
            match decision {
                CallDecision::Make { timeout } => self.make_call(id, timeout),
                CallDecision::Skip => {
                    self.actions.push(Action::SkipCall(id));
                    self.resume_run(id);
                }
                CallDecision::EndRequest => self.reject_or_fail(id),
                CallDecision::Wait => {}
            }
        }
    }

    /// Returns the requests whose calls can be made now, by decreasing priority weight and then by
    /// decreasing time of waiting.
    fn requests_ready_to_call(&self) -> Vec<RequestId> {
        let mut waiting: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| self.can_call(request))
            .map(|(id, request)| (self.queues.rank(request.queue), request.call_needed_at, id))
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, _, id)| id).collect()
    }

    fn can_call(&self, request: &RequestState) -> bool {
        match request.phase {
            Phase::CallPending { not_before } => not_before <= self.now && request.needs_answer,
            _ => false,
        }
    }

    fn waiting_call(&self, request: &RequestState) -> WaitingCall {
        let class = &self.settings.classes[request.class];
        let useful_until = if class.late_weight > 0.0 {
            request.deadline
        } else {
            request.objective_deadline.min(request.deadline)
        };
        WaitingCall {
            can_skip: class.degraded_weight > 0.0,
            is_idempotent: class.idempotency == Idempotency::Idempotent,
            attempts: request.call_attempts,
            waiting_since: request.call_needed_at,
            latency_objective_s: class.latency_objective.secs(),
            objective_deadline: request.objective_deadline,
            remaining: (useful_until - self.answer_margin()) - self.now,
        }
    }

    fn make_call(&mut self, id: RequestId, timeout: Span) {
        self.actions.push(Action::Call { id, timeout });
        self.requests.record_call_made(id, self.now, timeout.secs());
    }

    pub(super) fn on_call_completed(&mut self, id: RequestId, outcome: Outcome, latency: Span) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Phase::CallInFlight { made_at, timeout_s } = request.phase else {
            return;
        };
        let attempts = request.call_attempts;
        let needs_answer = request.needs_answer;
        let class = &self.settings.classes[request.class];
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let blocked_on_calls = self.requests.blocked_on_calls();
        self.calls
            .record_end(self.now, outcome, made_at, timeout_s, blocked_on_calls);
        self.calls.record_result(outcome, latency);
        if outcome == Outcome::Ok {
            self.resume_run(id);
            return;
        }
        let delay = self.calls.retry_delay(attempts, &mut self.random);
        self.requests.await_call_retry(id, self.now + delay);
        if needs_answer && !is_idempotent && !never_ran(outcome) {
            self.reject_or_fail(id);
        }
    }

    fn resume_run(&mut self, id: RequestId) {
        if let Some(class) = self.requests.resume_run(id, self.now) {
            self.slot_budgets.occupy(class);
            self.stall.record_progress(self.now);
        }
    }
}

/// Returns whether an outcome proves that the call had no effect.
fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NoLongerNeeded
    )
}
