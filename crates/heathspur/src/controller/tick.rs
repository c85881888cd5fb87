//! Periodic work: answers to requests that are due, stall checks, and the end of control periods.

use super::{
    tightest_objective_s, AdmissionController, CONTROL_PERIOD_S, TICK_INTERVAL_S, TICK_TOKEN,
};
use crate::action::Action;
use crate::class_queues::QueueIndex;
use crate::deadline_factor::DeadlineFactor;
use crate::event::RequestId;
use crate::idle_connections::ServerPressure;
use crate::requests::{Phase, RequestState};
use crate::settings::Idempotency;
use crate::slot_budgets::ClassObservation;
use crate::time::Span;

/// Time that a request must have been queued before it can be rejected for the work ahead of it, as
/// a fraction of its latency objective.
const MIN_QUEUED_FRACTION: f64 = 0.1;

impl AdmissionController {
    pub(super) fn on_tick(&mut self) {
        self.check_stall();
        self.end_due_requests();
        if self.now - self.last_control_at >= Span::from_secs(CONTROL_PERIOD_S) {
            self.end_control_period();
        }
        self.actions.push(Action::SetTimer {
            after: Span::from_secs(TICK_INTERVAL_S),
            token: TICK_TOKEN,
        });
    }

    /// Starts a graceful shutdown: every request is answered before the process stops, and none
    /// that arrives after the grace period runs.
    pub(super) fn begin_drain(&mut self, remaining: Span) {
        self.drain.begin(self.now, remaining);
        for request in self.requests.values_mut() {
            request.deadline = self.drain.bound_deadline(request.deadline);
        }
        self.actions.push(Action::Health {
            healthy: false,
            cached: true,
        });
        let open = self.requests.len();
        let seconds = remaining.secs();
        self.actions.push(Action::Log(format!(
            "draining: {open} requests to answer in {seconds:.1} s"
        )));
        self.advertise_load();
    }

    /// Reports the beginning or the end of a stall. During a stall, requests are rejected so that
    /// callers use other servers.
    fn check_stall(&mut self) {
        let running = self.requests.running();
        let has_changed = self.stall.update(
            self.now,
            running,
            self.settings.cores,
            self.estimates.slowest_mean_run_s(),
        );
        if !has_changed {
            return;
        }
        let healthy = !self.stall.is_stalled() && !self.drain.is_draining();
        self.actions.push(Action::Health {
            healthy,
            cached: self.settings.costly_health_checks || !healthy,
        });
        let state = if self.stall.is_stalled() {
            "work has stalled"
        } else {
            "work has resumed"
        };
        let time_since_progress_s = self.stall.time_since_progress_s(self.now);
        self.actions.push(Action::Log(format!(
            "{state}: {running} requests running, last progress {time_since_progress_s:.1} s ago"
        )));
    }

    fn end_due_requests(&mut self) {
        let mut ended = self.unlikely_to_finish();
        ended.extend(
            self.requests
                .iter()
                .filter(|(_, request)| request.needs_answer && self.is_due(request))
                .map(|(id, _)| id),
        );
        for id in ended {
            self.reject_or_fail(id);
        }
    }

    fn is_due(&self, request: &RequestState) -> bool {
        let class = &self.settings.classes[request.class];
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let is_stoppable_run = request.phase == Phase::Running && is_idempotent;
        let is_past_deadline = self.now + self.answer_margin() >= request.deadline;
        // A run whose late answer has no value is stopped to free its slot. Runs that cannot safely
        // be repeated are completed while the client still waits.
        let has_no_value =
            is_stoppable_run && class.late_weight == 0.0 && self.now > request.objective_deadline;
        let can_run_elsewhere = request.phase == Phase::Queued || is_stoppable_run;
        is_past_deadline || has_no_value || self.stall.is_stalled() && can_run_elsewhere
    }

    /// Returns the queued requests that will probably miss their latency objective: their run does
    /// not fit into the time left, or, once they have been queued for a while, the work ahead of
    /// them and their run together do not.
    fn unlikely_to_finish(&self) -> Vec<RequestId> {
        let mut found = Vec::new();
        let mut work_ahead_s = 0.0;
        let slots_are_contended =
            self.requests.running() >= self.settings.cores as usize && self.queues.len() > 1;
        for &queue in self.queues.dispatch_order() {
            for (id, request) in self.waiting_requests(queue) {
                if self.fits_before_objective(request, work_ahead_s, slots_are_contended) {
                    work_ahead_s += self.expected_run_s(request);
                } else {
                    found.push(id);
                }
            }
        }
        found
    }

