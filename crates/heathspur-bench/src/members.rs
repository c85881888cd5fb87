//! SWIM membership: server processes on loopback behind the fault relay, and the same code in the emulator.
//!
//! Measures how soon a crash, a restart and the end of a partition are in all views, how many running members are
//! declared dead, and the traffic per member.

use crate::table::Table;
use heathspur_testkit::fleet::Fleet;
use heathspur_testkit::prelude::program_path;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Attributes of `members` in the operator's files of the processes, besides names and addresses.
const MEMBERS_ATTRIBUTES: &str = "period=\"500 ms\" probe-timeout=\"200 ms\" suspicion=\"2\"";
/// Members of each fleet of processes that are killed and restarted, one after another.
const CRASHES: usize = 5;
/// How long to wait for a change in the views of the processes, which takes far less on loopback.
const VIEW_CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the traffic of processes is counted.
const TRAFFIC_PERIOD: Duration = Duration::from_secs(10);
/// How long processes are partitioned.
const PARTITION_PERIOD: Duration = Duration::from_secs(10);
/// How long false deaths are counted after a partition.
const AFTER_PARTITION_PERIOD: Duration = Duration::from_secs(5);
/// Longest time until all of 1,000 members view a crashed member as dead, in milliseconds.
const MAX_DETECTION_MS: u64 = 5_000;
/// Most bytes that each of 1,000 members may send per second.
const MAX_BYTES_PER_MEMBER_SECOND: f64 = 2_048.0;

/// Returns the directory of the example experiments.
fn experiments_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiments")
}

/// Runs an example experiment in the emulator, after replacing parts of its text, and returns its report.
///
/// # Panics
///
/// Panics if a text to replace is missing or the experiment fails.
fn run_experiment(folder: &Path, example: &str, replacements: &[(&str, &str)]) -> Value {
    let example_file = experiments_folder().join(example);
    let mut text = std::fs::read_to_string(&example_file)
        .unwrap_or_else(|e| panic!("failed to read the example {}: {e}", example_file.display()));
    for (from, to) in replacements {
        assert!(text.contains(from), "{example} has no {from}");
        text = text.replace(from, to);
    }
    let (plan, report_folder) = (
        folder.join(example),
        folder.join(format!("{example}-report")),
    );
    std::fs::write(&plan, text)
        .unwrap_or_else(|e| panic!("failed to write the plan {}: {e}", plan.display()));
    let output = Command::new(program_path("heathspurctl"))
        .arg("experiment")
        .arg(&plan)
        .arg("--report")
        .arg(&report_folder)
        .output();
    let output = output.expect("failed to start heathspurctl");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let report_file = report_folder.join("report.json");
    let report = std::fs::read(&report_file)
        .unwrap_or_else(|e| panic!("failed to read the report {}: {e}", report_file.display()));
    serde_json::from_slice(&report).expect("the report is not valid JSON")
}

/// Formats milliseconds as seconds; `None` stands for an event that did not occur.
fn format_seconds(ms: Option<u64>) -> String {
    ms.map_or("not always".into(), |ms| format!("{:.2}", ms as f64 / 1e3))
}

/// Formats p50 and p99 of a time in seconds. `course` is the entry of a fault in `courses` of the report.
fn p50_and_p99(course: &Value, time: &str) -> String {
    let quantile = |name: &str| format_seconds(course[time][name].as_u64());
    format!("{}, {}", quantile("p50"), quantile("p99"))
}

/// Returns a number of the report's summary, or `f64::MAX` if it is missing, which exceeds any upper bound.
fn summary_value(report: &Value, name: &str) -> f64 {
    report["summary"][name].as_f64().unwrap_or(f64::MAX)
}

