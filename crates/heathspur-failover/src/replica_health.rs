//! The health of one replica as observed by one instance: the fraction of calls that succeed, and their latency
//! relative to the replica's own baseline.
//!
//! Counts decay exponentially, so that the health reflects the last seconds. Without recent calls it is unknown.

use crate::ALL_TRAFFIC_TENTHS;
use heathspur::Outcome;
use std::time::Duration;

/// The time constant of the decay, in milliseconds: counts lose 63% of their weight in this time.
const DECAY_MS: f64 = 2_000.0;
/// The time constant with which the latency baseline rises to the typical latency, in milliseconds. It is long, so that
/// a slow minute does not become the baseline.
const BASELINE_RISE_MS: f64 = 600_000.0;
/// The time constant with which the baseline falls to the typical latency, in milliseconds. The baseline is not the
/// lowest latency, since the latencies of one replica differ widely.
const BASELINE_FALL_MS: f64 = 5_000.0;
/// The multiple of the baseline up to which a latency counts as fully healthy.
const LATENCY_TOLERANCE: f64 = 2.0;
/// The highest level that health checks without calls justify, in tenths.
pub const MAX_LEVEL_BY_CHECKS: u8 = 2;
/// The weight of one health check, in calls.
const CHECK_WEIGHT: f64 = 2.0;
/// The minimum weight of calls and checks for which the health is known.
const MIN_OBSERVATION_WEIGHT: f64 = 3.0;
/// The minimum weight of timed calls; below it the level is based on health checks alone.
const MIN_TIMED_CALL_WEIGHT: f64 = 1.0;
/// Envoy's overprovisioning factor: a replica with a health of 10/14 still receives all traffic of its zone.
const OVERPROVISIONING: f64 = 1.4;

/// Returns whether the outcome of a call indicates that its replica works. Returns `None` for a cancelled call, which
/// indicates nothing about the replica.
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

/// Returns the natural logarithm of a latency in milliseconds. Latencies below 1 µs count as 1 µs.
pub fn ln_latency_ms(latency: Duration) -> f64 {
    (latency.max(Duration::from_micros(1)).as_secs_f64() * 1e3).ln()
}

/// Completed calls to a replica. A call that timed out counts as failed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompletedCalls {
    /// The number of calls that succeeded.
    pub succeeded: u32,
    /// The number of calls that failed.
    pub failed: u32,
    /// The sum of [`ln_latency_ms`] over the calls that succeeded.
    pub latency_ln_sum: f64,
}

/// The observed health of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    /// The decayed weight of calls and checks.
    weight: f64,
    /// The part of the weight that succeeded.
    succeeded: f64,
    /// The decayed weight of calls with a known latency, which are the successful ones; checks have no latency.
    timed_calls: f64,
    /// The decayed sum of the logarithms of these latencies. Their geometric mean represents the typical call: a few
    /// calls that take a hundred times as long, since the local machine stalled, hardly change it.
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
            self.update_baseline(elapsed_ms);
        }
    }

    fn update_baseline(&mut self, elapsed_ms: u64) {
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

    /// Records completed calls.
    pub fn record_calls(&mut self, calls: CompletedCalls) {
        let succeeded = f64::from(calls.succeeded);
        self.weight += succeeded + f64::from(calls.failed);
        self.succeeded += succeeded;
        self.timed_calls += succeeded;
        self.latency_ln_sum += calls.latency_ln_sum;
    }

    /// Records a completed health check, which has no latency.
    pub fn record_check(&mut self, succeeded: bool) {
        self.weight += CHECK_WEIGHT;
        self.succeeded += if succeeded { CHECK_WEIGHT } else { 0.0 };
    }

    /// Returns the geometric mean of the latencies, in milliseconds.
    fn typical_latency_ms(&self) -> f64 {
        (self.latency_ln_sum / self.timed_calls).exp()
    }

    /// Returns the health from 0 to 1; `None` if there are too few recent calls and checks.
    pub fn score(&self) -> Option<f64> {
        if self.weight < MIN_OBSERVATION_WEIGHT {
            return None;
        }
        let success_rate = self.succeeded / self.weight;
        Some(success_rate * self.latency_score())
    }

    /// Returns the latency part of the health, 0 to 1: the tolerated latency relative to the typical one. It is 1 while
    /// the baseline or the typical latency is unknown.
    fn latency_score(&self) -> f64 {
        match self.baseline_ms {
            Some(baseline_ms) if self.timed_calls > 0.0 => {
                (LATENCY_TOLERANCE * baseline_ms / self.typical_latency_ms()).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the level that the health justifies, in tenths; `None` if it is unknown. Checks alone justify at most
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
