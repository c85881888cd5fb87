//! Compares the outcomes of a replay with the recording, and checks them against the rules of the service.

use crate::histogram::{DurationHistogram, Quantiles};
use crate::outcome::{Counts, NotSentReason, Outcome, RequestState};
use crate::plan::{Plan, PlannedRequest};
use crate::recording::{RecordedRequest, RecordedResponse};
use crate::Nanos;
use heathspur_wire::http::Fields;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Drift is the change of lateness between windows of this length.
const DRIFT_WINDOW: Nanos = 1_000_000_000;
const STATUS_OK: u16 = 200;

/// Counts of responses by how they compare with the recorded ones. The serialised names are part of the report format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Comparison {
    /// Same status and same body.
    pub same: u64,
    /// Different status.
    pub status_differs: u64,
    /// Same status and different body.
    pub body_differs: u64,
    /// Answered in the replay only.
    #[serde(rename = "only_now")]
    pub only_replayed: u64,
    /// Answered in the recording only.
    pub only_recorded: u64,
    /// Answered in neither.
    pub neither: u64,
}

impl Comparison {
    fn add_answered(&mut self, recorded: Option<&RecordedResponse>, status: u16, body_digest: u64) {
        let counter = match recorded {
            None => &mut self.only_replayed,
            Some(recorded) if recorded.status != status => &mut self.status_differs,
            Some(recorded) if recorded.body_digest != body_digest => &mut self.body_differs,
            Some(_) => &mut self.same,
        };
        *counter += 1;
    }

    fn add_unanswered(&mut self, recorded: Option<&RecordedResponse>) {
        match recorded {
            Some(_) => self.only_recorded += 1,
            None => self.neither += 1,
        }
    }
}

/// The audit of a replay. The serialised names are part of the report format.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Audit {
    /// Requests planned.
    pub requests: u64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered once.
    pub answered: u64,
    /// Requests sent whose connection ended before they were answered.
    #[serde(rename = "broken")]
    pub connection_lost: u64,
    /// Requests sent that were not answered in time.
    pub timed_out: u64,
    /// Requests not sent, by reason.
    #[serde(rename = "unsent")]
    pub not_sent: BTreeMap<NotSentReason, u64>,
    /// Responses by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Counts of the runner.
    pub counts: Counts,
    /// Comparison with the recording.
    pub compared: Comparison,
    /// Requests answered later than [`AuditOptions::late_after`].
    pub late: u64,
    /// Idempotency keys whose requests were answered 200 with different bodies: the server executed a request twice
    /// or did not retain its result.
    #[serde(rename = "keys_differ")]
    pub conflicting_keys: u64,
    /// Delay of the actual sending time after the intended one.
    pub lateness: Quantiles,
    /// Largest change of the median lateness between consecutive seconds, in milliseconds per second.
    pub drift_ms_per_s: f64,
    /// Recorded latency, from the last byte of a request to the last byte of its response.
    pub recorded_latency: Quantiles,
    /// Latency in the replay, from the intended sending time to the last byte of the response.
    pub latency: Quantiles,
}

impl Audit {
    /// Audits the outcomes of a replay.
    pub fn new(
        recorded: &[RecordedRequest],
        plan: &Plan,
        outcomes: &[Outcome],
        counts: Counts,
        options: AuditOptions<'_>,
    ) -> Audit {
        let mut auditor = Auditor::new(options);
        for (planned, outcome) in plan.requests.iter().zip(outcomes) {
            auditor.add(&recorded[planned.recorded], planned, outcome);
        }
        Audit {
            requests: plan.requests.len() as u64,
            counts,
            ..auditor.finish()
        }
    }

    /// Returns whether every request of the plan was sent and answered exactly once.
    pub fn is_complete(&self) -> bool {
        self.answered == self.requests && self.counts.unexpected_responses == 0
    }

    /// Returns whether the responses violate a rule of the service: there are unexpected or late responses, or
    /// different results for one idempotency key.
    pub fn violates_rules(&self) -> bool {
        self.counts.unexpected_responses > 0 || self.conflicting_keys > 0 || self.late > 0
    }
}

/// Parameters of an audit.
#[derive(Clone, Copy, Debug, Default)]
pub struct AuditOptions<'a> {
    /// Name of the header field that carries the idempotency key; empty for none.
    pub key_field: &'a str,
    /// A response is late if it ends more than this after the intended sending time; `None` if none is.
    pub late_after: Option<Nanos>,
}

