//! An experiment in the emulator, by a plan: a table, a report, charts.

use crate::charts;
use crate::error::Error;
use crate::table::plain;
use clap::Args;
use heathspur_emulator::experiment::{play, quantile, Course, Play};
use heathspur_emulator::plan::{Plan, SCHEMA};
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
    let plays = play(&plan);
    print(&plan, &plays);
    if let Some(folder) = &options.report {
        write(folder, &plan, &plays).map_err(|source| Error::File {
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

/// The courses of one fault over all plays.
fn of_fault(plays: &[Play], nth: usize) -> impl Iterator<Item = &Course> + Clone {
    plays.iter().filter_map(move |play| play.courses.get(nth))
}

type Part = fn(&Course) -> Option<u64>;

const PARTS: [(&str, Part); 5] = [
    ("noticed", |c| c.noticed_ms),
    ("first", |c| c.first_ms),
    ("most", |c| c.most_ms),
    ("all", |c| c.all_ms),
    ("settled", |c| c.settled_ms),
];

fn print(plan: &Plan, plays: &[Play]) {
    println!(
        "{} members, {} plays of {:.0} s each, emulated",
        plan.members,
        plays.len(),
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
    for (nth, course) in plays
        .first()
        .map_or(&[][..], |play| &play.courses)
        .iter()
        .enumerate()
    {
        let name = match plan.faults.get(course.fault) {
            Some(fault) => {
                format!("{:?} at {:.1} s", fault.kind, fault.at.0.as_secs_f64()).to_lowercase()
            }
            None => "all join".to_string(),
        };
        let mut row = vec![name];
        let gone = course.kind_has_deaths();
        for (at, (_, part)) in PARTS.iter().enumerate() {
            for q in [0.5, 0.99] {
                let told = gone || at + 1 == PARTS.len();
                let value = seconds(quantile(of_fault(plays, nth).map(part), q));
                row.push(if told { value } else { "-".to_string() });
            }
        }
        table.add_row(row);
    }
    println!("{table}");
    let sum = summary(plays);
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

fn summary(plays: &[Play]) -> Value {
    let mean =
        |part: fn(&Play) -> f64| plays.iter().map(part).sum::<f64>() / plays.len().max(1) as f64;
    json!({
        "false_deaths": plays.iter().map(|p| p.false_deaths).sum::<u64>(),
        "member_hours": plays.iter().map(|p| p.member_hours).sum::<f64>(),
        "datagrams": mean(|p| p.datagrams), "bytes": mean(|p| p.bytes), "most_bytes": mean(|p| p.most_bytes),
    })
}

fn write(folder: &Path, plan: &Plan, plays: &[Play]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let courses: Vec<Value> = (0..plays.first().map_or(0, |play| play.courses.len()))
        .map(|nth| {
            let mut told =
                json!({"fault": plays[0].courses[nth].fault, "kind": plays[0].courses[nth].kind});
            for (name, part) in PARTS {
                let at = |q| quantile(of_fault(plays, nth).map(part), q);
                told[format!("{name}_ms")] = json!({"p50": at(0.5), "p99": at(0.99)});
            }
            told
        })
        .collect();
    let all = json!({"members": plan.members, "summary": summary(plays), "courses": courses, "plays": plays});
    std::fs::write(folder.join("report.json"), format!("{all:#}\n"))?;
    let mean = |part: fn(&(f64, f64)) -> f64| -> Vec<(f64, f64)> {
        let seconds = plays.iter().map(|p| p.samples.len()).min().unwrap_or(0);
        let at =
            |s: usize| plays.iter().map(|p| part(&p.samples[s])).sum::<f64>() / plays.len() as f64;
        (0..seconds).map(|s| (s as f64 + 1.0, at(s))).collect()
    };
    let wrong = [("in the mean of all plays", mean(|(wrong, _)| wrong * 100.0))];
    let title = "What members hold of each other that is not so";
    charts::lines(
        &folder.join("views.svg"),
        title,
        ("second", "% of pairs"),
        &wrong,
    )?;
    let traffic = [("sent by a member", mean(|(_, bytes)| *bytes))];
    charts::lines(
        &folder.join("traffic.svg"),
        "Bytes a member a second",
        ("second", "bytes"),
        &traffic,
    )
}
