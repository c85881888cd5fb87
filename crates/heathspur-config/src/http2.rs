//! Configuration of the HTTP/2 port.

use crate::units::{Size, Span, GIB, KIB, MIB};
use crate::InvalidValue;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The memory that an open request uses in addition to its body: its entries in the server's tables.
const REQUEST_OVERHEAD_BYTES: u64 = 1024;
/// The memory that a connection uses in addition to its windows and requests: the protocol library's read and write
/// buffers, header tables, and a header block that has not arrived completely.
const CONNECTION_BYTES: u64 = 96 * KIB;
/// The number of connections that are accepted with any configuration.
const MIN_CONNECTIONS: u64 = 16;
/// HTTP/2 uses at most the process's memory divided by this number.
const PROCESS_TO_HTTP2_MEMORY_RATIO: u64 = 2;

/// HTTP/2 without TLS on a separate port. Off if the element is missing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http2 {
    /// The address on which the server accepts connections.
    #[serde(rename = "@listen")]
    pub listen: SocketAddr,
    /// Limits on concurrent streams.
    #[serde(default)]
    pub streams: Streams,
    /// Limits on a request.
    #[serde(default)]
    pub request: Request,
    /// Limits on buffers.
    #[serde(default)]
    pub memory: Memory,
    /// Timeouts for slow clients.
    #[serde(rename = "patience", default)]
    pub client_timeouts: ClientTimeouts,
}

/// Limits on concurrent streams.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Streams {
    /// The maximum number of streams of one connection; 1 to 10,000, and at most `all`.
    #[serde(rename = "@connection")]
    pub connection: u32,
    /// The maximum number of streams of all connections; 1 to 10,000.
    #[serde(rename = "@all")]
    pub all: u32,
}

impl Default for Streams {
    fn default() -> Streams {
        Streams {
            connection: 128,
            all: 1024,
        }
    }
}

/// Limits on a request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Request {
    /// The maximum size of the field section as HTTP/2 counts it (RFC 9113, section 6.5.2); 1 KiB to 64 KiB.
    #[serde(rename = "@header-list")]
    pub header_list: Size,
    /// The maximum size of the body; 1 KiB to 64 KiB.
    #[serde(rename = "@body")]
    pub body: Size,
    /// The timeout for a complete request, and for the preface of a new connection; 100 ms to 60 s.
    #[serde(rename = "@whole")]
    pub receive_timeout: Span,
}

impl Default for Request {
    fn default() -> Request {
        Request {
            header_list: Size(8 * KIB),
            body: Size(2 * KIB),
            receive_timeout: Span(Duration::from_secs(2)),
        }
    }
}

/// Limits on buffers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Unread responses of all connections, including those of HTTP/1.1; 64 KiB to 1 GiB.
    #[serde(rename = "@answers")]
    pub responses: Size,
    /// Unread responses of one connection; 16 KiB to 1 GiB, and at most `responses`.
    #[serde(rename = "@connection")]
    pub connection: Size,
    /// The protocol's send buffer of one stream; 16 KiB to 1 MiB.
    #[serde(rename = "@stream")]
    pub stream: Size,
    /// The sum of all connections' receive windows; 64 KiB to 1 GiB.
    #[serde(rename = "@receive")]
    pub receive: Size,
}

impl Default for Memory {
    fn default() -> Memory {
        Memory {
            responses: Size(4 * MIB),
            connection: Size(512 * KIB),
            stream: Size(32 * KIB),
            receive: Size(4 * MIB),
        }
    }
}

/// Timeouts for slow clients.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientTimeouts {
    /// The time for which a response may stay unread, and a connection may make no progress; 100 ms to 60 s.
    #[serde(rename = "@stalled")]
    pub stalled: Span,
    /// The time allowed for a round trip when a connection drains; 10 ms to 10 s.
    #[serde(rename = "@round-trip")]
    pub round_trip: Span,
}

impl Default for ClientTimeouts {
    fn default() -> ClientTimeouts {
        ClientTimeouts {
            stalled: Span(Duration::from_secs(5)),
            round_trip: Span(Duration::from_millis(500)),
        }
    }
}

impl Http2 {
    /// Returns the maximum memory that HTTP/2 can use, in bytes: unread responses, receive windows and open requests.
    pub fn max_memory(&self) -> u64 {
        let request = self.request.body.0 + REQUEST_OVERHEAD_BYTES;
        let open_requests = u64::from(self.streams.all).saturating_mul(request);
        self.memory
            .responses
            .0
            .saturating_add(self.memory.receive.0)
            .saturating_add(open_requests)
    }

