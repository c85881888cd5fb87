//! The fleet's view: processes on loopback behind the fault relay, and the same core in the emulator.

use crate::table::Table;
use heathspur_testkit::fleet::Fleet;
use heathspur_testkit::prelude::program_path;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What the processes' operator's files have beside their names and places.
const PROCESSES: &str = "period=\"500 ms\" probe-timeout=\"200 ms\" suspicion=\"2\"";
/// Crashes of each fleet of processes.
const CRASHES: usize = 5;
/// Never so long, on loopback.
const LONG: Duration = Duration::from_secs(30);
/// What all have to know of a crash within, at 1,000 members, in milliseconds.
const KNOWN_MS: u64 = 5_000;
/// Bytes a member a second at 1,000 members at most.
const BYTES: f64 = 2_048.0;

fn experiments() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiments")
}

/// Plays an example in the emulator, with these parts of its text replaced.
fn play(folder: &Path, example: &str, changes: &[(&str, &str)]) -> Value {
    let mut text =
        std::fs::read_to_string(experiments().join(example)).expect("the example is there");
    for (from, to) in changes {
        assert!(text.contains(from), "{example} has no {from}");
        text = text.replace(from, to);
    }
    let (plan, report) = (
        folder.join(example),
        folder.join(format!("{example}-report")),
    );
    std::fs::write(&plan, text).expect("the plan is written");
    let run = Command::new(program_path("heathspurctl"))
        .arg("experiment")
        .arg(&plan)
        .arg("--report")
        .arg(&report)
        .output();
    let run = run.expect("the experiment runs");
    assert!(
        run.status.success(),
        "{}",
        String::from_utf8_lossy(&run.stderr)
    );
    let told = std::fs::read(report.join("report.json")).expect("a report");
    serde_json::from_slice(&told).expect("the report is JSON")
}

fn seconds(ms: Option<u64>) -> String {
    ms.map_or("not always".into(), |ms| format!("{:.2}", ms as f64 / 1e3))
}

/// p50 and p99 of a part of a course, in seconds.
fn both(course: &Value, part: &str) -> String {
    let at = |q: &str| seconds(course[part][q].as_u64());
    format!("{}, {}", at("p50"), at("p99"))
}

fn number(report: &Value, name: &str) -> f64 {
    report["summary"][name].as_f64().unwrap_or(f64::MAX)
}

