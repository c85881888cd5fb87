//! What one instance sees of one replica: how many calls succeed, and how long they take beside their quiet time.
//!
//! Counts decay, so that the sight is of the last seconds; a replica that nobody called of late is not seen at all.

use crate::ALL_TRAFFIC_TENTHS;
use heathspur::Outcome;
use std::time::Duration;

/// Counts lose 63% of their weight in this time, in milliseconds.
const DECAY_MS: f64 = 2_000.0;
/// The quiet time follows the mean so slowly upwards, in milliseconds: a slow minute is not the new quiet.
const BASELINE_RISE_MS: f64 = 600_000.0;
/// And so slowly downwards. It follows the mean, not the fastest call: calls of one replica differ widely.
const BASELINE_FALL_MS: f64 = 5_000.0;
/// Calls that take up to this many times their quiet time count as whole.
const LATENCY_TOLERANCE: f64 = 2.0;
/// The level that checks without calls speak for at most.
pub const MAX_LEVEL_BY_CHECKS: u8 = 2;
/// Calls that have to be remembered, by weight, before anything is said.
const MIN_CALL_WEIGHT: f64 = 3.0;
/// Envoy's overprovisioning factor: a replica that is healthy to 10 in 14 still takes all of its zone.
const OVERPROVISIONING: f64 = 1.4;

/// What a call's end tells of the replica that it went to: well, or not; `None` where it tells nothing, since the
/// caller broke it off.
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

/// The natural logarithm of a call's time in milliseconds, for [`ReplicaHealth::record_calls`]; under 1 µs counts as 1 µs.
pub fn ln_latency_ms(latency: Duration) -> f64 {
    (latency.max(Duration::from_micros(1)).as_secs_f64() * 1e3).ln()
}

/// The sight of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    calls: f64,
    succeeded: f64,
    /// Good calls whose times are known; a check's is none.
    timed_calls: f64,
    /// The decaying sum of the logarithms of the times of good calls. Their geometric mean tells of the typical
    /// call: a few calls that met a stall of their own machine, a hundred times as long, hardly move it, where an
    /// arithmetic mean would call a good replica five times as slow.
    latency_ln_sum: f64,
    /// The geometric mean of a call's time in quiet, in milliseconds; `None` before it is known.
    baseline_ms: Option<f64>,
}

impl ReplicaHealth {
    /// Time passes.
    pub fn advance(&mut self, elapsed_ms: u64) {
        let left = (-(elapsed_ms as f64) / DECAY_MS).exp();
        self.calls *= left;
        self.succeeded *= left;
        self.timed_calls *= left;
        self.latency_ln_sum *= left;
        if self.timed_calls < MIN_CALL_WEIGHT {
            return;
        }
        let mean = self.typical_latency_ms();
        let baseline_ms = self.baseline_ms.get_or_insert(mean);
        let over = if mean > *baseline_ms {
            BASELINE_RISE_MS
        } else {
            BASELINE_FALL_MS
        };
        *baseline_ms += (mean - *baseline_ms) * (1.0 - (-(elapsed_ms as f64) / over).exp());
    }

    /// So many calls ended well, with the natural logarithms of their times in milliseconds summed, and so many not.
    /// A call that was given up because it took too long is not well.
    pub fn record_calls(&mut self, succeeded: f64, failed: f64, latency_ln_sum: f64) {
        self.calls += succeeded + failed;
        self.succeeded += succeeded;
        self.timed_calls += succeeded;
        self.latency_ln_sum += latency_ln_sum;
    }

    /// The geometric mean of the calls' times, in milliseconds.
    fn typical_latency_ms(&self) -> f64 {
        (self.latency_ln_sum / self.timed_calls).exp()
    }

    /// A check ended: something answered there, or not. It weighs two calls, and says nothing of times.
    pub fn record_check(&mut self, succeeded: bool) {
        self.calls += 2.0;
        self.succeeded += if succeeded { 2.0 } else { 0.0 };
    }

    /// How healthy it is, 0 to 1; `None` where too few calls tell.
    pub fn score(&self) -> Option<f64> {
        if self.calls < MIN_CALL_WEIGHT {
            return None;
        }
        let part = self.succeeded / self.calls;
        // Before there is a quiet time, or without a good call, there is no slowness to tell.
        let speed = match self.baseline_ms {
            Some(baseline_ms) if self.timed_calls > 0.0 => {
                (LATENCY_TOLERANCE * baseline_ms / self.typical_latency_ms()).min(1.0)
            }
            _ => 1.0,
        };
        Some(part * speed)
    }

    /// The level that this sight speaks for; what is not seen stays as it is held. Checks alone speak for no more than
    /// [`MAX_LEVEL_BY_CHECKS`]: what answers a check may still serve no call.
    pub fn level(&self) -> Option<u8> {
        let health = self.score()?;
        let level = (OVERPROVISIONING * health * f64::from(ALL_TRAFFIC_TENTHS))
            .round()
            .min(f64::from(ALL_TRAFFIC_TENTHS)) as u8;
        Some(if self.timed_calls < 1.0 {
            level.min(MAX_LEVEL_BY_CHECKS)
        } else {
            level
        })
    }
}
