//! A damaged capture replayed: what is whole arrives as it was, in its order and time.

use crate::table::Table;
use heathspur_capture::{write, Side, Stamp};
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
const EACH: u64 = 50;
/// The recording's length.
const SECONDS: u64 = 25;

/// A packet of a client with a part of a request.
struct Part {
    connection: u64,
    request: usize,
}

/// The capture, and of each connection the requests that are whole in it, in order.
pub struct Storm {
    pub file: PathBuf,
    pub whole: BTreeMap<u64, Vec<Vec<u8>>>,
    pub lost: usize,
}

fn request(connection: u64, n: u64, lots: &mut StdRng) -> Vec<u8> {
    let body: Vec<u8> = (0..lots.random_range(0..1800))
        .map(|_| lots.random())
        .collect();
    let head = format!(
        "POST /svc/pay HTTP/1.1\r\nX-Txn: {connection:08x}{n:08x}\r\nX-Txn-Key: {:032x}\r\nContent-Length: {}\r\n\r\n",
        connection * EACH + n,
        body.len()
    );
    [head.as_bytes(), &body].concat()
}

/// Writes it: segments change places, come twice, are cut or missing, and the file ends in a packet.
pub fn make(folder: &Path, seed: u64) -> Storm {
    let mut lots = StdRng::seed_from_u64(seed);
    let (mut requests, mut packets) = (BTreeMap::<u64, Vec<Vec<u8>>>::new(), Vec::new());
    for connection in 0..CONNECTIONS {
        let mut script = CaptureBuilder::open(10_000 + connection as u16);
        script.elapsed_nanos += connection * SECONDS * 1000 * NANOS_PER_MS / CONNECTIONS / EACH;
        let offset = script.elapsed_nanos;
        let mut parts: Vec<Option<Part>> = script.packets.iter().map(|_| None).collect();
        for n in 0..EACH {
            let bytes = request(connection, n, &mut lots);
            script.elapsed_nanos = script
                .elapsed_nanos
                .max(offset + n * SECONDS * 1000 * NANOS_PER_MS / EACH);
            script.send(Side::Client, &bytes, 700);
            let index = requests.entry(connection).or_default().len();
            parts.resize_with(script.packets.len(), || {
                Some(Part {
                    connection,
                    request: index,
                })
            });
            requests.entry(connection).or_default().push(bytes);
            script.send(Side::Server, &response(200, b"done"), 1400);
            parts.resize_with(script.packets.len(), || None);
        }
        script.close();
        parts.resize_with(script.packets.len(), || None);
        packets.extend(script.packets.into_iter().zip(parts));
    }
    // What each packet suffers. A copy is whole even where the first was not.
    let mut timed: Vec<(u64, Vec<u8>, usize, usize)> = Vec::new();
    for (id, ((at, packet), part)) in packets.iter().enumerate() {
        let client = part.is_some();
        let fate = if client {
            lots.random_range(0..1000)
        } else {
            1000
        };
        let whole = packet.len();
        let slip = if client && fate % 10 == 0 {
            lots.random_range(0..4) * NANOS_PER_MS
        } else {
            0
        };
        match fate {
            // Missing, and cut by the snap length.
            0..2 => {}
            2..4 => timed.push((
                at + slip,
                packet[..whole - 20.min(whole - 40)].to_vec(),
                whole,
                id,
            )),
            4..40 => {
                timed.push((at + slip, packet.clone(), whole, id));
                timed.push((at + slip + 3 * NANOS_PER_MS, packet.clone(), whole, id));
            }
            _ => timed.push((at + slip, packet.clone(), whole, id)),
        }
    }
    timed.sort_by_key(|(at, ..)| *at);
    let mut file = write::pcap_header(write::RAW_IP, 0);
    let mut ends = Vec::new();
    for (at, data, whole, _) in &timed {
        file.extend(write::pcap_record(
            Stamp(CAPTURE_START_NANOS + at),
            data,
            *whole as u32,
        ));
        ends.push(file.len());
    }
    let cut = file.len() - 100_000;
    file.truncate(cut);
    let mut there: HashMap<usize, bool> = HashMap::new();
    for ((_, data, whole, id), end) in timed.iter().zip(&ends) {
        *there.entry(*id).or_default() |= *end <= cut && data.len() == *whole;
    }
    let mut broken: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (id, (_, part)) in packets.iter().enumerate() {
        if let Some(part) = part
            .as_ref()
            .filter(|_| !there.get(&id).copied().unwrap_or(false))
        {
            broken
                .entry(part.connection)
                .or_default()
                .push(part.request);
        }
    }
    let mut lost = 0;
    for (connection, requests) in &mut requests {
        let broken = broken.get(connection).map_or(&[][..], |list| &list[..]);
        let before = requests.len();
        let mut n = 0;
        requests.retain(|_| {
            n += 1;
            !broken.contains(&(n - 1))
        });
        lost += before - requests.len();
    }
    let path = folder.join("storm.pcap");
    std::fs::write(&path, file).expect("the capture is written");
    Storm {
        file: path,
        whole: requests,
        lost,
    }
}

