//! What came of a replay, against the recording and against the rules.

use crate::outcome::{Counts, End, Outcome, Unsent};
use crate::plan::Plan;
use crate::recording::RecordedRequest;
use crate::Nanos;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// A second, the window in which drift is told.
const SECOND: Nanos = 1_000_000_000;

/// Quantiles of a set of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// How many there are.
    pub count: u64,
    /// Half are not above this.
    pub p50_ms: f64,
    /// 99 of 100 are not.
    pub p99_ms: f64,
    /// 999 of 1,000 are not.
    pub p999_ms: f64,
    /// None is.
    pub max_ms: f64,
}

/// Collects times, in nanoseconds, with three digits kept.
pub struct Collect(Option<Histogram<u64>>);

impl Default for Collect {
    fn default() -> Collect {
        Collect::new()
    }
}

impl Collect {
    /// An empty one.
    pub fn new() -> Collect {
        // An hour at the most; it saturates there.
        Collect(Histogram::new_with_bounds(1, 3600 * SECOND, 3).ok())
    }

    /// Adds a time.
    pub fn add(&mut self, time: Nanos) {
        if let Some(times) = &mut self.0 {
            times.saturating_record(time.max(1));
        }
    }

    /// Its quantiles.
    pub fn times(&self) -> Times {
        let Some(times) = self.0.as_ref().filter(|times| !times.is_empty()) else {
            return Times::default();
        };
        let ms = |value: u64| value as f64 / 1e6;
        Times {
            count: times.len(),
            p50_ms: ms(times.value_at_quantile(0.5)),
            p99_ms: ms(times.value_at_quantile(0.99)),
            p999_ms: ms(times.value_at_quantile(0.999)),
            max_ms: ms(times.max()),
        }
    }
}

/// How results compare with the recorded ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Compared {
    /// Same status, same body.
    pub same: u64,
    /// Another status.
    pub status_differs: u64,
    /// Same status, another body.
    pub body_differs: u64,
    /// Answered now and not in the recording.
    pub only_now: u64,
    /// Answered in the recording and not now.
    pub only_recorded: u64,
    /// Answered in neither.
    pub neither: u64,
}

/// The audit of a replay.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Audit {
    /// Requests of the schedule.
    pub requests: u64,
    /// Requests that left.
    pub sent: u64,
    /// Requests with one answer.
    pub answered: u64,
    /// Requests that left and whose connection ended without an answer.
    pub broken: u64,
    /// Requests that left and were not answered for too long.
    pub timed_out: u64,
    /// Requests that never left, by cause.
    pub unsent: BTreeMap<Unsent, u64>,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Connections and the like.
    pub counts: Counts,
    /// Against the recording.
    pub compared: Compared,
    /// Requests answered later than they might be, where a limit was given.
    pub late: u64,
    /// Keys whose requests were answered 200 with different bodies: an effect twice, or a result not kept.
    pub keys_differ: u64,
    /// How long after its intended time each request left.
    pub lateness: Times,
    /// The largest change of the median lateness from a second to the next, in milliseconds.
    pub drift_ms_per_s: f64,
    /// From the last byte of each recorded request to the last of its answer, as it was recorded.
    pub recorded_latency: Times,
    /// From the intended time to the answer's last byte.
    pub latency: Times,
}

impl Audit {
    /// Whether each request of the schedule was sent and answered once.
    pub fn whole(&self) -> bool {
        self.answered == self.requests && self.counts.extra_answers == 0
    }

    /// Whether what came back breaks a rule: two answers, or one key with two results.
    pub fn breaks_a_rule(&self) -> bool {
        self.counts.extra_answers > 0 || self.keys_differ > 0 || self.late > 0
    }
}

/// What an audit goes by.
#[derive(Clone, Copy, Debug, Default)]
pub struct Terms<'a> {
    /// The field that carries an idempotency key.
    pub key: &'a str,
    /// An answer later than this after the intended time is late.
    pub late_after: Option<Nanos>,
}

/// Makes the audit.
pub fn audit(
    recorded: &[RecordedRequest],
    plan: &Plan,
    outcomes: &[Outcome],
    counts: Counts,
    terms: Terms<'_>,
) -> Audit {
    let mut audit = Audit {
        requests: plan.requests.len() as u64,
        counts,
        ..Audit::default()
    };
    let (mut late, mut latency, mut before) = (Collect::new(), Collect::new(), Collect::new());
    let mut seconds: BTreeMap<u64, Vec<Nanos>> = BTreeMap::new();
    let mut keys: HashMap<(u64, &[u8]), Vec<u64>> = HashMap::new();
    for (send, outcome) in plan.requests.iter().zip(outcomes) {
        let request = &recorded[send.recorded];
        if let Some(sent) = outcome.sent {
            audit.sent += 1;
            let lateness = sent.saturating_sub(outcome.intended);
            late.add(lateness);
            seconds
                .entry(outcome.intended / SECOND)
                .or_default()
                .push(lateness);
        }
        if let Some(answer) = &request.response {
            before.add(answer.last_byte_at.saturating_sub(request.last_byte_at));
        }
        let was = request.response.as_ref();
        match outcome.end {
            End::Answered {
                status,
                digest,
                last,
                ..
            } => {
                audit.answered += 1;
                *audit.statuses.entry(status).or_default() += 1;
                let took = last.saturating_sub(outcome.intended);
                latency.add(took);
                audit.late += u64::from(terms.late_after.is_some_and(|most| took > most));
                match was {
                    None => audit.compared.only_now += 1,
                    Some(was) if was.status != status => audit.compared.status_differs += 1,
                    Some(was) if was.body_digest != digest => audit.compared.body_differs += 1,
                    Some(_) => audit.compared.same += 1,
                }
                if let Some(key) = key(request, terms.key).filter(|_| status == 200) {
                    keys.entry((send.copy, key)).or_default().push(digest);
                }
                continue;
            }
            End::Broken => audit.broken += 1,
            End::TimedOut => audit.timed_out += 1,
            End::Unsent(why) => *audit.unsent.entry(why).or_default() += 1,
            End::Open => {}
        }
        match was {
            Some(_) => audit.compared.only_recorded += 1,
            None => audit.compared.neither += 1,
        }
    }
    audit.keys_differ = keys
        .values()
        .filter(|results| results.iter().any(|r| *r != results[0]))
        .count() as u64;
    audit.lateness = late.times();
    audit.latency = latency.times();
    audit.recorded_latency = before.times();
    audit.drift_ms_per_s = drift(seconds);
    audit
}

fn key<'a>(request: &'a RecordedRequest, name: &str) -> Option<&'a [u8]> {
    if name.is_empty() {
        return None;
    }
    // The head ends at the first empty line; a request that was found has one.
    let end = request
        .bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")?
        + 2;
    let line = request.bytes.iter().position(|b| *b == b'\n')? + 1;
    let mut fields =
        heathspur_wire::http::Fields::over(request.bytes.get(line..end)?).filter_map(Result::ok);
    fields
        .find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()))
        .map(|(_, value)| value)
}

/// The largest change of the median from a second to the next that has requests.
fn drift(seconds: BTreeMap<u64, Vec<Nanos>>) -> f64 {
    let mut before: Option<(u64, f64)> = None;
    let mut most = 0.0_f64;
    for (second, mut times) in seconds {
        times.sort_unstable();
        let median = times[times.len() / 2] as f64 / 1e6;
        if let Some((last, was)) = before {
            most = most.max((median - was).abs() / (second - last) as f64);
        }
        before = Some((second, median));
    }
    most
}