/// Measures a fleet of `count` processes: join, crashes, restarts, false deaths and traffic; with 15 also a partition.
fn measure_processes(count: usize, table: &mut Table) {
    let mut fleet = Fleet::start_with_attributes(count, MEMBERS_ATTRIBUTES);
    let start = Instant::now();
    let joined = fleet.wait_until(VIEW_CHANGE_TIMEOUT, Fleet::all_views_alive);
    table.add_check(
        &format!("{count} processes: all join through one, one view after"),
        format!("{:.2} s", start.elapsed().as_secs_f64()),
        "in 30 s",
        joined,
    );
    // Times from a kill until the first, 99% and all of the others view the member as dead, and from its restart until
    // all view it as alive; in milliseconds.
    let (mut first, mut most, mut all, mut rejoined) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for crash in 0..CRASHES {
        let victim = 1 + (crash * 7) % (count - 1);
        fleet.kill(victim);
        let start = Instant::now();
        let elapsed_ms_if = |occurred: bool| occurred.then(|| start.elapsed().as_millis() as u64);
        first.push(elapsed_ms_if(
            fleet.wait_until(VIEW_CHANGE_TIMEOUT, |fleet| {
                fleet.count_viewing_dead(victim) > 0
            }),
        ));
        most.push(elapsed_ms_if(
            fleet.wait_until(VIEW_CHANGE_TIMEOUT, |fleet| {
                fleet.count_viewing_dead(victim) * 100 >= (count - 1) * 99
            }),
        ));
        all.push(elapsed_ms_if(
            fleet.wait_until(VIEW_CHANGE_TIMEOUT, |fleet| {
                fleet.count_viewing_dead(victim) == count - 1
            }),
        ));
        fleet.start_member(victim);
        let start = Instant::now();
        let elapsed_ms_if = |occurred: bool| occurred.then(|| start.elapsed().as_millis() as u64);
        rejoined.push(elapsed_ms_if(
            fleet.wait_until(VIEW_CHANGE_TIMEOUT, Fleet::all_views_alive),
        ));
    }
    let all_known = all.iter().all(Option::is_some) && rejoined.iter().all(Option::is_some);
    let median_and_max = |mut times: Vec<Option<u64>>| {
        times.sort_by_key(|ms| ms.unwrap_or(u64::MAX));
        format!(
            "{}, {}",
            format_seconds(times[times.len() / 2]),
            format_seconds(times[times.len() - 1])
        )
    };
    table.add_check(
        &format!("{count} processes, {CRASHES} kills: first death, 99%, all, back in one view; p50, worst"),
        format!("{}; {}; {}; {} s", median_and_max(first), median_and_max(most), median_and_max(all), median_and_max(rejoined)),
        "all known",
        all_known,
    );
    let expected_deaths = CRASHES * (count - 1);
    table.add_check(
        &format!("{count} processes: deaths of processes that ran"),
        (fleet.total_logged_deaths().saturating_sub(expected_deaths)).to_string(),
        "0",
        fleet.total_logged_deaths() == expected_deaths,
    );
    let (datagrams, bytes) = (
        &fleet.relay.received_totals.0,
        &fleet.relay.received_totals.1,
    );
    let before = (
        datagrams.load(Ordering::Relaxed),
        bytes.load(Ordering::Relaxed),
    );
    std::thread::sleep(TRAFFIC_PERIOD);
    let sent = (
        datagrams.load(Ordering::Relaxed) - before.0,
        bytes.load(Ordering::Relaxed) - before.1,
    );
    let per_member_second = |total: u64| total as f64 / TRAFFIC_PERIOD.as_secs_f64() / count as f64;
    table.add_value(
        &format!("{count} processes, calm: datagrams and bytes (UDP's payload) a member a second"),
        format!(
            "{:.1}, {:.0}",
            per_member_second(sent.0),
            per_member_second(sent.1)
        ),
    );
    if count == 15 {
        fleet
            .relay
            .update_rules(|rules| rules.partitions = (0..count).map(|i| (i >= 5) as u8).collect());
        fleet.read_logs_for(PARTITION_PERIOD);
        fleet.relay.update_rules(|rules| rules.partitions.clear());
        let start = Instant::now();
        let healed = fleet.wait_until(VIEW_CHANGE_TIMEOUT, Fleet::all_views_alive);
        let seconds = start.elapsed().as_secs_f64();
        let deaths_before = fleet.total_logged_deaths();
        fleet.read_logs_for(AFTER_PARTITION_PERIOD);
        let later_deaths = fleet.total_logged_deaths() - deaths_before;
        table.add_check(
            "15 processes, 5 cut off for 10 s: one view after the heal; deaths after that",
            format!("{seconds:.2} s; {later_deaths}"),
            "in 30 s; 0",
            healed && later_deaths == 0,
        );
    }
}

