//! How many streams may be open, on one connection and in all, and the flow-control windows.
//!
//! The limit on all streams follows what the server admits: it falls by a quarter when a request had
//! to wait before it could be submitted, and grows with each response. It is never below the number of
//! open streams. Up to three quarters of the limit a connection can use its full allowance; beyond
//! that, each has an equal share.

use crate::Time;

/// Limits set by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Streams of one connection at most.
    pub per_connection: u32,
    /// Streams of all connections at most.
    pub total: u32,
    /// Bytes that all connections together may send ahead of what is read.
    pub receive_bytes: u64,
}

/// Initial flow-control window of a connection, in bytes (RFC 9113, section 6.9.2); none is smaller.
pub const INITIAL_WINDOW: u32 = 65_535;
/// Largest flow-control window of a connection, in bytes; requests are small.
const MAX_WINDOW: u32 = 1 << 20;
/// Least time between two decreases of the limit, in microseconds: a burst counts once.
const DECREASE_INTERVAL_US: u64 = 100_000;
/// Streams that are always allowed, so that a recovery of the server is noticed.
const MIN_LIMIT: u32 = 16;
/// Fixed-point units of one stream in the limit.
const UNITS_PER_STREAM: u64 = 64;
/// Units by which a response raises the limit: an eighth of a stream.
const INCREASE_UNITS: u64 = UNITS_PER_STREAM / 8;
/// Fraction of the limit that remains after a decrease, and above which streams are shared equally.
const THREE_QUARTERS: (u64, u64) = (3, 4);

/// The limit that refuses a stream. Nothing of the stream was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReached {
    /// The connection has as many streams as one may have.
    PerConnection,
    /// The streams of all connections are used up, or the rest are other connections' share.
    Total,
}

/// The streams of all HTTP/2 connections.
#[derive(Clone, Debug)]
pub struct StreamLimits {
    settings: LimitSettings,
    connections: u32,
    open_streams: u32,
    /// The present limit, in units of a stream.
    limit_units: u64,
    decreased_at: Option<Time>,
}

impl StreamLimits {
    /// Creates the limits of a server without connections. Settings of 0 count as 1.
    pub fn new(settings: LimitSettings) -> StreamLimits {
        let settings = LimitSettings {
            per_connection: settings.per_connection.max(1),
            total: settings.total.max(1),
            ..settings
        };
        let limit_units = u64::from(settings.total) * UNITS_PER_STREAM;
        StreamLimits {
            settings,
            connections: 0,
            open_streams: 0,
            limit_units,
            decreased_at: None,
        }
    }

    /// Records a new connection.
    pub fn connection_opened(&mut self) {
        self.connections += 1;
    }

    /// Records the end of a connection. Its streams are closed one by one.
    pub fn connection_closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Returns the number of open streams.
    pub fn open_streams(&self) -> u32 {
        self.open_streams
    }

    /// Returns the present limit on all streams.
    pub fn current_limit(&self) -> u32 {
        let least = MIN_LIMIT.min(self.settings.total).max(self.open_streams);
        ((self.limit_units / UNITS_PER_STREAM) as u32).max(least)
    }

    /// Returns the limit that a new connection is sent (`SETTINGS_MAX_CONCURRENT_STREAMS`).
    pub fn advertised_limit(&self) -> u32 {
        self.settings
            .per_connection
            .min(self.current_limit())
            .max(1)
    }

    /// Opens a stream of a connection that has `open_on_connection` others.
    ///
    /// # Errors
    ///
    /// Returns the limit that the stream would exceed.
    pub fn try_open(&mut self, open_on_connection: u32) -> Result<(), LimitReached> {
        if open_on_connection >= self.settings.per_connection {
            return Err(LimitReached::PerConnection);
        }
        let limit = self.current_limit();
        let (numerator, denominator) = THREE_QUARTERS;
        let is_scarce = u64::from(self.open_streams) * denominator >= u64::from(limit) * numerator;
        let exceeds_share = is_scarce && open_on_connection >= self.equal_share();
        if self.open_streams >= limit || exceeds_share {
            return Err(LimitReached::Total);
        }
        self.open_streams += 1;
        Ok(())
    }

    /// Closes a stream.
    pub fn close_stream(&mut self) {
        self.open_streams = self.open_streams.saturating_sub(1);
    }

    /// Records that a request had to wait before it could be submitted.
    pub fn on_backpressure(&mut self, now: Time) {
        let may_decrease = self
            .decreased_at
            .is_none_or(|at| now.since(at) >= DECREASE_INTERVAL_US);
        if may_decrease {
            let (numerator, denominator) = THREE_QUARTERS;
            let limit_units = u64::from(self.current_limit()) * UNITS_PER_STREAM;
            self.decreased_at = Some(now);
            self.limit_units = limit_units * numerator / denominator;
        }
    }

    /// Records that a request was answered.
    pub fn on_response(&mut self) {
        let highest = u64::from(self.settings.total) * UNITS_PER_STREAM;
        self.limit_units = (self.limit_units + INCREASE_UNITS).min(highest);
    }

    /// Returns the flow-control window of each connection, in bytes: an equal share of what all may
    /// send ahead.
    pub fn connection_window(&self) -> u32 {
        let share = self.settings.receive_bytes / u64::from(self.connections.max(1));
        share.clamp(INITIAL_WINDOW.into(), MAX_WINDOW.into()) as u32
    }

    /// Returns a connection's equal share of the limit; at least one stream.
    fn equal_share(&self) -> u32 {
        (self.current_limit() / self.connections.max(1)).max(1)
    }
}
