//! An experiment in the emulator, by a plan: a table, a report, charts.

use crate::charts;
use crate::error::Error;
use crate::table::plain;
use clap::Args;
use heathspur_emulator::plan::{Plan, SCHEMA};
use heathspur_emulator::{experiment, quantile, FaultOutcome, Run, ViewSample};
use serde_json::{json, Value};
use std::io;
use std::path::{Path, PathBuf};

/// What to play.
#[derive(Debug, Args)]
pub struct Options {
    /// The plan: a fleet, faults at their times, seeds.
    #[arg(required_unless_present = "schema")]
    plan: Option<PathBuf>,
    /// Write report.json and the charts into this folder.
    #[arg(long, value_name = "FOLDER")]
    report: Option<PathBuf>,
    /// Print the plan's schema and do nothing else.
    #[arg(long)]
    schema: bool,
}

/// Plays the plan and tells what came of it.
pub fn run(options: &Options) -> Result<(), Error> {
    let Some(file) = options.plan.as_ref().filter(|_| !options.schema) else {
        print!("{SCHEMA}");
        return Ok(());
    };
    let plan = Plan::read(file).map_err(Error::Plan)?;
    let runs = experiment::run(&plan);
    print(&plan, &runs);
    if let Some(folder) = &options.report {
        write(folder, &plan, &runs).map_err(|source| Error::File {
            path: folder.clone(),
            source,
        })?;
    }
    Ok(())
}

fn seconds(time: Option<u64>) -> String {
    time.map_or("not always".to_string(), |ms| {
        format!("{:.2} s", ms as f64 / 1e3)
    })
}

/// The outcomes of one fault over all runs.
fn of_fault(runs: &[Run], nth: usize) -> impl Iterator<Item = &FaultOutcome> + Clone {
    runs.iter().filter_map(move |run| run.outcomes.get(nth))
}

type Part = fn(&FaultOutcome) -> Option<u64>;

const PARTS: [(&str, Part); 5] = [
    ("noticed", |outcome| outcome.suspected_ms),
    ("first", |outcome| outcome.first_ms),
    ("most", |outcome| outcome.most_ms),
    ("all", |outcome| outcome.all_ms),
    ("settled", |outcome| outcome.converged_ms),
];

fn print(plan: &Plan, runs: &[Run]) {
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
    for (nth, outcome) in runs
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
        for (at, (_, part)) in PARTS.iter().enumerate() {
            for q in [0.5, 0.99] {
                let applies = stops_member || at + 1 == PARTS.len();
                let value = seconds(quantile(of_fault(runs, nth).map(part), q));
                row.push(if applies { value } else { "-".to_string() });
            }
        }
        table.add_row(row);
    }
    println!("{table}");
    let sum = summary(runs);
    println!(
        "false deaths: {} in {:.1} member-hours",
        sum["false_deaths"],
        sum["member_hours"].as_f64().unwrap_or(0.0)
    );
    println!(
        "sent by a member a second: {:.1} datagrams, {:.0} bytes ({:.0} by the busiest)",
        sum["datagrams"].as_f64().unwrap_or(0.0),
        sum["bytes"].as_f64().unwrap_or(0.0),
        sum["most_bytes"].as_f64().unwrap_or(0.0)
    );
}

fn summary(runs: &[Run]) -> Value {
    let mean =
        |part: fn(&Run) -> f64| runs.iter().map(part).sum::<f64>() / runs.len().max(1) as f64;
    json!({
        "false_deaths": runs.iter().map(|run| run.false_deaths).sum::<u64>(),
        "member_hours": runs.iter().map(|run| run.member_hours).sum::<f64>(),
        "datagrams": mean(|run| run.datagrams_per_second), "bytes": mean(|run| run.bytes_per_second), "most_bytes": mean(|run| run.max_bytes_per_second),
    })
}

fn write(folder: &Path, plan: &Plan, runs: &[Run]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let outcomes: Vec<Value> = (0..runs.first().map_or(0, |run| run.outcomes.len()))
        .map(|nth| {
            let mut times =
                json!({"fault": runs[0].outcomes[nth].fault, "kind": runs[0].outcomes[nth].kind});
            for (name, part) in PARTS {
                let at = |q| quantile(of_fault(runs, nth).map(part), q);
                times[format!("{name}_ms")] = json!({"p50": at(0.5), "p99": at(0.99)});
            }
            times
        })
        .collect();
    let all = json!({"members": plan.members, "summary": summary(runs), "courses": outcomes, "plays": runs});
    std::fs::write(folder.join("report.json"), format!("{all:#}\n"))?;
    let mean = |part: fn(&ViewSample) -> f64| -> Vec<(f64, f64)> {
        let seconds = runs.iter().map(|run| run.samples.len()).min().unwrap_or(0);
        let at = |s: usize| {
            runs.iter().map(|run| part(&run.samples[s])).sum::<f64>() / runs.len() as f64
        };
        (0..seconds).map(|s| (s as f64 + 1.0, at(s))).collect()
    };
    let wrong = [(
        "in the mean of all plays",
        mean(|sample| sample.wrong_share * 100.0),
    )];
    let title = "What members hold of each other that is not so";
    charts::lines(
        &folder.join("views.svg"),
        title,
        ("second", "% of pairs"),
        &wrong,
    )?;
    let traffic = [("sent by a member", mean(|sample| sample.bytes_per_member))];
    charts::lines(
        &folder.join("traffic.svg"),
        "Bytes a member a second",
        ("second", "bytes"),
        &traffic,
    )
}
