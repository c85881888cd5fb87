//! `pcap info`: a summary of a capture.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::source;
use crate::table::plain;
use heathspur_capture::exchange::{Cause, Found};
use heathspur_capture::reassembly::{End, Event};
use heathspur_capture::{ConnId, Item, Tally};
use heathspur_replay::histogram::DurationHistogram;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Requests of one connection that are remembered while they are open.
const OPEN: usize = 2048;

#[derive(Default)]
struct Class {
    requests: u64,
    answers: BTreeMap<u16, u64>,
    latency: DurationHistogram,
}

#[derive(Default)]
struct Summary {
    classes: BTreeMap<String, Class>,
    /// Of each connection, requests that are not answered: number, class, time of the last byte.
    open: HashMap<ConnId, VecDeque<(u64, String, u64)>>,
    ends: BTreeMap<End, u64>,
    passed: BTreeMap<Cause, (u64, u64)>,
    unmatched: u64,
}

impl Summary {
    fn take(&mut self, item: Item) {
        match item {
            Item::Message(Found::Request {
                conn,
                index,
                message,
            }) => {
                let class = source::class(&message);
                self.classes.entry(class.clone()).or_default().requests += 1;
                let open = self.open.entry(conn).or_default();
                if open.len() >= OPEN {
                    open.pop_front();
                }
                open.push_back((index, class, message.last.0));
            }
            Item::Message(Found::Answer { conn, to, message }) => {
                let open = self.open.entry(conn).or_default();
                let place = to.and_then(|to| open.iter().position(|(index, ..)| *index == to));
                let Some((_, class, asked)) = place.and_then(|place| open.remove(place)) else {
                    self.unmatched += 1;
                    return;
                };
                let class = self.classes.entry(class).or_default();
                *class
                    .answers
                    .entry(message.status().unwrap_or(0))
                    .or_default() += 1;
                class.latency.record(message.last.0.saturating_sub(asked));
            }
            Item::Message(Found::Passed { cause, bytes, .. }) => {
                let passed = self.passed.entry(cause).or_default();
                passed.0 += 1;
                passed.1 += bytes;
            }
            Item::Connection(Event::Closed { conn, end, .. }) => {
                self.open.remove(&conn);
                *self.ends.entry(end).or_default() += 1;
            }
            Item::Connection(_) => {}
        }
    }
}

/// Prints the summary.
pub fn run(from: &CaptureOptions) -> Result<(), Error> {
    let mut summary = Summary::default();
    let tally = source::read(from, |item| summary.take(item))?;
    let mut table = plain();
    for (name, value) in lines(&summary, &tally) {
        table.add_row([name, value]);
    }
    println!("{table}\n");
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
    for (name, class) in &summary.classes {
        let (answered, times) = (
            class.answers.values().sum::<u64>(),
            class.latency.quantiles(),
        );
        let by_status: Vec<_> = class
            .answers
            .iter()
            .map(|(status, n)| format!("{status}: {n}"))
            .collect();
        table.add_row([
            name.clone(),
            class.requests.to_string(),
            (class.requests - answered).to_string(),
            by_status.join(", "),
            format!("{:.2}", times.p50_ms),
            format!("{:.2}", times.p99_ms),
            format!("{:.2}", times.max_ms),
        ]);
    }
    println!("{table}");
    source::damaged(from, &tally)
}

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
    line("  from the middle", tally.tcp.from_the_middle.to_string());
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
    let odd = tally.tcp.odd;
    let counts = [
        ("packets cut by the snap length", tally.cut_packets),
        ("datagrams whose pieces never came", tally.pieces_given_up),
        ("holes", tally.holes),
        ("bytes missing", tally.missing_bytes),
        ("gaps given up", tally.tcp.gaps_given_up),
        ("gaps given up for memory", tally.tcp.gaps_for_memory),
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
    for (cause, count) in &tally.passed {
        line(
            &format!("packets passed over: {cause:?}"),
            count.to_string(),
        );
    }
    for (cause, (times, bytes)) in &summary.passed {
        line(
            &format!("messages passed over: {cause:?}"),
            format!("{times} ({bytes} bytes)"),
        );
    }
    lines
}
