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

/// Largest number of unanswered requests that are tracked for each connection. Beyond it, the oldest is no longer
/// tracked, and its response is counted as unmatched.
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
    /// Index of the request on its connection.
    index: u64,
    class: String,
    /// Capture time of its last byte, in Unix nanoseconds.
    last_byte_at: u64,
}

/// Counts of skipped messages.
#[derive(Default)]
struct SkippedMessages {
    count: u64,
    bytes: u64,
}

/// Accumulates the summary of a capture.
#[derive(Default)]
struct Summary {
    classes: BTreeMap<String, ClassSummary>,
    /// Unanswered requests of each connection, oldest first.
    unanswered: HashMap<ConnectionId, VecDeque<UnansweredRequest>>,
    /// Closed connections by the way they ended.
    ends: BTreeMap<End, u64>,
    skipped: BTreeMap<Cause, SkippedMessages>,
    /// Responses without a captured request.
    unmatched: u64,
}

impl Summary {
    fn add(&mut self, item: Item) {
        match item {
            Item::Message(Found::Request {
                connection,
                index,
                message,
            }) => self.add_request(connection, index, &message),
            Item::Message(Found::Response {
                connection,
                request_index,
                message,
            }) => {
                self.add_response(connection, request_index, &message);
            }
            Item::Message(Found::Skipped { cause, bytes, .. }) => {
                let skipped = self.skipped.entry(cause).or_default();
                skipped.count += 1;
                skipped.bytes += bytes;
            }
            Item::Connection(Event::Closed {
                connection, end, ..
            }) => {
                self.unanswered.remove(&connection);
                *self.ends.entry(end).or_default() += 1;
            }
            Item::Connection(_) => {}
        }
    }

    fn add_request(&mut self, connection: ConnectionId, index: u64, message: &Message) {
        let class = source::class(message);
        self.classes.entry(class.clone()).or_default().requests += 1;
        let unanswered = self.unanswered.entry(connection).or_default();
        if unanswered.len() >= MAX_UNANSWERED {
            unanswered.pop_front();
        }
        unanswered.push_back(UnansweredRequest {
            index,
            class,
            last_byte_at: message.last_byte_at.0,
        });
    }

    fn add_response(&mut self, connection: ConnectionId, request: Option<u64>, message: &Message) {
        let unanswered = self.unanswered.entry(connection).or_default();
        let position =
            request.and_then(|index| unanswered.iter().position(|request| request.index == index));
        let Some(request) = position.and_then(|position| unanswered.remove(position)) else {
            self.unmatched += 1;
            return;
        };
        let class = self.classes.entry(request.class).or_default();
        let status = message.status().unwrap_or(0);
        *class.responses.entry(status).or_default() += 1;
        let latency = message.last_byte_at.0.saturating_sub(request.last_byte_at);
        class.latency.record(latency);
    }
}

/// Prints a summary of a capture.
pub fn run(options: &CaptureOptions) -> Result<(), Error> {
    let mut summary = Summary::default();
    let tally = source::read(options, |item| summary.add(item))?;
    let mut table = plain();
    for (name, value) in summary_rows(&summary, &tally) {
        table.add_row([name, value]);
    }
    println!("{table}\n");
    print_classes(&summary.classes);
    source::check_damage(options, &tally)
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

/// Returns the rows of the summary, as names and values.
fn summary_rows(summary: &Summary, tally: &Tally) -> Vec<(String, String)> {
    let seconds = tally
        .first
        .map_or(0.0, |first| tally.last.since(first) as f64 / 1e9);
    let mut rows: Vec<(String, String)> = Vec::new();
    let mut row = |name: &str, value: String| rows.push((name.to_string(), value));
    row("bytes", tally.bytes.to_string());
    row("packets", tally.packets.to_string());
    row("seconds", format!("{seconds:.3}"));
    row("connections", tally.tcp.connections.to_string());
    row(
        "  from the middle",
        tally.tcp.midstream_connections.to_string(),
    );
    for (end, count) in &summary.ends {
        row(&format!("  ended: {end:?}"), count.to_string());
    }
    row(
        "requests",
        summary
            .classes
            .values()
            .map(|class| class.requests)
            .sum::<u64>()
            .to_string(),
    );
    let anomalies = tally.tcp.anomalies;
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
        ("segments out of order", anomalies.out_of_order),
        ("segments repeated", anomalies.repeated),
        (
            "segments that conflict; the first stood",
            anomalies.conflicting,
        ),
        ("segments too far off", anomalies.stray),
        ("segments behind an end", anomalies.after_end),
        ("segments from before the start", anomalies.before_start),
        (
            "directions that went on elsewhere",
            anomalies.resynchronised,
        ),
        ("keep-alives", anomalies.keep_alives),
        ("answers to no request that was captured", summary.unmatched),
    ];
    for (name, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
        row(name, count.to_string());
    }
    for (leg, (packets, bytes)) in &tally.links {
        row(
            &format!("link to the {}, not read", leg.name()),
            format!("{packets} packets ({bytes} bytes)"),
        );
    }
    for (cause, count) in &tally.skipped_packets {
        row(
            &format!("packets passed over: {cause:?}"),
            count.to_string(),
        );
    }
    for (cause, skipped) in &summary.skipped {
        row(
            &format!("messages passed over: {cause:?}"),
            format!("{} ({} bytes)", skipped.count, skipped.bytes),
        );
    }
    rows
}
