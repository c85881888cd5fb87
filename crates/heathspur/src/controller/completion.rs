//! End of a request: it completes, is rejected, fails, or is cancelled by its client.

use super::AdmissionController;
use crate::action::Action;
use crate::concurrency_limit::CompletionSignal;
use crate::event::{Outcome, RequestId};
use crate::rejection::RejectionCause;
use crate::requests::{Phase, RequestState};
use crate::settings::{Idempotency, Preemption};
use crate::time::Span;

/// Time that must be left for a retry on another server to be useful, in expected run times.
const MIN_RUNS_LEFT_FOR_RETRY: f64 = 2.0;

impl AdmissionController {
    pub(super) fn on_run_completed(&mut self, id: RequestId, outcome: Outcome, latency: Span) {
        // This also releases the slot of a run that the host never started, because its client had
        // cancelled.
        let Some(request) = self.release(id) else {
            return;
        };
        if outcome != Outcome::Ok || request.phase == Phase::AwaitingResult {
            return;
        }
        self.stall.record_progress(self.now);
        if request.needs_answer {
            self.record_answered_run(&request, latency);
        } else {
            // The longest runs are among those that continued after their request was answered, so
            // they count in the estimates as well.
            self.estimates
                .add_run(request.class, latency.secs(), request.relative_size);
        }
    }

    fn record_answered_run(&mut self, request: &RequestState, latency: Span) {
        let met_objective = self.now <= request.objective_deadline;
        self.rejection.record_served();
        let inflation = self.latency_inflation(request, latency);
        self.estimates
            .add_run(request.class, latency.secs(), request.relative_size);
        self.concurrency_limit.record_inflation(inflation);
        if met_objective {
            self.deadline_factor.record_useful_run();
        } else {
            self.deadline_factor.record_wasted_run();
        }
        self.concurrency_limit.on_completion(&CompletionSignal {
            met_objective,
            requests_waiting: !self.queues.is_empty(),
            cpu_utilization: self.cpu_utilization,
            ceiling: self.overload_ceiling.usable_concurrency(self.now),
        });
    }

    /// Returns the ratio of the run time without calls to the class's baseline. Only runs that did
    /// not share cores update the baseline. The concurrency limit can decrease to the number of
    /// cores, at which such runs occur.
    fn latency_inflation(&mut self, request: &RequestState, latency: Span) -> f64 {
        let without_calls_s = (latency.secs() - request.time_blocked_on_calls_s).max(0.0);
        let run_s = without_calls_s / request.relative_size;
        let concurrency_at_end = self.requests.running() as f64 + 1.0;
        let cores = self.settings.cores.max(1) as f64;
        let cores_were_shared = request.concurrency_at_start.max(concurrency_at_end) > cores;
        self.estimates
            .latency_inflation(request.class, run_s, cores_were_shared)
    }

    /// Ends a request whose client no longer waits for an answer, or has been given one: the
    /// request is removed if it has not started, or its run is stopped. A request that is blocked
    /// on a call is not stopped, since it ends at the call. The run of a keyed request continues,
    /// since a retry may still need its result.
    pub(super) fn on_client_cancelled(&mut self, id: RequestId) {
        let now = self.now;
        let can_preempt = self.settings.preemption != Preemption::None;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let needed_answer = std::mem::replace(&mut request.needs_answer, false);
        let is_before_run = request.is_before_run();
        let is_keyed = request.first_attempt.is_some();
        let stops_run = request.phase == Phase::Running && can_preempt && !is_keyed;
        let class = request.class;
        let relative_size = request.relative_size;
        let elapsed_s = (now - request.run_started_at).secs();
        if stops_run {
            self.estimates
                .add_stopped_run(class, elapsed_s, relative_size);
        }
        if needed_answer && !self.stall.is_stalled() && !is_before_run {
            self.deadline_factor.record_wasted_run();
        }
        if is_before_run {
            self.release(id);
            self.leave_group(id);
        } else if stops_run {
            self.actions.push(Action::Stop(id));
        }
    }

    /// Answers a request at once and ends it. The answer is a rejection if the request certainly
    /// did not run or can safely run again, and an error otherwise.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|r| r.needs_answer) else {
            return;
        };
        if self.can_reject(id, request) {
            let action = self.rejection_action(id, request);
            self.rejection.record_rejected();
            self.actions.push(action);
        } else {
            self.actions.push(Action::Fail(id));
        }
        self.on_client_cancelled(id);
    }

    fn can_reject(&self, id: RequestId, request: &RequestState) -> bool {
        let class = &self.settings.classes[request.class];
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let never_ran =
            !request.has_run && !self.has_group_run(id) && request.phase != Phase::AwaitingResult;
        is_idempotent && !request.is_blocked_on_call() || never_ran
    }

    fn rejection_action(&self, id: RequestId, request: &RequestState) -> Action {
        let is_unavailable = self.stall.is_stalled() || self.drain.is_draining();
        let cause = if is_unavailable {
            RejectionCause::Unavailable
        } else if request.queue.is_over_quota() {
            RejectionCause::OverQuota
        } else {
            RejectionCause::Capacity
        };
        // A retry on another server needs time, which is known to remain only from a stated
        // deadline.
        let left_s = (request.objective_deadline - self.now).secs();
        let needed_s = MIN_RUNS_LEFT_FOR_RETRY * self.expected_run_s(request);
        let can_retry_elsewhere = request.has_stated_deadline && left_s >= needed_s;
        Action::Reject {
            id,
            retry_after: self.rejection.retry_after(cause),
            no_retry: !is_unavailable && !can_retry_elsewhere,
        }
    }

    /// Returns the expected run time of a request, in seconds.
    pub(super) fn expected_run_s(&self, request: &RequestState) -> f64 {
        self.estimates
            .expected_run_of_size_s(request.class, request.relative_size)
    }

    /// Removes an attempt that never ran from its group. If it was the last attempt of a group that
    /// has not run, the group's idempotency entry is removed as well.
    fn leave_group(&mut self, id: RequestId) {
        if let Some(entry) = self.idempotency.leave(id) {
            self.actions.push(Action::EvictResult(entry));
            self.memory.release_idempotency_entry();
        }
    }

    /// Removes a request from the table and releases its memory, run slot and call.
    fn release(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.requests.remove(id)?;
        if request.is_before_run() {
            self.memory.release_queued(request.queued_memory_kb);
        } else {
            self.memory.release_run(request.queued_memory_kb);
        }
        if request.phase == Phase::Running {
            self.slot_budgets.vacate(request.class);
        }
        if let Phase::CallInFlight { made_at, timeout_s } = request.phase {
            let blocked_on_calls = self.requests.blocked_on_calls();
            self.calls.record_end(
                self.now,
                Outcome::Cancelled,
                made_at,
                timeout_s,
                blocked_on_calls,
            );
        }
        Some(request)
    }
}
