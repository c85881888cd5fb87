//! Calls to the dependency: whether, when and for how long a request's call is made.
//!
//! [`CallBudget`] limits the calls to this server's share of a shared dependency's capacity.
//! [`CallStatistics`] tracks call latencies and the acceptance rate, from which timeouts and the
//! number of attempts are derived.

mod budget;
mod infrequent_calls;
mod statistics;

use crate::event::Outcome;
use crate::ewma::Ewma;
use crate::random::Random;
use crate::settings::{Dependency, Settings};
use crate::time::{Span, Time};
use budget::{CallBudget, EndedCall};
use statistics::CallStatistics;

/// Number of failed attempts after which a call that can be skipped is skipped.
const SKIPPABLE_ATTEMPTS: u32 = 2;
/// Timeout of a call that can be skipped, as a fraction of the request's remaining time.
const SKIPPABLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Time of waiting for capacity after which a call that can be skipped is skipped, as a fraction of
/// the latency objective.
const SKIP_AFTER_WAIT_FRACTION: f64 = 0.1;
/// Time after which an idempotent call counts as lost and times out, as a multiple of the typical
/// latency.
const LOST_CALL_LATENCIES: f64 = 6.0;
/// Base of the exponential backoff, in seconds, which is doubled for each attempt made.
const BASE_BACKOFF_S: f64 = 0.05;
/// Largest number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Fraction of the capacity for a call's start that is reserved for calls that cannot be skipped.
const RESERVED_FOR_REQUIRED_CALLS: f64 = 0.5;
/// Least jitter factor of the backoff. The factor is drawn uniformly from this value to 1 above it.
const MIN_BACKOFF_JITTER: f64 = 0.5;

/// A request that waits for its call to be made.
pub(crate) struct WaitingCall {
    /// Whether the request can be answered, with a lower weight, without the call.
    pub can_skip: bool,
    /// Whether the call can safely be repeated.
    pub is_idempotent: bool,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// When the request began to wait for the call.
    pub waiting_since: Time,
    /// Latency objective of the request's class, in seconds.
    pub latency_objective_s: f64,
    /// When the request's latency objective passes.
    pub objective_deadline: Time,
    /// Time left for the call in which an answer is still useful.
    pub remaining: Span,
}

/// The decision on a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallDecision {
    /// The call is made now.
    Make {
        /// Time after which the call is abandoned.
        timeout: Span,
    },
    /// The request continues without the call.
    Skip,
    /// The request ends without the call: it is rejected or fails.
    EndRequest,
    /// The call waits for capacity.
    Wait,
}

/// The state of all calls of a server.
#[derive(Debug)]
pub(crate) struct DependencyCalls {
    statistics: CallStatistics,
    /// `None` unless the dependency is shared.
    budget: Option<CallBudget>,
    in_flight: usize,
    /// Least timeout of a call.
    min_timeout: Span,
}

impl DependencyCalls {
    /// Creates the state of a server that has made no calls.
    pub fn new(settings: &Settings, min_timeout: Span) -> DependencyCalls {
        let budget = match settings.dependency {
            Dependency::Shared {
                capacity_share,
                averaging_window,
                abandoned_call_lifetime,
            } => Some(CallBudget::new(
                settings.servers,
                capacity_share,
                averaging_window,
                abandoned_call_lifetime,
            )),
            Dependency::None | Dependency::Tier => None,
        };
        DependencyCalls {
            statistics: CallStatistics::new(),
            budget,
            in_flight: 0,
            min_timeout,
        }
    }