/// Measures how soon a crash and a restart are in the views of emulated members.
///
/// The time until all views show the crash is bounded for 1,000 members only.
fn measure_crash(folder: &Path, results: &Path, members: u64, table: &mut Table) {
    let example = format!("crash-{members}.xml");
    let report = run_experiment(folder, &example, &[]);
    let (crash, restart) = (&report["courses"][0], &report["courses"][1]);
    let all = crash["all_ms"]["p99"].as_u64();
    let met = members < 1_000 || all.is_some_and(|ms| ms <= MAX_DETECTION_MS);
    let crash_times = |name| p50_and_p99(crash, name);
    table.add_check(
        &format!(
            "{members} emulated, 20 seeds, a crash: suspected, first death, 99%, all; p50, p99"
        ),
        format!(
            "{}; {}; {}; {} s",
            crash_times("noticed_ms"),
            crash_times("first_ms"),
            crash_times("most_ms"),
            crash_times("all_ms")
        ),
        if members < 1_000 {
            "-"
        } else {
            "all within 5 s"
        },
        met,
    );
    table.add_value(
        &format!("{members} emulated, its restart: one view; p50, p99"),
        format!("{} s", p50_and_p99(restart, "settled_ms")),
    );
    if members == 1_000 {
        table.add_figure(format!(
            "1,000 know of a crash in {} s (p99)",
            format_seconds(all)
        ));
        let longer_suspicion =
            run_experiment(folder, &example, &[("suspicion=\"1\"", "suspicion=\"2\"")]);
        table.add_value(
            "1000 emulated, the same with suspicion 2: all know; p50, p99",
            format!(
                "{} s",
                p50_and_p99(&longer_suspicion["courses"][0], "all_ms")
            ),
        );
        for (chart, title) in [
            ("views", "What 1,000 members hold that is not so"),
            ("traffic", "Bytes a member"),
        ] {
            let file = format!("members-crash-{chart}.svg");
            let source = folder.join(format!("{example}-report/{chart}.svg"));
            if std::fs::copy(source, results.join(&file)).is_ok() {
                table.add_chart(title, &file);
            }
        }
    }
}

