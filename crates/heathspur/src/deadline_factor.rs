//! The safety factor on remaining deadlines, adapted so that few runs are wasted.
//!
//! Estimated waits and run times are means, so about half of the requests that have just the
//! estimated time left miss their latency objective. The factor is the fraction of the remaining
//! time that an estimate may take. It decreases while too many runs end too late or after their
//! client has cancelled.

/// Target fraction of runs that are wasted.
const WASTED_RUN_TARGET: f64 = 0.1;
/// Relative decrease of the factor for a wasted run.
const STEP: f64 = 0.1;
/// Least factor for the time in the queue and the run together.
const MIN_QUEUE_FACTOR: f64 = 0.25;
/// Least factor for the run alone.
const MIN_RUN_FACTOR: f64 = 0.5;

/// The adaptive safety factor.
#[derive(Debug)]
pub(crate) struct DeadlineFactor {
    factor: f64,
}

impl DeadlineFactor {
    /// Creates a factor that uses all of the remaining time.
    pub fn new() -> DeadlineFactor {
        DeadlineFactor { factor: 1.0 }
    }

    /// Returns the fraction of the remaining time that the queue and the run may take.
    pub fn for_queue(&self) -> f64 {
        self.factor
    }

    /// Returns the fraction of the remaining time that the run alone may take.
    pub fn for_run(factor_for_queue: f64) -> f64 {
        factor_for_queue.max(MIN_RUN_FACTOR)
    }

    /// Records that a run met its objective.
    pub fn record_useful_run(&mut self) {
        self.adjust(WASTED_RUN_TARGET / (1.0 - WASTED_RUN_TARGET));
    }

    /// Records that a run ended too late, or that its client cancelled it.
    pub fn record_wasted_run(&mut self) {
        self.adjust(-1.0);
    }

    fn adjust(&mut self, steps: f64) {
        self.factor = (self.factor * (1.0 + STEP * steps)).clamp(MIN_QUEUE_FACTOR, 1.0);
    }
}
