//! When each request leaves: drawn by the plan's seed alone, one at a time, so that a day's plan takes no more
//! memory than a minute's.

use crate::plan::{Arrivals, Plan};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Deviation of the logarithm of distances in bursts.
const BURSTS: f64 = 1.5;
/// Repeats that may wait for their time at once; those past it are not sent, and counted.
pub const WAITING: usize = 100_000;

/// One request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Send {
    /// When it is to leave, in nanoseconds from the start.
    pub at: u64,
    /// Its number; no two have the same.
    pub number: u64,
    /// The number of the first try of what it asks for: its own, or that of the one it repeats.
    pub first: u64,
    /// Its place among the plan's targets.
    pub target: usize,
    /// Its place among the plan's classes.
    pub class: usize,
}

impl Send {
    /// Whether it repeats another.
    pub fn is_repeat(&self) -> bool {
        self.first != self.number
    }
}

/// The sends of a plan, in order of time.
pub struct Schedule<'a> {
    plan: &'a Plan,
    rng: StdRng,
    stage: usize,
    /// When the stage began, and where the last first try in it stands, in nanoseconds.
    began: u64,
    at: f64,
    next: Option<Send>,
    repeats: BinaryHeap<Reverse<Send>>,
    number: u64,
    left_out: u64,
}

impl<'a> Schedule<'a> {
    /// The sends of a plan.
    pub fn new(plan: &'a Plan) -> Schedule<'a> {
        let mut schedule = Schedule {
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            stage: 0,
            began: 0,
            at: 0.0,
            next: None,
            repeats: BinaryHeap::new(),
            number: 0,
            left_out: 0,
        };
        schedule.next = schedule.first_try();
        schedule
    }

    /// Repeats that were not planned since too many waited.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// How long all stages last, in nanoseconds.
    pub fn length(plan: &Plan) -> u64 {
        plan.stages
            .iter()
            .map(|stage| stage.duration.0.as_nanos() as u64)
            .sum()
    }

    /// The next first try of the stages.
    fn first_try(&mut self) -> Option<Send> {
        loop {
            let stage = self.plan.stages.get(self.stage)?;
            let length = stage.duration.0.as_nanos() as u64;
            let mean = 1e9 / stage.rate;
            self.at += match stage.arrivals {
                Arrivals::Regular => mean,
                Arrivals::Poisson => {
                    Exp::new(1.0 / mean).map_or(mean, |gaps| gaps.sample(&mut self.rng))
                }
                // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
                Arrivals::Bursts => LogNormal::new(mean.ln() - BURSTS * BURSTS / 2.0, BURSTS)
                    .map_or(mean, |gaps| gaps.sample(&mut self.rng)),
            };
            if self.at < length as f64 {
                let target =
                    self.draw(|plan| plan.targets.iter().map(|target| target.part).collect());
                let class = self.draw(|plan| plan.classes.iter().map(|class| class.part).collect());
                let number = self.new_number();
                return Some(Send {
                    at: self.began + self.at as u64,
                    number,
                    first: number,
                    target,
                    class,
                });
            }
            (self.began, self.at, self.stage) = (self.began + length, 0.0, self.stage + 1);
        }
    }

    /// A place by lot, by parts.
    fn draw(&mut self, parts: impl Fn(&Plan) -> Vec<u32>) -> usize {
        let parts = parts(self.plan);
        let mut lot = self.rng.random_range(0..parts.iter().sum::<u32>().max(1));
        for (at, part) in parts.iter().enumerate() {
            if lot < *part {
                return at;
            }
            lot -= part;
        }
        0
    }

    fn new_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Plans the repeat of a first try, if lot wants one: to any target, as balancers do it.
    fn plan_repeat(&mut self, first: &Send) {
        let class = &self.plan.classes[first.class];
        if class.repeats <= 0.0 || !self.rng.random_bool(class.repeats) {
            return;
        }
        if self.repeats.len() >= WAITING {
            self.left_out += 1;
            return;
        }
        let mean = class.repeat_after.0.as_nanos() as f64;
        let after = Exp::new(1.0 / mean).map_or(mean, |gaps| gaps.sample(&mut self.rng));
        let target = self.draw(|plan| plan.targets.iter().map(|target| target.part).collect());
        let number = self.new_number();
        self.repeats.push(Reverse(Send {
            at: first.at + after as u64,
            number,
            target,
            ..*first
        }));
    }
}

impl Iterator for Schedule<'_> {
    type Item = Send;

    fn next(&mut self) -> Option<Send> {
        let repeat_first = match (&self.next, self.repeats.peek()) {
            (Some(first), Some(Reverse(repeat))) => repeat.at < first.at,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if repeat_first {
            return self.repeats.pop().map(|Reverse(repeat)| repeat);
        }
        let first = self.next.take()?;
        self.plan_repeat(&first);
        self.next = self.first_try();
        Some(first)
    }
}