/// The connection that a request belongs to, as its id tells.
fn connection(bytes: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(80)]).into_owned();
    let id = text
        .split("X-Txn: ")
        .nth(1)
        .and_then(|rest| rest.get(..8))
        .unwrap_or("");
    u64::from_str_radix(id, 16).unwrap_or(u64::MAX)
}

fn replay(storm: &Storm, speed: &str, report: &Path) -> (Vec<ReceivedRequest>, Value) {
    let sink = RecordingServer::start(ResponseOptions::default());
    let run = Command::new(program_path("heathspurctl"))
        .args(["pcap", "replay"])
        .arg(&storm.file)
        .args([
            "--to-server",
            &sink.address.to_string(),
            "--speed",
            speed,
            "--report",
        ])
        .arg(report)
        .output()
        .expect("the replay runs");
    let told = std::fs::read(report.join("report.json")).unwrap_or_default();
    let told = serde_json::from_slice(&told).unwrap_or_else(|_| {
        panic!("no report: {}", String::from_utf8_lossy(&run.stderr));
    });
    (sink.received(), told)
}

pub fn measure(folder: &Path, results: &Path, table: &mut Table) {
    let storm = make(folder, 42);
    let whole: usize = storm.whole.values().map(Vec::len).sum();
    table.tell(
        "requests written",
        format!("{} over {CONNECTIONS} connections", CONNECTIONS * EACH),
    );
    table.tell(
        "requests that lost a part in the file",
        storm.lost.to_string(),
    );
    for speed in ["1", "10"] {
        let report = folder.join(format!("report-{speed}"));
        let (received, told) = replay(&storm, speed, &report);
        let mut by_connection: BTreeMap<u64, Vec<Vec<u8>>> = BTreeMap::new();
        for request in &received {
            by_connection
                .entry(connection(&request.bytes))
                .or_default()
                .push(request.bytes.clone());
        }
        let expected: BTreeMap<_, _> = storm
            .whole
            .iter()
            .filter(|(_, list)| !list.is_empty())
            .collect();
        let same = by_connection.len() == expected.len()
            && expected
                .iter()
                .all(|(connection, list)| by_connection.get(connection) == Some(list));
        let what = format!("whole requests received, byte for byte in order, speed {speed}");
        table.row(
            &what,
            format!("{} of {whole}", received.len()),
            "all, nothing else",
            same,
        );
        let audit = &told["audit"];
        let number = |name: &str| audit["lateness"][name].as_f64().unwrap_or(f64::MAX);
        let drift = audit["drift_ms_per_s"].as_f64().unwrap_or(f64::MAX);
        table.row(
            &format!("drift, speed {speed}"),
            format!("{drift:.3} ms a second"),
            "under 5",
            drift < 5.0,
        );
        let late = format!(
            "{:.3}, {:.3}, {:.3} ms",
            number("p50_ms"),
            number("p99_ms"),
            number("max_ms")
        );
        table.tell(&format!("lateness p50, p99, max, speed {speed}"), late);
        table.figure(format!(
            "speed {speed}: {}/{whole} drift {drift:.3} ms/s",
            received.len()
        ));
        if speed == "1" {
            for chart in ["rates.svg", "latency.svg"] {
                let _ = std::fs::copy(report.join(chart), results.join(format!("pcap-{chart}")));
            }
        }
    }
    let info = Command::new(program_path("heathspurctl"))
        .args(["pcap", "info"])
        .arg(&storm.file)
        .output();
    let info = info
        .map(|out| String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
        .unwrap_or_default();
    let listed: Vec<_> = info
        .lines()
        .filter(|l| l.contains("passed over") || l.contains("at byte"))
        .map(|l| {
            l.rsplit("storm.pcap: ")
                .next()
                .unwrap_or(l)
                .split_whitespace()
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();
    let told =
        listed.iter().any(|l| l.contains("Hole")) && listed.iter().any(|l| l.contains("at byte"));
    table.row(
        "what is not whole is listed with its cause",
        listed.join("; "),
        "holes and the cut end",
        told,
    );
}