    /// Returns the maximum number of connections that fit into HTTP/2's part of the process's memory, in bytes, beside
    /// what responses and open requests can use. The receive windows need no memory of their own: what has arrived in
    /// them is part of an open request.
    pub fn max_connections(&self, process_memory: u64) -> u64 {
        let used = self.max_memory() - self.memory.receive.0;
        let for_connections = (process_memory / PROCESS_TO_HTTP2_MEMORY_RATIO).saturating_sub(used);
        (for_connections / CONNECTION_BYTES).max(MIN_CONNECTIONS)
    }

    pub(crate) fn check(&self, process_memory: Option<u64>) -> Result<(), InvalidValue> {
        self.streams.check()?;
        self.request.check_sizes()?;
        self.memory.check()?;
        self.check_timeouts()?;
        self.check_max_memory(process_memory)
    }

    fn check_timeouts(&self) -> Result<(), InvalidValue> {
        let timeouts = &self.client_timeouts;
        if !(100..=60_000).contains(&self.request.receive_timeout.0.as_millis()) {
            return invalid("request.@whole", "100 ms to 60 s is expected");
        }
        if !(100..=60_000).contains(&timeouts.stalled.0.as_millis()) {
            return invalid("patience.@stalled", "100 ms to 60 s is expected");
        }
        if !(10..=10_000).contains(&timeouts.round_trip.0.as_millis()) {
            return invalid("patience.@round-trip", "10 ms to 10 s is expected");
        }
        Ok(())
    }

    fn check_max_memory(&self, process_memory: Option<u64>) -> Result<(), InvalidValue> {
        let Some(process_memory) = process_memory else {
            return Ok(());
        };
        let used = Size(self.max_memory());
        let limit = Size(process_memory / PROCESS_TO_HTTP2_MEMORY_RATIO);
        if used <= limit {
            return Ok(());
        }
        invalid(
            "memory",
            format!(
                "{used} in total, including streams, where at most {limit} is expected, half of the process's memory"
            ),
        )
    }
}

impl Streams {
    fn check(&self) -> Result<(), InvalidValue> {
        for (path, count) in [
            ("streams.@connection", self.connection),
            ("streams.@all", self.all),
        ] {
            if !(1..=10_000).contains(&count) {
                return invalid(path, "1 to 10000 is expected");
            }
        }
        if self.connection > self.all {
            let all = self.all;
            return invalid(
                "streams.@connection",
                format!("at most {all} streams of one connection are expected, the value of streams@all"),
            );
        }
        Ok(())
    }
}

impl Request {
    fn check_sizes(&self) -> Result<(), InvalidValue> {
        let range = SizeRange {
            range: KIB..=64 * KIB,
            text: "1 KiB to 64 KiB",
        };
        range.check("request.@header-list", self.header_list)?;
        range.check("request.@body", self.body)
    }
}

impl Memory {
    fn check(&self) -> Result<(), InvalidValue> {
        let all_connections = SizeRange {
            range: 64 * KIB..=GIB,
            text: "64 KiB to 1 GiB",
        };
        let one_connection = SizeRange {
            range: 16 * KIB..=GIB,
            text: "16 KiB to 1 GiB",
        };
        let one_stream = SizeRange {
            range: 16 * KIB..=MIB,
            text: "16 KiB to 1 MiB",
        };
        all_connections.check("memory.@answers", self.responses)?;
        one_connection.check("memory.@connection", self.connection)?;
        one_stream.check("memory.@stream", self.stream)?;
        all_connections.check("memory.@receive", self.receive)?;
        if self.connection > self.responses {
            let (connection, all) = (self.connection, self.responses);
            return invalid(
                "memory.@connection",
                format!(
                    "{connection} of one connection where at most {all} is expected, the value of memory@answers"
                ),
            );
        }
        Ok(())
    }
}

/// The accepted sizes of an attribute.
struct SizeRange {
    range: RangeInclusive<u64>,
    /// The range as shown in errors.
    text: &'static str,
}

impl SizeRange {
    fn check(&self, path: &str, size: Size) -> Result<(), InvalidValue> {
        if self.range.contains(&size.0) {
            return Ok(());
        }
        invalid(path, format!("{size} where {} is expected", self.text))
    }
}

fn invalid(path: &str, reason: impl Into<String>) -> Result<(), InvalidValue> {
    Err(InvalidValue::new(format!("http2.{path}"), reason))
}
