//! This server's budget of calls to a dependency that all servers share.
//!
//! The budget is counted in call seconds: one call that is in flight for one second uses one call
//! second. Two bounds apply. The window bound limits the call seconds of the calls that ended in
//! the averaging window and of those that are in flight to this server's share, so that the servers
//! of the fleet together cannot overload the dependency. An adaptive limit (AIMD) bounds the calls
//! in flight. It can be far below one call; a token bucket then paces the starts of calls, so that
//! the mean number of calls in flight stays at the limit.
//!
//! A share that does not pay for a slow call in each averaging window allows only infrequent calls,
//! which [`InfrequentCalls`] admits instead.

use super::infrequent_calls::{Fleet, InfrequentCalls};
use super::statistics::CallStatistics;
use super::RESERVED_FOR_REQUIRED_CALLS;
use crate::event::Outcome;
use crate::random::Random;
use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Largest fraction of the capacity share that is used.
const MAX_USED_FRACTION: f64 = 0.9;
/// Initial limit on calls in flight, as a fraction of the capacity share.
const INITIAL_LIMIT_FRACTION: f64 = 0.33;
/// Least capacity share, as a mean number of calls, by which times are divided.
const MIN_CAPACITY_SHARE: f64 = 1e-6;
/// Burst capacity of the token bucket, in seconds of its refill rate.
const BURST_S: f64 = 1.0;
/// Timeout of an infrequent call, as a multiple of the typical call latency.
const INFREQUENT_CALL_LATENCIES: f64 = 1.5;
/// Latency assumed for the first call, as a multiple of the lifetime of an abandoned call: the call
/// itself, its abandoned remainder, and a margin as long as both.
const FIRST_CALL_LIFETIMES: f64 = 4.0;
/// Factor on the latency assumed for the first call after a cold start, since the calls of the
/// previous process may still count in the averaging window.
const COLD_START_FACTOR: f64 = 2.0;
/// Ratio of the call latency to its baseline above which the limit decreases.
const MAX_LATENCY_INFLATION: f64 = 2.0;
/// Factor on the limit when the call latency is inflated.
const DECREASE_FACTOR: f64 = 0.7;
/// Call seconds that must be left in the window for another call to start, as a multiple of the
/// typical call latency.
const REQUIRED_LATENCIES: f64 = 6.0;
/// Largest fraction of the window's capacity that must be left for another call to start.
const MAX_REQUIRED_FRACTION: f64 = 0.5;
/// Number of typical calls, each with its abandoned remainder, that infrequent calls may use in an
/// averaging window while they succeed.
const INFREQUENT_CALLS_IN_WINDOW: f64 = 2.0;
/// The limit counts as used, and may increase, while it exceeds the calls in flight by less than
/// this number.
const GROWTH_HEADROOM: f64 = 2.0;

/// A call that has ended.
pub(crate) struct EndedCall {
    /// How it ended.
    pub outcome: Outcome,
    /// The timeout that it was made with, in seconds.
    pub timeout_s: f64,
    /// Time since it was made, in seconds.
    pub elapsed_s: f64,
}

/// The call seconds of an ended call, which count until they leave the averaging window.
#[derive(Debug)]
struct RecentUsage {
    expires_at: Time,
    call_s: f64,
}

/// The budget and its control state.
#[derive(Debug)]
pub(crate) struct CallBudget {
    /// This server's share of the dependency's capacity, as a mean number of calls in flight.
    capacity_share: f64,
    averaging_window_s: f64,
    abandoned_call_lifetime_s: f64,
    /// Limit on the mean number of calls in flight.
    limit: f64,
    /// Call seconds in the token bucket; negative while earlier calls have used more than has
    /// accrued.
    tokens_s: f64,
    tokens_updated_at: Time,
    /// Call seconds that the calls in flight may use, including abandoned remainders.
    committed_s: f64,
    recent_usage: VecDeque<RecentUsage>,
    infrequent: InfrequentCalls,
}

impl CallBudget {
    /// Creates the budget for a share of a dependency's capacity that `servers` servers have each.
    pub fn new(
        servers: u64,
        capacity_share: f64,
        averaging_window: Span,
        abandoned_lifetime: Span,
    ) -> CallBudget {
        let capacity_share = capacity_share.max(MIN_CAPACITY_SHARE);
        CallBudget {
            capacity_share,
            averaging_window_s: averaging_window.secs(),
            abandoned_call_lifetime_s: abandoned_lifetime.secs(),
            limit: INITIAL_LIMIT_FRACTION * capacity_share,
            tokens_s: 0.0,
            tokens_updated_at: Time::default(),
            committed_s: 0.0,
            recent_usage: VecDeque::new(),
            infrequent: InfrequentCalls::new(Fleet {
                servers: servers.max(1) as f64,
                capacity_share,
                averaging_window_s: averaging_window.secs(),
            }),
        }
    }

