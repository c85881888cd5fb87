//! Memory of the server while clients don't read their responses: it stays constant, and under a bound.

use super::{start, MEMORY_MB};
use crate::table::Table;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::{
    encode_frame, Http2Client, SETTINGS_INITIAL_WINDOW_SIZE, WINDOW_UPDATE,
};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Length of each unread response body.
const RESPONSE_BYTES: usize = 16 * 1024;
const STREAMS_PER_CONNECTION: u64 = 1_000;
/// How long the memory is observed.
const OBSERVATION: Duration = Duration::from_secs(6);
/// Largest resident memory, half of the memory limit. It covers the idle server, unread responses, open requests, and
/// what connections and the protocol libraries take.
const MAX_MEMORY_KIB: u64 = MEMORY_MB * 1024 / 2;
/// Largest increase of the peak memory from the first third of the observation to the last.
const MAX_INCREASE_KIB: u64 = 1024;

/// Measures the memory against one and many connections whose windows are closed, and against many with large windows.
pub fn measure(folder: &Path, table: &mut Table) {
    for (name, connections, windows_closed) in [
        ("1 connection whose window is shut", 1, true),
        ("50 connections whose windows are shut", 50, true),
        ("50 connections that grant all and read nothing", 50, false),
    ] {
        let http2_elements =
            "<streams connection=\"1000\" all=\"4000\"/><patience stalled=\"60 s\"/>";
        let interpreter_options = InterpreterOptions {
            run_duration: Duration::ZERO,
            result_len: Some(RESPONSE_BYTES),
            calls_dependency: false,
        };
        let (daemon, address) = start(folder, "stalled", http2_elements, interpreter_options);
        let idle_kib = daemon.resident_kib();
        let clients: Vec<_> = (0..connections)
            .map(|connection: u64| {
                thread::spawn(move || {
                    let window = if windows_closed { 0 } else { 1 << 30 };
                    let mut client = Http2Client::connect_with_settings(
                        address,
                        &[(SETTINGS_INITIAL_WINDOW_SIZE, window)],
                    );
                    if !windows_closed {
                        client.send_raw(&encode_frame(
                            WINDOW_UPDATE,
                            0,
                            0,
                            &(1u32 << 30).to_be_bytes(),
                        ));
                    }
                    // The client never reads. It stops sending when a write blocks for longer than the timeout.
                    let _ = client
                        .socket()
                        .set_write_timeout(Some(Duration::from_secs(2)));
                    for n in 0..STREAMS_PER_CONNECTION {
                        let id = client.allocate_stream_id();
                        let bytes = client.encode_request(id, connection << 16 | n, None, b"x");
                        if !client.try_send_raw(&bytes) {
                            break;
                        }
                    }
                    client
                })
            })
            .collect();
        let clients: Vec<_> = clients
            .into_iter()
            .map(|client| client.join().expect("a client thread panicked"))
            .collect();
        let (start, mut samples_kib) = (Instant::now(), Vec::new());
        while start.elapsed() < OBSERVATION {
            samples_kib.push(daemon.resident_kib());
            thread::sleep(Duration::from_millis(100));
        }
        let third = samples_kib.len() / 3;
        let peak_of = |part: &[u64]| part.iter().copied().max().unwrap_or(0);
        let (first_kib, last_kib, peak_kib) = (
            peak_of(&samples_kib[..third]),
            peak_of(&samples_kib[2 * third..]),
            peak_of(&samples_kib),
        );
        let mut reading_client = Http2Client::connect(address);
        let id = reading_client.send_request(1 << 60, None, b"good");
        let status = reading_client.read_response(id).0;
        table.add_check(
            &format!("memory against {name}, {STREAMS_PER_CONNECTION} streams each"),
            format!(
                "{:.1} MiB before, {:.1} at most; {:+} KiB from the first third to the last; a good request: {status}",
                idle_kib as f64 / 1024.0,
                peak_kib as f64 / 1024.0,
                last_kib as i64 - first_kib as i64
            ),
            &format!("{} MiB at most, level within {MAX_INCREASE_KIB} KiB", MAX_MEMORY_KIB / 1024),
            peak_kib <= MAX_MEMORY_KIB
                && last_kib <= first_kib + MAX_INCREASE_KIB
                && matches!(status, 200 | 503),
        );
        if connections == 50 && windows_closed {
            table.add_figure(format!("50 stalled {:.1} MiB", peak_kib as f64 / 1024.0));
        }
        drop(clients);
    }
}