/// Measures false deaths with a slow member, without and with datagram loss, and compares them with plain SWIM.
fn measure_slow_member(folder: &Path, table: &mut Table) {
    let larger_without_loss = [
        ("share=\"0.1\"", "share=\"0\""),
        ("members=\"100\"", "members=\"1000\""),
    ];
    let report = run_experiment(folder, "slow-member.xml", &larger_without_loss);
    let deaths = summary_value(&report, "false_deaths");
    table.add_check(
        "1000 emulated for an hour in all, one member slow by 400 ms each way: false deaths",
        format!("{deaths}"),
        "0",
        deaths == 0.0,
    );
    table.add_figure(format!(
        "false deaths in an hour with a slow member: {deaths}"
    ));
    // Returns false deaths per member-hour, and bytes per member and second.
    let deaths_and_bytes = |replacements: &[(&str, &str)]| {
        let report = run_experiment(folder, "slow-member.xml", replacements);
        let (deaths, hours) = (
            summary_value(&report, "false_deaths"),
            summary_value(&report, "member_hours"),
        );
        (deaths / hours, summary_value(&report, "bytes"))
    };
    let (mut comparisons, mut met) = (Vec::new(), true);
    for suspicion in ["1", "2"] {
        let suspicion = format!("suspicion=\"{suspicion}\"");
        let (ours, ours_bytes) = deaths_and_bytes(&[("suspicion=\"1\"", &suspicion)]);
        let plain = format!("{suspicion} lifeguard=\"false\"");
        let (swim, swim_bytes) = deaths_and_bytes(&[("suspicion=\"1\"", &plain)]);
        comparisons.push(format!(
            "{ours:.4} against {swim:.3} ({ours_bytes:.0} and {swim_bytes:.0} bytes)"
        ));
        met &= ours < swim;
    }
    table.add_check(
        "100 emulated for an hour in all, the same with 10% loss, ours against plain SWIM: false deaths a member-hour (bytes a member a second); \
         suspicion 1, then 2",
        comparisons.join("; "),
        "fewer",
        met,
    );
}

/// Measures the traffic of fleets of increasing size without crashes, loss or slow members.
fn measure_traffic(folder: &Path, table: &mut Table) {
    let mut rates = Vec::new();
    let mut bytes = f64::MAX;
    for members in ["15", "40", "100", "300", "1000"] {
        let size = format!("members=\"{members}\"");
        let replacements = [
            ("members=\"100\"", &*size),
            ("share=\"0.1\"", "share=\"0\""),
            ("span=\"400 ms\"", "span=\"0 ms\""),
        ];
        let replacements: Vec<(&str, &str)> = replacements
            .into_iter()
            .chain([
                ("seeds=\"20\"", "seeds=\"2\""),
                ("member=\"70\"", "member=\"7\""),
            ])
            .collect();
        let report = run_experiment(folder, "slow-member.xml", &replacements);
        bytes = summary_value(&report, "bytes");
        rates.push(format!(
            "{members}: {:.1}, {bytes:.0}",
            summary_value(&report, "datagrams")
        ));
    }
    table.add_check(
        "calm, emulated: datagrams and bytes (IP and UDP counted in) that a member sends a second, by members",
        rates.join("; "),
        "under 2 KB at 1,000",
        bytes < MAX_BYTES_PER_MEMBER_SECOND,
    );
    table.add_figure(format!("{bytes:.0} bytes a member a second at 1,000"));
}

/// Measures how soon 300 emulated members have one view after a partition that cut off a third of them.
fn measure_partition(folder: &Path, table: &mut Table) {
    let report = run_experiment(folder, "partition-300.xml", &[]);
    let heal = &report["courses"][0];
    table.add_check(
        "300 emulated, 100 cut off for 20 s, 20 seeds: one view after the heal; p50, p99",
        format!("{} s", p50_and_p99(heal, "settled_ms")),
        "all",
        heal["settled_ms"]["p99"].is_u64(),
    );
    let deaths = summary_value(&report, "false_deaths");
    table.add_value(
        "the same: deaths of those who ran and could be reached (from 2 s after the heal over the cut), in member-hours",
        format!("{deaths} in {:.0}", summary_value(&report, "member_hours")),
    );
}

/// Measures fleets of processes, then the example experiments in the emulator. Copies charts to `results`.
pub fn measure(folder: &Path, results: &Path, table: &mut Table) {
    table.set_environment(
        "Processes on loopback behind the fault relay (period 500 ms, suspicion 2), and the same core in the \
         emulator (period 500 ms, suspicion 1 unless said); the plans are in `examples/experiments`.",
    );
    for count in [5, 15, 40] {
        measure_processes(count, table);
    }
    for members in [300, 1_000] {
        measure_crash(folder, results, members, table);
    }
    measure_slow_member(folder, table);
    measure_traffic(folder, table);
    measure_partition(folder, table);
}