    /// Starts the pacing of calls. The first call may start after a random part of the interval in
    /// which tokens for it accrue. Otherwise servers that start together with requests waiting
    /// would all call at the same time.
    pub fn start(
        &mut self,
        now: Time,
        cold_start: bool,
        statistics: &CallStatistics,
        random: &mut Random,
    ) {
        self.tokens_updated_at = now;
        let cold_factor = if cold_start { COLD_START_FACTOR } else { 1.0 };
        let first_interval_s = cold_factor * self.first_interval_s();
        if self.infrequent_call_s(statistics).is_some() {
            self.infrequent
                .delay_first_call(now, self.first_interval_s(), random);
        } else {
            let first_s = first_interval_s.min(self.averaging_window_s);
            self.tokens_s = -random.next_fraction() * first_s * self.limit;
        }
    }

    /// Returns the time in which the share pays for a first call, in seconds.
    fn first_interval_s(&self) -> f64 {
        let first_call_s = FIRST_CALL_LIFETIMES * self.abandoned_call_lifetime_s;
        first_call_s / (MAX_USED_FRACTION * self.capacity_share)
    }

    /// Updates the tokens and the recent usage to `now`.
    pub fn accrue(&mut self, now: Time, in_flight: usize) {
        let elapsed_s = (now - self.tokens_updated_at).secs();
        self.tokens_updated_at = now;
        let lowest_s = -self.averaging_window_s * self.limit;
        let rate = self.limit - in_flight as f64;
        let tokens_s = (self.tokens_s + rate * elapsed_s).max(lowest_s);
        self.tokens_s = tokens_s.min(BURST_S * self.limit);
        while self
            .recent_usage
            .front()
            .is_some_and(|usage| usage.expires_at <= now)
        {
            self.recent_usage.pop_front();
        }
    }

    /// Returns the call seconds that another call may use now, or 0 if no call may start.
    pub fn available_call_s(
        &mut self,
        now: Time,
        can_skip: bool,
        in_flight: usize,
        statistics: &CallStatistics,
        random: &mut Random,
    ) -> f64 {
        let is_below_limit = (in_flight as f64) < self.limit.max(1.0).floor();
        if !is_below_limit {
            return 0.0;
        }
        match self.infrequent_call_s(statistics) {
            Some(call_s) => {
                self.available_infrequent_call_s(now, can_skip, call_s, statistics, random)
            }
            None => self.available_in_window_s(can_skip, statistics),
        }
    }

    /// Returns the call seconds that the share has left in the averaging window, or 0 if they are
    /// too few for a call or have to be kept.
    fn available_in_window_s(&self, can_skip: bool, statistics: &CallStatistics) -> f64 {
        let total_s = self.window_capacity_s();
        let used_s = self
            .recent_usage
            .iter()
            .map(|usage| usage.call_s)
            .sum::<f64>();
        let left_s = total_s - self.committed_s - used_s;
        let required_s = REQUIRED_LATENCIES * self.typical_call_s(statistics);
        let fits_window = left_s >= required_s.min(MAX_REQUIRED_FRACTION * total_s);
        if fits_window && self.has_tokens(can_skip) {
            left_s
        } else {
            0.0
        }
    }

    /// Returns the call seconds that another infrequent call may use now, or 0. Each uses at most
    /// `call_s` call seconds unless it follows one that succeeded.
    fn available_infrequent_call_s(
        &mut self,
        now: Time,
        can_skip: bool,
        call_s: f64,
        statistics: &CallStatistics,
        random: &mut Random,
    ) -> f64 {
        let typical_s = self.typical_call_s(statistics);
        let successful_s =
            INFREQUENT_CALLS_IN_WINDOW * (typical_s + self.abandoned_call_lifetime_s);
        // A server uses `call_s` if its first call fails, and up to `successful_s` if that call
        // succeeds and the next one fails.
        let window_call_s = (call_s + successful_s.max(call_s)) / 2.0;
        let may_call = self
            .infrequent
            .may_call(now, can_skip, window_call_s, random);
        if may_call {
            return call_s - self.abandoned_call_lifetime_s;
        }
        let left_s = match self.infrequent.used_before_follow_up_s(now) {
            Some(used_s) => successful_s - self.abandoned_call_lifetime_s - used_s,
            None => 0.0,
        };
        if left_s >= typical_s {
            left_s
        } else {
            0.0
        }
    }

