//! Limits on open streams, per connection and in total, and the flow-control windows.
//!
//! The total limit adapts to the load that the server can handle: it is reduced by a quarter when a
//! request had to wait before it could be submitted, and grows with each response. It is never
//! below the number of open streams. While fewer than three quarters of the total limit are in use,
//! a connection may open streams up to its own limit; beyond that, each connection has an equal
//! share.

use crate::Time;

/// Limits set by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of open streams of one connection.
    pub per_connection: u32,
    /// Maximum number of open streams of all connections.
    pub total: u32,
    /// Request bytes that the clients of all connections together may send before the server has
    /// read them. Distributed as flow-control windows.
    pub receive_bytes: u64,
}

/// Initial and smallest flow-control window of a connection, in bytes (RFC 9113, section 6.9.2).
pub const INITIAL_WINDOW_BYTES: u32 = 65_535;
/// Largest flow-control window of a connection, in bytes. Requests are small, so that a larger
/// window has no use.
const MAX_WINDOW_BYTES: u32 = 1 << 20;
/// Minimum time between two decreases of the limit, in microseconds. A burst of waiting requests
/// decreases it once.
const DECREASE_INTERVAL_US: u64 = 100_000;
/// Lower bound of the limit, in streams. Some requests must get through for the limit to grow again
/// when the server recovers.
const MIN_LIMIT: u32 = 16;
/// Fixed-point units per stream in the limit.
const UNITS_PER_STREAM: u64 = 64;
/// Units by which a response raises the limit: an eighth of a stream.
const INCREASE_UNITS: u64 = UNITS_PER_STREAM / 8;
/// Numerator and denominator of the fraction of the limit that remains after a decrease, and from
/// which on open streams are shared equally among the connections.
const THREE_QUARTERS: (u64, u64) = (3, 4);

/// The limit by which a stream is refused. A refused stream's request was not submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReached {
    /// The connection has its maximum number of streams.
    PerConnection,
    /// The total limit is reached, or what is left of it is the share of other connections.
    Total,
}

/// Counts and limits the open streams of all HTTP/2 connections.
#[derive(Clone, Debug)]
pub struct StreamLimits {
    settings: LimitSettings,
    connections: u32,
    open_streams: u32,
    /// The total limit, in fixed-point units ([`UNITS_PER_STREAM`]).
    limit_units: u64,
    /// When the total limit was last decreased.
    decreased_at: Option<Time>,
}

impl StreamLimits {
    /// Creates the limits of a server without connections. Stream limits of 0 are raised to 1.
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

    /// Records the end of a connection. Its streams have to be closed separately, by
    /// [`close_stream`](Self::close_stream).
    pub fn connection_closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Returns the number of open streams.
    pub fn open_streams(&self) -> u32 {
        self.open_streams
    }

    /// Returns the current total limit on open streams.
    pub fn current_limit(&self) -> u32 {
        let least = MIN_LIMIT.min(self.settings.total).max(self.open_streams);
        ((self.limit_units / UNITS_PER_STREAM) as u32).max(least)
    }

    /// Returns the limit to send to a new connection (`SETTINGS_MAX_CONCURRENT_STREAMS`).
    pub fn advertised_limit(&self) -> u32 {
        self.settings
            .per_connection
            .min(self.current_limit())
            .max(1)
    }

    /// Opens a stream on a connection that has `open_on_connection` open streams already.
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

    /// Records that a request had to wait before it could be submitted. Decreases the limit, at
    /// most once per `DECREASE_INTERVAL_US`.
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

    /// Records that a request was answered, and increases the limit.
    pub fn on_response(&mut self) {
        let highest = u64::from(self.settings.total) * UNITS_PER_STREAM;
        self.limit_units = (self.limit_units + INCREASE_UNITS).min(highest);
    }

    /// Returns the flow-control window of each connection, in bytes: an equal share of
    /// [`LimitSettings::receive_bytes`], within the bounds of a window.
    pub fn connection_window(&self) -> u32 {
        let share = self.settings.receive_bytes / u64::from(self.connections.max(1));
        share.clamp(INITIAL_WINDOW_BYTES.into(), MAX_WINDOW_BYTES.into()) as u32
    }

    /// Returns a connection's equal share of the total limit: at least one stream.
    fn equal_share(&self) -> u32 {
        (self.current_limit() / self.connections.max(1)).max(1)
    }
}
