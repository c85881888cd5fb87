//! Latency and acceptance rate of recent calls.

use crate::event::Outcome;
use crate::ewma::{Ewma, FAST_WEIGHT, SLOW_WEIGHT};
use crate::time::Span;

/// Attempts allowed for one call while all calls are accepted.
const MAX_ATTEMPTS: u32 = 4;

/// Moving averages over the calls of a server.
#[derive(Debug)]
pub(crate) struct CallStatistics {
    /// Recent latency of calls that succeeded or timed out, in seconds.
    latency_s: Ewma,
    /// Long-term latency of successful calls, in seconds.
    baseline_s: Ewma,
    /// Fraction of recent calls that the dependency accepted.
    acceptance_rate: Ewma,
}

impl CallStatistics {
    /// Creates statistics that assume that the dependency accepts all calls.
    pub fn new() -> CallStatistics {
        CallStatistics {
            latency_s: Ewma::default(),
            baseline_s: Ewma::default(),
            acceptance_rate: Ewma::with_history(1.0, 1.0 / FAST_WEIGHT),
        }
    }

    /// Returns the recent latency of calls that succeeded or timed out, in seconds.
    pub fn latency_s(&self) -> &Ewma {
        &self.latency_s
    }

    /// Returns the long-term latency of successful calls, in seconds.
    pub fn baseline_s(&self) -> &Ewma {
        &self.baseline_s
    }

    /// Returns the number of attempts allowed for one call at the current acceptance rate.
    pub fn max_attempts(&self) -> u32 {
        let attempts = f64::from(MAX_ATTEMPTS) * self.acceptance_rate.value();
        attempts.ceil().max(1.0) as u32
    }

    /// Records the result of a call.
    pub fn record_result(&mut self, outcome: Outcome, latency: Span) {
        match outcome {
            Outcome::Ok => self.acceptance_rate.add(1.0, FAST_WEIGHT),
            Outcome::Rejected => self.acceptance_rate.add(0.0, FAST_WEIGHT),
            _ => {}
        }
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.latency_s.add(latency.secs(), FAST_WEIGHT);
        }
        if outcome == Outcome::Ok {
            self.baseline_s.add(latency.secs(), SLOW_WEIGHT);
        }
    }
}
