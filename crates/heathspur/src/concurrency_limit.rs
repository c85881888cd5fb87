//! The adaptive limit on running requests: additive increase, multiplicative decrease.
//!
//! The limit increases while requests wait, cores are idle and run times are close to their
//! baseline. It decreases when run times are inflated.

use crate::ewma::{Ewma, FAST_WEIGHT};

/// Factor on the limit when run times are inflated.
const DECREASE_FACTOR: f64 = 0.85;
/// Ratio of run times to their baseline above which the limit decreases and never increases.
const MAX_LATENCY_INFLATION: f64 = 1.15;
/// Least number of idle cores for the limit to increase. On busy cores, another run slows all
/// others.
const MIN_IDLE_CORES: f64 = 0.5;

/// The AIMD limit and the latency inflation that drives it.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    cores: f64,
    /// Recent run times, as a multiple of the baseline of their class.
    latency_inflation: Ewma,
    completions_since_decrease: f64,
}

/// Observations of the server when a run completes.
pub(crate) struct CompletionSignal {
    /// Whether the request was answered within its latency objective.
    pub met_objective: bool,
    /// Whether other requests wait in queues.
    pub requests_waiting: bool,
    /// Fraction of the cores that are busy; `None` if there is no such gauge.
    pub cpu_utilization: Option<f64>,
    /// The highest permitted value of the limit.
    pub ceiling: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit of one running request per core.
    pub fn new(cores: u64) -> ConcurrencyLimit {
        let cores = cores.max(1) as f64;
        ConcurrencyLimit {
            limit: cores,
            cores,
            latency_inflation: Ewma::default(),
            completions_since_decrease: 0.0,
        }
    }

    /// Returns the limit on running requests.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Adds the run time of a completed request, as a multiple of the baseline of its class.
    pub fn record_inflation(&mut self, inflation: f64) {
        self.latency_inflation.add(inflation, FAST_WEIGHT);
    }

    /// Counts a completed run, and raises the limit if the observations show unused capacity.
    pub fn on_completion(&mut self, signal: &CompletionSignal) {
        self.completions_since_decrease += 1.0;
        let idle_cores = (1.0 - signal.cpu_utilization.unwrap_or(0.0)) * self.cores;
        let has_idle_cores = idle_cores >= MIN_IDLE_CORES;
        let is_near_baseline = self.latency_inflation.value() <= MAX_LATENCY_INFLATION;
        if signal.met_objective && signal.requests_waiting && has_idle_cores && is_near_baseline {
            self.limit = (self.limit + 1.0 / self.limit).min(signal.ceiling);
        }
    }

    /// Lowers the limit if run times are inflated. After a decrease, as many runs as the limit
    /// allows at once must complete before the next one.
    pub fn decrease_if_inflated(&mut self) {
        let has_settled = self.completions_since_decrease >= self.limit;
        if has_settled && self.latency_inflation.value() > MAX_LATENCY_INFLATION {
            self.limit = (self.limit * DECREASE_FACTOR).max(self.cores);
            self.completions_since_decrease = 0.0;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/concurrency_limit.rs"]
mod tests;
