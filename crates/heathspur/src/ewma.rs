//! An exponentially weighted moving average.

/// Weight of a new sample in averages that follow recent behaviour.
pub(crate) const FAST_WEIGHT: f64 = 0.1;
/// Weight of a new sample in averages that serve as a long-term baseline.
pub(crate) const SLOW_WEIGHT: f64 = 0.01;

/// A moving average that starts as a plain mean, until the plain mean gives a new sample less than
/// the fixed weight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma {
    value: f64,
    samples: f64,
}

impl Ewma {
    /// Creates an average with the given value, as if `samples` samples had been added.
    pub fn with_history(value: f64, samples: f64) -> Ewma {
        Ewma { value, samples }
    }

    /// Adds a sample. `weight` is its weight once a plain mean would give it less.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * weight.max(1.0 / self.samples);
    }

    /// Returns the average, or 0 before the first sample.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns the average, or `initial` before the first sample.
    pub fn value_or(&self, initial: f64) -> f64 {
        if self.has_samples() {
            self.value
        } else {
            initial
        }
    }

    /// Returns the number of samples added.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Returns whether any sample was added.
    pub fn has_samples(&self) -> bool {
        self.samples > 0.0
    }
}

#[cfg(test)]
#[path = "../tests/unit/ewma.rs"]
mod tests;
