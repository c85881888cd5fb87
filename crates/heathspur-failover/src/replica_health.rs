//! The health of one replica as one instance observes it: the part of calls that succeed, and their latency against
//! the replica's own baseline.
//!
//! Counts decay, so that the observation is of the last seconds; without recent calls there is none.

use crate::ALL_TRAFFIC_TENTHS;
use heathspur::Outcome;
use std::time::Duration;

/// Counts lose 63% of their weight in this time, in milliseconds.
const DECAY_MS: f64 = 2_000.0;
/// How slowly the latency baseline rises to the typical latency, in milliseconds: a slow minute is no new baseline.
const BASELINE_RISE_MS: f64 = 600_000.0;
/// How slowly the baseline falls, in milliseconds. It follows the typical latency and not the lowest one, since the
/// calls of one replica differ widely.
const BASELINE_FALL_MS: f64 = 5_000.0;
/// Latencies up to this multiple of the baseline count as fully healthy.
const LATENCY_TOLERANCE: f64 = 2.0;
/// The highest level that health checks alone, without calls, justify.
pub const MAX_LEVEL_BY_CHECKS: u8 = 2;
/// The weight of one health check, in calls.
const CHECK_WEIGHT: f64 = 2.0;
/// The least weight of calls and checks that gives an observation.
const MIN_OBSERVATION_WEIGHT: f64 = 3.0;
/// The least weight of timed calls without which the level rests on checks alone.
const MIN_TIMED_CALL_WEIGHT: f64 = 1.0;
/// Envoy's overprovisioning factor: a replica that is healthy to 10 in 14 still takes all of its zone.
const OVERPROVISIONING: f64 = 1.4;

/// Whether a call's outcome shows that its replica works; `None` if it shows neither, since the caller cancelled.
pub fn call_succeeded(outcome: Outcome) -> Option<bool> {
    match outcome {
        Outcome::Ok | Outcome::NoLongerNeeded => Some(true),
        Outcome::Cancelled => None,
        Outcome::Error
        | Outcome::Rejected
        | Outcome::Timeout
        | Outcome::ConnectFailed
        | Outcome::Reset => Some(false),
    }
}

/// The natural logarithm of a latency in milliseconds; under 1 µs counts as 1 µs.
pub fn ln_latency_ms(latency: Duration) -> f64 {
    (latency.max(Duration::from_micros(1)).as_secs_f64() * 1e3).ln()
}

/// Calls to a replica that have completed. A call that was given up because it took too long has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompletedCalls {
    /// Calls that succeeded.
    pub succeeded: u32,
    /// Calls that failed.
    pub failed: u32,
    /// The sum of [`ln_latency_ms`] over the calls that succeeded.
    pub latency_ln_sum: f64,
}

/// The observed health of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    /// The decayed weight of calls and checks.
    weight: f64,
    /// The part of it that succeeded.
    succeeded: f64,
    /// The decayed weight of successful calls, whose latency is known; checks have none.
    timed_calls: f64,
    /// The decayed sum of the logarithms of their latencies. The geometric mean shows the typical call: a few calls
    /// stalled by their own machine, a hundred times as long, hardly move it.
    latency_ln_sum: f64,
    /// The typical latency of the healthy replica, in milliseconds; `None` before it is known.
    baseline_ms: Option<f64>,
}

impl ReplicaHealth {
    /// Decays the counts by the elapsed time and moves the baseline towards the typical latency.
    pub fn advance(&mut self, elapsed_ms: u64) {
        let remaining = (-(elapsed_ms as f64) / DECAY_MS).exp();
        self.weight *= remaining;
        self.succeeded *= remaining;
        self.timed_calls *= remaining;
        self.latency_ln_sum *= remaining;
        if self.timed_calls >= MIN_OBSERVATION_WEIGHT {
            self.follow_baseline(elapsed_ms);
        }
    }

    fn follow_baseline(&mut self, elapsed_ms: u64) {
        let typical_ms = self.typical_latency_ms();
        let baseline_ms = self.baseline_ms.get_or_insert(typical_ms);
        let time_constant_ms = if typical_ms > *baseline_ms {
            BASELINE_RISE_MS
        } else {
            BASELINE_FALL_MS
        };
        let gain = 1.0 - (-(elapsed_ms as f64) / time_constant_ms).exp();
        *baseline_ms += (typical_ms - *baseline_ms) * gain;
    }

    /// Counts completed calls.
    pub fn record_calls(&mut self, calls: CompletedCalls) {
        let succeeded = f64::from(calls.succeeded);
        self.weight += succeeded + f64::from(calls.failed);
        self.succeeded += succeeded;
        self.timed_calls += succeeded;
        self.latency_ln_sum += calls.latency_ln_sum;
    }

    /// Counts a completed health check, which has no latency.
    pub fn record_check(&mut self, succeeded: bool) {
        self.weight += CHECK_WEIGHT;
        self.succeeded += if succeeded { CHECK_WEIGHT } else { 0.0 };
    }

    /// The geometric mean of the latencies.
    fn typical_latency_ms(&self) -> f64 {
        (self.latency_ln_sum / self.timed_calls).exp()
    }

    /// The health from 0 to 1; `None` if there are too few calls and checks.
    pub fn score(&self) -> Option<f64> {
        if self.weight < MIN_OBSERVATION_WEIGHT {
            return None;
        }
        let success_rate = self.succeeded / self.weight;
        Some(success_rate * self.speed())
    }

    /// The baseline against the typical latency, 0 to 1; 1 while either is unknown.
    fn speed(&self) -> f64 {
        match self.baseline_ms {
            Some(baseline_ms) if self.timed_calls > 0.0 => {
                (LATENCY_TOLERANCE * baseline_ms / self.typical_latency_ms()).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// The level that the health justifies; `None` if it is unknown. Checks alone justify no more than
    /// [`MAX_LEVEL_BY_CHECKS`], since a replica that accepts connections may still fail calls.
    pub fn level(&self) -> Option<u8> {
        let all_traffic = f64::from(ALL_TRAFFIC_TENTHS);
        let tenths = OVERPROVISIONING * self.score()? * all_traffic;
        let level = tenths.round().min(all_traffic) as u8;
        Some(if self.timed_calls < MIN_TIMED_CALL_WEIGHT {
            level.min(MAX_LEVEL_BY_CHECKS)
        } else {
            level
        })
    }
}
