//! Well-behaved requests beside one kind of abuse after the other: the share that is served, and their latency.

use super::start;
use crate::table::Table;
use hdrhistogram::Histogram;
use heathspur_testkit::auto_stubs::InterpreterOptions;
use heathspur_testkit::http2::*;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Well-behaved requests per second.
const RATE: u64 = 200;
/// How long they are sent, alone and beside each kind of abuse.
const DURATION: Duration = Duration::from_secs(4);
/// Least share of well-behaved requests that must be served. Beside abuse, it applies to the ratio of the share served
/// then to the share served without abuse.
const MIN_SERVED_SHARE: f64 = 0.99;
/// The identifier of SETTINGS_HEADER_TABLE_SIZE (RFC 9113, section 6.5.2).
const SETTINGS_HEADER_TABLE_SIZE: u16 = 1;

/// Sends well-behaved requests on one connection at fixed intended times.
///
/// Returns the share answered with status 200, and the p99 of the time from the intended time to the response, in
/// milliseconds.
fn send_well_behaved(address: SocketAddr) -> (f64, f64) {
    let mut client = Http2Client::connect(address);
    let mut reader = client.split_reader();
    reader.auto_reply = false;
    let count = RATE * DURATION.as_secs();
    let start = Instant::now() + Duration::from_millis(20);
    let intended = move |n: u64| start + Duration::from_micros(n * 1_000_000 / RATE);
    let read = thread::spawn(move || {
        let mut latency_micros =
            Histogram::<u64>::new(3).expect("3 significant digits are supported");
        let mut served = 0;
        for n in 0..count {
            if matches!(
                reader.wait_for_outcome(2 * n as u32 + 1),
                StreamOutcome::Response(200, ..)
            ) {
                served += 1;
                let latency = Instant::now().saturating_duration_since(intended(n));
                let _ = latency_micros.record(latency.as_micros() as u64);
            }
        }
        (
            served as f64 / count as f64,
            latency_micros.value_at_quantile(0.99) as f64 / 1000.0,
        )
    });
    for n in 0..count {
        thread::sleep(intended(n).saturating_duration_since(Instant::now()));
        let id = client.allocate_stream_id();
        let bytes = client.encode_request(id, 1 << 50 | n, None, b"good");
        if !client.try_send_raw(&bytes) {
            break;
        }
    }
    read.join().expect("the reader thread panicked")
}

/// A function that abuses the server at an address until the flag is set, and counts the connections that the server
/// ended with ENHANCE_YOUR_CALM.
type Abuse = fn(SocketAddr, &AtomicBool, &AtomicU64);

