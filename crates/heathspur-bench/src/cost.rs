//! CPU time and instructions of a request: in an earlier server, without recording, and with it.
//!
//! Also checks that recorded requests can be replayed and recorded again without a difference.

use crate::daemon::Daemon;
use crate::large::peak_memory_kib;
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

/// Clients that send requests at the same time. With more than one, the number of requests that the server handles in
/// one pass of its event loop differs between samples, which changes the cost of a request by a tenth.
const CLIENTS: u64 = 1;
/// Measured requests of each sample.
const REQUESTS: u64 = 20_000;
/// Requests before each sample that aren't measured.
const WARM_UP_REQUESTS: u64 = 2_000;
/// Samples of each variant.
const ROUNDS: usize = 3;
/// Requests of the recording, each with an idempotency key.
const KEYED_REQUESTS: u64 = 2_000;
/// Idempotency keys of these requests.
const KEYS: u64 = 500;

/// The cost of [`REQUESTS`] requests in one server process.
#[derive(Clone, Copy, Default)]
struct Sample {
    requests_per_second: f64,
    cpu_micros_per_request: f64,
    peak_memory_kib: u64,
    /// Responses with status 200.
    served: u64,
}

/// Starts a server with the default stub of the interpreter.
fn start(command: Command, folder: &Path, operator: Option<&Path>) -> Daemon {
    Daemon::start(
        command,
        folder,
        operator,
        InterpreterOptions::default(),
        |_| {},
    )
}

/// Starts a server and measures [`REQUESTS`] requests after a warm-up.
fn measure_sample(program: &Path, folder: &Path, operator: Option<&Path>) -> Sample {
    let daemon = start(Command::new(program), folder, operator);
    send_requests(daemon.http1_address, WARM_UP_REQUESTS, 0);
    let cpu_nanos_before = daemon.cpu_nanos();
    let start = Instant::now();
    let served = send_requests(daemon.http1_address, REQUESTS, 1 << 32);
    let seconds = start.elapsed().as_secs_f64();
    let cpu_micros_per_request =
        (daemon.cpu_nanos() - cpu_nanos_before) as f64 / 1000.0 / REQUESTS as f64;
    let peak_memory_kib = peak_memory_kib(daemon.process.0.id()).unwrap_or(0);
    Sample {
        requests_per_second: REQUESTS as f64 / seconds,
        cpu_micros_per_request,
        peak_memory_kib,
        served,
    }
}

/// Sends requests over HTTP/1.1, one connection per client, each request after the response to the one before.
///
/// Transaction ids start at `first_txn`. Returns the number of responses with status 200.
pub fn send_requests(address: SocketAddr, requests: u64, first_txn: u64) -> u64 {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            thread::spawn(move || {
                let mut client = Http1Client::connect(address);
                let per_client = requests / CLIENTS;
                let txns = first_txn + index * per_client..first_txn + (index + 1) * per_client;
                txns.filter(|txn| {
                    client.send(&request(*txn, None, b"4929001234567890"));
                    client.read_response().0 == 200
                })
                .count() as u64
            })
        })
        .collect();
    clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum()
}

/// Sends [`KEYED_REQUESTS`] requests one after another, with [`KEYS`] idempotency keys in rotation, each with its own
/// body.
fn send_keyed_requests(address: SocketAddr) {
    let mut client = Http1Client::connect(address);
    for n in 0..KEYED_REQUESTS {
        let key = n % KEYS;
        client.send(&request(
            n | 1 << 40,
            Some(&format!("key-{key}")),
            format!("pay-{key}").as_bytes(),
        ));
        client.read_response();
    }
}

/// Writes an operator's file that records `contents` of the traffic to the directory `records-<name>`.
fn write_operator_file(folder: &Path, name: &str, contents: &str) -> PathBuf {
    let records = folder.join(format!("records-{name}"));
    std::fs::create_dir_all(&records)
        .unwrap_or_else(|e| panic!("failed to create the directory {}: {e}", records.display()));
    let file = folder.join(format!("{name}.xml"));
    let text = format!(
        "<operator xmlns=\"urn:heathspur:operator:1\"><record directory=\"{}\" contents=\"{contents}\"><files keep=\"2\"/></record></operator>",
        records.display()
    );
    std::fs::write(&file, text).unwrap_or_else(|e| {
        panic!(
            "failed to write the operator's file {}: {e}",
            file.display()
        )
    });
    file
}

