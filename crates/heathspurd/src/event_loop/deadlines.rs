//! The deadlines of the event loop: timers, call timeouts, the drain, the interpreter's link and pruning.

use crate::clock;
use crate::event_loop::EventLoop;
use heathspur::{Event, Gauges, Span, Time, Token};

/// A deadline missed by at least this time (10 ms) indicates that the process was stalled.
const STALL_THRESHOLD: Span = Span(10_000);
/// The interval between prunings of expired idempotency entries and idle store connections (1 s).
pub(super) const PRUNE_INTERVAL: Span = Span(1_000_000);

impl EventLoop {
    /// Returns the earliest of all deadlines.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        [
            self.timers.next_deadline(),
            self.calls.next_timeout(),
            self.drain.next_deadline(),
            self.interpreter.next_deadline(),
            Some(self.next_prune),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns whether the process was stalled past a deadline.
    pub(super) fn has_stalled(&self) -> bool {
        self.next_deadline()
            .is_some_and(|at| self.now - at >= STALL_THRESHOLD)
    }

    /// Handles all deadlines that have passed.
    pub(super) fn handle_deadlines(&mut self) {
        self.handle_timers();
        while let Some(id) = self.calls.pop_timed_out(self.now) {
            self.on_call_timed_out(id);
        }
        if self.interpreter.is_resume_deadline_due(self.now) {
            self.on_resume_timed_out();
        }
        if self.interpreter.is_flush_deadline_due(self.now) {
            self.on_flush_timed_out();
        }
        if self.interpreter.is_in_doubt_deadline_due(self.now) {
            self.resolve_in_doubt_runs();
        }
        if self.next_prune <= self.now {
            self.next_prune = self.now + PRUNE_INTERVAL;
            self.idempotency.prune(clock::unix_micros());
            self.calls.prune_connections();
        }
    }

    /// Delivers due timers, with gauges if the interpreter answers the query in time.
    fn handle_timers(&mut self) {
        while let Some(token) = self.timers.pop_due(self.now) {
            if self.interpreter.is_up() {
                let query = self.interpreter.query_gauges();
                self.timers.await_gauges(query, token, self.now);
            } else {
                self.controller.push(timer_without_gauges(token));
            }
        }
        while let Some(token) = self.timers.pop_timed_out(self.now) {
            self.controller.push(timer_without_gauges(token));
        }
    }
}

/// Returns the event of a due timer without gauges.
pub(super) fn timer_without_gauges(token: Token) -> Event {
    Event::Timer {
        token,
        gauges: Gauges::default(),
    }
}
