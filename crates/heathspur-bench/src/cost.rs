//! What a request costs the daemon: before, with recording off, and with it on.

use crate::daemon::Daemon;
use crate::large::peak_kib;
use crate::table::Table;
use heathspur_capture::Options;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::capture::parse_capture;
use heathspur_testkit::prelude::{program_path, request, Http1Client};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::Instant;

/// One at a time: with more, how many requests share a turn of the owner differs from play to play, and with it
/// the cost of each by a tenth.
const CALLERS: u64 = 1;
const REQUESTS: u64 = 20_000;
const ROUNDS: usize = 3;

/// One play: requests a second, microseconds of CPU a request, peak memory in KiB, answers of 200.
#[derive(Clone, Copy, Default)]
struct Play {
    rate: f64,
    micros: f64,
    peak: u64,
    good: u64,
}

fn start(command: Command, folder: &Path, operator: Option<&Path>) -> Daemon {
    Daemon::start(
        command,
        folder,
        operator,
        InterpreterOptions::default(),
        |_| {},
    )
}

fn play(program: &Path, folder: &Path, operator: Option<&Path>) -> Play {
    let daemon = start(Command::new(program), folder, operator);
    load(daemon.address, 2_000, 0);
    let before = daemon.cpu_nanos();
    let start = Instant::now();
    let good = load(daemon.address, REQUESTS, 1 << 32);
    let seconds = start.elapsed().as_secs_f64();
    let micros = (daemon.cpu_nanos() - before) as f64 / 1000.0 / REQUESTS as f64;
    let peak = peak_kib(daemon.process.0.id()).unwrap_or(0);
    Play {
        rate: REQUESTS as f64 / seconds,
        micros,
        peak,
        good,
    }
}

/// So many requests, over connections that each wait for their answer; how many were served.
pub fn load(address: SocketAddr, requests: u64, from: u64) -> u64 {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            thread::spawn(move || {
                let mut client = Http1Client::connect(address);
                let each = requests / CALLERS;
                let txns = from + caller * each..from + (caller + 1) * each;
                txns.filter(|txn| {
                    client.send(&request(*txn, None, b"4929001234567890"));
                    client.read_response().0 == 200
                })
                .count() as u64
            })
        })
        .collect();
    callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(0))
        .sum()
}

/// 2,000 keyed requests of 500 keys, one after another; each key has a body of its own.
fn keyed(address: SocketAddr) {
    let mut client = Http1Client::connect(address);
    for n in 0..2_000_u64 {
        let key = n % 500;
        client.send(&request(
            n | 1 << 40,
            Some(&format!("key-{key}")),
            format!("pay-{key}").as_bytes(),
        ));
        client.read_response();
    }
}

fn operator(folder: &Path, name: &str, contents: &str) -> PathBuf {
    let records = folder.join(format!("records-{name}"));
    std::fs::create_dir_all(&records).expect("a folder");
    let file = folder.join(format!("{name}.xml"));
    let text = format!(
        "<operator xmlns=\"urn:heathspur:operator:1\"><record directory=\"{}\" contents=\"{contents}\"><files keep=\"2\"/></record></operator>",
        records.display()
    );
    std::fs::write(&file, text).expect("the operator's file is written");
    file
}

/// A recorded run replayed to a fresh server and recorded again: the same requests, byte for byte.
pub fn round(folder: &Path, table: &mut Table) {
    let daemon = program_path("heathspurd");
    let record = |name: &str, drive: &dyn Fn(SocketAddr)| {
        let records = folder.join(format!("records-{name}"));
        let operator = operator(folder, name, "full");
        let mut daemon = start(Command::new(&daemon), folder, Some(&operator));
        drive(daemon.address);
        daemon.process.terminate();
        daemon.process.wait();
        let files = std::fs::read_dir(&records)
            .into_iter()
            .flatten()
            .flatten()
            .map(|entry| entry.path());
        let most = daemon
            .runs
            .lock()
            .map_or(u64::MAX, |runs| runs.values().copied().max().unwrap_or(0));
        (files.collect::<Vec<_>>(), most)
    };
    let (first, ran_first) = record("first", &keyed);
    let [file] = &first[..] else {
        panic!("one file was expected: {first:?}")
    };
    let (second, ran_second) = record("second", &|address| {
        let target = address.to_string();
        let replayed = Command::new(program_path("heathspurctl"))
            .args(["pcap", "replay", "--to-server", &target])
            .arg(file)
            .output()
            .expect("the replay runs");
        println!("{}", String::from_utf8_lossy(&replayed.stdout));
    });
    let requests = |files: &[PathBuf]| {
        let bytes = files
            .iter()
            .flat_map(|file| std::fs::read(file).unwrap_or_default())
            .collect::<Vec<_>>();
        let read = parse_capture(
            &bytes,
            Options {
                checksums: true,
                ..Options::default()
            },
            1 << 16,
        );
        read.requests
            .into_iter()
            .map(|(_, _, message)| message.bytes)
            .collect::<Vec<_>>()
    };
    let (before, after) = (requests(&first), requests(&second));
    table.row(
        "recorded, replayed to a fresh server, recorded again",
        format!("{} requests, then {}", before.len(), after.len()),
        "2000, the same bytes",
        before.len() == 2000 && before == after,
    );
    table.row(
        "runs of a key at most, recorded and replayed, each key sent four times",
        format!("{ran_first}, {ran_second}"),
        "1, 1",
        (ran_first, ran_second) == (1, 1),
    );
}

