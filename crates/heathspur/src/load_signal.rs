//! The load signal that the server advertises to its callers.
//!
//! The admission level rises while the queued work takes too long to clear, so that callers shed
//! requests of low priority themselves instead of sending them here to be read and rejected.

use crate::settings::{LoadSignal, Settings};

/// Fraction of the tightest latency objective in which the queues should clear.
const CLEAR_TIME_FRACTION: f64 = 0.25;
/// Largest increase of the level in a control period.
const RISE_PER_PERIOD: f64 = 0.10;
/// Largest decrease of the level in a control period.
const FALL_PER_PERIOD: f64 = 0.04;
/// Credit of one caller, as a multiple of the concurrency limit. A single caller may send nearly
/// all of the traffic, so the credit of each is large enough to use the server's full capacity.
const CREDIT_PER_LIMIT: f64 = 2.0;

/// The admission level and the last advertised value.
#[derive(Debug)]
pub(crate) struct LoadAdvertiser {
    kind: LoadSignal,
    /// Highest level, at which only the class of the highest rank is admitted.
    max_level: f64,
    /// Clear time above which the level rises, in seconds.
    target_clear_time_s: f64,
    level: f64,
    advertised: f64,
}

impl LoadAdvertiser {
    /// Creates the signal of an idle server.
    pub fn new(settings: &Settings, tightest_objective_s: f64) -> LoadAdvertiser {
        LoadAdvertiser {
            kind: settings.load_signal,
            max_level: 1.0 - 1.0 / settings.classes.len().max(1) as f64,
            target_clear_time_s: CLEAR_TIME_FRACTION * tightest_objective_s,
            level: 0.0,
            advertised: 0.0,
        }
    }

    /// Adapts the level to the time in which the queued work clears, in seconds.
    pub fn update_level(&mut self, clear_time_s: f64) {
        let excess = clear_time_s / self.target_clear_time_s - 1.0;
        let step = if excess > 0.0 {
            RISE_PER_PERIOD * excess.min(1.0)
        } else {
            FALL_PER_PERIOD * excess
        };
        self.level = (self.level + step).clamp(0.0, self.max_level);
    }

    /// Returns the value to advertise, or `None` if it equals the last one. The value of an
    /// unavailable server asks callers to send no requests.
    pub fn changed_value(&mut self, is_unavailable: bool, limit: f64) -> Option<f64> {
        let value = match (self.kind, is_unavailable) {
            (LoadSignal::None, _) => return None,
            (LoadSignal::Level, true) => 1.0,
            (LoadSignal::Level, false) => self.level,
            (LoadSignal::Weight, true) => 0.0,
            (LoadSignal::Weight, false) => 1.0 - self.level,
            (LoadSignal::Credit, true) => 0.0,
            (LoadSignal::Credit, false) => CREDIT_PER_LIMIT * limit * (1.0 - self.level),
        };
        if value == self.advertised {
            return None;
        }
        self.advertised = value;
        Some(value)
    }
}

#[cfg(test)]
#[path = "../tests/unit/load_signal.rs"]
mod tests;