/// The processes: crashes known, traffic, a partition healed.
fn processes(count: usize, table: &mut Table) {
    let mut fleet = Fleet::start_with_attributes(count, PROCESSES);
    let start = Instant::now();
    let joined = fleet.wait_until(LONG, Fleet::all_views_alive);
    table.row(
        &format!("{count} processes: all join through one, one view after"),
        format!("{:.2} s", start.elapsed().as_secs_f64()),
        "in 30 s",
        joined,
    );
    let (mut first, mut most, mut all, mut back) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for crash in 0..CRASHES {
        let victim = 1 + (crash * 7) % (count - 1);
        fleet.kill(victim);
        let start = Instant::now();
        let since = |came: bool| came.then(|| start.elapsed().as_millis() as u64);
        first.push(since(
            fleet.wait_until(LONG, |f| f.count_viewing_dead(victim) > 0),
        ));
        most.push(since(fleet.wait_until(LONG, |f| {
            f.count_viewing_dead(victim) * 100 >= (count - 1) * 99
        })));
        all.push(since(
            fleet.wait_until(LONG, |f| f.count_viewing_dead(victim) == count - 1),
        ));
        fleet.start_member(victim);
        let start = Instant::now();
        let since = |came: bool| came.then(|| start.elapsed().as_millis() as u64);
        back.push(since(fleet.wait_until(LONG, Fleet::all_views_alive)));
    }
    let known = all.iter().all(Option::is_some) && back.iter().all(Option::is_some);
    let spread = |mut times: Vec<Option<u64>>| {
        times.sort_by_key(|t| t.unwrap_or(u64::MAX));
        format!(
            "{}, {}",
            seconds(times[times.len() / 2]),
            seconds(times[times.len() - 1])
        )
    };
    table.row(
        &format!("{count} processes, {CRASHES} kills: first death, 99%, all, back in one view; p50, worst"),
        format!("{}; {}; {}; {} s", spread(first), spread(most), spread(all), spread(back)),
        "all known",
        known,
    );
    let expected = CRASHES * (count - 1);
    table.row(
        &format!("{count} processes: deaths of processes that ran"),
        (fleet.total_logged_deaths().saturating_sub(expected)).to_string(),
        "0",
        fleet.total_logged_deaths() == expected,
    );
    let (datagrams, bytes) = (
        &fleet.relay.received_totals.0,
        &fleet.relay.received_totals.1,
    );
    let before = (
        datagrams.load(Ordering::Relaxed),
        bytes.load(Ordering::Relaxed),
    );
    std::thread::sleep(Duration::from_secs(10));
    let sent = (
        datagrams.load(Ordering::Relaxed) - before.0,
        bytes.load(Ordering::Relaxed) - before.1,
    );
    let each = |sum: u64| sum as f64 / 10.0 / count as f64;
    table.tell(
        &format!("{count} processes, calm: datagrams and bytes (UDP's payload) a member a second"),
        format!("{:.1}, {:.0}", each(sent.0), each(sent.1)),
    );
    if count == 15 {
        fleet
            .relay
            .update_rules(|r| r.partitions = (0..count).map(|i| (i >= 5) as u8).collect());
        fleet.read_logs_for(Duration::from_secs(10));
        fleet.relay.update_rules(|r| r.partitions.clear());
        let start = Instant::now();
        let healed = fleet.wait_until(LONG, Fleet::all_views_alive);
        let took = start.elapsed().as_secs_f64();
        let deaths = fleet.total_logged_deaths();
        fleet.read_logs_for(Duration::from_secs(5));
        let flapped = fleet.total_logged_deaths() - deaths;
        table.row(
            "15 processes, 5 cut off for 10 s: one view after the heal; deaths after that",
            format!("{took:.2} s; {flapped}"),
            "in 30 s; 0",
            healed && flapped == 0,
        );
    }
}

/// A crash among many, emulated.
fn crash(folder: &Path, results: &Path, members: u64, table: &mut Table) {
    let example = format!("crash-{members}.xml");
    let report = play(folder, &example, &[]);
    let (crash, back) = (&report["courses"][0], &report["courses"][1]);
    let all = crash["all_ms"]["p99"].as_u64();
    let holds = members < 1_000 || all.is_some_and(|ms| ms <= KNOWN_MS);
    let part = |name| both(crash, name);
    table.row(
        &format!(
            "{members} emulated, 20 seeds, a crash: suspected, first death, 99%, all; p50, p99"
        ),
        format!(
            "{}; {}; {}; {} s",
            part("noticed_ms"),
            part("first_ms"),
            part("most_ms"),
            part("all_ms")
        ),
        if members < 1_000 {
            "-"
        } else {
            "all within 5 s"
        },
        holds,
    );
    table.tell(
        &format!("{members} emulated, its restart: one view; p50, p99"),
        format!("{} s", both(back, "settled_ms")),
    );
    if members == 1_000 {
        table.figure(format!("1,000 know of a crash in {} s (p99)", seconds(all)));
        let careful = play(folder, &example, &[("suspicion=\"1\"", "suspicion=\"2\"")]);
        table.tell(
            "1000 emulated, the same with suspicion 2: all know; p50, p99",
            format!("{} s", both(&careful["courses"][0], "all_ms")),
        );
        for (chart, title) in [
            ("views", "What 1,000 members hold that is not so"),
            ("traffic", "Bytes a member"),
        ] {
            let file = format!("members-crash-{chart}.svg");
            let from = folder.join(format!("{example}-report/{chart}.svg"));
            if std::fs::copy(from, results.join(&file)).is_ok() {
                table.chart(title, &file);
            }
        }
    }
}

