//! The timers that the admission controller has set. A timer that is due is delivered with fresh gauges, so it waits
//! for a short while for the interpreter's answer.

use heathspur::{Span, Time, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// How long a due timer waits for the gauges (10 ms).
const GAUGE_TIMEOUT: Span = Span(10_000);

/// A timer that is due and waits for the gauges.
struct PendingTimer {
    query: u64,
    token: Token,
    deadline: Time,
}

/// Timers that are set, and due ones that wait for the gauges. Both are bounded by the timers that the controller sets.
#[derive(Default)]
pub(crate) struct ControllerTimers {
    scheduled: BinaryHeap<Reverse<(Time, Token)>>,
    /// In the order of their queries.
    awaiting_gauges: VecDeque<PendingTimer>,
}

impl ControllerTimers {
    /// Sets a timer.
    pub fn schedule(&mut self, at: Time, token: Token) {
        self.scheduled.push(Reverse((at, token)));
    }

    /// Takes the next timer that is due.
    pub fn pop_due(&mut self, now: Time) -> Option<Token> {
        self.scheduled
            .peek()
            .filter(|Reverse((at, _))| *at <= now)?;
        self.scheduled.pop().map(|Reverse((_, token))| token)
    }

    /// Has a due timer wait for the answer to a gauge query.
    pub fn await_gauges(&mut self, query: u64, token: Token, now: Time) {
        self.awaiting_gauges.push_back(PendingTimer {
            query,
            token,
            deadline: now + GAUGE_TIMEOUT,
        });
    }

    /// Takes the timer that waits for the answer to this query.
    pub fn take_answered(&mut self, query: u64) -> Option<Token> {
        let position = self
            .awaiting_gauges
            .iter()
            .position(|timer| timer.query == query)?;
        self.awaiting_gauges
            .remove(position)
            .map(|timer| timer.token)
    }

    /// Takes the next timer that has waited too long for the gauges.
    pub fn pop_unanswered(&mut self, now: Time) -> Option<Token> {
        self.awaiting_gauges
            .front()
            .filter(|timer| timer.deadline <= now)?;
        self.awaiting_gauges.pop_front().map(|timer| timer.token)
    }

    /// Takes all timers that wait for gauges.
    pub fn drain_awaiting_gauges(&mut self) -> impl Iterator<Item = Token> + '_ {
        self.awaiting_gauges.drain(..).map(|timer| timer.token)
    }

    /// Takes all timers: those that wait for gauges first.
    pub fn drain_all(&mut self) -> impl Iterator<Item = Token> + '_ {
        let awaiting = self.awaiting_gauges.drain(..).map(|timer| timer.token);
        let scheduled = self.scheduled.drain().map(|Reverse((_, token))| token);
        awaiting.chain(scheduled)
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Time> {
        let scheduled = self.scheduled.peek().map(|Reverse((at, _))| *at);
        let gauges = self.awaiting_gauges.front().map(|timer| timer.deadline);
        scheduled.into_iter().chain(gauges).min()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/controller_timers.rs"]
mod tests;