    fn waiting_requests(
        &self,
        queue: QueueIndex,
    ) -> impl Iterator<Item = (RequestId, &RequestState)> {
        self.queues
            .entries(queue)
            .filter_map(|id| Some((id, self.requests.get(id)?)))
            .filter(|(_, request)| request.is_waiting_in_queue())
    }

    fn fits_before_objective(
        &self,
        request: &RequestState,
        work_ahead_s: f64,
        slots_are_contended: bool,
    ) -> bool {
        let useful_until = request.objective_deadline.min(request.deadline);
        let left_s = (useful_until - self.now).secs();
        let class = &self.settings.classes[request.class];
        let queued_s = (self.now - request.arrived_at).secs();
        let has_queued = queued_s > MIN_QUEUED_FRACTION * class.latency_objective.secs();
        // Without contention for slots, rejecting a risky or long run frees nothing for others.
        let expected_run_s = self.expected_run_s(request);
        let (factor, run_s) = if slots_are_contended {
            (self.deadline_factor.for_queue(), expected_run_s)
        } else {
            let longest_s = self.estimates.longest_assumed_run_s(request.class);
            (1.0, expected_run_s.min(longest_s))
        };
        let wait_s = work_ahead_s / self.concurrency_limit.get();
        let run_fits = run_s <= DeadlineFactor::for_run(factor) * left_s;
        let queue_fits = !has_queued || wait_s + run_s <= factor * left_s;
        run_fits && queue_fits
    }

    fn end_control_period(&mut self) {
        let period_s = (self.now - self.last_control_at).secs();
        self.last_control_at = self.now;
        self.expire_groups();
        self.concurrency_limit.decrease_if_inflated();
        self.update_slot_budgets(period_s);
        self.quotas.refill(period_s);
        self.update_idle_connections(period_s);
        self.advertise_load();
    }

    fn expire_groups(&mut self) {
        let requests = &self.requests;
        let expired = self
            .idempotency
            .expire(self.now, |id| requests.contains(id));
        for _ in 0..expired {
            self.memory.release_idempotency_entry();
        }
    }

    fn update_slot_budgets(&mut self, period_s: f64) {
        let observations: Vec<ClassObservation> = (0..self.settings.classes.len())
            .map(|class| self.observe_class(class))
            .collect();
        let limit = self.concurrency_limit.get();
        self.slot_budgets.update(&observations, period_s, limit);
    }

    fn observe_class(&mut self, class: usize) -> ClassObservation {
        let oldest = self.first_waiting(QueueIndex::new(class, false));
        let oldest_wait_s = oldest
            .and_then(|id| self.requests.get(id))
            .map(|request| (self.now - request.arrived_at).secs());
        ClassObservation {
            latency_objective_s: self.settings.classes[class].latency_objective.secs(),
            expected_run_s: self.estimates.expected_run_s(class),
            oldest_wait_s,
        }
    }

    fn update_idle_connections(&mut self, period_s: f64) {
        let pressure = ServerPressure {
            requests: self.requests.len(),
            age_s: self.age_s(),
            unread_delay: self.unread_delay.value(),
            cpu_utilization: self.cpu_utilization,
            rejection_rate: self.rejection.rejection_rate(),
        };
        let idle_timeout = self.idle_connections.update(self.now, period_s, &pressure);
        if let Some(idle_timeout) = idle_timeout {
            self.actions
                .push(Action::CloseIdleConnections(idle_timeout));
        }
    }

    /// Updates the load signal, and advertises its value if that changes.
    fn advertise_load(&mut self) {
        let clear_time_s = self.queue_clear_time_s();
        self.load.update_level(clear_time_s);
        let is_unavailable = self.stall.is_stalled() || self.drain.is_draining();
        let limit = self.concurrency_limit.get();
        if let Some(value) = self.load.changed_value(is_unavailable, limit) {
            self.actions.push(Action::SetLoadSignal(value));
        }
    }

    /// Returns the time in which unread and queued requests would be served, in seconds.
    fn queue_clear_time_s(&self) -> f64 {
        let unread_s = self.unread_delay.value() * tightest_objective_s(&self.settings);
        let queued_work_s = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == Phase::Queued)
            .map(|(_, request)| self.expected_run_s(request))
            .sum::<f64>();
        unread_s + queued_work_s / self.concurrency_limit.get()
    }
}
