//! Deadlines of the event loop: the next one, and the handling of those that have passed.

use crate::clock;
use crate::event_loop::EventLoop;
use heathspur::{Event, Gauges, Span, Time, Token};

/// A deadline missed by this much (10 ms) shows that the process was stalled.
const STALL_THRESHOLD: Span = Span(10_000);
/// Between two prunings of idempotency entries and idle connections (1 s).
pub(super) const PRUNE_INTERVAL: Span = Span(1_000_000);

impl EventLoop {
    /// The earliest of all deadlines.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        [
            self.timers.next_due(),
            self.calls.next_timeout(),
            self.drain.next_deadline(),
            self.interpreter.resume_deadline(),
            Some(self.next_prune),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Whether the process was stalled past a deadline.
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
        if self
            .interpreter
            .resume_deadline()
            .is_some_and(|deadline| deadline <= self.now)
        {
            self.resume_late();
        }
        if self.next_prune <= self.now {
            self.next_prune = self.now + PRUNE_INTERVAL;
            self.idempotency.prune(clock::unix_micros());
            self.calls.prune_connections();
        }
    }

    /// Delivers due timers: with gauges where the interpreter answers in time, else without.
    fn handle_timers(&mut self) {
        while let Some(token) = self.timers.pop_due(self.now) {
            if self.interpreter.is_up() {
                let query = self.interpreter.query_gauges();
                self.timers.await_gauges(query, token, self.now);
            } else {
                self.controller.push(timer_without_gauges(token));
            }
        }
        while let Some(token) = self.timers.pop_unanswered(self.now) {
            self.controller.push(timer_without_gauges(token));
        }
    }
}

/// The event of a timer for which no gauges were read.
pub(super) fn timer_without_gauges(token: Token) -> Event {
    Event::Timer {
        token,
        gauges: Gauges::default(),
    }
}
