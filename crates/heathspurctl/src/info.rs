//! `pcap info`: prints a summary of a capture.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::source;
use crate::table::plain;
use heathspur_capture::exchange::{Cause, Found, Message};
use heathspur_capture::reassembly::{End, Event};
use heathspur_capture::{ConnectionId, Item, Tally};
use heathspur_replay::histogram::DurationHistogram;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Largest number of unanswered requests kept of one connection.
const MAX_UNANSWERED: usize = 2048;

/// Requests and responses of a class.
#[derive(Default)]
struct ClassSummary {
    requests: u64,
    responses: BTreeMap<u16, u64>,
    latency: DurationHistogram,
}

/// A request without a response.
struct UnansweredRequest {
    /// Number of the request on its connection.
    number: u64,
    class: String,
    last_byte_at: u64,
}

/// Messages passed over for one cause.
#[derive(Default)]
struct PassedMessages {
    count: u64,
    bytes: u64,
}

#[derive(Default)]
struct Summary {
    classes: BTreeMap<String, ClassSummary>,
    /// Unanswered requests of each connection, oldest first.
    unanswered: HashMap<ConnectionId, VecDeque<UnansweredRequest>>,
    ends: BTreeMap<End, u64>,
    passed: BTreeMap<Cause, PassedMessages>,
    /// Responses to no captured request.
    unmatched: u64,
}

impl Summary {
    fn add(&mut self, item: Item) {
        match item {
            Item::Message(Found::Request {
                conn,
                index,
                message,
            }) => self.add_request(conn, index, &message),
            Item::Message(Found::Response { conn, to, message }) => {
                self.add_response(conn, to, &message);
            }
            Item::Message(Found::Skipped { cause, bytes, .. }) => {
                let passed = self.passed.entry(cause).or_default();
                passed.count += 1;
                passed.bytes += bytes;
            }
            Item::Connection(Event::Closed { conn, end, .. }) => {
                self.unanswered.remove(&conn);
                *self.ends.entry(end).or_default() += 1;
            }
            Item::Connection(_) => {}
        }
    }

    fn add_request(&mut self, connection: ConnectionId, number: u64, message: &Message) {
        let class = source::class(message);
        self.classes.entry(class.clone()).or_default().requests += 1;
        let unanswered = self.unanswered.entry(connection).or_default();
        if unanswered.len() >= MAX_UNANSWERED {
            unanswered.pop_front();
        }
        unanswered.push_back(UnansweredRequest {
            number,
            class,
            last_byte_at: message.last.0,
        });
    }

    fn add_response(&mut self, connection: ConnectionId, request: Option<u64>, message: &Message) {
        let unanswered = self.unanswered.entry(connection).or_default();
        let position =
            request.and_then(|number| unanswered.iter().position(|known| known.number == number));
        let Some(request) = position.and_then(|position| unanswered.remove(position)) else {
            self.unmatched += 1;
            return;
        };
        let class = self.classes.entry(request.class).or_default();
        let status = message.status().unwrap_or(0);
        *class.responses.entry(status).or_default() += 1;
        let latency = message.last.0.saturating_sub(request.last_byte_at);
        class.latency.record(latency);
    }
}

/// Prints a summary of a capture.
pub fn run(options: &CaptureOptions) -> Result<(), Error> {
    let mut summary = Summary::default();
    let tally = source::read(options, |item| summary.add(item))?;
    let mut table = plain();
    for (name, value) in lines(&summary, &tally) {
        table.add_row([name, value]);
    }
    println!("{table}\n");
    print_classes(&summary.classes);
    source::damaged(options, &tally)
}

fn print_classes(classes: &BTreeMap<String, ClassSummary>) {
    let mut table = plain();
    table.set_header([
        "class",
        "requests",
        "unanswered",
        "by status",
        "p50 ms",
        "p99 ms",
        "max ms",
    ]);
    for (name, class) in classes {
        let answered = class.responses.values().sum::<u64>();
        let by_status: Vec<_> = class
            .responses
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        let latency = class.latency.quantiles();
        table.add_row([
            name.clone(),
            class.requests.to_string(),
            (class.requests - answered).to_string(),
            by_status.join(", "),
            format!("{:.2}", latency.p50_ms),
            format!("{:.2}", latency.p99_ms),
            format!("{:.2}", latency.max_ms),
        ]);
    }
    println!("{table}");
}

/// The rows of the summary: names and values.
fn lines(summary: &Summary, tally: &Tally) -> Vec<(String, String)> {
    let seconds = tally
        .first
        .map_or(0.0, |first| tally.last.since(first) as f64 / 1e9);
    let mut lines: Vec<(String, String)> = Vec::new();
    let mut line = |name: &str, value: String| lines.push((name.to_string(), value));
    line("bytes", tally.bytes.to_string());
    line("packets", tally.packets.to_string());
    line("seconds", format!("{seconds:.3}"));
    line("connections", tally.tcp.connections.to_string());
    line(
        "  from the middle",
        tally.tcp.midstream_connections.to_string(),
    );
    for (end, count) in &summary.ends {
        line(&format!("  ended: {end:?}"), count.to_string());
    }
    line(
        "requests",
        summary
            .classes
            .values()
            .map(|class| class.requests)
            .sum::<u64>()
            .to_string(),
    );
    let odd = tally.tcp.anomalies;
    let counts = [
        ("packets cut by the snap length", tally.truncated_packets),
        (
            "datagrams whose pieces never came",
            tally.incomplete_datagrams,
        ),
        ("holes", tally.holes),
        ("bytes missing", tally.missing_bytes),
        ("gaps given up", tally.tcp.abandoned_gaps),
        (
            "gaps given up for memory",
            tally.tcp.gaps_abandoned_for_memory,
        ),
        ("connections that made room", tally.tcp.evicted),
        ("segments out of order", odd.out_of_order),
        ("segments repeated", odd.repeated),
        ("segments that conflict; the first stood", odd.conflicting),
        ("segments too far off", odd.stray),
        ("segments behind an end", odd.after_end),
        ("segments from before the start", odd.before_start),
        ("directions that went on elsewhere", odd.resynchronised),
        ("keep-alives", odd.keep_alives),
        ("answers to no request that was captured", summary.unmatched),
    ];
    for (name, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
        line(name, count.to_string());
    }
    for (leg, (packets, bytes)) in &tally.links {
        line(
            &format!("link to the {}, not read", leg.name()),
            format!("{packets} packets ({bytes} bytes)"),
        );
    }
    for (cause, count) in &tally.skipped_packets {
        line(
            &format!("packets passed over: {cause:?}"),
            count.to_string(),
        );
    }
    for (cause, passed) in &summary.passed {
        line(
            &format!("messages passed over: {cause:?}"),
            format!("{} ({} bytes)", passed.count, passed.bytes),
        );
    }
    lines
}
