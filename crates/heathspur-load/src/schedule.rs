//! The schedule of a load test: the send time of each request. It depends only on the plan and its seed.
//!
//! Requests are generated one at a time, so memory use does not grow with the duration of the plan.

use crate::plan::{Arrivals, Plan, Stage};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Standard deviation of the natural logarithm of the gaps between bursty arrivals.
const BURST_LOG_DEVIATION: f64 = 1.5;
/// Maximum number of pending retries; retries beyond it are dropped and counted.
pub const MAX_PENDING_RETRIES: usize = 100_000;
const NANOS_PER_SECOND: f64 = 1e9;

/// One request of the schedule. Requests are ordered by their intended time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScheduledRequest {
    /// Intended time, in nanoseconds from the start.
    pub at: u64,
    /// Number of the request, unique in the schedule.
    pub number: u64,
    /// Number of the first attempt: the same as `number`, or for a retry that of the retried request.
    pub first_attempt: u64,
    /// Index of the target in the plan.
    pub target: usize,
    /// Index of the class in the plan.
    pub class: usize,
}

impl ScheduledRequest {
    /// Returns whether this is a retry.
    pub fn is_retry(&self) -> bool {
        self.first_attempt != self.number
    }
}

/// Iterator over the requests of a plan, in order of time.
pub struct Schedule<'a> {
    plan: &'a Plan,
    rng: StdRng,
    stage: usize,
    /// Start of the stage, in nanoseconds from the start of the plan.
    stage_start: u64,
    /// Time of the last first attempt, in nanoseconds from the start of the stage.
    stage_offset: f64,
    next_first_attempt: Option<ScheduledRequest>,
    pending_retries: BinaryHeap<Reverse<ScheduledRequest>>,
    last_number: u64,
    dropped_retries: u64,
}

impl<'a> Schedule<'a> {
    /// Creates the schedule of a plan.
    pub fn new(plan: &'a Plan) -> Schedule<'a> {
        let mut schedule = Schedule {
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            stage: 0,
            stage_start: 0,
            stage_offset: 0.0,
            next_first_attempt: None,
            pending_retries: BinaryHeap::new(),
            last_number: 0,
            dropped_retries: 0,
        };
        schedule.next_first_attempt = schedule.draw_first_attempt();
        schedule
    }

    /// Returns the number of retries dropped because [`MAX_PENDING_RETRIES`] were pending.
    pub fn dropped_retries(&self) -> u64 {
        self.dropped_retries
    }

    /// Returns the total duration of the stages of a plan, in nanoseconds.
    pub fn duration_nanos(plan: &Plan) -> u64 {
        plan.stages.iter().map(stage_nanos).sum()
    }

    fn draw_first_attempt(&mut self) -> Option<ScheduledRequest> {
        loop {
            let stage = self.plan.stages.get(self.stage)?;
            self.stage_offset += draw_gap(stage, &mut self.rng);
            let stage_nanos = stage_nanos(stage);
            if self.stage_offset < stage_nanos as f64 {
                return Some(self.new_first_attempt());
            }
            self.stage += 1;
            self.stage_start += stage_nanos;
            self.stage_offset = 0.0;
        }
    }

    fn new_first_attempt(&mut self) -> ScheduledRequest {
        let target = self.draw_target();
        let class = self.draw_class();
        let number = self.next_number();
        ScheduledRequest {
            at: self.stage_start + self.stage_offset as u64,
            number,
            first_attempt: number,
            target,
            class,
        }
    }

    /// Draws whether a first attempt is retried, and when. The retry is sent to any target, as by a load balancer.
    fn draw_retry(&mut self, first_attempt: &ScheduledRequest) {
        let class = &self.plan.classes[first_attempt.class];
        if class.retry_share <= 0.0 || !self.rng.random_bool(class.retry_share) {
            return;
        }
        if self.pending_retries.len() >= MAX_PENDING_RETRIES {
            self.dropped_retries += 1;
            return;
        }
        let mean_nanos = class.retry_delay.0.as_nanos() as f64;
        let delay_nanos = draw_exponential(mean_nanos, &mut self.rng);
        let target = self.draw_target();
        let number = self.next_number();
        self.pending_retries.push(Reverse(ScheduledRequest {
            at: first_attempt.at + delay_nanos as u64,
            number,
            target,
            ..*first_attempt
        }));
    }

    fn draw_target(&mut self) -> usize {
        let weights: Vec<u32> = self.plan.targets.iter().map(|t| t.weight).collect();
        draw_index(&weights, &mut self.rng)
    }

    fn draw_class(&mut self) -> usize {
        let weights: Vec<u32> = self.plan.classes.iter().map(|c| c.weight).collect();
        draw_index(&weights, &mut self.rng)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

impl Iterator for Schedule<'_> {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        let retry_is_next = match (&self.next_first_attempt, self.pending_retries.peek()) {
            (Some(first_attempt), Some(Reverse(retry))) => retry.at < first_attempt.at,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if retry_is_next {
            return self.pending_retries.pop().map(|Reverse(retry)| retry);
        }
        let first_attempt = self.next_first_attempt.take()?;
        self.draw_retry(&first_attempt);
        self.next_first_attempt = self.draw_first_attempt();
        Some(first_attempt)
    }
}

fn stage_nanos(stage: &Stage) -> u64 {
    stage.duration.0.as_nanos() as u64
}

/// Draws the gap between two first attempts, in nanoseconds.
fn draw_gap(stage: &Stage, rng: &mut StdRng) -> f64 {
    let mean = NANOS_PER_SECOND / stage.rate;
    match stage.arrivals {
        Arrivals::Regular => mean,
        Arrivals::Poisson => draw_exponential(mean, rng),
        Arrivals::Bursts => draw_log_normal(mean, rng),
    }
}

fn draw_exponential(mean: f64, rng: &mut StdRng) -> f64 {
    Exp::new(1.0 / mean).map_or(mean, |distribution| distribution.sample(rng))
}

fn draw_log_normal(mean: f64, rng: &mut StdRng) -> f64 {
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    let mu = mean.ln() - BURST_LOG_DEVIATION * BURST_LOG_DEVIATION / 2.0;
    LogNormal::new(mu, BURST_LOG_DEVIATION).map_or(mean, |distribution| distribution.sample(rng))
}

/// Draws an index with a probability proportional to its weight.
fn draw_index(weights: &[u32], rng: &mut StdRng) -> usize {
    let mut remaining = rng.random_range(0..weights.iter().sum::<u32>().max(1));
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    0
}
