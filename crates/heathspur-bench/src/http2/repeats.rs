//! Requests with idempotency keys that are reset and repeated at random over both protocols: no key runs twice, and no
//! request stays unanswered.

use super::start;
use crate::table::Table;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::{Http2Client, StreamOutcome, CANCEL};
use heathspur_testkit::prelude::{request, Http1Client};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

const CLIENTS: u64 = 8;
const REQUESTS: u64 = 50_000;
/// Keys that a client uses at a time.
const KEYS: u64 = 40;
/// Average number of attempts per key: a client changes to the next [`KEYS`] keys after this number of requests for
/// each key.
const ATTEMPTS_PER_KEY: u64 = 4;

/// How requests ended.
#[derive(Default)]
struct Counts {
    /// Responses with status 200.
    answered: u64,
    /// Responses with status 503, and streams that the server reset.
    refused: u64,
    /// Streams that the client reset.
    reset: u64,
    /// Requests whose connection ended, and responses with another status.
    unanswered: u64,
    /// Responses that differ from the first one to the same key.
    mismatched: u64,
}

/// Sends the requests of one client, each over one of its two connections.
fn run_client(http2: SocketAddr, http1: SocketAddr, client: u64) -> Counts {
    let mut rng = StdRng::seed_from_u64(client);
    let (mut http2_client, mut http1_client) =
        (Http2Client::connect(http2), Http1Client::connect(http1));
    let mut counts = Counts::default();
    let mut results: HashMap<u64, Vec<u8>> = HashMap::new();
    for n in 0..REQUESTS / CLIENTS {
        // One request in ten uses a key of the next client.
        let key_owner = if rng.random_bool(0.1) {
            (client + 1) % CLIENTS
        } else {
            client
        };
        let number =
            (key_owner << 32) + (n / (ATTEMPTS_PER_KEY * KEYS)) * KEYS + rng.random_range(0..KEYS);
        let (txn, key, body) = (
            client << 40 | n,
            format!("key-{number}"),
            format!("pay-{number}"),
        );
        let (status, result) = if rng.random_bool(0.4) {
            http1_client.send(&request(txn, Some(&key), body.as_bytes()));
            let (status, _, result) = http1_client.read_response();
            (status, result)
        } else {
            let id = http2_client.send_request(txn, Some(&key), body.as_bytes());
            if rng.random_bool(0.3) {
                thread::sleep(Duration::from_micros(rng.random_range(0..300)));
                http2_client.send_reset(id, CANCEL);
                counts.reset += 1;
                continue;
            }
            match http2_client.wait_for_outcome(id) {
                StreamOutcome::Response(status, _, result) => (status, result),
                StreamOutcome::Reset(_) => {
                    counts.refused += 1;
                    continue;
                }
                StreamOutcome::ConnectionClosed => {
                    counts.unanswered += 1;
                    http2_client = Http2Client::connect(http2);
                    continue;
                }
            }
        };
        match status {
            200 => {
                counts.answered += 1;
                counts.mismatched +=
                    u64::from(results.entry(number).or_insert_with(|| result.clone()) != &result);
            }
            503 => counts.refused += 1,
            _ => counts.unanswered += 1,
        }
    }
    counts
}

/// Sends requests from several clients at once and adds up how they ended.
pub fn measure(folder: &Path, table: &mut Table) {
    let interpreter_options = InterpreterOptions {
        run_duration: Duration::from_millis(1),
        result_len: None,
        calls_dependency: false,
    };
    let (daemon, http2) = start(folder, "repeats", "", interpreter_options);
    let http1 = daemon.http1_address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || run_client(http2, http1, client)))
        .collect();
    let mut total = Counts::default();
    for client in clients {
        let counts = client.join().expect("a client thread panicked");
        total.answered += counts.answered;
        total.refused += counts.refused;
        total.reset += counts.reset;
        total.unanswered += counts.unanswered;
        total.mismatched += counts.mismatched;
    }
    let run_counts = daemon
        .run_counts
        .lock()
        .expect("the interpreter's stub panicked");
    let ran_twice = run_counts.values().filter(|&&count| count > 1).count();
    table.add_value(
        &format!("{REQUESTS} keyed requests over both protocols"),
        format!(
            "{} answered, {} refused, {} reset by their callers; {} keys ran",
            total.answered,
            total.refused,
            total.reset,
            run_counts.len()
        ),
    );
    table.add_check(
        "keys that ran twice",
        ran_twice.to_string(),
        "0",
        ran_twice == 0,
    );
    table.add_check(
        "keys with two results",
        total.mismatched.to_string(),
        "0",
        total.mismatched == 0,
    );
    table.add_check(
        "requests without an answer",
        total.unanswered.to_string(),
        "0",
        total.unanswered == 0,
    );
    table.add_figure(format!(
        "double runs {ran_twice}, unanswered {}",
        total.unanswered
    ));
}
