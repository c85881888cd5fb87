//! Replay of a damaged capture: the requests that are complete in it arrive unchanged, in order and on time.
//!
//! In the capture, segments are out of order, repeated, cut short or missing, and the file ends within a packet.

use crate::table::Table;
use heathspur_capture::{write, Side, Timestamp};
use heathspur_testkit::capture::{response, CaptureBuilder, CAPTURE_START_NANOS, NANOS_PER_MS};
use heathspur_testkit::prelude::program_path;
use heathspur_testkit::recording_server::{ReceivedRequest, RecordingServer, ResponseOptions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use std::process::Command;

const CONNECTIONS: u64 = 400;
const REQUESTS_PER_CONNECTION: u64 = 50;
const CAPTURE_SECONDS: u64 = 25;
/// Bytes cut off the end of the file.
const TRUNCATED_BYTES: usize = 100_000;

/// The request that a client's packet carries a part of.
struct RequestPart {
    connection: u64,
    /// Position of the request on its connection.
    request: usize,
}

/// A damaged capture and what it contains.
struct DamagedCapture {
    file: PathBuf,
    /// The requests that are complete in the file, in order, by connection.
    complete: BTreeMap<u64, Vec<Vec<u8>>>,
    /// Requests of which the file lacks at least one part.
    incomplete: usize,
}

/// Returns a request with a random body and with its connection in the `X-Txn` header.
fn request(connection: u64, n: u64, rng: &mut StdRng) -> Vec<u8> {
    let body: Vec<u8> = (0..rng.random_range(0..1800))
        .map(|_| rng.random())
        .collect();
    let head = format!(
        "POST /svc/pay HTTP/1.1\r\nX-Txn: {connection:08x}{n:08x}\r\nX-Txn-Key: {:032x}\r\nContent-Length: {}\r\n\r\n",
        connection * REQUESTS_PER_CONNECTION + n,
        body.len()
    );
    [head.as_bytes(), &body].concat()
}

/// Writes a capture in which packets are reordered, repeated, cut or missing, as chosen by `seed`.
fn write_damaged_capture(folder: &Path, seed: u64) -> DamagedCapture {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut requests, mut packets) = (BTreeMap::<u64, Vec<Vec<u8>>>::new(), Vec::new());
    for connection in 0..CONNECTIONS {
        let mut builder = CaptureBuilder::open(10_000 + connection as u16);
        builder.elapsed_nanos += connection * CAPTURE_SECONDS * 1000 * NANOS_PER_MS
            / CONNECTIONS
            / REQUESTS_PER_CONNECTION;
        let offset = builder.elapsed_nanos;
        let mut parts: Vec<Option<RequestPart>> = builder.packets.iter().map(|_| None).collect();
        for n in 0..REQUESTS_PER_CONNECTION {
            let bytes = request(connection, n, &mut rng);
            builder.elapsed_nanos = builder
                .elapsed_nanos
                .max(offset + n * CAPTURE_SECONDS * 1000 * NANOS_PER_MS / REQUESTS_PER_CONNECTION);
            builder.send(Side::Client, &bytes, 700);
            let index = requests.entry(connection).or_default().len();
            parts.resize_with(builder.packets.len(), || {
                Some(RequestPart {
                    connection,
                    request: index,
                })
            });
            requests.entry(connection).or_default().push(bytes);
            builder.send(Side::Server, &response(200, b"done"), 1400);
            parts.resize_with(builder.packets.len(), || None);
        }
        builder.close();
        parts.resize_with(builder.packets.len(), || None);
        packets.extend(builder.packets.into_iter().zip(parts));
    }
    // Damages the clients' packets: of 1,000, 2 are missing, 2 cut and 36 repeated, and 100 are delayed by up to 3 ms,
    // past packets that follow a millisecond apart. The server's packets are unchanged. An entry has the time, the
    // captured bytes, the original length and the index of the packet.
    let mut captured: Vec<(u64, Vec<u8>, usize, usize)> = Vec::new();
    for (packet_index, ((at, packet), part)) in packets.iter().enumerate() {
        let from_client = part.is_some();
        let draw = if from_client {
            rng.random_range(0..1000)
        } else {
            1000
        };
        let full_len = packet.len();
        let delay = if from_client && draw % 10 == 0 {
            rng.random_range(0..4) * NANOS_PER_MS
        } else {
            0
        };
        match draw {
            // Missing.
            0..2 => {}
            // Cut as by the snap length.
            2..4 => captured.push((
                at + delay,
                packet[..full_len - 20.min(full_len - 40)].to_vec(),
                full_len,
                packet_index,
            )),
            // Repeated.
            4..40 => {
                captured.push((at + delay, packet.clone(), full_len, packet_index));
                captured.push((
                    at + delay + 3 * NANOS_PER_MS,
                    packet.clone(),
                    full_len,
                    packet_index,
                ));
            }
            _ => captured.push((at + delay, packet.clone(), full_len, packet_index)),
        }
    }
    captured.sort_by_key(|(at, ..)| *at);
    let mut file = write::pcap_header(write::RAW_IP, 0);
    let mut record_ends = Vec::new();
    for (at, data, full_len, _) in &captured {
        file.extend(write::pcap_record(
            Timestamp(CAPTURE_START_NANOS + at),
            data,
            *full_len as u32,
        ));
        record_ends.push(file.len());
    }
    let file_len = file.len() - TRUNCATED_BYTES;
    file.truncate(file_len);
    // A packet is complete if any of its copies is.
    let mut packet_complete: HashMap<usize, bool> = HashMap::new();
    for ((_, data, full_len, packet_index), end) in captured.iter().zip(&record_ends) {
        *packet_complete.entry(*packet_index).or_default() |=
            *end <= file_len && data.len() == *full_len;
    }
    let mut incomplete: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (packet_index, (_, part)) in packets.iter().enumerate() {
        if let Some(part) = part
            .as_ref()
            .filter(|_| !packet_complete.get(&packet_index).copied().unwrap_or(false))
        {
            incomplete
                .entry(part.connection)
                .or_default()
                .push(part.request);
        }
    }
    let mut incomplete_count = 0;
    for (connection, requests) in &mut requests {
        let incomplete = incomplete.get(connection).map_or(&[][..], |list| &list[..]);
        let count = requests.len();
        let mut visited = 0;
        requests.retain(|_| {
            visited += 1;
            !incomplete.contains(&(visited - 1))
        });
        incomplete_count += count - requests.len();
    }
    let path = folder.join("storm.pcap");
    std::fs::write(&path, file)
        .unwrap_or_else(|e| panic!("failed to write the capture {}: {e}", path.display()));
    DamagedCapture {
        file: path,
        complete: requests,
        incomplete: incomplete_count,
    }
}

