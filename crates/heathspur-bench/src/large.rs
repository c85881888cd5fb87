//! A large file: reading speed and memory.

use crate::table::Table;
use heathspur_capture::{write, Side, Stamp};
use heathspur_testkit::capture::{
    client_address, request, response, server_address, CAPTURE_START_NANOS, NANOS_PER_MS,
};
use heathspur_testkit::prelude::program_path;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Connections that talk by turns.
const CONNECTIONS: u16 = 1000;

fn make(file: &Path, size: u64) -> std::io::Result<u64> {
    let mut out = BufWriter::with_capacity(1 << 20, File::create(file)?);
    let mut written = out.write(&write::pcap_header(write::RAW_IP, 0))? as u64;
    let mut talks: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            write::TcpConversation::new(
                client_address(10_000 + n),
                server_address(),
                [u32::from(n), 7],
            )
        })
        .collect();
    let (mut now, mut requests) = (0, 0);
    let put = |out: &mut BufWriter<File>, packet: &[u8], now: u64| -> std::io::Result<u64> {
        let record = write::pcap_record(
            Stamp(CAPTURE_START_NANOS + now),
            packet,
            packet.len() as u32,
        );
        out.write_all(&record)?;
        Ok(record.len() as u64)
    };
    for talk in &mut talks {
        for packet in talk.open() {
            written += put(&mut out, &packet, now)?;
        }
    }
    let (body, reply) = ([b'a'; 1300], response(200, &[b'b'; 1200]));
    while written < size {
        for talk in &mut talks {
            now += NANOS_PER_MS / 50;
            requests += 1;
            for (side, bytes) in [
                (Side::Client, &request(requests, &body)),
                (Side::Server, &reply),
            ] {
                for packet in talk.send(side, bytes) {
                    written += put(&mut out, &packet, now)?;
                }
            }
        }
    }
    out.flush()?;
    Ok(requests)
}

pub fn measure(folder: &Path, size: u64, table: &mut Table) {
    let file = folder.join("large.pcap");
    let requests = make(&file, size).expect("the large file is written");
    let start = Instant::now();
    let mut child = Command::new(program_path("heathspurctl"))
        .args(["pcap", "info"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the tool runs");
    let mut peak = 0;
    let status = loop {
        peak = peak.max(peak_kib(child.id()).unwrap_or(0));
        if let Ok(Some(status)) = child.try_wait() {
            break status;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let seconds = start.elapsed().as_secs_f64();
    let mut said = String::new();
    if let Some(mut out) = child.stdout.take() {
        let _ = std::io::Read::read_to_string(&mut out, &mut said);
    }
    let _ = std::fs::remove_file(&file);
    let found = said.lines().map(str::trim).any(|line| {
        line.strip_prefix("requests")
            .is_some_and(|rest| rest.trim() == requests.to_string())
    });
    let speed = size as f64 / 1e6 / seconds;
    table.row(
        "requests found in the large file",
        requests.to_string(),
        "all",
        found && status.success(),
    );
    table.tell(
        "reading speed",
        format!("{speed:.0} MB/s ({} MiB in {seconds:.1} s)", size >> 20),
    );
    table.row(
        "peak memory of reading",
        format!("{:.1} MiB", peak as f64 / 1024.0),
        "under 64",
        peak < 64 * 1024,
    );
    table.figure(format!(
        "reads {speed:.0} MB/s in {:.0} MiB",
        peak as f64 / 1024.0
    ));
}

/// The most memory that a process has had, in KiB.
pub fn peak_kib(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
