//! Histogram of durations, and the quantiles that reports show.

use crate::Nanos;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The shortest distinguishable duration.
const MIN_DURATION: Nanos = 1;
/// The longest recorded duration, one hour; longer ones are recorded as this one.
const MAX_DURATION: Nanos = 3_600_000_000_000;
/// Precision of the recorded values, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of durations.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// A histogram of durations in nanoseconds.
pub struct DurationHistogram(Option<Histogram<u64>>);

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        DurationHistogram::new()
    }
}

impl DurationHistogram {
    /// Creates an empty histogram.
    pub fn new() -> DurationHistogram {
        let histogram = Histogram::new_with_bounds(MIN_DURATION, MAX_DURATION, SIGNIFICANT_DIGITS);
        DurationHistogram(histogram.ok())
    }

    /// Records a duration.
    pub fn record(&mut self, duration: Nanos) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(duration.max(MIN_DURATION));
        }
    }

    /// Returns the quantiles of the durations recorded so far; all are zero if there are none.
    pub fn quantiles(&self) -> Quantiles {
        let Some(histogram) = self.0.as_ref().filter(|histogram| !histogram.is_empty()) else {
            return Quantiles::default();
        };
        let milliseconds = |nanos: u64| nanos as f64 / 1e6;
        let quantile = |quantile| milliseconds(histogram.value_at_quantile(quantile));
        Quantiles {
            count: histogram.len(),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            max_ms: milliseconds(histogram.max()),
        }
    }
}
