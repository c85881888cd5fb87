//! Free run slots are given to queued requests.
//!
//! A class within its budget goes first, in the order of priority weights; slots that are left are
//! lent to the first queue that has a request.

use super::AdmissionController;
use crate::action::Action;
use crate::class_queues::QueueIndex;
use crate::event::RequestId;

/// Least number of requests that may run at once.
const MIN_CONCURRENCY: f64 = 1.0;

impl AdmissionController {
    pub(super) fn dispatch(&mut self) {
        if self.stall.is_stalled() {
            return;
        }
        while let Some(allowed) = self.allowed_concurrency() {
            let Some(queue) = self.next_queue(self.are_calls_full(allowed)) else {
                return;
            };
            let Some(id) = self.first_waiting(queue) else {
                return;
            };
            let memory_kb = self.requests.get(id).map_or(0.0, |r| r.memory_kb);
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
        // Requests at calls return to the cores. On a server that bears one or two requests, a
        // limit that is rounded up past the ceiling would be one too many.
        let started = (self.requests.running() + self.requests.at_calls()) as f64;
        let is_at_limit = self.requests.running() >= allowed + self.runs_off_cpu;
        let would_overload = started + 1.0 > self.overload_ceiling.overload_concurrency(self.now);
        (!is_at_limit && started < usable && !would_overload).then_some(allowed)
    }

    /// Returns whether requests at calls leave no capacity for further requests that call. With
    /// none at a call none would return and free capacity, so waiting for it would never end.
    fn are_calls_full(&self, allowed: usize) -> bool {
        let at_calls = self.requests.at_calls();
        let usable = self.overload_ceiling.usable_concurrency(self.now);
        at_calls > 0 && (at_calls + allowed) as f64 >= usable
    }

    /// Returns the queue whose first request starts next.
    fn next_queue(&mut self, calls_are_full: bool) -> Option<QueueIndex> {
        let mut borrower = None;
        for rank in 0..self.queues.dispatch_order().len() {
            let queue = self.queues.dispatch_order()[rank];
            let class = queue.class();
            if calls_are_full && self.settings.classes[class].may_call {
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

    /// Has the queued attempts of a keyed request wait for the result of the one that starts.
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
