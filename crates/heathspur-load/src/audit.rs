//! The results of a load test: responses by status, latency from the intended time, and requests that were not sent.

use crate::plan::Plan;
use crate::schedule::ScheduledRequest;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of retained results of first attempts, which are compared with those of their retries.
const MAX_RETAINED_RESULTS: usize = 100_000;
/// Longest recorded time, in microseconds; longer times are recorded as this one.
const MAX_RECORDED_MICROS: u64 = 3_600_000_000;

const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
/// The status of successful responses.
const STATUS_OK: u16 = 200;
/// The status of responses to rejected requests.
const STATUS_UNAVAILABLE: u16 = 503;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete response was received.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Digest of the body.
        body_digest: u64,
    },
    /// The server refused the stream before processing it (HTTP/2 REFUSED_STREAM).
    Refused,
    /// The stream or connection ended without a complete response.
    ConnectionLost,
    /// No response was received within the client's timeout.
    TimedOut,
    /// Not sent: too many requests were in flight.
    Skipped,
    /// Not sent: no connection could be established.
    NoConnection,
}

impl Outcome {
    /// Returns the label of an outcome without a response. Reports print it, so it must not change.
    pub fn label(&self) -> &'static str {
        match self {
            Outcome::Answered { .. } => "Answered",
            Outcome::Refused => "Refused",
            Outcome::ConnectionLost => "Broken",
            Outcome::TimedOut => "TimedOut",
            Outcome::Skipped => "Skipped",
            Outcome::NoConnection => "NoConnection",
        }
    }
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
    /// Number of requests that were due.
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
        // Fails only for invalid bounds.
        let latency = Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, 3)
            .expect("the histogram bounds are valid");
        ClassStats {
            due: 0,
            statuses: BTreeMap::new(),
            other_outcomes: BTreeMap::new(),
            latency,
        }
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Results of one second of a load test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondStats {
    /// Requests whose intended time was in this second.
    pub due: u32,
    /// Responses with status 200 received in this second.
    pub served: u32,
    /// Rejections received in this second.
    pub rejected: u32,
}

/// Collects the results of a load test as requests are sent and end.
pub struct Audit {
    /// Results by target and class.
    pub stats: BTreeMap<TargetClass, ClassStats>,
    /// Results by second from the start.
    pub seconds: Vec<SecondStats>,
    /// Delay of sending after the intended time, in microseconds.
    pub send_delay: Histogram<u64>,
    /// Retries whose result differs from that of their first attempt.
    pub mismatched_retries: u64,
    /// Body digest of each retained result, by the number of the first attempt.
    results: HashMap<u64, u64>,
    /// Numbers of the first attempts in `results`, oldest first.
    result_order: VecDeque<u64>,
    /// For each class, whether its requests carry idempotency keys.
    keyed_classes: Vec<bool>,
}

impl Audit {
    /// Creates an empty audit of a plan.
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
            // Bounded: each of up to 100 stages lasts a day at most, and requests end within the client's timeout.
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

    /// Counts a mismatch if an earlier result of the same keyed request differs.
    fn compare_with_first_result(&mut self, request: &ScheduledRequest, body_digest: u64) {
        if !self
            .keyed_classes
            .get(request.class)
            .copied()
            .unwrap_or(false)
        {
            return;
        }
        if let Some(first_digest) = self.results.get(&request.first_attempt) {
            self.mismatched_retries += u64::from(*first_digest != body_digest);
            return;
        }
        self.results.insert(request.first_attempt, body_digest);
        self.result_order.push_back(request.first_attempt);
        if self.result_order.len() > MAX_RETAINED_RESULTS {
            if let Some(oldest) = self.result_order.pop_front() {
                self.results.remove(&oldest);
            }
        }
    }

    /// Returns the total number of requests that were due.
    pub fn due(&self) -> u64 {
        self.stats.values().map(|stats| stats.due).sum()
    }

    /// Returns the number of requests that were sent and got no complete response.
    pub fn unanswered(&self) -> u64 {
        let unanswered = |stats: &ClassStats| {
            let count = |outcome| stats.other_outcomes.get(&outcome).copied().unwrap_or(0);
            count(Outcome::ConnectionLost) + count(Outcome::TimedOut)
        };
        self.stats.values().map(unanswered).sum()
    }

    /// Returns the latency over all targets and classes, in microseconds.
    pub fn latency(&self) -> Histogram<u64> {
        let mut all = ClassStats::new().latency;
        for stats in self.stats.values() {
            // Can't fail: all histograms have the same bounds.
            let _ = all.add(&stats.latency);
        }
        all
    }
}
