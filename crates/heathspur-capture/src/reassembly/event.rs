//! What the reassembly reports about connections, and what it counts.

use super::direction::Anomalies;
use crate::{ConnId, Side, Stamp};
use bytes::Bytes;
use std::net::SocketAddr;

/// How much of a connection's start was captured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its SYN was seen.
    Handshake,
    /// The capture starts in the middle of the connection.
    Middle,
}

/// How a direction or a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// FIN.
    Closed,
    /// RST.
    Reset,
    /// Its ports were used by another connection.
    Replaced,
    /// It was evicted because too many connections were tracked.
    Evicted,
    /// The capture ended.
    CaptureEnd,
}

/// An event of a connection; events are in order within each connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was found. Its other events follow.
    Opened {
        /// The connection.
        conn: ConnId,
        /// The address that connected.
        client: SocketAddr,
        /// The address that was connected to.
        server: SocketAddr,
        /// When its first packet was captured.
        time: Stamp,
        /// Whether its start was captured.
        start: Start,
    },
    /// The next bytes of one side.
    Bytes {
        /// The connection.
        conn: ConnId,
        /// The sender.
        side: Side,
        /// When they were first captured.
        time: Stamp,
        /// The bytes.
        bytes: Bytes,
    },
    /// Bytes of one side are missing here.
    Hole {
        /// The connection.
        conn: ConnId,
        /// The sender.
        side: Side,
        /// Their number, where it is known.
        length: Option<u64>,
    },
    /// One side sends nothing more.
    Ended {
        /// The connection.
        conn: ConnId,
        /// The side.
        side: Side,
        /// How.
        end: End,
        /// When the end was determined.
        time: Stamp,
    },
    /// The connection has ended; it has no further events.
    Closed {
        /// The connection.
        conn: ConnId,
        /// How it ended.
        end: End,
        /// When the end was determined.
        time: Stamp,
    },
}

/// Counters of the reassembly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Segments processed.
    pub segments: u64,
    /// Connections found.
    pub connections: u64,
    /// Connections whose start was not captured.
    pub midstream_connections: u64,
    /// Connections evicted because too many were tracked.
    pub evicted: u64,
    /// Gaps given up because of the bytes buffered or the time elapsed behind them.
    pub abandoned_gaps: u64,
    /// Gaps given up because the memory was exhausted.
    pub gaps_abandoned_for_memory: u64,
    /// Segments without payload that belong to no known connection.
    pub without_connection: u64,
    /// Irregular segments.
    pub anomalies: Anomalies,
}