/// Returns the connection that [`request`] wrote to the `X-Txn` header, or `u64::MAX` if there is none.
fn connection_of(bytes: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(80)]).into_owned();
    let connection = text
        .split("X-Txn: ")
        .nth(1)
        .and_then(|rest| rest.get(..8))
        .unwrap_or("");
    u64::from_str_radix(connection, 16).unwrap_or(u64::MAX)
}

/// Replays the capture to a recording server; returns what that received and the report of the replay.
fn replay(
    capture: &DamagedCapture,
    speed: &str,
    report_folder: &Path,
) -> (Vec<ReceivedRequest>, Value) {
    let server = RecordingServer::start(ResponseOptions::default());
    let replay = Command::new(program_path("heathspurctl"))
        .args(["pcap", "replay"])
        .arg(&capture.file)
        .args([
            "--to-server",
            &server.address.to_string(),
            "--speed",
            speed,
            "--report",
        ])
        .arg(report_folder)
        .output()
        .expect("failed to start heathspurctl");
    let report = std::fs::read(report_folder.join("report.json")).unwrap_or_default();
    let report = serde_json::from_slice(&report).unwrap_or_else(|_| {
        panic!(
            "the replay wrote no valid report: {}",
            String::from_utf8_lossy(&replay.stderr)
        );
    });
    (server.received(), report)
}

/// Replays a damaged capture at its own speed and ten times as fast, and checks what arrives and what is reported as
/// damaged. Copies the charts of the first replay to `results`.
pub fn measure(folder: &Path, results: &Path, table: &mut Table) {
    let capture = write_damaged_capture(folder, 42);
    let complete: usize = capture.complete.values().map(Vec::len).sum();
    table.add_value(
        "requests written",
        format!(
            "{} over {CONNECTIONS} connections",
            CONNECTIONS * REQUESTS_PER_CONNECTION
        ),
    );
    table.add_value(
        "requests that lost a part in the file",
        capture.incomplete.to_string(),
    );
    for speed in ["1", "10"] {
        let report_folder = folder.join(format!("report-{speed}"));
        let (received, report) = replay(&capture, speed, &report_folder);
        let mut by_connection: BTreeMap<u64, Vec<Vec<u8>>> = BTreeMap::new();
        for request in &received {
            by_connection
                .entry(connection_of(&request.bytes))
                .or_default()
                .push(request.bytes.clone());
        }
        let expected: BTreeMap<_, _> = capture
            .complete
            .iter()
            .filter(|(_, list)| !list.is_empty())
            .collect();
        let same = by_connection.len() == expected.len()
            && expected
                .iter()
                .all(|(connection, list)| by_connection.get(connection) == Some(list));
        let name = format!("whole requests received, byte for byte in order, speed {speed}");
        table.add_check(
            &name,
            format!("{} of {complete}", received.len()),
            "all, nothing else",
            same,
        );
        let audit = &report["audit"];
        let lateness_ms = |name: &str| audit["lateness"][name].as_f64().unwrap_or(f64::MAX);
        let drift = audit["drift_ms_per_s"].as_f64().unwrap_or(f64::MAX);
        table.add_check(
            &format!("drift, speed {speed}"),
            format!("{drift:.3} ms a second"),
            "under 5",
            drift < 5.0,
        );
        let lateness = format!(
            "{:.3}, {:.3}, {:.3} ms",
            lateness_ms("p50_ms"),
            lateness_ms("p99_ms"),
            lateness_ms("max_ms")
        );
        table.add_value(&format!("lateness p50, p99, max, speed {speed}"), lateness);
        table.add_figure(format!(
            "speed {speed}: {}/{complete} drift {drift:.3} ms/s",
            received.len()
        ));
        if speed == "1" {
            for chart in ["rates.svg", "latency.svg"] {
                let _ = std::fs::copy(
                    report_folder.join(chart),
                    results.join(format!("pcap-{chart}")),
                );
            }
        }
    }
    let info = Command::new(program_path("heathspurctl"))
        .args(["pcap", "info"])
        .arg(&capture.file)
        .output();
    let info = info
        .map(|output| {
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
        })
        .unwrap_or_default();
    let damage: Vec<_> = info
        .lines()
        .filter(|line| line.contains("passed over") || line.contains("at byte"))
        .map(|line| {
            line.rsplit("storm.pcap: ")
                .next()
                .unwrap_or(line)
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();
    let holes_and_end_listed = damage.iter().any(|line| line.contains("Hole"))
        && damage.iter().any(|line| line.contains("at byte"));
    table.add_check(
        "what is not whole is listed with its cause",
        damage.join("; "),
        "holes and the cut end",
        holes_and_end_listed,
    );
}
