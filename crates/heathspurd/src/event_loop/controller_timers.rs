//! The timers that the admission controller has set. A due timer is delivered together with current gauges, so it first
//! waits a short time for the interpreter's answer to a gauge query.

use heathspur::{Span, Time, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The longest time that a due timer waits for the gauges (10 ms).
const GAUGE_TIMEOUT: Span = Span(10_000);

/// A due timer that waits for the gauges.
struct PendingTimer {
    /// The number of its gauge query.
    query: u64,
    token: Token,
    /// When the timer is delivered without gauges.
    deadline: Time,
}

/// The scheduled timers, and the due timers that wait for gauges. Bounded by the number of timers that the controller
/// sets.
#[derive(Default)]
pub(crate) struct ControllerTimers {
    scheduled: BinaryHeap<Reverse<(Time, Token)>>,
    /// In the order of their queries, and so of their deadlines.
    awaiting_gauges: VecDeque<PendingTimer>,
}

impl ControllerTimers {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: Time, token: Token) {
        self.scheduled.push(Reverse((at, token)));
    }

    /// Removes and returns the next due timer.
    pub fn pop_due(&mut self, now: Time) -> Option<Token> {
        self.scheduled
            .peek()
            .filter(|Reverse((at, _))| *at <= now)?;
        self.scheduled.pop().map(|Reverse((_, token))| token)
    }

    /// Adds a due timer that waits for the answer to the gauge query `query`.
    pub fn await_gauges(&mut self, query: u64, token: Token, now: Time) {
        self.awaiting_gauges.push_back(PendingTimer {
            query,
            token,
            deadline: now + GAUGE_TIMEOUT,
        });
    }

    /// Removes and returns the timer that waits for the answer to `query`.
    pub fn take_answered(&mut self, query: u64) -> Option<Token> {
        let position = self
            .awaiting_gauges
            .iter()
            .position(|timer| timer.query == query)?;
        self.awaiting_gauges
            .remove(position)
            .map(|timer| timer.token)
    }

    /// Removes and returns the next timer whose gauge query has timed out.
    pub fn pop_timed_out(&mut self, now: Time) -> Option<Token> {
        self.awaiting_gauges
            .front()
            .filter(|timer| timer.deadline <= now)?;
        self.awaiting_gauges.pop_front().map(|timer| timer.token)
    }

    /// Removes and returns all timers that wait for gauges.
    pub fn drain_awaiting_gauges(&mut self) -> impl Iterator<Item = Token> + '_ {
        self.awaiting_gauges.drain(..).map(|timer| timer.token)
    }

    /// Removes and returns all timers, those that wait for gauges first.
    pub fn drain_all(&mut self) -> impl Iterator<Item = Token> + '_ {
        let awaiting = self.awaiting_gauges.drain(..).map(|timer| timer.token);
        let scheduled = self.scheduled.drain().map(|Reverse((_, token))| token);
        awaiting.chain(scheduled)
    }

    /// Returns the earliest time at which a timer is due or a gauge query times out.
    pub fn next_deadline(&self) -> Option<Time> {
        let scheduled = self.scheduled.peek().map(|Reverse((at, _))| *at);
        let gauges = self.awaiting_gauges.front().map(|timer| timer.deadline);
        scheduled.into_iter().chain(gauges).min()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/controller_timers.rs"]
mod tests;
