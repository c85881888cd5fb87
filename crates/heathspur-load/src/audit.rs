//! The results of a load test: responses by status, latency from the intended time, requests that were not sent.

use crate::plan::Plan;
use crate::schedule::ScheduledRequest;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// First attempts whose results are kept, for comparison with those of their retries.
const MAX_KEPT_RESULTS: usize = 100_000;
/// Largest recorded time, in microseconds; longer ones are recorded as this.
const MAX_RECORDED_MICROS: u64 = 3_600_000_000;

const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
/// The status of successful responses.
const STATUS_OK: u16 = 200;
/// The status of rejections.
const STATUS_UNAVAILABLE: u16 = 503;

/// How a request ended. The report prints the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete response.
    Answered {
        /// Its status code.
        status: u16,
        /// A digest of its body.
        body_digest: u64,
    },
    /// Refused before anything ran, by HTTP/2 REFUSED_STREAM.
    Refused,
    /// The stream or connection ended without a response.
    Broken,
    /// No response within the client's timeout.
    TimedOut,
    /// Not sent: too many requests were open.
    Skipped,
    /// Not sent: no connection could be established.
    NoConnection,
}

/// A target and a class, by their indices in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetClass {
    /// Index of the target.
    pub target: usize,
    /// Index of the class.
    pub class: usize,
}

/// Results of the requests of one class to one target.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// Number of requests.
    pub due: u64,
    /// Number of responses by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of requests that ended without a response, by outcome.
    pub other_outcomes: BTreeMap<Outcome, u64>,
    /// Latency of responses with status 200, from the intended time to the end of the response, in microseconds.
    pub latency: Histogram<u64>,
}

impl ClassStats {
    fn new() -> ClassStats {
        // Fails only if the bounds are not in order.
        let latency =
            Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 3).expect("bounds in order");
        ClassStats {
            due: 0,
            statuses: BTreeMap::new(),
            other_outcomes: BTreeMap::new(),
            latency,
        }
    }

    /// Latency at a quantile, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Results of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondStats {
    /// Requests whose intended time was in it.
    pub due: u32,
    /// Responses with status 200 received in it.
    pub served: u32,
    /// Rejections received in it.
    pub rejected: u32,
}

/// Collects the results of a load test as requests are sent and end.
pub struct Audit {
    /// Results by target and class.
    pub stats: BTreeMap<TargetClass, ClassStats>,
    /// Results by second from the start.
    pub seconds: Vec<SecondStats>,
    /// Delay of the sender after the intended times, in microseconds.
    pub send_delay: Histogram<u64>,
    /// Retries whose result differs from that of their first attempt.
    pub mismatched_retries: u64,
    /// Body digest of each kept result, by the number of the first attempt.
    results: HashMap<u64, u64>,
    /// The kept results, oldest first.
    result_order: VecDeque<u64>,
    /// Whether each class carries idempotency keys.
    keyed_classes: Vec<bool>,
}

impl Audit {
    /// An empty audit for a plan.
    pub fn new(plan: &Plan) -> Audit {
        Audit {
            stats: BTreeMap::new(),
            seconds: Vec::new(),
            send_delay: ClassStats::new().latency,
            mismatched_retries: 0,
            results: HashMap::new(),
            result_order: VecDeque::new(),
            keyed_classes: plan.classes.iter().map(|class| class.keyed).collect(),
        }
    }

    fn second(&mut self, at: u64) -> &mut SecondStats {
        let second = (at / NANOS_PER_SECOND) as usize;
        if self.seconds.len() <= second {
            // Bounded: a plan lasts a day at most, and requests end within the client's timeout.
            self.seconds.resize(second + 1, SecondStats::default());
        }
        &mut self.seconds[second]
    }

    /// Records that a request was sent, with its delay after the intended time.
    pub fn record_sent(&mut self, delay_nanos: u64) {
        self.send_delay
            .saturating_record(delay_nanos / NANOS_PER_MICRO);
    }

    /// Records that a request ended at time `at`, in nanoseconds from the start.
    pub fn record_outcome(&mut self, request: &ScheduledRequest, outcome: Outcome, at: u64) {
        self.second(request.at).due += 1;
        let stats = self
            .stats
            .entry(TargetClass {
                target: request.target,
                class: request.class,
            })
            .or_insert_with(ClassStats::new);
        stats.due += 1;
        match outcome {
            Outcome::Answered {
                status,
                body_digest,
            } => {
                *stats.statuses.entry(status).or_default() += 1;
                if status == STATUS_OK {
                    stats
                        .latency
                        .saturating_record(at.saturating_sub(request.at) / NANOS_PER_MICRO);
                    self.second(at).served += 1;
                    self.compare_with_first_result(request, body_digest);
                } else if status == STATUS_UNAVAILABLE {
                    self.second(at).rejected += 1;
                }
            }
            Outcome::Refused => {
                *stats.other_outcomes.entry(outcome).or_default() += 1;
                self.second(at).rejected += 1;
            }
            _ => *stats.other_outcomes.entry(outcome).or_default() += 1,
        }
    }

    /// Counts a mismatch if another attempt of the same keyed request had a different result.
    fn compare_with_first_result(&mut self, request: &ScheduledRequest, body_digest: u64) {
        if !self
            .keyed_classes
            .get(request.class)
            .copied()
            .unwrap_or(false)
        {
            return;
        }
        if let Some(known) = self.results.get(&request.first_attempt) {
            self.mismatched_retries += u64::from(*known != body_digest);
            return;
        }
        self.results.insert(request.first_attempt, body_digest);
        self.result_order.push_back(request.first_attempt);
        if self.result_order.len() > MAX_KEPT_RESULTS {
            if let Some(oldest) = self.result_order.pop_front() {
                self.results.remove(&oldest);
            }
        }
    }

    /// Total number of requests.
    pub fn due(&self) -> u64 {
        self.stats.values().map(|stats| stats.due).sum()
    }

    /// Number of requests that were sent and got no final response.
    pub fn unanswered(&self) -> u64 {
        let unanswered = |stats: &ClassStats| {
            let count = |outcome| stats.other_outcomes.get(&outcome).copied().unwrap_or(0);
            count(Outcome::Broken) + count(Outcome::TimedOut)
        };
        self.stats.values().map(unanswered).sum()
    }

    /// Latency over all targets and classes, in microseconds.
    pub fn latency(&self) -> Histogram<u64> {
        let mut all = ClassStats::new().latency;
        for stats in self.stats.values() {
            // All histograms have the same bounds, so this can't fail.
            let _ = all.add(&stats.latency);
        }
        all
    }
}
