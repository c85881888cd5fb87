//! What came of a load test: answers by status, latency from the intended time, what was never sent.

use crate::plan::Plan;
use crate::schedule::Send;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// First tries whose results are remembered, to hold those of their repeats against them.
const REMEMBERED: usize = 100_000;
/// Times are kept up to this, in microseconds; longer ones count as this long.
const LONGEST: u64 = 3_600_000_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Answered with this status; the number is a digest of the body.
    Answered(u16, u64),
    /// Refused before anything ran, by HTTP/2's own means.
    Refused,
    /// The stream or connection ended without an answer.
    Broken,
    /// No answer within the patience.
    TimedOut,
    /// Never sent: too many were open.
    Skipped,
    /// Never sent: no connection could be made.
    NoConnection,
}

/// Of one kind of requests.
#[derive(Clone, Debug)]
pub struct Part {
    /// Requests that were due.
    pub due: u64,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Other ends.
    pub others: BTreeMap<End, u64>,
    /// Microseconds from the intended time to the end of the answer, of answers with 200.
    pub latency: Histogram<u64>,
}

impl Part {
    fn new() -> Part {
        // Three digits over an hour: the bounds are in order, so this can't fail.
        let latency = Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds in order");
        Part {
            due: 0,
            statuses: BTreeMap::new(),
            others: BTreeMap::new(),
            latency,
        }
    }

    /// Milliseconds at a quantile of latency.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Of each second: intended, answered with 200, refused, other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Requests that were due in it.
    pub due: u32,
    /// Answers with 200 that came in it.
    pub served: u32,
    /// Refusals that came in it.
    pub refused: u32,
}

/// The audit; taken in as things happen.
pub struct Audit {
    /// By target and class, as the plan numbers them.
    pub parts: BTreeMap<(usize, usize), Part>,
    /// By second from the start.
    pub seconds: Vec<Second>,
    /// Microseconds that the sender was late.
    pub lateness: Histogram<u64>,
    /// Repeats whose result is another than that of their first try.
    pub differ: u64,
    results: HashMap<u64, u64>,
    order: VecDeque<u64>,
    keyed: Vec<bool>,
}

impl Audit {
    /// An empty one for a plan.
    pub fn new(plan: &Plan) -> Audit {
        Audit {
            parts: BTreeMap::new(),
            seconds: Vec::new(),
            lateness: Part::new().latency,
            differ: 0,
            results: HashMap::new(),
            order: VecDeque::new(),
            keyed: plan.classes.iter().map(|class| class.keyed).collect(),
        }
    }

    fn second(&mut self, at: u64) -> &mut Second {
        let second = (at / 1_000_000_000) as usize;
        if self.seconds.len() <= second {
            // A plan lasts a day at most, and answers come within its patience.
            self.seconds.resize(second + 1, Second::default());
        }
        &mut self.seconds[second]
    }

    /// A request has left, so late after its time.
    pub fn sent(&mut self, late_nanos: u64) {
        self.lateness.saturating_record(late_nanos / 1000);
    }

    /// A request has ended, at this time from the start in nanoseconds.
    pub fn ended(&mut self, send: &Send, end: End, at: u64) {
        self.second(send.at).due += 1;
        let part = self
            .parts
            .entry((send.target, send.class))
            .or_insert_with(Part::new);
        part.due += 1;
        match end {
            End::Answered(status, digest) => {
                *part.statuses.entry(status).or_default() += 1;
                if status == 200 {
                    part.latency
                        .saturating_record(at.saturating_sub(send.at) / 1000);
                    self.second(at).served += 1;
                    self.compare(send, digest);
                } else if status == 503 {
                    self.second(at).refused += 1;
                }
            }
            End::Refused => {
                *part.others.entry(end).or_default() += 1;
                self.second(at).refused += 1;
            }
            _ => *part.others.entry(end).or_default() += 1,
        }
    }

    /// All tries of one keyed request have one result.
    fn compare(&mut self, send: &Send, digest: u64) {
        if !self.keyed.get(send.class).copied().unwrap_or(false) {
            return;
        }
        if let Some(known) = self.results.get(&send.first) {
            self.differ += u64::from(*known != digest);
            return;
        }
        self.results.insert(send.first, digest);
        self.order.push_back(send.first);
        if self.order.len() > REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.results.remove(&oldest);
            }
        }
    }

    /// Requests that were due.
    pub fn due(&self) -> u64 {
        self.parts.values().map(|part| part.due).sum()
    }

    /// Requests that were sent and got no final answer.
    pub fn unanswered(&self) -> u64 {
        let lost = |part: &Part| {
            let count = |end| part.others.get(&end).copied().unwrap_or(0);
            count(End::Broken) + count(End::TimedOut)
        };
        self.parts.values().map(lost).sum()
    }

    /// Latency over all parts.
    pub fn latency(&self) -> Histogram<u64> {
        let mut all = Part::new().latency;
        for part in self.parts.values() {
            // All have the same bounds, so this can't fail.
            let _ = all.add(&part.latency);
        }
        all
    }
}
