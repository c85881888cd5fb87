//! Runs an experiment: injects the plan's faults into a fleet and measures how its members detect them and recover.

use crate::false_deaths;
use crate::fleet::Fleet;
use crate::network::Traffic;
use crate::outcome::{FaultOutcome, Run, ViewSample};
use crate::plan::{Fault, FaultKind, Plan};
use heathspur_config::units::Span;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The interval between two samples of views and traffic, in milliseconds.
const SAMPLE_MS: u64 = 1_000;
/// The share of the other members that counts as most of them having detected a failure, in percent.
const MOST_PERCENT: usize = 99;
/// The fault index of the outcome for the start of the fleet, which is not a fault of the plan.
const INITIAL_JOIN: usize = usize::MAX;
/// The minimum total running time by which rates are divided, in seconds. It prevents a division by zero.
const MIN_MEMBER_SECONDS: f64 = 1e-3;

/// Runs the plan once for each seed, in parallel on the available cores; the runs are sorted by seed.
pub fn run(plan: &Plan) -> Vec<Run> {
    let next = AtomicU64::new(0);
    let runs = Mutex::new(Vec::new());
    let workers = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .min(plan.seeds as usize);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let offset = next.fetch_add(1, Ordering::Relaxed);
                if offset >= plan.seeds {
                    return;
                }
                let run = run_seed(plan, plan.first_seed.wrapping_add(offset));
                runs.lock()
                    .expect("no worker panics while it holds the lock")
                    .push(run);
            });
        }
    });
    let mut runs = runs.into_inner().expect("all workers have ended");
    runs.sort_by_key(|run: &Run| run.seed);
    runs
}

/// Runs the plan with one seed.
pub fn run_seed(plan: &Plan, seed: u64) -> Run {
    let mut runner = Runner::new(plan, seed);
    for (index, fault) in plan.faults.iter().enumerate() {
        runner.run_until(millis(fault.at));
        runner.inject(index, fault);
    }
    runner.run_until(millis(plan.duration));
    runner.finish(seed, plan)
}

/// An outcome that is still being measured.
struct Measurement {
    /// Its index among the outcomes.
    outcome: usize,
    started_at: u64,
    /// The stopped member that the others have to detect, if any.
    stopped_member: Option<usize>,
}

/// A fleet under experiment and its measurements so far.
struct Runner {
    fleet: Fleet,
    outcomes: Vec<FaultOutcome>,
    measurements: Vec<Measurement>,
    /// The total running time of all members, in milliseconds.
    member_ms: u64,
    /// The samples in order of time. Their bytes are totals since the start until the run ends.
    samples: Vec<ViewSample>,
}

impl Runner {
    fn new(plan: &Plan, seed: u64) -> Runner {
        let settings = plan.settings();
        let fleet = if plan.established {
            Fleet::established(plan.members, plan.zones, settings, seed)
        } else {
            Fleet::new(plan.members, plan.zones, settings, seed)
        };
        let mut runner = Runner {
            fleet,
            outcomes: Vec::new(),
            measurements: Vec::new(),
            member_ms: 0,
            samples: Vec::new(),
        };
        if !plan.established {
            runner.start_measurement(INITIAL_JOIN, FaultKind::Restart, None);
        }
        runner
    }

    fn start_measurement(&mut self, fault: usize, kind: FaultKind, stopped_member: Option<usize>) {
        self.measurements.push(Measurement {
            outcome: self.outcomes.len(),
            started_at: self.fleet.now,
            stopped_member,
        });
        self.outcomes.push(FaultOutcome::new(fault, kind));
    }

