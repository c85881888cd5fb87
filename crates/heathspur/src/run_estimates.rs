//! Estimates of run times, learned for each class from completed runs and client cost hints.

use crate::ewma::{Ewma, SLOW_WEIGHT};
use crate::settings::Class;

/// Weight of a run in the mean run time of its class.
const RUN_WEIGHT: f64 = 0.05;
/// Run time that is assumed before any run of a class has ended, as a fraction of its objective.
const INITIAL_RUN_FRACTION: f64 = 0.15;
/// Longest mean run time that is assumed, as a fraction of the objective.
const MAX_RUN_FRACTION: f64 = 0.5;
/// Largest factor by which a request is taken to be larger or smaller than its class's mean.
const MAX_RELATIVE_SIZE: f64 = 4.0;
/// Runs after which the regression of run times on hints is used.
const MIN_HINT_SAMPLES: f64 = 8.0;
/// Variance of the hinted sizes from which the regression is used.
const MIN_HINT_VARIANCE: f64 = 0.01;
/// Least cost hint by which sizes are divided, in seconds.
const MIN_COST_S: f64 = 1e-6;
/// Least run time by which run times are divided, in seconds.
const MIN_RUN_S: f64 = 1e-6;
/// Cost that is assumed for a request without a hint, in seconds.
const DEFAULT_COST_S: f64 = 1.0;

/// Run-time estimates of all classes.
#[derive(Debug)]
pub(crate) struct RunEstimates {
    classes: Vec<ClassEstimates>,
}

#[derive(Debug)]
struct ClassEstimates {
    latency_objective_s: f64,
    /// Run time of a request of mean size, with its calls, in seconds.
    run_s: Ewma,
    /// Run time without calls, measured while the cores were not shared, in seconds.
    baseline_s: Ewma,
    /// Cost hint, in seconds.
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

    /// Returns how far run times follow hinted sizes, from 0 to 1. Hints are trusted until enough
    /// runs have shown otherwise.
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
    /// Creates estimates without any observation.
    pub fn new(classes: &[Class]) -> RunEstimates {
        RunEstimates {
            classes: classes.iter().map(ClassEstimates::new).collect(),
        }
    }

    /// Adds a request's cost hint and returns the request's size relative to its class's mean.
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

    /// Returns the expected run time of a request of the given size, in seconds. The mean run time
    /// in it is bounded, so that a class with slow runs still gets starts to learn from.
    pub fn expected_run_of_size_s(&self, class: usize, size: f64) -> f64 {
        let estimates = &self.classes[class];
        let longest_s = MAX_RUN_FRACTION * estimates.latency_objective_s;
        let mean_s = estimates.expected_run_s().min(longest_s);
        mean_s * (1.0 + (size - 1.0) * estimates.hint_regression_slope())
    }

    /// Returns a run time that leaves half of the class's objective, in seconds.
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

    /// Adds a run that was stopped after `elapsed_s`. It would have taken longer than that, so it
    /// counts as a mean run at least; without it only quick runs would be observed.
    pub fn add_stopped_run(&mut self, class: usize, elapsed_s: f64, size: f64) {
        let estimates = &mut self.classes[class];
        let mean_s = estimates.run_s.value() * size;
        estimates.add_run(elapsed_s.max(mean_s), size);
    }

    /// Returns a run time without calls as a multiple of the class's baseline, after it has added
    /// the run to the baseline if the cores were not shared.
    pub fn latency_inflation(&mut self, class: usize, run_s: f64, cores_were_shared: bool) -> f64 {
        let baseline_s = &mut self.classes[class].baseline_s;
        if !cores_were_shared || !baseline_s.has_samples() {
            baseline_s.add(run_s, SLOW_WEIGHT);
        }
        run_s / baseline_s.value().max(MIN_RUN_S)
    }
}