/// Accumulates an audit, one request at a time.
struct Auditor<'a> {
    options: AuditOptions<'a>,
    audit: Audit,
    lateness: DurationHistogram,
    latency: DurationHistogram,
    recorded_latency: DurationHistogram,
    /// Lateness of the requests that were due in each window, by window number.
    lateness_by_window: BTreeMap<u64, Vec<Nanos>>,
    /// Body digests of the successful responses, by copy and idempotency key.
    bodies_by_key: HashMap<(u64, &'a [u8]), Vec<u64>>,
}

impl<'a> Auditor<'a> {
    fn new(options: AuditOptions<'a>) -> Auditor<'a> {
        Auditor {
            options,
            audit: Audit::default(),
            lateness: DurationHistogram::new(),
            latency: DurationHistogram::new(),
            recorded_latency: DurationHistogram::new(),
            lateness_by_window: BTreeMap::new(),
            bodies_by_key: HashMap::new(),
        }
    }

    fn add(&mut self, request: &'a RecordedRequest, planned: &PlannedRequest, outcome: &Outcome) {
        self.add_lateness(outcome);
        let recorded = request.response.as_ref();
        if let Some(response) = recorded {
            let latency = response.last_byte_at.saturating_sub(request.last_byte_at);
            self.recorded_latency.record(latency);
        }
        match outcome.state {
            RequestState::Answered {
                status,
                body_digest,
                last_byte_at,
                ..
            } => {
                self.add_response_time(last_byte_at.saturating_sub(outcome.intended_at));
                *self.audit.statuses.entry(status).or_default() += 1;
                self.audit
                    .compared
                    .add_answered(recorded, status, body_digest);
                if status == STATUS_OK {
                    self.add_result(request, planned.copy, body_digest);
                }
                return;
            }
            RequestState::ConnectionLost => self.audit.connection_lost += 1,
            RequestState::TimedOut => self.audit.timed_out += 1,
            RequestState::NotSent(reason) => {
                *self.audit.not_sent.entry(reason).or_default() += 1;
            }
            RequestState::Pending => {}
        }
        self.audit.compared.add_unanswered(recorded);
    }

    fn add_lateness(&mut self, outcome: &Outcome) {
        let Some(sent_at) = outcome.sent_at else {
            return;
        };
        self.audit.sent += 1;
        let lateness = sent_at.saturating_sub(outcome.intended_at);
        self.lateness.record(lateness);
        let window = outcome.intended_at / DRIFT_WINDOW;
        let in_window = self.lateness_by_window.entry(window).or_default();
        in_window.push(lateness);
    }

    fn add_response_time(&mut self, latency: Nanos) {
        self.audit.answered += 1;
        self.latency.record(latency);
        let is_late = self.options.late_after.is_some_and(|limit| latency > limit);
        self.audit.late += u64::from(is_late);
    }

    fn add_result(&mut self, request: &'a RecordedRequest, copy: u64, body_digest: u64) {
        if let Some(key) = idempotency_key(request, self.options.key_field) {
            let bodies = self.bodies_by_key.entry((copy, key)).or_default();
            bodies.push(body_digest);
        }
    }

    fn finish(self) -> Audit {
        let has_conflict = |bodies: &&Vec<u64>| bodies.iter().any(|body| *body != bodies[0]);
        let conflicting_keys = self.bodies_by_key.values().filter(has_conflict).count();
        Audit {
            conflicting_keys: conflicting_keys as u64,
            lateness: self.lateness.quantiles(),
            latency: self.latency.quantiles(),
            recorded_latency: self.recorded_latency.quantiles(),
            drift_ms_per_s: largest_drift(self.lateness_by_window),
            ..self.audit
        }
    }
}

fn idempotency_key<'a>(request: &'a RecordedRequest, field_name: &str) -> Option<&'a [u8]> {
    if field_name.is_empty() {
        return None;
    }
    let bytes = &request.bytes;
    // The head ends at the first empty line, which every complete request has.
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 2;
    let start = bytes.iter().position(|byte| *byte == b'\n')? + 1;
    let mut fields = Fields::over(bytes.get(start..end)?).filter_map(Result::ok);
    fields
        .find(|(name, _)| name.eq_ignore_ascii_case(field_name.as_bytes()))
        .map(|(_, value)| value)
}

/// Returns the largest change of the median, in milliseconds per window, between consecutive windows with requests.
fn largest_drift(lateness_by_window: BTreeMap<u64, Vec<Nanos>>) -> f64 {
    let mut previous: Option<(u64, f64)> = None;
    let mut largest = 0.0_f64;
    for (window, mut lateness) in lateness_by_window {
        lateness.sort_unstable();
        let median = lateness[lateness.len() / 2] as f64 / 1e6;
        if let Some((previous_window, previous_median)) = previous {
            let change = (median - previous_median).abs();
            largest = largest.max(change / (window - previous_window) as f64);
        }
        previous = Some((window, median));
    }
    largest
}
