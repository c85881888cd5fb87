//! `pcap requests`: prints each request with its response.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::source;
use clap::{Args, ValueEnum};
use heathspur_capture::exchange::{Found, Message};
use heathspur_capture::reassembly::Event;
use heathspur_capture::{ConnectionId, Item};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::SocketAddr;

/// Largest number of requests without a response. Beyond it, the oldest request of the connection with the lowest
/// number is printed without one.
const MAX_UNANSWERED: usize = 65_536;

/// Output format of the requests.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    /// Aligned columns
    Table,
    /// One JSON object per line
    Json,
}

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    capture: CaptureOptions,
    /// Output format
    #[arg(long, value_enum, default_value = "table")]
    format: Format,
}

/// A printed request. The field names are the JSON keys.
#[derive(Serialize)]
struct Row {
    connection: u64,
    index: u64,
    client: Option<SocketAddr>,
    /// Unix time of the first byte, in seconds.
    at: f64,
    /// Time from the first byte to the last byte of the request, in milliseconds.
    arriving_ms: f64,
    class: String,
    tenant: Option<String>,
    bytes: usize,
    status: Option<u16>,
    latency_ms: Option<f64>,
    /// Capture time of the last byte of the request, in Unix nanoseconds.
    #[serde(skip)]
    last_byte_at: u64,
}

/// Matches requests with their responses and prints them.
struct RowPrinter<'a> {
    options: &'a Options,
    clients: HashMap<ConnectionId, SocketAddr>,
    /// Requests without a response, by connection and index.
    unanswered: BTreeMap<(ConnectionId, u64), Row>,
    /// The first error of writing to standard output; nothing is written after it.
    write_error: Option<std::io::Error>,
}

impl RowPrinter<'_> {
    fn add(&mut self, item: Item) {
        match item {
            Item::Connection(Event::Opened {
                connection, client, ..
            }) => {
                self.clients.insert(connection, client);
            }
            Item::Connection(Event::Closed { connection, .. }) => {
                self.clients.remove(&connection);
                let keys: Vec<_> = self
                    .unanswered
                    .range((connection, 0)..=(connection, u64::MAX))
                    .map(|(key, _)| *key)
                    .collect();
                keys.into_iter().for_each(|key| self.print(key));
            }
            Item::Connection(_) | Item::Message(Found::Skipped { .. }) => {}
            Item::Message(Found::Request {
                connection,
                index,
                message,
            }) => {
                let row = self.row(connection, index, &message);
                self.unanswered.insert((connection, index), row);
                if self.unanswered.len() > MAX_UNANSWERED {
                    if let Some(&oldest) = self.unanswered.keys().next() {
                        self.print(oldest);
                    }
                }
            }
            Item::Message(Found::Response {
                connection,
                request_index: Some(index),
                message,
            }) => {
                if let Some(row) = self.unanswered.get_mut(&(connection, index)) {
                    row.status = message.status();
                    row.latency_ms =
                        Some(message.last_byte_at.0.saturating_sub(row.last_byte_at) as f64 / 1e6);
                    self.print((connection, index));
                }
            }
            Item::Message(Found::Response { .. }) => {}
        }
    }

    fn row(&self, connection: ConnectionId, index: u64, message: &Message) -> Row {
        Row {
            connection: connection.0,
            index,
            client: self.clients.get(&connection).copied(),
            at: message.first_byte_at.0 as f64 / 1e9,
            arriving_ms: message.last_byte_at.since(message.first_byte_at) as f64 / 1e6,
            class: source::class(message),
            tenant: source::field(message, &self.options.capture.tenant_field),
            bytes: message.bytes.len(),
            status: None,
            latency_ms: None,
            last_byte_at: message.last_byte_at.0,
        }
    }

    fn print(&mut self, key: (ConnectionId, u64)) {
        let Some(row) = self.unanswered.remove(&key) else {
            return;
        };
        let text = match self.options.format {
            Format::Json => serde_json::to_string(&row).unwrap_or_default(),
            Format::Table => {
                let or_none = |value: Option<String>| value.unwrap_or_else(|| "-".into());
                format!(
                    "{:>20.6} {:>8} {:>5} {:<20} {:<16} {:>7} {:>6} {:>10}",
                    row.at,
                    row.connection,
                    row.index,
                    row.class,
                    or_none(row.tenant),
                    row.bytes,
                    or_none(row.status.map(|status| status.to_string())),
                    or_none(row.latency_ms.map(|ms| format!("{ms:.3}")))
                )
            }
        };
        if self.write_error.is_none() {
            self.write_error = writeln!(std::io::stdout().lock(), "{text}").err();
        }
    }
}

/// Prints each request as soon as its response is complete or its connection has ended.
pub fn run(options: &Options) -> Result<(), Error> {
    if let Format::Table = options.format {
        println!(
            "{:>20} {:>8} {:>5} {:<20} {:<16} {:>7} {:>6} {:>10}",
            "at", "conn", "index", "class", "tenant", "bytes", "status", "ms"
        );
    }
    let mut printer = RowPrinter {
        options,
        clients: HashMap::new(),
        unanswered: BTreeMap::new(),
        write_error: None,
    };
    let tally = source::read(&options.capture, |item| printer.add(item))?;
    match printer.write_error {
        // The process that reads the pipe may exit early.
        Some(e) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        Some(e) => Err(Error::stdout(e)),
        None => source::check_damage(&options.capture, &tally),
    }
}