pub fn measure(folder: &Path, baseline: &Path, table: &mut Table) {
    let daemon = program_path("heathspurd");
    let (headers, full) = (
        operator(folder, "headers", "headers"),
        operator(folder, "full", "full"),
    );
    let ways: [(&str, &Path, Option<&Path>); 4] = [
        ("before", baseline, None),
        ("off", &daemon, None),
        ("headers", &daemon, Some(&headers)),
        ("full", &daemon, Some(&full)),
    ];
    let mut plays = vec![Vec::new(); ways.len()];
    for round in 0..ROUNDS {
        // By turns, and the other way round each second time, so that what the machine does meets all alike.
        let mut order: Vec<usize> = (0..ways.len()).collect();
        if round % 2 == 1 {
            order.reverse();
        }
        for way in order {
            let (_, program, operator) = ways[way];
            plays[way].push(play(program, folder, operator));
        }
    }
    let least = |way: usize| {
        plays[way]
            .iter()
            .map(|play| play.micros)
            .fold(f64::MAX, f64::min)
    };
    let median = |way: usize| {
        let mut all: Vec<f64> = plays[way].iter().map(|play| play.micros).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    for (way, (name, ..)) in ways.iter().enumerate() {
        let rate = plays[way].iter().map(|play| play.rate).fold(0.0, f64::max);
        let peak = plays[way].iter().map(|play| play.peak).max().unwrap_or(0);
        let good = plays[way].iter().map(|play| play.good).min().unwrap_or(0);
        table.row(
            &format!("recording: {name}"),
            format!(
                "{:.2} us of CPU a request at least, {:.2} median; {rate:.0}/s; {:.1} MiB; {good} of {REQUESTS} served",
                least(way),
                median(way),
                peak as f64 / 1024.0
            ),
            "all served",
            good == REQUESTS,
        );
    }
    let before = instructions(baseline, folder);
    let off = instructions(&daemon, folder);
    table.tell(
        "instructions a request, before and with recording off",
        format!("{before:.0}, {off:.0}"),
    );
    let ratio = off / before;
    table.row(
        "their ratio",
        format!("{ratio:.4}"),
        "at most 1.02",
        ratio <= 1.02,
    );
    table.figure(format!(
        "instructions off/before {ratio:.4}, CPU full/before {:.3}",
        least(3) / least(0)
    ));
}

/// Instructions a request, as valgrind's callgrind counts them: plays differ by a tenth in time on cores, and by
/// far less in these. Two loads, the smaller one taken off, so that start and stop are not counted.
pub fn instructions(program: &Path, folder: &Path) -> f64 {
    let counted = |requests: u64| {
        let out = folder.join("callgrind.out");
        let mut command = Command::new("valgrind");
        command.args(["--tool=callgrind", "--log-file=/dev/null"]);
        command
            .arg(format!("--callgrind-out-file={}", out.display()))
            .arg(program);
        let mut daemon = start(command, folder, None);
        load(daemon.address, requests, 0);
        daemon.process.terminate();
        daemon.process.wait();
        let text = std::fs::read_to_string(&out).unwrap_or_default();
        let total = text.lines().find_map(|line| {
            line.strip_prefix("totals: ")
                .or(line.strip_prefix("summary: "))
        });
        total
            .and_then(|total| total.trim().parse::<f64>().ok())
            .unwrap_or(f64::NAN)
    };
    let (few, many) = (500, 4_500);
    (counted(many) - counted(few)) / (many - few) as f64
}
