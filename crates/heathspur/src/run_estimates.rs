//! Estimates of run times for each class, from observed runs and the cost hints of clients.

use crate::ewma::{Ewma, SLOW_WEIGHT};
use crate::settings::Class;

/// Weight of a new run in the mean run time of its class.
const RUN_WEIGHT: f64 = 0.05;
/// Run time assumed before any run of a class has ended, as a fraction of its latency objective.
const INITIAL_RUN_FRACTION: f64 = 0.15;
/// Longest mean run time that is assumed, as a fraction of the latency objective.
const MAX_RUN_FRACTION: f64 = 0.5;
/// Largest factor by which a request counts as larger or smaller than the mean of its class.
const MAX_RELATIVE_SIZE: f64 = 4.0;
/// Least number of runs for the regression of run times on hinted sizes to be used.
const MIN_HINT_SAMPLES: f64 = 8.0;
/// Variance of the hinted sizes that must be exceeded for the regression to be used.
const MIN_HINT_VARIANCE: f64 = 0.01;
/// Least cost hint by which sizes are divided, in seconds.
const MIN_COST_S: f64 = 1e-6;
/// Least run time by which run times are divided, in seconds.
const MIN_RUN_S: f64 = 1e-6;
/// Cost assumed for a request without a hint, in seconds.
const DEFAULT_COST_S: f64 = 1.0;

/// Run-time estimates of all classes.
#[derive(Debug)]
pub(crate) struct RunEstimates {
    classes: Vec<ClassEstimates>,
}

#[derive(Debug)]
struct ClassEstimates {
    latency_objective_s: f64,
    /// Run time of a request of mean size, including its calls, in seconds.
    run_s: Ewma,
    /// Run time of a request of mean size, excluding its calls, measured while cores were not
    /// shared, in seconds.
    baseline_s: Ewma,
    /// Cost hints of requests, in seconds.
    cost_s: Ewma,
    /// Covariance of run times and hinted sizes, both relative to their means.
    covariance: Ewma,
    /// Variance of the hinted sizes.
    size_variance: Ewma,
}

impl ClassEstimates {
    fn new(class: &Class) -> ClassEstimates {
        ClassEstimates {
            latency_objective_s: class.latency_objective.secs(),
            run_s: Ewma::default(),
            baseline_s: Ewma::default(),
            cost_s: Ewma::default(),
            covariance: Ewma::default(),
            size_variance: Ewma::default(),
        }
    }

    fn expected_run_s(&self) -> f64 {
        self.run_s
            .value_or(INITIAL_RUN_FRACTION * self.latency_objective_s)
    }

    fn add_run(&mut self, run_s: f64, size: f64) {
        if self.run_s.has_samples() {
            let run_deviation = run_s / self.run_s.value().max(MIN_RUN_S) - 1.0;
            let size_deviation = size - 1.0;
            self.covariance
                .add(run_deviation * size_deviation, RUN_WEIGHT);
            self.size_variance
                .add(size_deviation * size_deviation, RUN_WEIGHT);
        }
        self.run_s.add(run_s / size, RUN_WEIGHT);
    }

    /// Returns the slope of the regression of run times on hinted sizes, clamped to 0 to 1. Hints
    /// are trusted, with a slope of 1, until there are enough runs for the regression.
    fn hint_regression_slope(&self) -> f64 {
        let has_evidence = self.size_variance.samples() >= MIN_HINT_SAMPLES
            && self.size_variance.value() > MIN_HINT_VARIANCE;
        if has_evidence {
            (self.covariance.value() / self.size_variance.value()).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }
}

impl RunEstimates {
    /// Creates estimates without any observations.
    pub fn new(classes: &[Class]) -> RunEstimates {
        RunEstimates {
            classes: classes.iter().map(ClassEstimates::new).collect(),
        }
    }

    /// Records a request's cost hint and returns the request's size relative to the mean of its
    /// class.
    pub fn relative_size(&mut self, class: usize, cost_hint: Option<f64>) -> f64 {
        let cost_s = cost_hint.unwrap_or(DEFAULT_COST_S).max(MIN_COST_S);
        let mean_cost_s = &mut self.classes[class].cost_s;
        mean_cost_s.add(cost_s, SLOW_WEIGHT);
        (cost_s / mean_cost_s.value()).clamp(1.0 / MAX_RELATIVE_SIZE, MAX_RELATIVE_SIZE)
    }

    /// Returns the expected run time of a request of mean size, in seconds.
    pub fn expected_run_s(&self, class: usize) -> f64 {
        self.classes[class].expected_run_s()
    }

    /// Returns the expected run time of a request of the given size, in seconds. It is derived from
    /// a bounded mean, so that a class with slow runs is still started and its estimate updated.
    pub fn expected_run_of_size_s(&self, class: usize, size: f64) -> f64 {
        let estimates = &self.classes[class];
        let longest_s = MAX_RUN_FRACTION * estimates.latency_objective_s;
        let mean_s = estimates.expected_run_s().min(longest_s);
        mean_s * (1.0 + (size - 1.0) * estimates.hint_regression_slope())
    }

    /// Returns the longest mean run time that is assumed for a class, in seconds.
    pub fn longest_assumed_run_s(&self, class: usize) -> f64 {
        MAX_RUN_FRACTION * self.classes[class].latency_objective_s
    }

    /// Returns the mean run time of the slowest class, in seconds; 0 before any run has ended.
    pub fn slowest_mean_run_s(&self) -> f64 {
        self.classes
            .iter()
            .map(|estimates| estimates.run_s.value())
            .fold(0.0, f64::max)
    }

    /// Adds the run time of a run that ended.
    pub fn add_run(&mut self, class: usize, run_s: f64, size: f64) {
        self.classes[class].add_run(run_s, size);
    }

    /// Adds a run that was stopped after `elapsed_s`. The complete run would have taken longer, so
    /// it counts as at least the expected run time for its size. If stopped runs were left out,
    /// only short runs would be observed.
    pub fn add_stopped_run(&mut self, class: usize, elapsed_s: f64, size: f64) {
        let estimates = &mut self.classes[class];
        let mean_s = estimates.run_s.value() * size;
        estimates.add_run(elapsed_s.max(mean_s), size);
    }

    /// Returns the ratio of a run time without calls to the class's baseline. The run is first
    /// added to the baseline if the cores were not shared or there is no baseline yet.
    pub fn latency_inflation(&mut self, class: usize, run_s: f64, cores_were_shared: bool) -> f64 {
        let baseline_s = &mut self.classes[class].baseline_s;
        if !cores_were_shared || !baseline_s.has_samples() {
            baseline_s.add(run_s, SLOW_WEIGHT);
        }
        run_s / baseline_s.value().max(MIN_RUN_S)
    }
}