    /// Starts the call budget of a server that starts now.
    pub fn start(&mut self, now: Time, cold_start: bool, random: &mut Random) {
        if let Some(budget) = &mut self.budget {
            budget.start(now, cold_start, &self.statistics, random);
        }
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of attempts allowed for one call. It is lower while the dependency
    /// rejects calls, since retries then only add to its load.
    pub fn max_attempts(&self) -> u32 {
        self.statistics.max_attempts()
    }

    /// Decides on a waiting call. `max_attempts` applies to all calls of the current batch.
    pub fn decide(
        &mut self,
        now: Time,
        call: &WaitingCall,
        max_attempts: u32,
        random: &mut Random,
    ) -> CallDecision {
        let available_s = self.available_call_s(now, call.can_skip, random);
        let has_capacity = available_s > 0.0;
        if call.can_skip && self.should_skip(now, call, max_attempts, has_capacity) {
            return CallDecision::Skip;
        }
        if call.attempts >= max_attempts || call.remaining.0 == 0 {
            return CallDecision::EndRequest;
        }
        if !has_capacity {
            return CallDecision::Wait;
        }
        let timeout = self.timeout(call, available_s);
        self.in_flight += 1;
        if let Some(budget) = &mut self.budget {
            budget.commit(now, timeout);
        }
        CallDecision::Make { timeout }
    }

    /// Records the end of a call that was made at `made_at` with `timeout_s`. `blocked_on_calls` is
    /// the number of requests that wait for a call to be made or to end.
    pub fn record_end(
        &mut self,
        now: Time,
        outcome: Outcome,
        made_at: Time,
        timeout_s: f64,
        blocked_on_calls: usize,
    ) {
        let in_flight_before = self.in_flight;
        self.in_flight -= 1;
        if let Some(budget) = &mut self.budget {
            let call = EndedCall {
                outcome,
                timeout_s,
                elapsed_s: (now - made_at).secs(),
            };
            budget.accrue(now, in_flight_before);
            budget.release(
                now,
                &call,
                self.in_flight,
                blocked_on_calls,
                &self.statistics,
            );
        }
    }

    /// Updates the statistics with the result of a call. The call's end is recorded first.
    pub fn record_result(&mut self, outcome: Outcome, latency: Span) {
        self.statistics.record_result(outcome, latency);
    }

    /// Returns the delay before a failed call is attempted again: exponential backoff with jitter,
    /// or zero if no attempt is left, so that the request ends in this batch.
    pub fn retry_delay(&self, attempts: u32, random: &mut Random) -> Span {
        let doublings = attempts.min(MAX_BACKOFF_DOUBLINGS);
        let jitter = MIN_BACKOFF_JITTER + random.next_fraction();
        let backoff_s = BASE_BACKOFF_S * f64::from(1u32 << doublings) * jitter;
        if attempts < self.max_attempts() {
            Span::from_secs(backoff_s)
        } else {
            Span(0)
        }
    }

    fn available_call_s(&mut self, now: Time, can_skip: bool, random: &mut Random) -> f64 {
        match &mut self.budget {
            Some(budget) => {
                budget.accrue(now, self.in_flight);
                budget.available_call_s(now, can_skip, self.in_flight, &self.statistics, random)
            }
            None => f64::MAX,
        }
    }

    fn should_skip(
        &self,
        now: Time,
        call: &WaitingCall,
        max_attempts: u32,
        has_capacity: bool,
    ) -> bool {
        let objective_left_s = (call.objective_deadline - now).secs();
        let would_miss_objective = objective_left_s < self.statistics.latency_s().value();
        let has_failed = call.attempts >= max_attempts.min(SKIPPABLE_ATTEMPTS);
        let waited_s = (now - call.waiting_since).secs();
        let waited_long = waited_s > SKIP_AFTER_WAIT_FRACTION * call.latency_objective_s;
        would_miss_objective || has_failed || (!has_capacity && waited_long)
    }

    fn timeout(&self, call: &WaitingCall, available_s: f64) -> Span {
        let mut timeout = if call.can_skip {
            Span::from_secs(call.remaining.secs() * SKIPPABLE_TIMEOUT_FRACTION)
        } else {
            call.remaining
        };
        if call.is_idempotent {
            let typical_s = self.typical_latency_s(call).value_or(call.remaining.secs());
            timeout = timeout.min(Span::from_secs(LOST_CALL_LATENCIES * typical_s));
        }
        timeout
            .min(Span::from_secs(available_s))
            .max(self.min_timeout)
    }

    /// Returns the latency from which the timeout of an idempotent call is derived. For a call that
    /// can be skipped, this is the baseline, so that it does not occupy a shared dependency for
    /// long while the dependency is slow.
    fn typical_latency_s(&self, call: &WaitingCall) -> &Ewma {
        if self.budget.is_some() && call.can_skip {
            self.statistics.baseline_s()
        } else {
            self.statistics.latency_s()
        }
    }
}
