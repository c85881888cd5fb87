//! What one instance sees of one replica: how many calls succeed, and how long they take beside their quiet time.
//!
//! Counts decay, so that the sight is of the last seconds; a replica that nobody called of late is not seen at all.

use crate::WHOLE;
use heathspur::Outcome;
use std::time::Duration;

/// Counts lose 63% of their weight in this time, in milliseconds.
const DECAY_MS: f64 = 2_000.0;
/// The quiet time follows the mean so slowly upwards, in milliseconds: a slow minute is not the new quiet.
const QUIET_RISE_MS: f64 = 600_000.0;
/// And so slowly downwards. It follows the mean, not the fastest call: calls of one replica differ widely.
const QUIET_FALL_MS: f64 = 5_000.0;
/// Calls that take up to this many times their quiet time count as whole.
const SLACK: f64 = 2.0;
/// The level that checks without calls speak for at most.
pub const CHECKED: u8 = 2;
/// Calls that have to be remembered, by weight, before anything is said.
const LEAST: f64 = 3.0;
/// Envoy's overprovisioning factor: a replica that is healthy to 10 in 14 still takes all of its zone.
const OVERPROVISIONING: f64 = 1.4;

/// What a call's end tells of the replica that it went to: well, or not; `None` where it tells nothing, since the
/// caller broke it off.
pub fn tells(outcome: Outcome) -> Option<bool> {
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

/// The natural logarithm of a call's time in milliseconds, for [`Health::called`]; under 1 µs counts as 1 µs.
pub fn ln_ms(took: Duration) -> f64 {
    (took.max(Duration::from_micros(1)).as_secs_f64() * 1e3).ln()
}

/// The sight of one replica.
#[derive(Clone, Debug, Default)]
pub struct Health {
    calls: f64,
    good: f64,
    /// Good calls whose times are known; a check's is none.
    timed: f64,
    /// The decaying sum of the logarithms of the times of good calls. Their geometric mean tells of the typical
    /// call: a few calls that met a stall of their own machine, a hundred times as long, hardly move it, where an
    /// arithmetic mean would call a good replica five times as slow.
    took_ln: f64,
    /// The geometric mean of a call's time in quiet, in milliseconds; `None` before it is known.
    quiet: Option<f64>,
}

impl Health {
    /// Time passes.
    pub fn pass(&mut self, elapsed_ms: u64) {
        let left = (-(elapsed_ms as f64) / DECAY_MS).exp();
        self.calls *= left;
        self.good *= left;
        self.timed *= left;
        self.took_ln *= left;
        if self.timed < LEAST {
            return;
        }
        let mean = self.typical();
        let quiet = self.quiet.get_or_insert(mean);
        let over = if mean > *quiet {
            QUIET_RISE_MS
        } else {
            QUIET_FALL_MS
        };
        *quiet += (mean - *quiet) * (1.0 - (-(elapsed_ms as f64) / over).exp());
    }

    /// So many calls ended well, with the natural logarithms of their times in milliseconds summed, and so many not.
    /// A call that was given up because it took too long is not well.
    pub fn called(&mut self, good: f64, bad: f64, took_ln: f64) {
        self.calls += good + bad;
        self.good += good;
        self.timed += good;
        self.took_ln += took_ln;
    }

    /// The geometric mean of the calls' times, in milliseconds.
    fn typical(&self) -> f64 {
        (self.took_ln / self.timed).exp()
    }

    /// A check ended: something answered there, or not. It weighs two calls, and says nothing of times.
    pub fn checked(&mut self, good: bool) {
        self.calls += 2.0;
        self.good += if good { 2.0 } else { 0.0 };
    }

    /// How healthy it is, 0 to 1; `None` where too few calls tell.
    pub fn seen(&self) -> Option<f64> {
        if self.calls < LEAST {
            return None;
        }
        let part = self.good / self.calls;
        // Before there is a quiet time, or without a good call, there is no slowness to tell.
        let speed = match self.quiet {
            Some(quiet) if self.timed > 0.0 => (SLACK * quiet / self.typical()).min(1.0),
            _ => 1.0,
        };
        Some(part * speed)
    }

    /// The level that this sight speaks for; what is not seen stays as it is held. Checks alone speak for no more than
    /// [`CHECKED`]: what answers a check may still serve no call.
    pub fn level(&self) -> Option<u8> {
        let health = self.seen()?;
        let level = (OVERPROVISIONING * health * f64::from(WHOLE))
            .round()
            .min(f64::from(WHOLE)) as u8;
        Some(if self.timed < 1.0 {
            level.min(CHECKED)
        } else {
            level
        })
    }
}