    /// Records that a call with the given timeout has been made.
    pub fn commit(&mut self, now: Time, timeout: Span) {
        let call_s = timeout.secs() + self.abandoned_call_lifetime_s;
        self.infrequent.record_start(now, call_s);
        self.committed_s += timeout.secs() + self.abandoned_call_lifetime_s;
    }

    /// Records the end of a call and adapts the limit. An abandoned call is charged for as long as
    /// the dependency may continue to work on it. `in_flight` no longer includes the call.
    pub fn release(
        &mut self,
        now: Time,
        call: &EndedCall,
        in_flight: usize,
        blocked_on_calls: usize,
        statistics: &CallStatistics,
    ) {
        self.committed_s -= call.timeout_s + self.abandoned_call_lifetime_s;
        let remainder_s = self.remainder_s(call, statistics);
        let has_succeeded = call.outcome == Outcome::Ok;
        self.infrequent
            .record_end(now, has_succeeded, call.elapsed_s + remainder_s);
        if call.outcome == Outcome::Rejected {
            self.infrequent
                .record_rejection(now, self.first_interval_s());
        }
        self.recent_usage.push_back(RecentUsage {
            expires_at: now + Span::from_secs(remainder_s + self.averaging_window_s),
            call_s: call.elapsed_s + remainder_s,
        });
        self.tokens_s -= remainder_s;
        self.adapt_limit(call.outcome, in_flight, blocked_on_calls, statistics);
    }

    /// Returns the call seconds that are charged for an ended call in addition to its elapsed time.
    fn remainder_s(&self, call: &EndedCall, statistics: &CallStatistics) -> f64 {
        match call.outcome {
            Outcome::Timeout | Outcome::Cancelled => self.abandoned_call_lifetime_s,
            // A rejected call is charged as much as a typical one. Otherwise all servers would
            // accumulate tokens while the dependency is full and then call it at the same time.
            Outcome::Rejected => (self.typical_call_s(statistics) - call.elapsed_s).max(0.0),
            _ => 0.0,
        }
    }

    fn adapt_limit(
        &mut self,
        outcome: Outcome,
        in_flight: usize,
        blocked_on_calls: usize,
        statistics: &CallStatistics,
    ) {
        // The least limit, and the unit of the additive increase.
        let step = (INITIAL_LIMIT_FRACTION * self.capacity_share).min(1.0);
        // A limit below one call increases only while other calls wait.
        let is_binding = self.limit >= 1.0 || 1 + in_flight < blocked_on_calls;
        let is_used = in_flight as f64 + GROWTH_HEADROOM > self.limit;
        let inflated_s = MAX_LATENCY_INFLATION * statistics.baseline_s().value();
        if statistics.latency_s().value() > inflated_s {
            self.limit = (self.limit * DECREASE_FACTOR).max(step);
        } else if is_binding && outcome != Outcome::Rejected && is_used {
            let highest = MAX_USED_FRACTION * self.capacity_share;
            self.limit = (self.limit + step * step / self.limit).min(highest);
        }
    }

    /// Returns the call seconds that this server may use in an averaging window, in which one
    /// abandoned remainder is reserved.
    fn window_capacity_s(&self) -> f64 {
        self.paid_call_s() - self.abandoned_call_lifetime_s
    }

    /// Returns the call seconds that the share pays for in an averaging window.
    fn paid_call_s(&self) -> f64 {
        MAX_USED_FRACTION * self.capacity_share * self.averaging_window_s
    }

    fn has_tokens(&self, can_skip: bool) -> bool {
        let reserved = if can_skip {
            RESERVED_FOR_REQUIRED_CALLS
        } else {
            0.0
        };
        self.limit >= 1.0 || self.tokens_s >= reserved * BURST_S * self.limit
    }

    /// Returns the most call seconds that an infrequent call uses, including its abandoned
    /// remainder, or `None` if the share pays for such a call in each averaging window. Calls are
    /// not infrequent then.
    fn infrequent_call_s(&self, statistics: &CallStatistics) -> Option<f64> {
        let latency_s = statistics.latency_s();
        let call_s = if latency_s.has_samples() {
            INFREQUENT_CALL_LATENCIES * latency_s.value() + self.abandoned_call_lifetime_s
        } else {
            FIRST_CALL_LIFETIMES * self.abandoned_call_lifetime_s
        };
        (call_s > self.paid_call_s()).then_some(call_s)
    }

    /// Returns the recent call latency, in seconds, or the lifetime of an abandoned call before the
    /// first result.
    fn typical_call_s(&self, statistics: &CallStatistics) -> f64 {
        statistics
            .latency_s()
            .value_or(self.abandoned_call_lifetime_s)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/budget.rs"]
mod tests;
