//! Keyed requests with random resets and repeats across both protocols: none runs twice, none stays unanswered.

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

const CALLERS: u64 = 8;
const REQUESTS: u64 = 50_000;
/// Keys of a caller that are in use at once; after so many requests the next ones begin.
const KEYS: u64 = 40;

#[derive(Default)]
struct Counts {
    answered: u64,
    refused: u64,
    reset: u64,
    unanswered: u64,
    /// Answers to one key that are not the same.
    differ: u64,
}

fn caller(http2: SocketAddr, http1: SocketAddr, caller: u64) -> Counts {
    let mut rng = StdRng::seed_from_u64(caller);
    let (mut streams, mut client) = (Http2Client::connect(http2), Http1Client::connect(http1));
    let mut counts = Counts::default();
    let mut results: HashMap<u64, Vec<u8>> = HashMap::new();
    for n in 0..REQUESTS / CALLERS {
        // Four tries of each key on the whole, spread over its time; one in ten callers shares another's keys.
        let owner = if rng.random_bool(0.1) {
            (caller + 1) % CALLERS
        } else {
            caller
        };
        let number = (owner << 32) + (n / (4 * KEYS)) * KEYS + rng.random_range(0..KEYS);
        let (txn, key, body) = (
            caller << 40 | n,
            format!("key-{number}"),
            format!("pay-{number}"),
        );
        let (status, result) = if rng.random_bool(0.4) {
            client.send(&request(txn, Some(&key), body.as_bytes()));
            let (status, _, result) = client.read_response();
            (status, result)
        } else {
            let id = streams.send_request(txn, Some(&key), body.as_bytes());
            if rng.random_bool(0.3) {
                thread::sleep(Duration::from_micros(rng.random_range(0..300)));
                streams.send_reset(id, CANCEL);
                counts.reset += 1;
                continue;
            }
            match streams.wait_for_outcome(id) {
                StreamOutcome::Response(status, _, result) => (status, result),
                StreamOutcome::Reset(_) => {
                    counts.refused += 1;
                    continue;
                }
                StreamOutcome::ConnectionClosed => {
                    counts.unanswered += 1;
                    streams = Http2Client::connect(http2);
                    continue;
                }
            }
        };
        match status {
            200 => {
                counts.answered += 1;
                counts.differ +=
                    u64::from(results.entry(number).or_insert_with(|| result.clone()) != &result);
            }
            503 => counts.refused += 1,
            _ => counts.unanswered += 1,
        }
    }
    counts
}

pub fn measure(folder: &Path, table: &mut Table) {
    let manner = InterpreterOptions {
        run_duration: Duration::from_millis(1),
        result_len: None,
        calls_dependency: false,
    };
    let (daemon, address) = start(folder, "repeats", "", manner);
    let http1 = daemon.address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| thread::spawn(move || caller(address, http1, n)))
        .collect();
    let mut all = Counts::default();
    for caller in callers {
        let counts = caller.join().expect("a caller");
        all.answered += counts.answered;
        all.refused += counts.refused;
        all.reset += counts.reset;
        all.unanswered += counts.unanswered;
        all.differ += counts.differ;
    }
    let runs = daemon.runs.lock().expect("runs are counted");
    let doubled = runs.values().filter(|&&count| count > 1).count();
    table.tell(
        &format!("{REQUESTS} keyed requests over both protocols"),
        format!(
            "{} answered, {} refused, {} reset by their callers; {} keys ran",
            all.answered,
            all.refused,
            all.reset,
            runs.len()
        ),
    );
    table.row(
        "keys that ran twice",
        doubled.to_string(),
        "0",
        doubled == 0,
    );
    table.row(
        "keys with two results",
        all.differ.to_string(),
        "0",
        all.differ == 0,
    );
    table.row(
        "requests without an answer",
        all.unanswered.to_string(),
        "0",
        all.unanswered == 0,
    );
    table.figure(format!(
        "double runs {doubled}, unanswered {}",
        all.unanswered
    ));
}
