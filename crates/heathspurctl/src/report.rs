//! The report of a replay: a table on standard output, JSON files and charts.

use crate::charts;
use crate::recording::Loaded;
use crate::table::plain;
use heathspur_replay::audit::Audit;
use heathspur_replay::histogram::Quantiles;
use heathspur_replay::outcome::{Counts, Outcome, RequestState};
use heathspur_replay::plan::Plan;
use heathspur_replay::renew::RenewedValues;
use serde_json::json;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// The result of a replay.
pub struct Replayed {
    /// Outcome of each request, by its index in the plan.
    pub outcomes: Vec<Outcome>,
    /// Counts of the runner.
    pub counts: Counts,
    /// Numbers of values replaced in the requests.
    pub renewed: RenewedValues,
}

/// Prints the audit as a table.
pub fn print_audit(loaded: &Loaded, audit: &Audit, renewed: RenewedValues) {
    let mut table = plain();
    let mut row = |name: &str, value: String| {
        table.add_row([name.to_string(), value]);
    };
    row("requests planned", audit.requests.to_string());
    row("sent", audit.sent.to_string());
    row("answered once", audit.answered.to_string());
    row(
        "connection ended without an answer",
        audit.connection_lost.to_string(),
    );
    row("not answered in time", audit.timed_out.to_string());
    for (reason, count) in &audit.not_sent {
        row(&format!("not sent: {}", reason.label()), count.to_string());
    }
    row(
        "answers to nothing",
        audit.counts.unexpected_responses.to_string(),
    );
    row("late", audit.late.to_string());
    row("keys with two results", audit.conflicting_keys.to_string());
    for (status, count) in &audit.statuses {
        row(&format!("status {status}"), count.to_string());
    }
    let compared = audit.compared;
    row("same as recorded", compared.same.to_string());
    row("status differs", compared.status_differs.to_string());
    row("body differs", compared.body_differs.to_string());
    row("answered only now, only then, never", {
        format!(
            "{}, {}, {}",
            compared.only_replayed, compared.only_recorded, compared.neither
        )
    });
    let quantiles = |quantiles: &Quantiles| {
        format!(
            "p50 {:.3}  p99 {:.3}  p99.9 {:.3}  max {:.3} ms",
            quantiles.p50_ms, quantiles.p99_ms, quantiles.p999_ms, quantiles.max_ms
        )
    };
    row("lateness of the sender", quantiles(&audit.lateness));
    row("drift", format!("{:.3} ms a second", audit.drift_ms_per_s));
    row("latency recorded", quantiles(&audit.recorded_latency));
    row("latency from the intended time", quantiles(&audit.latency));
    row(
        "changed: ids, keys, stamps",
        format!("{}, {}, {}", renewed.ids, renewed.keys, renewed.stamps),
    );
    for (cause, bytes) in &loaded.skipped_bytes {
        row(
            &format!("bytes of clients left out: {cause:?}"),
            bytes.to_string(),
        );
    }
    if let Some(error) = loaded.tally.error {
        row("the capture is damaged", error.to_string());
    }
    println!("{table}");
}

/// Writes `report.json`, `requests.jsonl` and the charts.
pub fn write_report(
    folder: &Path,
    loaded: &Loaded,
    plan: &Plan,
    replayed: &Replayed,
    audit: &Audit,
) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let report = json!({"audit": audit, "changed": replayed.renewed});
    std::fs::write(folder.join("report.json"), format!("{report:#}\n"))?;
    let mut lines = BufWriter::new(File::create(folder.join("requests.jsonl"))?);
    for (planned, outcome) in plan.requests.iter().zip(&replayed.outcomes) {
        let request = &loaded.requests[planned.recorded];
        let ms = |nanos: u64| nanos as f64 / 1e6;
        let (end, status, answered_ms) = match outcome.state {
            RequestState::Answered {
                status,
                last_byte_at,
                ..
            } => ("answered".to_string(), Some(status), Some(ms(last_byte_at))),
            unanswered => (unanswered_label(unanswered), None, None),
        };
        let line = json!({
            "connection": request.connection, "copy": planned.copy, "intended_ms": ms(outcome.intended_at),
            "sent_ms": outcome.sent_at.map(ms), "answered_ms": answered_ms, "end": end, "status": status,
            "recorded_status": request.response.as_ref().map(|response| response.status),
        });
        writeln!(lines, "{line}")?;
    }
    lines.flush()?;
    charts::rate_chart(&folder.join("rates.svg"), plan, &replayed.outcomes)?;
    charts::latency_chart(
        &folder.join("latency.svg"),
        loaded,
        plan,
        &replayed.outcomes,
    )
}

/// Returns the label of an unanswered request's state in `requests.jsonl`.
fn unanswered_label(state: RequestState) -> String {
    match state {
        RequestState::Pending => "open".to_string(),
        RequestState::Answered { .. } => "answered".to_string(),
        RequestState::ConnectionLost => "broken".to_string(),
        RequestState::TimedOut => "timedout".to_string(),
        RequestState::NotSent(reason) => format!("unsent({})", reason.label()).to_lowercase(),
    }
}
