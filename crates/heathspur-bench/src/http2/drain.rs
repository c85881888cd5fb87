//! Drains under load: every stream that the server accepted is answered once, no other stream runs, and the process
//! exits in time.

use super::start;
use crate::table::Table;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::{
    Http2Client, StreamOutcome, CANCEL, REFUSED_STREAM, SETTINGS_INITIAL_WINDOW_SIZE,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// Connections of each drain.
const CONNECTIONS: u64 = 200;
const STREAMS_PER_CONNECTION: u64 = 25;
/// Time after SIGTERM at which operators kill the process (`stop_ms` of the configuration).
const STOP_TIMEOUT: Duration = Duration::from_millis(3_200);

/// How the streams of one connection ended.
#[derive(Default)]
struct Outcomes {
    /// Streams up to the last stream identifier of GOAWAY that were neither reset nor answered, not even in part.
    lost: u64,
    answered: u64,
    /// Streams that the server reset with REFUSED_STREAM.
    refused: u64,
    /// Streams reset by the client, or by the server with another error code.
    reset: u64,
    /// Streams whose response started and couldn't be completed.
    incomplete: u64,
    /// Bodies of the streams that were refused or are beyond the last stream identifier of GOAWAY. They must not run.
    not_accepted: Vec<String>,
}

/// Returns a request body that no other stream has.
fn unique_body(connection: u64, stream: u64) -> String {
    format!("c{connection}-s{stream}")
}

/// Opens the streams of one connection and returns how they ended.
///
/// Waits at `half_sent` after half of the streams; the rest is sent during the drain. `sent` counts the requests. One
/// client in ten never opens its flow-control windows, and one stream in twenty is reset.
fn drive_connection(
    address: SocketAddr,
    seed: u64,
    connection: u64,
    half_sent: &Barrier,
    sent: &AtomicUsize,
) -> Outcomes {
    let mut rng = StdRng::seed_from_u64(seed << 16 | connection);
    let stalled = rng.random_bool(0.1);
    let mut client = Http2Client::connect_with_settings(
        address,
        if stalled {
            &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]
        } else {
            &[]
        },
    );
    let mut streams = Vec::new();
    for n in 0..STREAMS_PER_CONNECTION {
        if n == STREAMS_PER_CONNECTION / 2 {
            half_sent.wait();
        }
        thread::sleep(Duration::from_micros(rng.random_range(0..4_000)));
        let id = client.allocate_stream_id();
        let (txn, body) = (connection << 16 | n, unique_body(connection, n));
        let key = rng.random_bool(0.5).then(|| body.clone());
        let bytes = client.encode_request(id, txn, key.as_deref(), body.as_bytes());
        if !client.try_send_raw(&bytes) {
            break;
        }
        let cancelled = rng.random_bool(0.05);
        if cancelled {
            client.send_reset(id, CANCEL);
        }
        streams.push((id, cancelled, body));
        sent.fetch_add(1, Ordering::Relaxed);
    }
    let last_accepted = client
        .read_until_closed()
        .map_or(u32::MAX, |(last_stream, _)| last_stream);
    let mut outcomes = Outcomes::default();
    for (id, cancelled, body) in streams {
        match client.stream_outcome(id) {
            Some(StreamOutcome::Response(..)) => outcomes.answered += 1,
            Some(StreamOutcome::Reset(REFUSED_STREAM)) => {
                outcomes.refused += 1;
                outcomes.not_accepted.push(body);
            }
            Some(_) => outcomes.reset += 1,
            None if cancelled => outcomes.reset += 1,
            None if id > last_accepted => outcomes.not_accepted.push(body),
            // The closed window delays the body; the response headers show that the stream was answered.
            None if client.response_in_progress(id) => outcomes.incomplete += 1,
            None => outcomes.lost += 1,
        }
    }
    outcomes
}

/// Drains a new server `drains` times and adds up how the streams ended.
pub fn measure(folder: &Path, drains: u64, table: &mut Table) {
    let (mut lost, mut ran_not_accepted, mut ran_twice) = (0, 0, 0);
    let (mut longest_stop, mut failed_exits) = (Duration::ZERO, 0);
    let (mut answered, mut refused, mut reset, mut incomplete, mut not_accepted) = (0, 0, 0, 0, 0);
    for seed in 1..=drains {
        let http2_elements =
            "<streams connection=\"128\" all=\"6000\"/><patience stalled=\"60 s\"/>";
        let interpreter_options = InterpreterOptions {
            run_duration: Duration::from_millis(60),
            result_len: None,
            calls_dependency: false,
        };
        let (mut daemon, address) = start(folder, "drain", http2_elements, interpreter_options);
        let (half_sent, sent) = (
            Arc::new(Barrier::new(CONNECTIONS as usize + 1)),
            Arc::new(AtomicUsize::new(0)),
        );
        let clients: Vec<_> = (0..CONNECTIONS)
            .map(|connection| {
                let (half_sent, sent) = (half_sent.clone(), sent.clone());
                thread::spawn(move || {
                    drive_connection(address, seed, connection, &half_sent, &sent)
                })
            })
            .collect();
        half_sent.wait();
        // Some requests of the second half are in flight when SIGTERM arrives.
        thread::sleep(Duration::from_millis(8));
        daemon.process.terminate();
        let terminated_at = Instant::now();
        let status = daemon.process.wait();
        longest_stop = longest_stop.max(terminated_at.elapsed());
        failed_exits += u64::from(status.code() != Some(0));
        let run_counts = daemon
            .run_counts
            .lock()
            .expect("the interpreter's stub panicked")
            .clone();
        ran_twice += run_counts.values().filter(|&&count| count > 1).count() as u64;
        for client in clients {
            let outcomes = client.join().expect("a client thread panicked");
            lost += outcomes.lost;
            answered += outcomes.answered;
            refused += outcomes.refused;
            reset += outcomes.reset;
            incomplete += outcomes.incomplete;
            not_accepted += outcomes.not_accepted.len() as u64;
            ran_not_accepted += outcomes
                .not_accepted
                .iter()
                .filter(|body| run_counts.contains_key(&STANDARD.encode(body)))
                .count();
        }
    }
    table.add_value(
        &format!("{drains} drains of {CONNECTIONS} connections, {} streams each time", CONNECTIONS * STREAMS_PER_CONNECTION),
        format!(
            "{answered} answered, {reset} reset by callers, {incomplete} with their window shut, {refused} refused, \
             {not_accepted} past the last stream"
        ),
    );
    table.add_check(
        "streams that were read and not answered",
        lost.to_string(),
        "0",
        lost == 0,
    );
    table.add_check(
        "runs of streams that were refused or past the last",
        ran_not_accepted.to_string(),
        "0",
        ran_not_accepted == 0,
    );
    table.add_check(
        "requests that ran more than once",
        ran_twice.to_string(),
        "0",
        ran_twice == 0,
    );
    table.add_check(
        "longest stop, and exit codes other than 0",
        format!("{:.2} s, {failed_exits}", longest_stop.as_secs_f64()),
        "3.2 s at most, 0",
        longest_stop <= STOP_TIMEOUT && failed_exits == 0,
    );
    table.add_figure(format!(
        "drains {drains}: lost {lost}, ran past {ran_not_accepted}"
    ));
}
