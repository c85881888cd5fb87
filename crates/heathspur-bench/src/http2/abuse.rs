//! Each abuse beside 200 good requests a second: what of them is answered, and how late.

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

const RATE: u64 = 200;
const PLAY: Duration = Duration::from_secs(4);
/// The share of good requests that is kept beside any abuse.
const KEPT: f64 = 0.99;

/// Good requests on one connection at their intended times: the share answered with 200, and p99 in ms from the
/// intended time.
fn good(address: SocketAddr) -> (f64, f64) {
    let mut caller = Http2Client::connect(address);
    let mut reader = caller.split_reader();
    reader.auto_reply = false;
    let count = RATE * PLAY.as_secs();
    let start = Instant::now() + Duration::from_millis(20);
    let at = move |n: u64| start + Duration::from_micros(n * 1_000_000 / RATE);
    let read = thread::spawn(move || {
        let mut times = Histogram::<u64>::new(3).expect("a histogram");
        let mut served = 0;
        for n in 0..count {
            if matches!(
                reader.wait_for_outcome(2 * n as u32 + 1),
                StreamOutcome::Response(200, ..)
            ) {
                served += 1;
                let late = Instant::now().saturating_duration_since(at(n));
                let _ = times.record(late.as_micros() as u64);
            }
        }
        (
            served as f64 / count as f64,
            times.value_at_quantile(0.99) as f64 / 1000.0,
        )
    });
    for n in 0..count {
        thread::sleep(at(n).saturating_duration_since(Instant::now()));
        let id = caller.allocate_stream_id();
        let bytes = caller.encode_request(id, 1 << 50 | n, None, b"good");
        if !caller.try_send_raw(&bytes) {
            break;
        }
    }
    read.join().expect("a reader")
}

type Abuse = fn(SocketAddr, &AtomicBool, &AtomicU64);

/// Sends pieces as fast as they go; a connection that is ended is made again.
fn flood(
    address: SocketAddr,
    stop: &AtomicBool,
    ended: &AtomicU64,
    prepare: impl Fn(&mut Http2Client),
    each: impl Fn(&mut Http2Client) -> Vec<u8>,
) {
    while !stop.load(Ordering::Relaxed) {
        let mut caller = Http2Client::connect(address);
        prepare(&mut caller);
        let mut reader = caller.split_reader();
        let read = thread::spawn(move || reader.read_until_closed());
        loop {
            let bytes = each(&mut caller);
            if stop.load(Ordering::Relaxed) || !caller.try_send_raw(&bytes) {
                break;
            }
        }
        let _ = caller.socket().shutdown(std::net::Shutdown::Both);
        if let Ok(Some((_, ENHANCE_YOUR_CALM))) = read.join() {
            ended.fetch_add(1, Ordering::Relaxed);
        }
    }
}

const HEAD: [(&str, &str); 4] = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/svc/look"),
    (":authority", "b"),
];

/// Connections that do something once and then hold still, again and again until the stop.
fn hold(address: SocketAddr, stop: &AtomicBool, count: usize, each: impl Fn(&mut Http2Client)) {
    while !stop.load(Ordering::Relaxed) {
        let mut callers: Vec<Http2Client> = (0..count)
            .map(|_| Http2Client::connect_without_preface(address))
            .collect();
        callers.iter_mut().for_each(&each);
        for _ in 0..10 {
            if !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

const ABUSES: [(&str, Abuse); 14] = [
    ("1,000 streams and no reading", |address, stop, _| {
        hold(address, stop, 1, |caller| {
            caller.send_raw(
                &[
                    PREFACE,
                    &settings_frame(&[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]),
                ]
                .concat(),
            );
            for n in 0..1_000 {
                let id = caller.allocate_stream_id();
                let bytes = caller.encode_request(id, 2 << 50 | n, None, b"x");
                if !caller.try_send_raw(&bytes) {
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
            |caller| {
                let id = caller.allocate_stream_id();
                let asked = caller.encode_request(id, 3 << 50 | u64::from(id), None, b"x");
                [
                    asked,
                    encode_frame(RST_STREAM, 0, id, &CANCEL.to_be_bytes()),
                ]
                .concat()
            },
        )
    }),
    ("CONTINUATION without end", |address, stop, ended| {
        let open = |caller: &mut Http2Client| {
            let block = caller.encode_headers(&HEAD);
            caller.send_raw(&encode_frame(HEADERS, 0, 1, &block));
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
        let open = |caller: &mut Http2Client| assert_eq!(caller.open_stream(&HEAD, false), 1);
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
                [settings_frame(&[(1, 0)]), settings_frame(&[(1, 1 << 16)])]
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
            |caller| {
                let (id, block) = (
                    caller.allocate_stream_id(),
                    caller.encode_headers(&[&HEAD[..], &[("x-large", &large)]].concat()),
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
        hold(address, stop, 50, |caller| {
            caller.send_raw(&[PREFACE, &settings_frame(&[])].concat());
            for _ in 0..20 {
                let id = caller.open_stream(&HEAD, false);
                caller.send_data(id, b"half", false);
            }
        })
    }),
    (
        "connections that never say the preface, or speak HTTP/1.1",
        |address, stop, _| {
            hold(address, stop, 200, |caller| {
                if caller
                    .socket()
                    .local_addr()
                    .is_ok_and(|address| address.port() % 2 == 0)
                {
                    let _ = caller.try_send_raw(b"GET / HTTP/1.1\r\n\r\n");
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

pub fn measure(folder: &Path, table: &mut Table) {
    let (daemon, address) = start(folder, "abuse", "", InterpreterOptions::default());
    // The module has to see the machine first.
    good(address);
    let (alone, alone_p99) = good(address);
    table.row(
        &format!("{RATE} good requests a second alone"),
        format!("{:.2}% answered, p99 {alone_p99:.2} ms", alone * 100.0),
        "all",
        alone >= KEPT,
    );
    let mut least = f64::INFINITY;
    for (name, abuse) in ABUSES {
        let (stop, ended) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let (stopped, counted) = (stop.clone(), ended.clone());
        let abuser = thread::spawn(move || abuse(address, &stopped, &counted));
        let (share, p99) = good(address);
        stop.store(true, Ordering::Relaxed);
        let _ = abuser.join();
        let kept = share / alone;
        least = least.min(kept);
        table.row(
            &format!("the same beside: {name}"),
            format!(
                "{:.2}% kept, p99 {p99:.2} ms; {} connections ended with ENHANCE_YOUR_CALM",
                kept * 100.0,
                ended.load(Ordering::Relaxed)
            ),
            "99% at least",
            kept >= KEPT,
        );
    }
    table.tell(
        "memory after all of them",
        format!("{:.1} MiB", daemon.resident_kib() as f64 / 1024.0),
    );
    table.figure(format!("kept beside abuse {:.2}% at least", least * 100.0));
}
