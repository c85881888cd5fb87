//! The port for HTTP/2.

use crate::units::{Size, Span};
use crate::Mistake;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP/2 without TLS on a port of its own.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http2 {
    /// Where it listens.
    #[serde(rename = "@listen")]
    pub listen: SocketAddr,
    /// How many streams there may be.
    #[serde(default)]
    pub streams: Streams,
    /// Bounds on a request.
    #[serde(default)]
    pub request: Request,
    /// What may wait in memory.
    #[serde(default)]
    pub memory: Memory,
    /// How long is waited for callers.
    #[serde(default)]
    pub patience: Patience,
}

/// How many streams there may be at once.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Streams {
    /// Of one connection; 1 to 10,000, and no more than of all.
    #[serde(rename = "@connection")]
    pub connection: u32,
    /// Of all connections; 1 to 10,000.
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

/// Bounds on a request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Request {
    /// Its fields, as HTTP/2 counts them (RFC 9113, section 6.5.2); 1 KiB to 64 KiB.
    #[serde(rename = "@header-list")]
    pub header_list: Size,
    /// Its body; 1 KiB to 64 KiB.
    #[serde(rename = "@body")]
    pub body: Size,
    /// It must be whole within this, and a new connection must have said what it speaks; 100 ms to 60 s.
    #[serde(rename = "@whole")]
    pub whole: Span,
}

impl Default for Request {
    fn default() -> Request {
        Request {
            header_list: Size(8 << 10),
            body: Size(2 << 10),
            whole: Span(Duration::from_secs(2)),
        }
    }
}

/// What may wait in memory.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Memory {
    /// Answers that nobody reads, over all connections and with those of HTTP/1.1; 64 KiB to 1 GiB.
    #[serde(rename = "@answers")]
    pub answers: Size,
    /// Of one connection; 16 KiB or more, and no more than of all.
    #[serde(rename = "@connection")]
    pub connection: Size,
    /// Of one stream, in the protocol's own buffers; 16 KiB to 1 MiB.
    #[serde(rename = "@stream")]
    pub stream: Size,
    /// What all connections together may send ahead of what is read; 64 KiB to 1 GiB.
    #[serde(rename = "@receive")]
    pub receive: Size,
}

impl Default for Memory {
    fn default() -> Memory {
        let (answers, connection) = (Size(4 << 20), Size(512 << 10));
        Memory {
            answers,
            connection,
            stream: Size(32 << 10),
            receive: Size(4 << 20),
        }
    }
}

/// How long is waited for callers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Patience {
    /// An answer must be read within this, and a connection take something; 100 ms to 60 s.
    #[serde(rename = "@stalled")]
    pub stalled: Span,
    /// The round trip of a drain; 10 ms to 10 s.
    #[serde(rename = "@round-trip")]
    pub round_trip: Span,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience {
            stalled: Span(Duration::from_secs(5)),
            round_trip: Span(Duration::from_millis(500)),
        }
    }
}

impl Http2 {
    /// The most that this front may hold in memory, in bytes: what waits to be read, what may be sent ahead, and
    /// the requests that are open, each with a part for its place in the tables.
    pub fn most(&self) -> u64 {
        let request = self.request.body.0 + 1024;
        let open = u64::from(self.streams.all).saturating_mul(request);
        self.memory
            .answers
            .0
            .saturating_add(self.memory.receive.0)
            .saturating_add(open)
    }

    pub(crate) fn check(&self, memory: Option<u64>) -> Result<(), Mistake> {
        let mistake = |path: &str, what: String| Err(Mistake(format!("http2.{path}"), what));
        for (path, count) in [
            ("streams.@connection", self.streams.connection),
            ("streams.@all", self.streams.all),
        ] {
            if !(1..=10_000).contains(&count) {
                return mistake(path, "1 to 10000 is expected".into());
            }
        }
        if self.streams.connection > self.streams.all {
            let what = format!(
                "{} at most is expected, as many as of all",
                self.streams.all
            );
            return mistake("streams.@connection", what);
        }
        let (kib, mib, gib) = (1 << 10, 1 << 20, 1 << 30);
        let sizes = [
            (
                "request.@header-list",
                self.request.header_list,
                kib,
                64 * kib,
                "1 KiB to 64 KiB",
            ),
            (
                "request.@body",
                self.request.body,
                kib,
                64 * kib,
                "1 KiB to 64 KiB",
            ),
            (
                "memory.@answers",
                self.memory.answers,
                64 * kib,
                gib,
                "64 KiB to 1 GiB",
            ),
            (
                "memory.@connection",
                self.memory.connection,
                16 * kib,
                gib,
                "16 KiB to 1 GiB",
            ),
            (
                "memory.@stream",
                self.memory.stream,
                16 * kib,
                mib,
                "16 KiB to 1 MiB",
            ),
            (
                "memory.@receive",
                self.memory.receive,
                64 * kib,
                gib,
                "64 KiB to 1 GiB",
            ),
        ];
        for (path, size, least, most, words) in sizes {
            if !(least..=most).contains(&size.0) {
                return mistake(path, format!("{size} where {words} is expected"));
            }
        }
        if self.memory.connection > self.memory.answers {
            let (connection, all) = (self.memory.connection, self.memory.answers);
            let what =
                format!("{connection} of one connection, where {all} at most is expected, as much as of all");
            return mistake("memory.@connection", what);
        }
        let spans = [
            (
                "request.@whole",
                self.request.whole,
                100,
                60_000,
                "100 ms to 60 s",
            ),
            (
                "patience.@stalled",
                self.patience.stalled,
                100,
                60_000,
                "100 ms to 60 s",
            ),
            (
                "patience.@round-trip",
                self.patience.round_trip,
                10,
                10_000,
                "10 ms to 10 s",
            ),
        ];
        for (path, span, least, most, words) in spans {
            if !(least..=most).contains(&span.0.as_millis()) {
                return mistake(path, format!("{words} is expected"));
            }
        }
        match memory {
            Some(memory) if self.most() > memory / 2 => {
                let (most, half) = (Size(self.most()), Size(memory / 2));
                let what = format!("{most} in all, with the streams, where {half} at most is expected, half of the process's memory");
                mistake("memory", what)
            }
            _ => Ok(()),
        }
    }
}
