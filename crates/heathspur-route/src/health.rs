//! What one instance sees of one replica: how many calls succeed, and how long they take beside their quiet time.
//!
//! Counts decay, so that the sight is of the last seconds; a replica that nobody called of late is not seen at all.

use crate::WHOLE;

/// Counts lose 63% of their weight in this time, in milliseconds.
const DECAY_MS: f64 = 2_000.0;
/// The quiet time follows the mean so slowly upwards, in milliseconds: a slow minute is not the new quiet.
const QUIET_RISE_MS: f64 = 600_000.0;
/// And so slowly downwards. It follows the mean, not the fastest call: calls of one replica differ widely.
const QUIET_FALL_MS: f64 = 5_000.0;
/// Calls that take up to this many times their quiet time count as whole.
const SLACK: f64 = 2.0;
/// Calls that have to be remembered, by weight, before anything is said.
const LEAST: f64 = 3.0;
/// Envoy's overprovisioning factor: a replica that is healthy to 10 in 14 still takes all of its zone.
const OVERPROVISIONING: f64 = 1.4;

/// The sight of one replica.
#[derive(Clone, Debug, Default)]
pub struct Health {
    calls: f64,
    good: f64,
    /// The decaying sum of the times of good calls, in milliseconds.
    took: f64,
    /// The mean time of a call in quiet, in milliseconds; 0 before it is known.
    quiet: f64,
}

impl Health {
    /// Time passes.
    pub fn pass(&mut self, elapsed_ms: u64) {
        let left = (-(elapsed_ms as f64) / DECAY_MS).exp();
        self.calls *= left;
        self.good *= left;
        self.took *= left;
        if self.good < LEAST {
            return;
        }
        let mean = self.took / self.good;
        if self.quiet == 0.0 {
            self.quiet = mean;
        }
        let over = if mean > self.quiet { QUIET_RISE_MS } else { QUIET_FALL_MS };
        self.quiet += (mean - self.quiet) * (1.0 - (-(elapsed_ms as f64) / over).exp());
    }

    /// A call ended: well or not, after so many milliseconds. A call that was given up is not well.
    pub fn called(&mut self, good: bool, took_ms: f64) {
        self.calls += 1.0;
        if !good {
            return;
        }
        self.good += 1.0;
        self.took += took_ms.max(0.01);
    }

    /// How healthy it is, 0 to 1; `None` where too few calls tell.
    pub fn seen(&self) -> Option<f64> {
        if self.calls < LEAST {
            return None;
        }
        let part = self.good / self.calls;
        // Before there is a quiet time, or without a good call, there is no slowness to tell.
        let speed = if self.quiet > 0.0 && self.good > 0.0 {
            (SLACK * self.quiet * self.good / self.took).min(1.0)
        } else {
            1.0
        };
        Some(part * speed)
    }

    /// The level that this sight speaks for; what is not seen stays as it is held.
    pub fn level(&self) -> Option<u8> {
        self.seen()
            .map(|health| (OVERPROVISIONING * health * f64::from(WHOLE)).round().min(f64::from(WHOLE)) as u8)
    }
}