/// Records requests and replays them to a new server that records them again. Checks that both recordings have the same
/// requests, byte for byte, and that no key ran twice.
pub fn measure_record_and_replay(folder: &Path, table: &mut Table) {
    let program = program_path("heathspurd");
    // Returns the files of the recording and the highest number of runs of a body.
    let record = |name: &str, send: &dyn Fn(SocketAddr)| {
        let records = folder.join(format!("records-{name}"));
        let operator = write_operator_file(folder, name, "full");
        let mut daemon = start(Command::new(&program), folder, Some(&operator));
        send(daemon.http1_address);
        daemon.process.terminate();
        daemon.process.wait();
        let files = std::fs::read_dir(&records)
            .into_iter()
            .flatten()
            .flatten()
            .map(|entry| entry.path());
        let max_runs = daemon
            .run_counts
            .lock()
            .map_or(u64::MAX, |runs| runs.values().copied().max().unwrap_or(0));
        (files.collect::<Vec<_>>(), max_runs)
    };
    let (first, max_runs_recorded) = record("first", &send_keyed_requests);
    let [file] = &first[..] else {
        panic!("expected one recorded file, found {first:?}")
    };
    let (second, max_runs_replayed) = record("second", &|address| {
        let target = address.to_string();
        let replayed = Command::new(program_path("heathspurctl"))
            .args(["pcap", "replay", "--to-server", &target])
            .arg(file)
            .output()
            .expect("failed to start heathspurctl");
        println!("{}", String::from_utf8_lossy(&replayed.stdout));
    });
    let recorded_requests = |files: &[PathBuf]| {
        let bytes = files
            .iter()
            .flat_map(|file| std::fs::read(file).unwrap_or_default())
            .collect::<Vec<_>>();
        let capture = parse_capture(
            &bytes,
            Options {
                checksums: true,
                ..Options::default()
            },
            1 << 16,
        );
        capture
            .requests
            .into_iter()
            .map(|(_, _, message)| message.bytes)
            .collect::<Vec<_>>()
    };
    let (recorded, replayed) = (recorded_requests(&first), recorded_requests(&second));
    table.add_check(
        "recorded, replayed to a fresh server, recorded again",
        format!("{} requests, then {}", recorded.len(), replayed.len()),
        "2000, the same bytes",
        recorded.len() as u64 == KEYED_REQUESTS && recorded == replayed,
    );
    table.add_check(
        "runs of a key at most, recorded and replayed, each key sent four times",
        format!("{max_runs_recorded}, {max_runs_replayed}"),
        "1, 1",
        (max_runs_recorded, max_runs_replayed) == (1, 1),
    );
}

/// Compares the cost of a request in the server `baseline` and in this one without recording, recording headers, and
/// recording everything.
pub fn measure(folder: &Path, baseline: &Path, table: &mut Table) {
    let program = program_path("heathspurd");
    let (headers, full) = (
        write_operator_file(folder, "headers", "headers"),
        write_operator_file(folder, "full", "full"),
    );
    let variants: [(&str, &Path, Option<&Path>); 4] = [
        ("before", baseline, None),
        ("off", &program, None),
        ("headers", &program, Some(&headers)),
        ("full", &program, Some(&full)),
    ];
    let mut samples = vec![Vec::new(); variants.len()];
    for round in 0..ROUNDS {
        // Interleaves the variants and reverses their order every other round, so that changes in the machine's load
        // affect all of them alike.
        let mut order: Vec<usize> = (0..variants.len()).collect();
        if round % 2 == 1 {
            order.reverse();
        }
        for variant in order {
            let (_, program, operator) = variants[variant];
            samples[variant].push(measure_sample(program, folder, operator));
        }
    }
    let min_cpu_micros = |variant: usize| {
        samples[variant]
            .iter()
            .map(|sample| sample.cpu_micros_per_request)
            .fold(f64::MAX, f64::min)
    };
    let median_cpu_micros = |variant: usize| {
        let mut micros: Vec<f64> = samples[variant]
            .iter()
            .map(|sample| sample.cpu_micros_per_request)
            .collect();
        micros.sort_by(f64::total_cmp);
        micros[micros.len() / 2]
    };
    for (variant, (name, ..)) in variants.iter().enumerate() {
        let rate = samples[variant]
            .iter()
            .map(|sample| sample.requests_per_second)
            .fold(0.0, f64::max);
        let peak_kib = samples[variant]
            .iter()
            .map(|sample| sample.peak_memory_kib)
            .max()
            .unwrap_or(0);
        let served = samples[variant]
            .iter()
            .map(|sample| sample.served)
            .min()
            .unwrap_or(0);
        table.add_check(
            &format!("recording: {name}"),
            format!(
                "{:.2} us of CPU a request at least, {:.2} median; {rate:.0}/s; {:.1} MiB; {served} of {REQUESTS} served",
                min_cpu_micros(variant),
                median_cpu_micros(variant),
                peak_kib as f64 / 1024.0
            ),
            "all served",
            served == REQUESTS,
        );
    }
    let before = instructions_per_request(baseline, folder);
    let off = instructions_per_request(&program, folder);
    table.add_value(
        "instructions a request, before and with recording off",
        format!("{before:.0}, {off:.0}"),
    );
    let ratio = off / before;
    table.add_check(
        "their ratio",
        format!("{ratio:.4}"),
        "at most 1.02",
        ratio <= 1.02,
    );
    table.add_figure(format!(
        "instructions off/before {ratio:.4}, CPU full/before {:.3}",
        min_cpu_micros(3) / min_cpu_micros(0)
    ));
}

/// Returns the instructions of a request, as counted by valgrind's callgrind; NaN if there is no count.
///
/// The CPU time differs by a tenth between samples, the number of instructions by far less. The count is the difference
/// between two processes with different numbers of requests, which excludes start and stop.
pub fn instructions_per_request(program: &Path, folder: &Path) -> f64 {
    let count_instructions = |requests: u64| {
        let output_file = folder.join("callgrind.out");
        let mut command = Command::new("valgrind");
        command.args(["--tool=callgrind", "--log-file=/dev/null"]);
        command
            .arg(format!("--callgrind-out-file={}", output_file.display()))
            .arg(program);
        let mut daemon = start(command, folder, None);
        send_requests(daemon.http1_address, requests, 0);
        daemon.process.terminate();
        daemon.process.wait();
        let text = std::fs::read_to_string(&output_file).unwrap_or_default();
        let total = text.lines().find_map(|line| {
            line.strip_prefix("totals: ")
                .or(line.strip_prefix("summary: "))
        });
        total
            .and_then(|total| total.trim().parse::<f64>().ok())
            .unwrap_or(f64::NAN)
    };
    let (few, many) = (500, 4_500);
    (count_instructions(many) - count_instructions(few)) / (many - few) as f64
}
