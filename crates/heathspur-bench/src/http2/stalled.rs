//! Memory against readers that have stalled: level, and under a bound.

use super::{start, MEMORY_MB};
use crate::table::Table;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::{Http2Client, SETTINGS_INITIAL_WINDOW_SIZE};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of each answer that nobody reads.
const ANSWER: usize = 16 * 1024;
const STREAMS: u64 = 1_000;
const WATCH: Duration = Duration::from_secs(6);
/// The daemon at rest, what waits for readers, requests that are open, and what connections and their libraries
/// take; half of what the process has.
const BOUND_KIB: u64 = MEMORY_MB * 1024 / 2;
/// Level: no more than this between the thirds of the watch.
const LEVEL_KIB: u64 = 1024;

pub fn measure(folder: &Path, table: &mut Table) {
    for (name, connections, small_windows) in [
        ("1 connection whose window is shut", 1, true),
        ("50 connections whose windows are shut", 50, true),
        ("50 connections that grant all and read nothing", 50, false),
    ] {
        let bounds = "<streams connection=\"1000\" all=\"4000\"/><patience stalled=\"60 s\"/>";
        let manner = InterpreterOptions {
            run_duration: Duration::ZERO,
            result_len: Some(ANSWER),
            calls_dependency: false,
        };
        let (daemon, address) = start(folder, "stalled", bounds, manner);
        let before = daemon.resident_kib();
        let callers: Vec<_> = (0..connections)
            .map(|connection: u64| {
                thread::spawn(move || {
                    let window = if small_windows { 0 } else { 1 << 30 };
                    let mut caller = Http2Client::connect_with_settings(
                        address,
                        &[(SETTINGS_INITIAL_WINDOW_SIZE, window)],
                    );
                    if !small_windows {
                        caller.send_raw(&heathspur_testkit::http2::encode_frame(
                            8,
                            0,
                            0,
                            &(1u32 << 30).to_be_bytes(),
                        ));
                    }
                    // It writes and never reads; what it can't write it leaves.
                    let _ = caller
                        .socket()
                        .set_write_timeout(Some(Duration::from_secs(2)));
                    for n in 0..STREAMS {
                        let id = caller.allocate_stream_id();
                        let bytes = caller.encode_request(id, connection << 16 | n, None, b"x");
                        if !caller.try_send_raw(&bytes) {
                            break;
                        }
                    }
                    caller
                })
            })
            .collect();
        let callers: Vec<_> = callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller"))
            .collect();
        let (start, mut seen) = (Instant::now(), Vec::new());
        while start.elapsed() < WATCH {
            seen.push(daemon.resident_kib());
            thread::sleep(Duration::from_millis(100));
        }
        let third = seen.len() / 3;
        let most = |part: &[u64]| part.iter().copied().max().unwrap_or(0);
        let (first, last, peak) = (most(&seen[..third]), most(&seen[2 * third..]), most(&seen));
        let mut good = Http2Client::connect(address);
        let id = good.send_request(1 << 60, None, b"good");
        let served = good.read_response(id).0;
        table.row(
            &format!("memory against {name}, {STREAMS} streams each"),
            format!(
                "{:.1} MiB before, {:.1} at most; {:+} KiB from the first third to the last; a good request: {served}",
                before as f64 / 1024.0,
                peak as f64 / 1024.0,
                last as i64 - first as i64
            ),
            &format!("{} MiB at most, level within {LEVEL_KIB} KiB", BOUND_KIB / 1024),
            peak <= BOUND_KIB && last <= first + LEVEL_KIB && matches!(served, 200 | 503),
        );
        if connections == 50 && small_windows {
            table.figure(format!("50 stalled {:.1} MiB", peak as f64 / 1024.0));
        }
        drop(callers);
    }
}
