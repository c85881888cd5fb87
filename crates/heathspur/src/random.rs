//! The controller's only source of randomness: a seeded linear congruential generator.

/// Multiplier and increment of Knuth's MMIX generator.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// A generator whose sequence depends on its seed alone.
#[derive(Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    /// Returns the next number, at least 0 and below 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.state >> 33) as f64 / (1u64 << 31) as f64
    }
}