/// A slow member, with and without loss, against plain SWIM.
fn slow(folder: &Path, table: &mut Table) {
    let many = [
        ("share=\"0.1\"", "share=\"0\""),
        ("members=\"100\"", "members=\"1000\""),
    ];
    let calm = play(folder, "slow-member.xml", &many);
    let deaths = number(&calm, "false_deaths");
    table.row(
        "1000 emulated for an hour in all, one member slow by 400 ms each way: false deaths",
        format!("{deaths}"),
        "0",
        deaths == 0.0,
    );
    table.figure(format!(
        "false deaths in an hour with a slow member: {deaths}"
    ));
    let a_member_hour = |changes: &[(&str, &str)]| {
        let report = play(folder, "slow-member.xml", changes);
        let (deaths, hours) = (
            number(&report, "false_deaths"),
            number(&report, "member_hours"),
        );
        (deaths / hours, number(&report, "bytes"))
    };
    let (mut said, mut holds) = (Vec::new(), true);
    for suspicion in ["1", "2"] {
        let suspicion = format!("suspicion=\"{suspicion}\"");
        let (ours, ours_bytes) = a_member_hour(&[("suspicion=\"1\"", &suspicion)]);
        let plain = format!("{suspicion} lifeguard=\"false\"");
        let (swim, swim_bytes) = a_member_hour(&[("suspicion=\"1\"", &plain)]);
        said.push(format!(
            "{ours:.4} against {swim:.3} ({ours_bytes:.0} and {swim_bytes:.0} bytes)"
        ));
        holds &= ours < swim;
    }
    table.row(
        "100 emulated for an hour in all, the same with 10% loss, ours against plain SWIM: false deaths a member-hour (bytes a member a second); \
         suspicion 1, then 2",
        said.join("; "),
        "fewer",
        holds,
    );
}

/// Calm fleets of growing size.
fn traffic(folder: &Path, table: &mut Table) {
    let mut said = Vec::new();
    let mut last = f64::MAX;
    for members in ["15", "40", "100", "300", "1000"] {
        let size = format!("members=\"{members}\"");
        let changes = [
            ("members=\"100\"", &*size),
            ("share=\"0.1\"", "share=\"0\""),
            ("span=\"400 ms\"", "span=\"0 ms\""),
        ];
        let changes: Vec<(&str, &str)> = changes
            .into_iter()
            .chain([
                ("seeds=\"20\"", "seeds=\"2\""),
                ("member=\"70\"", "member=\"7\""),
            ])
            .collect();
        let report = play(folder, "slow-member.xml", &changes);
        last = number(&report, "bytes");
        said.push(format!(
            "{members}: {:.1}, {last:.0}",
            number(&report, "datagrams")
        ));
    }
    table.row(
        "calm, emulated: datagrams and bytes (IP and UDP counted in) that a member sends a second, by members",
        said.join("; "),
        "under 2 KB at 1,000",
        last < BYTES,
    );
    table.figure(format!("{last:.0} bytes a member a second at 1,000"));
}

/// A third cut off, then healed.
fn partition(folder: &Path, table: &mut Table) {
    let report = play(folder, "partition-300.xml", &[]);
    let heal = &report["courses"][0];
    table.row(
        "300 emulated, 100 cut off for 20 s, 20 seeds: one view after the heal; p50, p99",
        format!("{} s", both(heal, "settled_ms")),
        "all",
        heal["settled_ms"]["p99"].is_u64(),
    );
    let deaths = number(&report, "false_deaths");
    table.tell(
        "the same: deaths of those who ran and could be reached (from 2 s after the heal over the cut), in member-hours",
        format!("{deaths} in {:.0}", number(&report, "member_hours")),
    );
}

pub fn measure(folder: &Path, results: &Path, table: &mut Table) {
    table.ran(
        "Processes on loopback behind the fault relay (period 500 ms, suspicion 2), and the same core in the \
         emulator (period 500 ms, suspicion 1 unless said); the plans are in `examples/experiments`.",
    );
    for count in [5, 15, 40] {
        processes(count, table);
    }
    for members in [300, 1_000] {
        crash(folder, results, members, table);
    }
    slow(folder, table);
    traffic(folder, table);
    partition(folder, table);
}
