//! Run-slot budgets of the classes, set by PI control of their queueing delay (Lu et al.).
//!
//! At the end of each control period, a class's budget is adjusted by the difference between a
//! target wait and the mean wait of the requests started in the period. The dispatcher lends slots
//! that a class leaves idle to other classes, so a budget is a guarantee and not a limit.

use crate::time::Time;

/// Gain of the controller, in slots per second of error. A positive error means that the wait is
/// below its target, so the gain is negative.
const GAIN: f64 = -0.80;
/// Fraction of the previous error that is subtracted from the current one.
const PREVIOUS_ERROR_FRACTION: f64 = 0.30;
/// Least budget of a class, in slots, so that some of its requests start and their wait is
/// measured.
const MIN_BUDGET: f64 = 1.0;
/// Target wait, as a fraction of the latency objective minus the expected run time.
const TARGET_WAIT_FRACTION: f64 = 0.5;
/// Least target wait, as a fraction of the latency objective.
const MIN_TARGET_WAIT_FRACTION: f64 = 0.1;
/// Least length of a control period, in seconds, by which slot usage is divided.
const MIN_PERIOD_S: f64 = 0.02;

/// The measured state of one class at the end of a control period.
pub(crate) struct ClassObservation {
    /// Latency objective of the class, in seconds.
    pub latency_objective_s: f64,
    /// Expected run time of a request of mean size, in seconds.
    pub expected_run_s: f64,
    /// Wait of the oldest queued request, in seconds; `None` if none is queued.
    pub oldest_wait_s: Option<f64>,
}

/// Budgets and their control state, one for each class.
#[derive(Debug)]
pub(crate) struct SlotBudgets {
    classes: Vec<ClassSlots>,
    usage_updated_at: Time,
}

#[derive(Debug)]
struct ClassSlots {
    /// Output of the controller, in slots, before rounding.
    control_output: f64,
    /// Slots granted to the class.
    budget: f64,
    previous_error_s: f64,
    /// Sum of the waits of the requests started in this period, in seconds.
    wait_sum_s: f64,
    /// Requests started in this period.
    starts: f64,
    running: usize,
    /// Slot seconds used in this period.
    used_slot_s: f64,
}

impl ClassSlots {
    fn new() -> ClassSlots {
        ClassSlots {
            control_output: 0.0,
            budget: MIN_BUDGET,
            previous_error_s: 0.0,
            wait_sum_s: 0.0,
            starts: 0.0,
            running: 0,
            used_slot_s: 0.0,
        }
    }

    /// Returns the mean wait of the requests started in this period. If none was started, the wait
    /// of the oldest queued request stands in; if none is queued either, there is no wait.
    fn observed_wait_s(&self, oldest_wait_s: Option<f64>) -> Option<f64> {
        if self.starts > 0.0 {
            Some(self.wait_sum_s / self.starts)
        } else {
            oldest_wait_s
        }
    }

    fn begin_period(&mut self) {
        self.wait_sum_s = 0.0;
        self.starts = 0.0;
        self.used_slot_s = 0.0;
    }
}

impl SlotBudgets {
    /// Creates the least budget for each of the given number of classes.
    pub fn new(classes: usize) -> SlotBudgets {
        SlotBudgets {
            classes: (0..classes).map(|_| ClassSlots::new()).collect(),
            usage_updated_at: Time::default(),
        }
    }

    /// Returns the slots granted to a class; 0 for a class that does not exist.
    pub fn budget(&self, class: usize) -> f64 {
        self.classes.get(class).map_or(0.0, |slots| slots.budget)
    }

    /// Returns whether a class runs fewer requests than its budget allows.
    pub fn is_within_budget(&self, class: usize) -> bool {
        let slots = &self.classes[class];
        (slots.running as f64) < slots.budget
    }

    /// Records that a request of the class occupies a run slot.
    pub fn occupy(&mut self, class: usize) {
        self.classes[class].running += 1;
    }

    /// Records that a request of the class leaves its run slot.
    pub fn vacate(&mut self, class: usize) {
        self.classes[class].running -= 1;
    }

    /// Records the wait of a started request that is within its tenant's quota.
    pub fn record_wait(&mut self, class: usize, wait_s: f64) {
        let slots = &mut self.classes[class];
        slots.wait_sum_s += wait_s;
        slots.starts += 1.0;
    }

    /// Accounts for the slots used since the last call.
    pub fn accrue_usage(&mut self, now: Time) {
        let elapsed_s = (now - self.usage_updated_at).secs();
        self.usage_updated_at = now;
        for slots in &mut self.classes {
            slots.used_slot_s += slots.running as f64 * elapsed_s;
        }
    }

    /// Ends a control period and adjusts each class's budget to its wait. `limit` is the server's
    /// concurrency limit.
    pub fn update(&mut self, observations: &[ClassObservation], period_s: f64, limit: f64) {
        let granted = self.classes.iter().map(|slots| slots.budget).sum::<f64>();
        // While the budgets exceed the limit, control continues from the slots in actual use. This
        // prevents the controller's output from winding up.
        let is_saturated = granted > limit;
        for (slots, observed) in self.classes.iter_mut().zip(observations) {
            let wait_s = slots.observed_wait_s(observed.oldest_wait_s);
            let mean_used_slots = slots.used_slot_s / period_s.max(MIN_PERIOD_S);
            slots.begin_period();
            let Some(wait_s) = wait_s else { continue };
            let error_s = target_wait_s(observed) - wait_s;
            let base = if is_saturated {
                mean_used_slots
            } else {
                slots.control_output
            };
            slots.control_output =
                pi_step(base, error_s, slots.previous_error_s).clamp(MIN_BUDGET.min(limit), limit);
            slots.previous_error_s = error_s;
            slots.budget = slots.control_output.round();
        }
    }
}

fn target_wait_s(observed: &ClassObservation) -> f64 {
    let spare_s = observed.latency_objective_s - observed.expected_run_s;
    let least_s = MIN_TARGET_WAIT_FRACTION * observed.latency_objective_s;
    (TARGET_WAIT_FRACTION * spare_s).max(least_s)
}

/// Returns the next output of the PI law in velocity form, `U(m) = U(m-1) + g (E(m) - r E(m-1))`,
/// where `U` is the output, `E` the error, `g` is [`GAIN`] and `r` is [`PREVIOUS_ERROR_FRACTION`].
fn pi_step(output: f64, error_s: f64, previous_error_s: f64) -> f64 {
    output + GAIN * (error_s - PREVIOUS_ERROR_FRACTION * previous_error_s)
}

#[cfg(test)]
#[path = "../tests/unit/slot_budgets.rs"]
mod tests;