    fn inject(&mut self, index: usize, fault: &Fault) {
        apply(&mut self.fleet, fault);
        match fault.kind {
            FaultKind::Crash | FaultKind::Leave => {
                let stopped_member = fault.member.unwrap_or(0);
                self.start_measurement(index, fault.kind, Some(stopped_member));
            }
            FaultKind::Restart | FaultKind::Heal => {
                self.start_measurement(index, fault.kind, None);
            }
            _ => {}
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.fleet.now < end {
            let before = self.fleet.now;
            self.fleet.step();
            self.member_ms += self.fleet.views.up_count() as u64 * (self.fleet.now - before);
            self.update_measurements();
            if self.fleet.now / SAMPLE_MS > before / SAMPLE_MS {
                self.take_sample();
            }
        }
    }

    fn take_sample(&mut self) {
        let sent_bytes = sum(self.fleet.network.traffic(), |traffic| traffic.bytes);
        self.samples.push(ViewSample {
            wrong_share: self.fleet.views.wrong_share(),
            bytes_per_member: sent_bytes as f64 / self.fleet.views.up_count().max(1) as f64,
        });
    }

    fn update_measurements(&mut self) {
        let (fleet, outcomes) = (&self.fleet, &mut self.outcomes);
        self.measurements
            .retain(|measurement| !update(measurement, &mut outcomes[measurement.outcome], fleet));
    }

    fn finish(mut self, seed: u64, plan: &Plan) -> Run {
        let member_seconds = (self.member_ms as f64 / 1e3).max(MIN_MEMBER_SECONDS);
        let traffic = self.fleet.network.traffic();
        let datagrams = sum(traffic, |traffic| traffic.datagrams) as f64;
        let bytes = sum(traffic, |traffic| traffic.bytes) as f64;
        let busiest = traffic.iter().map(|traffic| traffic.bytes).max();
        // Convert totals since the start to bytes in each interval.
        for index in (1..self.samples.len()).rev() {
            self.samples[index].bytes_per_member -= self.samples[index - 1].bytes_per_member;
        }
        Run {
            seed,
            outcomes: self.outcomes,
            false_deaths: false_deaths::count(&self.fleet.changes, plan),
            member_hours: member_seconds / 3_600.0,
            datagrams_per_second: datagrams / member_seconds,
            bytes_per_second: bytes / member_seconds,
            max_bytes_per_second: busiest.unwrap_or(0) as f64 / plan.duration.0.as_secs_f64(),
            samples: self.samples,
        }
    }
}

/// Applies a fault to the fleet or its network.
fn apply(fleet: &mut Fleet, fault: &Fault) {
    let member = fault.member.unwrap_or(0);
    let span_ms = fault.span.map_or(0, millis);
    let members = fleet.nodes.len();
    let network = &mut fleet.network.faults;
    match fault.kind {
        FaultKind::Crash => fleet.crash(member),
        FaultKind::Restart => fleet.start(member),
        FaultKind::Leave => fleet.leave(member),
        FaultKind::Pause => fleet.nodes[member].paused_until = fleet.now + span_ms,
        FaultKind::Slow => fleet.nodes[member].extra_delay_ms = span_ms,
        FaultKind::Clock => fleet.nodes[member].clock_rate = fault.rate.unwrap_or(1.0),
        FaultKind::Partition => network.partition(members, member),
        FaultKind::Heal => network.heal(),
        FaultKind::Cut => {
            network.cut.insert((member, fault.other.unwrap_or(0)));
        }
        FaultKind::Loss => network.loss = fault.share.unwrap_or(0.0),
        FaultKind::Duplicate => network.duplicate = fault.share.unwrap_or(0.0),
        FaultKind::Delay => {
            network.delay_ms = span_ms;
            network.jitter_ms = fault.jitter.map_or(0, millis);
        }
    }
}

/// Updates an outcome. Returns whether its measurement is complete.
fn update(measurement: &Measurement, outcome: &mut FaultOutcome, fleet: &Fleet) -> bool {
    let elapsed_ms = fleet.now - measurement.started_at;
    if let Some(member) = measurement.stopped_member {
        update_detection(outcome, fleet, member, elapsed_ms);
        if outcome.all_detected_ms.is_none() {
            return false;
        }
    }
    if fleet.has_converged() {
        outcome.converged_ms = Some(elapsed_ms);
    }
    outcome.converged_ms.is_some()
}

/// Records when the other members detect that `member` has stopped.
fn update_detection(outcome: &mut FaultOutcome, fleet: &Fleet, member: usize, elapsed_ms: u64) {
    let detection = fleet.views.failure_detection(member);
    let detected_by_most = detection.detected_by * 100 >= detection.observers * MOST_PERCENT;
    let detected_by_all = detection.detected_by == detection.observers;
    for (time, reached) in [
        (&mut outcome.suspected_ms, fleet.views.is_suspected(member)),
        (&mut outcome.first_detected_ms, detection.detected_by > 0),
        (&mut outcome.most_detected_ms, detected_by_most),
        (&mut outcome.all_detected_ms, detected_by_all),
    ] {
        if reached {
            time.get_or_insert(elapsed_ms);
        }
    }
}

fn sum(traffic: &[Traffic], count: impl Fn(&Traffic) -> u64) -> u64 {
    traffic.iter().map(count).sum()
}

fn millis(span: Span) -> u64 {
    span.0.as_millis() as u64
}
