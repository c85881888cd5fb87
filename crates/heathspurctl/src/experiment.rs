//! `experiment`: runs a plan in the emulator and reports the outcomes of its faults.

use crate::charts;
use crate::error::Error;
use crate::table::plain;
use clap::Args;
use heathspur_emulator::plan::{Plan, SCHEMA};
use heathspur_emulator::{experiment, quantile, FaultOutcome, Run, ViewSample};
use serde_json::{json, Value};
use std::io;
use std::path::{Path, PathBuf};

/// Options of the command.
#[derive(Debug, Args)]
pub struct Options {
    /// Path of the plan, an XML file with the fleet, the faults and the number of seeds
    #[arg(required_unless_present = "schema")]
    plan: Option<PathBuf>,
    /// Write report.json and charts into this folder, which is created if it does not exist
    #[arg(long, value_name = "FOLDER")]
    report: Option<PathBuf>,
    /// Print the schema of the plan and exit
    #[arg(long)]
    schema: bool,
}

/// Runs the plan, prints a summary and writes the report.
pub fn run(options: &Options) -> Result<(), Error> {
    let Some(file) = options.plan.as_ref().filter(|_| !options.schema) else {
        print!("{SCHEMA}");
        return Ok(());
    };
    let plan = Plan::read(file).map_err(Error::Plan)?;
    let runs = experiment::run(&plan);
    print_summary(&plan, &runs);
    if let Some(folder) = &options.report {
        write_report(folder, &plan, &runs).map_err(|source| Error::File {
            path: folder.clone(),
            source,
        })?;
    }
    Ok(())
}

/// Formats a time in milliseconds as seconds; `None` stands for an event that did not occur.
fn format_seconds(time_ms: Option<u64>) -> String {
    time_ms.map_or("not always".to_string(), |ms| {
        format!("{:.2} s", ms as f64 / 1e3)
    })
}

/// Returns the outcomes of one fault in all runs, by its index in the outcomes of a run.
fn outcomes_of_fault(runs: &[Run], index: usize) -> impl Iterator<Item = &FaultOutcome> + Clone {
    runs.iter().filter_map(move |run| run.outcomes.get(index))
}

/// A function that returns a time of an outcome, in milliseconds after the fault; `None` if the event did not occur.
type TimeMetric = fn(&FaultOutcome) -> Option<u64>;

/// The reported times of a fault, with their names in the report.
const TIME_METRICS: [(&str, TimeMetric); 5] = [
    ("noticed", |outcome| outcome.suspected_ms),
    ("first", |outcome| outcome.first_detected_ms),
    ("most", |outcome| outcome.most_detected_ms),
    ("all", |outcome| outcome.all_detected_ms),
    ("settled", |outcome| outcome.converged_ms),
];

fn print_summary(plan: &Plan, runs: &[Run]) {
    println!(
        "{} members, {} plays of {:.0} s each, emulated",
        plan.members,
        runs.len(),
        plan.duration.0.as_secs_f64()
    );
    let mut table = plain();
    table.set_header([
        "fault",
        "suspected p50",
        "p99",
        "first dead p50",
        "p99",
        "99% know p50",
        "p99",
        "all know p50",
        "p99",
        "one view p50",
        "p99",
    ]);
    for (index, outcome) in runs
        .first()
        .map_or(&[][..], |run| &run.outcomes)
        .iter()
        .enumerate()
    {
        let name = match plan.faults.get(outcome.fault) {
            Some(fault) => {
                format!("{:?} at {:.1} s", fault.kind, fault.at.0.as_secs_f64()).to_lowercase()
            }
            None => "all join".to_string(),
        };
        let mut row = vec![name];
        let stops_member = outcome.stops_member();
        for (metric_index, (_, metric)) in TIME_METRICS.iter().enumerate() {
            // Faults that stop no member have only the last metric, the time until all views agree.
            let applies = stops_member || metric_index + 1 == TIME_METRICS.len();
            for q in [0.5, 0.99] {
                let times = outcomes_of_fault(runs, index).map(metric);
                let value = format_seconds(quantile(times, q));
                row.push(if applies { value } else { "-".to_string() });
            }
        }
        table.add_row(row);
    }
    println!("{table}");
    let totals = summary(runs);
    println!(
        "false deaths: {} in {:.1} member-hours",
        totals["false_deaths"],
        totals["member_hours"].as_f64().unwrap_or(0.0)
    );
    println!(
        "sent by a member a second: {:.1} datagrams, {:.0} bytes ({:.0} by the busiest)",
        totals["datagrams"].as_f64().unwrap_or(0.0),
        totals["bytes"].as_f64().unwrap_or(0.0),
        totals["most_bytes"].as_f64().unwrap_or(0.0)
    );
}

/// Returns totals and means over all runs, with their names in the report.
fn summary(runs: &[Run]) -> Value {
    let mean =
        |value: fn(&Run) -> f64| runs.iter().map(value).sum::<f64>() / runs.len().max(1) as f64;
    json!({
        "false_deaths": runs.iter().map(|run| run.false_deaths).sum::<u64>(),
        "member_hours": runs.iter().map(|run| run.member_hours).sum::<f64>(),
        "datagrams": mean(|run| run.datagrams_per_second), "bytes": mean(|run| run.bytes_per_second), "most_bytes": mean(|run| run.max_bytes_per_second),
    })
}

/// Writes `report.json` and the charts.
fn write_report(folder: &Path, plan: &Plan, runs: &[Run]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let outcomes: Vec<Value> = (0..runs.first().map_or(0, |run| run.outcomes.len()))
        .map(|index| {
            let first = &runs[0].outcomes[index];
            let mut outcome = json!({"fault": first.fault, "kind": first.kind});
            for (name, metric) in TIME_METRICS {
                let time_ms = |q| quantile(outcomes_of_fault(runs, index).map(metric), q);
                outcome[format!("{name}_ms")] = json!({"p50": time_ms(0.5), "p99": time_ms(0.99)});
            }
            outcome
        })
        .collect();
    let report = json!({"members": plan.members, "summary": summary(runs), "courses": outcomes, "plays": runs});
    std::fs::write(folder.join("report.json"), format!("{report:#}\n"))?;
    // The mean of a value over all runs, for each second.
    let mean_curve = |value: fn(&ViewSample) -> f64| -> Vec<(f64, f64)> {
        let seconds = runs.iter().map(|run| run.samples.len()).min().unwrap_or(0);
        let mean = |second: usize| {
            let values = runs.iter().map(|run| value(&run.samples[second]));
            values.sum::<f64>() / runs.len() as f64
        };
        (0..seconds)
            .map(|second| (second as f64 + 1.0, mean(second)))
            .collect()
    };
    let wrong_views = [(
        "mean of all runs",
        mean_curve(|sample| sample.wrong_share * 100.0),
    )];
    charts::line_chart(
        &folder.join("views.svg"),
        "Wrong entries in the views of members",
        ("second", "% of pairs"),
        &wrong_views,
    )?;
    let traffic = [(
        "sent by a member",
        mean_curve(|sample| sample.bytes_per_member),
    )];
    charts::line_chart(
        &folder.join("traffic.svg"),
        "Bytes a member a second",
        ("second", "bytes"),
        &traffic,
    )
}
