//! Dispatch of queued requests to free run slots.
//!
//! Classes within their budget are served first, by decreasing priority weight. Slots that are left
//! are lent to the first queue in that order that has a request.

use super::AdmissionController;
use crate::action::Action;
use crate::class_queues::QueueIndex;
use crate::event::RequestId;

/// Least limit on running requests, so that some request can always run.
const MIN_CONCURRENCY: f64 = 1.0;

impl AdmissionController {
    pub(super) fn dispatch(&mut self) {
        if self.stall.is_stalled() {
            return;
        }
        while let Some(allowed) = self.allowed_concurrency() {
            let Some(queue) = self.next_queue(self.lacks_call_capacity(allowed)) else {
                return;
            };
            let Some(id) = self.first_waiting(queue) else {
                return;
            };
            let memory_kb = self.requests.get(id).map_or(0.0, |r| r.queued_memory_kb);
            if !self.memory.fits_run(memory_kb) {
                return;
            }
            self.queues.pop_first(queue);
            self.start_run(id, memory_kb);
        }
    }

    /// Returns how many requests may run at once, or `None` if no further one may start.
    fn allowed_concurrency(&self) -> Option<usize> {
        let usable = self.overload_ceiling.usable_concurrency(self.now);
        let limit = self.concurrency_limit.get().min(usable);
        let allowed = limit.max(MIN_CONCURRENCY).floor() as usize;
        // Requests that are blocked on calls return to the cores, so they count as started. The
        // check `started < usable` rounds a fractional ceiling up, which on a server that can run
        // only one or two requests could exceed the overload concurrency.
        let started = (self.requests.running() + self.requests.blocked_on_calls()) as f64;
        let is_at_limit = self.requests.running() >= allowed + self.runs_off_cpu;
        let would_overload = started + 1.0 > self.overload_ceiling.overload_concurrency(self.now);
        (!is_at_limit && started < usable && !would_overload).then_some(allowed)
    }

    /// Returns whether the requests that are blocked on calls leave no capacity for further
    /// requests that may call. This never applies while no request is blocked on a call: no request
    /// would then return from a call and free capacity, so the wait would never end.
    fn lacks_call_capacity(&self, allowed: usize) -> bool {
        let blocked_on_calls = self.requests.blocked_on_calls();
        let usable = self.overload_ceiling.usable_concurrency(self.now);
        blocked_on_calls > 0 && (blocked_on_calls + allowed) as f64 >= usable
    }

    /// Returns the queue whose first request starts next.
    fn next_queue(&mut self, lacks_call_capacity: bool) -> Option<QueueIndex> {
        let mut borrower = None;
        for rank in 0..self.queues.dispatch_order().len() {
            let queue = self.queues.dispatch_order()[rank];
            let class = queue.class();
            if lacks_call_capacity && self.settings.classes[class].may_call {
                continue;
            }
            if self.first_waiting(queue).is_none() {
                continue;
            }
            borrower = borrower.or(Some(queue));
            if !queue.is_over_quota() && self.slot_budgets.is_within_budget(class) {
                return Some(queue);
            }
        }
        borrower
    }

    /// Returns the first request of a queue that still waits.
    pub(super) fn first_waiting(&mut self, queue: QueueIndex) -> Option<RequestId> {
        let requests = &self.requests;
        self.queues.first_waiting(queue, |id| {
            requests
                .get(id)
                .is_some_and(|request| request.is_waiting_in_queue())
        })
    }

    fn start_run(&mut self, id: RequestId, memory_kb: f64) {
        if self.requests.running() == 0 {
            self.stall.record_progress(self.now);
        }
        let Some(request) = self.requests.start_run(id, self.now) else {
            return;
        };
        let class = request.class;
        let first_attempt = request.first_attempt;
        if !request.queue.is_over_quota() {
            let wait_s = (self.now - request.arrived_at).secs();
            self.slot_budgets.record_wait(class, wait_s);
        }
        self.slot_budgets.occupy(class);
        self.memory.add_run(memory_kb);
        self.actions.push(Action::Run(id));
        if let Some(first_attempt) = first_attempt {
            self.replay_to_waiting_attempts(id, first_attempt);
        }
    }

    /// Makes the other queued attempts of a keyed request wait for the result of the started one.
    fn replay_to_waiting_attempts(&mut self, started: RequestId, first_attempt: RequestId) {
        for attempt in self.idempotency.mark_run(first_attempt) {
            let waits_in_queue = self
                .requests
                .get(attempt)
                .is_some_and(|request| request.is_waiting_in_queue());
            if attempt != started && waits_in_queue {
                self.replay_result(attempt);
            }
        }
    }
}
