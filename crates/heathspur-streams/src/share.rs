//! How many streams there may be, on one connection and on all, and how much a connection may send ahead.
//!
//! The number of all streams follows what the server takes in: it shrinks by a quarter when a request had to wait
//! before it could be handed in, and grows back with each answer. It is never below what is open. A connection
//! alone may have all that one may have; once three quarters of all streams are taken, each has its fair share.

use crate::Time;

/// Bounds, as the operator sets them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Streams of one connection at most.
    pub connection: u32,
    /// Streams of all connections at most.
    pub all: u32,
    /// Bytes that all connections together may send ahead of what is read.
    pub receive: u64,
}

/// The window that RFC 9113 (section 6.9.2) gives a connection to begin with, in bytes; none can be smaller.
pub const FIRST_WINDOW: u32 = 65_535;
/// The largest window of a connection, in bytes: requests are small.
const LARGEST_WINDOW: u32 = 1 << 20;
/// The number of all streams shrinks once in so many microseconds at most: one crowd counts as one.
const SETTLE: u64 = 100_000;
/// So many streams are always allowed, so that the server can be seen to recover.
const LEAST: u32 = 16;

/// Why a stream is not taken. Nothing of it was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// Its connection has as many as one may have.
    Connection,
    /// All streams that are allowed now are taken, or all but those that other connections have a right to.
    All,
}

/// The streams of a front.
#[derive(Clone, Debug)]
pub struct Share {
    bounds: Bounds,
    connections: u32,
    open: u32,
    /// Streams allowed now, in 64ths of a stream.
    allowed: u64,
    shrunk: Option<Time>,
}

const PART: u64 = 64;

impl Share {
    /// A front without connections. Bounds of 0 count as 1.
    pub fn new(bounds: Bounds) -> Share {
        let bounds = Bounds {
            connection: bounds.connection.max(1),
            all: bounds.all.max(1),
            ..bounds
        };
        let allowed = u64::from(bounds.all) * PART;
        Share {
            bounds,
            connections: 0,
            open: 0,
            allowed,
            shrunk: None,
        }
    }

    /// A connection has come.
    pub fn joined(&mut self) {
        self.connections += 1;
    }

    /// A connection has gone; its streams are given back one by one.
    pub fn left(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// All streams that are open.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// All streams that are allowed now.
    pub fn allowed(&self) -> u32 {
        let least = LEAST.min(self.bounds.all).max(self.open);
        ((self.allowed / PART) as u32).max(least)
    }

    /// What a connection is told at its start (`SETTINGS_MAX_CONCURRENT_STREAMS`).
    pub fn advertised(&self) -> u32 {
        self.bounds.connection.min(self.allowed()).max(1)
    }

    /// Takes a stream for a connection that has so many open.
    pub fn take(&mut self, has: u32) -> Result<(), Full> {
        if has >= self.bounds.connection {
            return Err(Full::Connection);
        }
        let allowed = self.allowed();
        let crowded = u64::from(self.open) * 4 >= u64::from(allowed) * 3;
        if self.open >= allowed || crowded && has >= self.fair() {
            return Err(Full::All);
        }
        self.open += 1;
        Ok(())
    }

    /// Gives a stream back.
    pub fn give_back(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// A request had to wait before it could be handed in.
    pub fn waited(&mut self, now: Time) {
        if self.shrunk.is_none_or(|at| now.since(at) >= SETTLE) {
            self.shrunk = Some(now);
            self.allowed = u64::from(self.allowed()) * PART * 3 / 4;
        }
    }

    /// A request was answered.
    pub fn answered(&mut self) {
        self.allowed = (self.allowed + PART / 8).min(u64::from(self.bounds.all) * PART);
    }

    /// The window of each connection, in bytes: a fair share of what all may send ahead.
    pub fn window(&self) -> u32 {
        let share = self.bounds.receive / u64::from(self.connections.max(1));
        share.clamp(FIRST_WINDOW.into(), LARGEST_WINDOW.into()) as u32
    }

    /// A connection's fair share of the streams that are allowed now; at least one.
    fn fair(&self) -> u32 {
        (self.allowed() / self.connections.max(1)).max(1)
    }
}
