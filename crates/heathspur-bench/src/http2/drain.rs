//! Drains under load: whoever was read is answered once, nothing else runs, and the process ends in time.

use super::start;
use crate::table::Table;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::{Http2Client, StreamOutcome, CANCEL, SETTINGS_INITIAL_WINDOW_SIZE};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const CONNECTIONS: u64 = 200;
const STREAMS: u64 = 25;
/// The process is killed by operators after this (`stop_ms` of the configuration).
const STOP: Duration = Duration::from_millis(3_200);

/// What came of one connection's streams.
#[derive(Default)]
struct Played {
    /// Read before the last GOAWAY and neither answered, refused, reset by us, nor begun to be answered.
    lost: u64,
    answered: u64,
    refused: u64,
    reset: u64,
    begun: u64,
    /// Past the last one that GOAWAY named: bodies that must not have run.
    past: Vec<String>,
}

fn body(connection: u64, stream: u64) -> String {
    format!("c{connection}-s{stream}")
}

/// One caller: half of its streams before the notice, the rest during the drain.
fn play(
    address: SocketAddr,
    seed: u64,
    connection: u64,
    half: &Barrier,
    sent: &AtomicUsize,
) -> Played {
    let mut rng = StdRng::seed_from_u64(seed << 16 | connection);
    let stalled = rng.random_bool(0.1);
    let mut caller = Http2Client::connect_with_settings(
        address,
        if stalled {
            &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]
        } else {
            &[]
        },
    );
    let mut streams = Vec::new();
    for n in 0..STREAMS {
        if n == STREAMS / 2 {
            half.wait();
        }
        thread::sleep(Duration::from_micros(rng.random_range(0..4_000)));
        let id = caller.allocate_stream_id();
        let (txn, body) = (connection << 16 | n, body(connection, n));
        let key = rng.random_bool(0.5).then(|| body.clone());
        let bytes = caller.encode_request(id, txn, key.as_deref(), body.as_bytes());
        if !caller.try_send_raw(&bytes) {
            break;
        }
        let gone = rng.random_bool(0.05);
        if gone {
            caller.send_reset(id, CANCEL);
        }
        streams.push((id, gone, body));
        sent.fetch_add(1, Ordering::Relaxed);
    }
    let last = caller
        .read_until_closed()
        .map_or(u32::MAX, |(last, _)| last);
    let mut played = Played::default();
    for (id, gone, body) in streams {
        match caller.stream_outcome(id) {
            Some(StreamOutcome::Response(..)) => played.answered += 1,
            Some(StreamOutcome::Reset(heathspur_testkit::http2::REFUSED_STREAM)) => {
                played.refused += 1;
                played.past.push(body);
            }
            Some(_) => played.reset += 1,
            None if gone => played.reset += 1,
            None if id > last => played.past.push(body),
            // Its window is shut: that its answer was there shows in the head.
            None if caller.response_in_progress(id) => played.begun += 1,
            None => played.lost += 1,
        }
    }
    played
}

pub fn measure(folder: &Path, drains: u64, table: &mut Table) {
    let (mut lost, mut ran_past, mut doubled, mut longest) = (0, 0, 0, Duration::ZERO);
    let (mut answered, mut refused, mut reset, mut begun, mut past, mut codes) = (0, 0, 0, 0, 0, 0);
    for seed in 1..=drains {
        let bounds = "<streams connection=\"128\" all=\"6000\"/><patience stalled=\"60 s\"/>";
        let manner = InterpreterOptions {
            run_duration: Duration::from_millis(60),
            result_len: None,
            calls_dependency: false,
        };
        let (mut daemon, address) = start(folder, "drain", bounds, manner);
        let (half, sent) = (
            Arc::new(Barrier::new(CONNECTIONS as usize + 1)),
            Arc::new(AtomicUsize::new(0)),
        );
        let callers: Vec<_> = (0..CONNECTIONS)
            .map(|connection| {
                let (half, sent) = (half.clone(), sent.clone());
                thread::spawn(move || play(address, seed, connection, &half, &sent))
            })
            .collect();
        half.wait();
        // Some of the second half is on its way when the notice comes.
        thread::sleep(Duration::from_millis(8));
        daemon.process.terminate();
        let told = Instant::now();
        let code = daemon.process.wait();
        longest = longest.max(told.elapsed());
        codes += u64::from(code.code() != Some(0));
        let runs = daemon.runs.lock().expect("runs are counted").clone();
        doubled += runs.values().filter(|&&count| count > 1).count() as u64;
        for caller in callers {
            let played = caller.join().expect("a caller");
            lost += played.lost;
            answered += played.answered;
            refused += played.refused;
            reset += played.reset;
            begun += played.begun;
            past += played.past.len() as u64;
            ran_past += played
                .past
                .iter()
                .filter(|body| runs.contains_key(&STANDARD.encode(body)))
                .count();
        }
    }
    table.tell(
        &format!("{drains} drains of {CONNECTIONS} connections, {} streams each time", CONNECTIONS * STREAMS),
        format!(
            "{answered} answered, {reset} reset by callers, {begun} with their window shut, {refused} refused, \
             {past} past the last stream"
        ),
    );
    table.row(
        "streams that were read and not answered",
        lost.to_string(),
        "0",
        lost == 0,
    );
    table.row(
        "runs of streams that were refused or past the last",
        ran_past.to_string(),
        "0",
        ran_past == 0,
    );
    table.row(
        "requests that ran more than once",
        doubled.to_string(),
        "0",
        doubled == 0,
    );
    table.row(
        "longest stop, and exit codes other than 0",
        format!("{:.2} s, {codes}", longest.as_secs_f64()),
        "3.2 s at most, 0",
        longest <= STOP && codes == 0,
    );
    table.figure(format!("drains {drains}: lost {lost}, ran past {ran_past}"));
}
