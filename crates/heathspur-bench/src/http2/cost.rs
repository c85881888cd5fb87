//! What a request costs over HTTP/2, beside HTTP/1.1, and HTTP/1.1 beside the build before.

use super::start;
use crate::cost::{instructions, load};
use crate::table::Table;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::Http2Client;
use heathspur_testkit::prelude::program_path;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;

const REQUESTS: u64 = 20_000;

/// One request after another on one connection; how many were served.
fn streams(address: SocketAddr, requests: u64, from: u64, at_once: u64) -> u64 {
    let mut caller = Http2Client::connect(address);
    let mut good = 0;
    for first in (0..requests).step_by(at_once as usize) {
        let ids: Vec<u32> = (first..first + at_once)
            .map(|n| caller.send_request(from + n, None, b"4929001234567890"))
            .collect();
        good += ids
            .into_iter()
            .filter(|id| caller.read_response(*id).0 == 200)
            .count() as u64;
    }
    good
}

pub fn measure(folder: &Path, baseline: &Path, table: &mut Table) {
    let (daemon, address) = start(folder, "cost", "", InterpreterOptions::default());
    let mut each = |name: &str, from: u64, drive: &dyn Fn(u64, u64) -> u64| {
        drive(2_000, from);
        let (before, start) = (daemon.cpu_nanos(), Instant::now());
        let good = drive(REQUESTS, from | 1 << 40);
        let seconds = start.elapsed().as_secs_f64();
        let micros = (daemon.cpu_nanos() - before) as f64 / 1000.0 / REQUESTS as f64;
        table.row(
            &format!("{name}, one connection"),
            format!(
                "{:.0}/s, {micros:.1} us of CPU a request, {good} served",
                REQUESTS as f64 / seconds
            ),
            "all served",
            good == REQUESTS,
        );
        micros
    };
    let http1 = each("HTTP/1.1, one request at a time", 0, &|count, from| {
        load(daemon.address, count, from)
    });
    let single = each("HTTP/2, one request at a time", 1 << 44, &|count, from| {
        streams(address, count, from, 1)
    });
    each("HTTP/2, ten requests at a time", 1 << 45, &|count, from| {
        streams(address, count, from, 10)
    });
    let (before, now) = (
        instructions(baseline, folder),
        instructions(&program_path("heathspurd"), folder),
    );
    let ratio = now / before;
    table.row(
        "instructions a request over HTTP/1.1, before and now",
        format!("{before:.0}, {now:.0}: {ratio:.4}"),
        "1.02 at most",
        ratio <= 1.02,
    );
    table.figure(format!(
        "HTTP/2 to HTTP/1.1 {:.2}, HTTP/1.1 to before {ratio:.4}",
        single / http1
    ));
}
