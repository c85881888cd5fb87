//! The results of an experiment. The serialized field names are those of `report.json`.

use crate::plan::FaultKind;
use serde::Serialize;

/// How the fleet detected one fault, or recovered from it. All times are in milliseconds since the fault, and are
/// `None` if the event did not happen before the run ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultOutcome {
    /// The index of the fault in the plan; `usize::MAX` for the initial join of all members.
    pub fault: usize,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The time until the first other member suspected the stopped one.
    #[serde(rename = "noticed_ms")]
    pub suspected_ms: Option<u64>,
    /// The time until the first other member considered the stopped one dead or left.
    #[serde(rename = "first_ms")]
    pub first_detected_ms: Option<u64>,
    /// The time until 99% of the other members considered it dead or left.
    #[serde(rename = "most_ms")]
    pub most_detected_ms: Option<u64>,
    /// The time until all other members considered it dead or left.
    #[serde(rename = "all_ms")]
    pub all_detected_ms: Option<u64>,
    /// The time until the views of all running members were correct.
    #[serde(rename = "settled_ms")]
    pub converged_ms: Option<u64>,
}

impl FaultOutcome {
    pub(crate) fn new(fault: usize, kind: FaultKind) -> FaultOutcome {
        FaultOutcome {
            fault,
            kind,
            suspected_ms: None,
            first_detected_ms: None,
            most_detected_ms: None,
            all_detected_ms: None,
            converged_ms: None,
        }
    }

    /// Returns whether the fault stopped a member, which the others had to detect.
    pub fn stops_member(&self) -> bool {
        matches!(self.kind, FaultKind::Crash | FaultKind::Leave)
    }
}

/// The results of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Run {
    /// The seed of the run.
    pub seed: u64,
    /// The outcomes of the initial join, crashes, restarts, leaves and heals, in order of time.
    #[serde(rename = "courses")]
    pub outcomes: Vec<FaultOutcome>,
    /// The number of times that a member declared a running, reachable one dead.
    pub false_deaths: u64,
    /// The total running time of all members, in hours.
    pub member_hours: f64,
    /// The datagrams that a member sent per second, on average.
    #[serde(rename = "datagrams")]
    pub datagrams_per_second: f64,
    /// The bytes that a member sent per second, on average, including the IP and UDP headers.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
    /// The bytes per second that the busiest member sent.
    #[serde(rename = "most_bytes")]
    pub max_bytes_per_second: f64,
    /// Views and traffic, once per second.
    pub samples: Vec<ViewSample>,
}

/// Views and traffic in one second of a run, serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct ViewSample {
    /// The share of wrong entries in the views of running members, 0 to 1.
    pub wrong_share: f64,
    /// The bytes sent per running member.
    pub bytes_per_member: f64,
}

impl From<ViewSample> for (f64, f64) {
    fn from(sample: ViewSample) -> (f64, f64) {
        (sample.wrong_share, sample.bytes_per_member)
    }
}

/// Returns the value at a quantile (0 to 1) of measured times, where `None` counts as infinite. Returns `None` if the
/// value is infinite or there are no times.
pub fn quantile(times: impl Iterator<Item = Option<u64>>, quantile: f64) -> Option<u64> {
    let mut sorted: Vec<u64> = times.map(|time| time.unwrap_or(u64::MAX)).collect();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    let value = sorted[(last as f64 * quantile).ceil() as usize];
    (value != u64::MAX).then_some(value)
}
