//! The number of running requests at which the server is overloaded, which is lower during warm-up.

use crate::settings::Settings;
use crate::time::Time;

/// Fraction of the overload concurrency up to which requests are started, to leave headroom.
const USED_FRACTION: f64 = 0.8;
/// Least warm-up time, in seconds, by which the server's age is divided.
const MIN_WARM_UP_S: f64 = 0.02;

/// The overload concurrency as a function of the server's age.
#[derive(Debug)]
pub(crate) struct OverloadCeiling {
    cores: f64,
    /// Fraction of the full capacity at the start; 1 for a warm server.
    initial_capacity: f64,
    warm_up_s: f64,
    overload_concurrency_per_core: f64,
    started_at: Option<Time>,
}

impl OverloadCeiling {
    /// Creates the ceiling of a server that has not started.
    pub fn new(settings: &Settings) -> OverloadCeiling {
        OverloadCeiling {
            cores: settings.cores as f64,
            initial_capacity: if settings.cold_start {
                settings.cold_start_capacity
            } else {
                1.0
            },
            warm_up_s: settings.warm_up.secs(),
            overload_concurrency_per_core: settings.overload_concurrency,
            started_at: None,
        }
    }

    /// Begins the warm-up.
    pub fn start(&mut self, now: Time) {
        self.started_at = Some(now);
    }

    /// Returns the number of running requests at which the server is overloaded. It is at least one
    /// per core at any age of the server.
    pub fn overload_concurrency(&self, now: Time) -> f64 {
        let age_s = self.started_at.map_or(0.0, |at| (now - at).secs());
        let ramp = (1.0 - self.initial_capacity) * age_s / self.warm_up_s.max(MIN_WARM_UP_S);
        let warm_fraction = (self.initial_capacity + ramp).min(1.0);
        self.cores * (1.0 + (self.overload_concurrency_per_core - 1.0) * warm_fraction)
    }

    /// Returns the number of running requests that leaves headroom below overload.
    pub fn usable_concurrency(&self, now: Time) -> f64 {
        self.overload_concurrency(now) * USED_FRACTION
    }
}
