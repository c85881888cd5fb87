//! Speed and peak memory of reading a large capture file.

use crate::table::Table;
use heathspur_capture::{write, Side, Timestamp};
use heathspur_testkit::capture::{
    client_address, request, response, server_address, CAPTURE_START_NANOS, NANOS_PER_MS,
};
use heathspur_testkit::prelude::program_path;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Connections of the capture. They exchange one request and response each in round-robin order.
const CONNECTIONS: u16 = 1000;

/// Writes a capture of at least `size` bytes and returns the number of its requests.
fn write_capture(file: &Path, size: u64) -> std::io::Result<u64> {
    let mut out = BufWriter::with_capacity(1 << 20, File::create(file)?);
    let mut written = out.write(&write::pcap_header(write::RAW_IP, 0))? as u64;
    let mut conversations: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            write::TcpConversation::new(
                client_address(10_000 + n),
                server_address(),
                [u32::from(n), 7],
            )
        })
        .collect();
    let (mut elapsed_nanos, mut requests) = (0, 0);
    let write_packet =
        |out: &mut BufWriter<File>, packet: &[u8], elapsed_nanos: u64| -> std::io::Result<u64> {
            let record = write::pcap_record(
                Timestamp(CAPTURE_START_NANOS + elapsed_nanos),
                packet,
                packet.len() as u32,
            );
            out.write_all(&record)?;
            Ok(record.len() as u64)
        };
    for conversation in &mut conversations {
        for packet in conversation.open() {
            written += write_packet(&mut out, &packet, elapsed_nanos)?;
        }
    }
    let (body, reply) = ([b'a'; 1300], response(200, &[b'b'; 1200]));
    while written < size {
        for conversation in &mut conversations {
            elapsed_nanos += NANOS_PER_MS / 50;
            requests += 1;
            for (side, bytes) in [
                (Side::Client, &request(requests, &body)),
                (Side::Server, &reply),
            ] {
                for packet in conversation.send(side, bytes) {
                    written += write_packet(&mut out, &packet, elapsed_nanos)?;
                }
            }
        }
    }
    out.flush()?;
    Ok(requests)
}

/// Measures `heathspurctl pcap info` on a capture of `size` bytes.
pub fn measure(folder: &Path, size: u64, table: &mut Table) {
    let file = folder.join("large.pcap");
    let requests = write_capture(&file, size)
        .unwrap_or_else(|e| panic!("failed to write the capture {}: {e}", file.display()));
    let start = Instant::now();
    let mut child = Command::new(program_path("heathspurctl"))
        .args(["pcap", "info"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("failed to start heathspurctl");
    let mut peak_kib = 0;
    let status = loop {
        peak_kib = peak_kib.max(peak_memory_kib(child.id()).unwrap_or(0));
        if let Ok(Some(status)) = child.try_wait() {
            break status;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    let seconds = start.elapsed().as_secs_f64();
    let mut output = String::new();
    if let Some(mut out) = child.stdout.take() {
        let _ = std::io::Read::read_to_string(&mut out, &mut output);
    }
    let _ = std::fs::remove_file(&file);
    let all_found = output.lines().map(str::trim).any(|line| {
        line.strip_prefix("requests")
            .is_some_and(|rest| rest.trim() == requests.to_string())
    });
    let megabytes_per_second = size as f64 / 1e6 / seconds;
    table.add_check(
        "requests found in the large file",
        requests.to_string(),
        "all",
        all_found && status.success(),
    );
    table.add_value(
        "reading speed",
        format!(
            "{megabytes_per_second:.0} MB/s ({} MiB in {seconds:.1} s)",
            size >> 20
        ),
    );
    table.add_check(
        "peak memory of reading",
        format!("{:.1} MiB", peak_kib as f64 / 1024.0),
        "under 64",
        peak_kib < 64 * 1024,
    );
    table.add_figure(format!(
        "reads {megabytes_per_second:.0} MB/s in {:.0} MiB",
        peak_kib as f64 / 1024.0
    ));
}

/// Returns the peak resident memory of a process in KiB, or `None` if it can't be read.
pub fn peak_memory_kib(process_id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
