//! Cost of a request over HTTP/2 compared with HTTP/1.1, and over HTTP/1.1 compared with an earlier server.

use super::start;
use crate::cost::{instructions_per_request, send_requests};
use crate::table::Table;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::Http2Client;
use heathspur_testkit::prelude::program_path;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;

/// Measured requests of each protocol.
const REQUESTS: u64 = 20_000;
/// Requests before each measurement that aren't measured.
const WARM_UP_REQUESTS: u64 = 2_000;

/// Sends requests on one HTTP/2 connection, `at_once` at a time, each batch after the responses to the one before.
///
/// Transaction ids start at `first_txn`. Returns the number of responses with status 200.
fn send_http2_requests(address: SocketAddr, requests: u64, first_txn: u64, at_once: u64) -> u64 {
    let mut client = Http2Client::connect(address);
    let mut served = 0;
    for first in (0..requests).step_by(at_once as usize) {
        let ids: Vec<u32> = (first..first + at_once)
            .map(|n| client.send_request(first_txn + n, None, b"4929001234567890"))
            .collect();
        served += ids
            .into_iter()
            .filter(|id| client.read_response(*id).0 == 200)
            .count() as u64;
    }
    served
}

/// Measures CPU time and rate of HTTP/1.1 and HTTP/2 on one connection, and instructions of HTTP/1.1 before and now.
pub fn measure(folder: &Path, baseline: &Path, table: &mut Table) {
    let (daemon, address) = start(folder, "cost", "", InterpreterOptions::default());
    // Returns the CPU time of a request in microseconds. `send` takes the number of requests and the first
    // transaction id.
    let mut measure_protocol = |name: &str, first_txn: u64, send: &dyn Fn(u64, u64) -> u64| {
        send(WARM_UP_REQUESTS, first_txn);
        let (cpu_nanos_before, start) = (daemon.cpu_nanos(), Instant::now());
        let served = send(REQUESTS, first_txn | 1 << 40);
        let seconds = start.elapsed().as_secs_f64();
        let micros = (daemon.cpu_nanos() - cpu_nanos_before) as f64 / 1000.0 / REQUESTS as f64;
        table.add_check(
            &format!("{name}, one connection"),
            format!(
                "{:.0}/s, {micros:.1} us of CPU a request, {served} served",
                REQUESTS as f64 / seconds
            ),
            "all served",
            served == REQUESTS,
        );
        micros
    };
    let http1_micros =
        measure_protocol("HTTP/1.1, one request at a time", 0, &|count, first_txn| {
            send_requests(daemon.http1_address, count, first_txn)
        });
    let http2_micros = measure_protocol(
        "HTTP/2, one request at a time",
        1 << 44,
        &|count, first_txn| send_http2_requests(address, count, first_txn, 1),
    );
    measure_protocol(
        "HTTP/2, ten requests at a time",
        1 << 45,
        &|count, first_txn| send_http2_requests(address, count, first_txn, 10),
    );
    let (before, now) = (
        instructions_per_request(baseline, folder),
        instructions_per_request(&program_path("heathspurd"), folder),
    );
    let ratio = now / before;
    table.add_check(
        "instructions a request over HTTP/1.1, before and now",
        format!("{before:.0}, {now:.0}: {ratio:.4}"),
        "1.02 at most",
        ratio <= 1.02,
    );
    table.add_figure(format!(
        "HTTP/2 to HTTP/1.1 {:.2}, HTTP/1.1 to before {ratio:.4}",
        http2_micros / http1_micros
    ));
}