/// Sends the bytes that `next_bytes` returns as fast as the server accepts them, until `stop` is set.
///
/// Connects again when the server ends the connection. `prepare` runs once on each connection. `ended` counts the
/// connections that the server ended with ENHANCE_YOUR_CALM.
fn flood(
    address: SocketAddr,
    stop: &AtomicBool,
    ended: &AtomicU64,
    prepare: impl Fn(&mut Http2Client),
    next_bytes: impl Fn(&mut Http2Client) -> Vec<u8>,
) {
    while !stop.load(Ordering::Relaxed) {
        let mut client = Http2Client::connect(address);
        prepare(&mut client);
        let mut reader = client.split_reader();
        let read = thread::spawn(move || reader.read_until_closed());
        loop {
            let bytes = next_bytes(&mut client);
            if stop.load(Ordering::Relaxed) || !client.try_send_raw(&bytes) {
                break;
            }
        }
        let _ = client.socket().shutdown(std::net::Shutdown::Both);
        if let Ok(Some((_, ENHANCE_YOUR_CALM))) = read.join() {
            ended.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The header fields of a request.
const REQUEST_FIELDS: [(&str, &str); 4] = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/svc/look"),
    (":authority", "b"),
];

/// Opens `count` connections, runs `prepare` on each, leaves them idle for up to a second and closes them; repeats this
/// until `stop` is set.
fn open_idle_connections(
    address: SocketAddr,
    stop: &AtomicBool,
    count: usize,
    prepare: impl Fn(&mut Http2Client),
) {
    while !stop.load(Ordering::Relaxed) {
        let mut clients: Vec<Http2Client> = (0..count)
            .map(|_| Http2Client::connect_without_preface(address))
            .collect();
        clients.iter_mut().for_each(&prepare);
        for _ in 0..10 {
            if !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// The kinds of abuse and their names in the table.
const ABUSES: [(&str, Abuse); 14] = [
    ("1,000 streams and no reading", |address, stop, _| {
        open_idle_connections(address, stop, 1, |client| {
            client.send_raw(
                &[
                    PREFACE,
                    &settings_frame(&[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]),
                ]
                .concat(),
            );
            for n in 0..1_000 {
                let id = client.allocate_stream_id();
                let bytes = client.encode_request(id, 2 << 50 | n, None, b"x");
                if !client.try_send_raw(&bytes) {
                    break;
                }
            }
        })
    }),
    ("rapid reset", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |client| {
                let id = client.allocate_stream_id();
                let request = client.encode_request(id, 3 << 50 | u64::from(id), None, b"x");
                [
                    request,
                    encode_frame(RST_STREAM, 0, id, &CANCEL.to_be_bytes()),
                ]
                .concat()
            },
        )
    }),
    ("CONTINUATION without end", |address, stop, ended| {
        let open = |client: &mut Http2Client| {
            let block = client.encode_headers(&REQUEST_FIELDS);
            client.send_raw(&encode_frame(HEADERS, 0, 1, &block));
        };
        flood(address, stop, ended, open, |_| {
            encode_frame(CONTINUATION, 0, 1, &[]).repeat(100)
        })
    }),
    ("SETTINGS", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |_| settings_frame(&[]).repeat(100),
        )
    }),
    ("PING", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |_| encode_frame(PING, 0, 0, &[0; 8]).repeat(100),
        )
    }),
    ("PRIORITY", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |_| encode_frame(PRIORITY, 0, 1, &[0, 0, 0, 3, 1]).repeat(100),
        )
    }),
    ("empty DATA", |address, stop, ended| {
        let open =
            |client: &mut Http2Client| assert_eq!(client.open_stream(&REQUEST_FIELDS, false), 1);
        flood(address, stop, ended, open, |_| {
            encode_frame(DATA, 0, 1, &[]).repeat(100)
        })
    }),
    ("windows of 1", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |_| encode_frame(WINDOW_UPDATE, 0, 0, &[0, 0, 0, 1]).repeat(100),
        )
    }),
    ("HPACK tables up and down", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |_| {
                [
                    settings_frame(&[(SETTINGS_HEADER_TABLE_SIZE, 0)]),
                    settings_frame(&[(SETTINGS_HEADER_TABLE_SIZE, 1 << 16)]),
                ]
                .concat()
                .repeat(50)
            },
        )
    }),
    ("header bombs", |address, stop, ended| {
        let large = "x".repeat(12_000);
        flood(
            address,
            stop,
            ended,
            |_| {},
            |client| {
                let (id, block) = (
                    client.allocate_stream_id(),
                    client.encode_headers(&[&REQUEST_FIELDS[..], &[("x-large", &large)]].concat()),
                );
                encode_frame(HEADERS, END_HEADERS | END_STREAM, id, &block)
            },
        )
    }),
    ("windows that overflow", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |_| encode_frame(WINDOW_UPDATE, 0, 0, &0x7fff_ffffu32.to_be_bytes()),
        )
    }),
    ("requests that stop half way", |address, stop, _| {
        open_idle_connections(address, stop, 50, |client| {
            client.send_raw(&[PREFACE, &settings_frame(&[])].concat());
            for _ in 0..20 {
                let id = client.open_stream(&REQUEST_FIELDS, false);
                client.send_data(id, b"half", false);
            }
        })
    }),
    (
        "connections that never say the preface, or speak HTTP/1.1",
        |address, stop, _| {
            open_idle_connections(address, stop, 200, |client| {
                if client
                    .socket()
                    .local_addr()
                    .is_ok_and(|address| address.port() % 2 == 0)
                {
                    let _ = client.try_send_raw(b"GET / HTTP/1.1\r\n\r\n");
                }
            })
        },
    ),
    ("frames that make no sense", |address, stop, ended| {
        flood(
            address,
            stop,
            ended,
            |_| {},
            |_| encode_frame(HEADERS, END_HEADERS, 1, &[0xff; 40]),
        )
    }),
];

/// Measures well-behaved requests alone, then beside each kind of abuse, and the server's memory at the end.
pub fn measure(folder: &Path, table: &mut Table) {
    let (daemon, address) = start(folder, "abuse", "", InterpreterOptions::default());
    // The first requests aren't measured, because admission control first estimates the capacity of the machine.
    send_well_behaved(address);
    let (share_alone, p99_alone_ms) = send_well_behaved(address);
    table.add_check(
        &format!("{RATE} good requests a second alone"),
        format!(
            "{:.2}% answered, p99 {p99_alone_ms:.2} ms",
            share_alone * 100.0
        ),
        "all",
        share_alone >= MIN_SERVED_SHARE,
    );
    let mut min_kept_share = f64::INFINITY;
    for (name, abuse) in ABUSES {
        let (stop, ended) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let abuser = {
            let (stop, ended) = (stop.clone(), ended.clone());
            thread::spawn(move || abuse(address, &stop, &ended))
        };
        let (share, p99_ms) = send_well_behaved(address);
        stop.store(true, Ordering::Relaxed);
        let _ = abuser.join();
        let kept_share = share / share_alone;
        min_kept_share = min_kept_share.min(kept_share);
        table.add_check(
            &format!("the same beside: {name}"),
            format!(
                "{:.2}% kept, p99 {p99_ms:.2} ms; {} connections ended with ENHANCE_YOUR_CALM",
                kept_share * 100.0,
                ended.load(Ordering::Relaxed)
            ),
            "99% at least",
            kept_share >= MIN_SERVED_SHARE,
        );
    }
    table.add_value(
        "memory after all of them",
        format!("{:.1} MiB", daemon.resident_kib() as f64 / 1024.0),
    );
    table.add_figure(format!(
        "kept beside abuse {:.2}% at least",
        min_kept_share * 100.0
    ));
}
