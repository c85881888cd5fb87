//! The events and counters of the reassembly.

use super::direction::Anomalies;
use crate::{ConnectionId, Side, Timestamp};
use bytes::Bytes;
use std::net::SocketAddr;

/// Whether the start of a connection was captured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The SYN was captured.
    Handshake,
    /// The SYN was not captured, as when the capture starts in the middle of the connection.
    Midstream,
}

/// How a direction or a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// By FIN.
    Closed,
    /// By RST.
    Reset,
    /// Another connection used the same ports.
    Replaced,
    /// The connection was evicted because too many were tracked.
    Evicted,
    /// The capture ended.
    CaptureEnd,
}

/// An event of a connection; events are in order within each connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was found. This is its first event.
    Opened {
        /// The connection.
        connection: ConnectionId,
        /// The address of the side that opened the connection.
        client: SocketAddr,
        /// The address of the side that accepted the connection.
        server: SocketAddr,
        /// The capture time of its first packet.
        time: Timestamp,
        /// Whether its start was captured.
        start: Start,
    },
    /// The next bytes of one side.
    Bytes {
        /// The connection.
        connection: ConnectionId,
        /// The sender.
        side: Side,
        /// The time at which they were first captured.
        time: Timestamp,
        /// The bytes.
        bytes: Bytes,
    },
    /// Bytes of one side are missing here.
    Hole {
        /// The connection.
        connection: ConnectionId,
        /// The sender.
        side: Side,
        /// The number of missing bytes, if known.
        length: Option<u64>,
    },
    /// One side has ended: no further bytes or holes of it follow.
    Ended {
        /// The connection.
        connection: ConnectionId,
        /// The side.
        side: Side,
        /// How the side ended.
        end: End,
        /// The capture time at which the end was determined.
        time: Timestamp,
    },
    /// The connection has ended. This is its last event.
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// How the connection ended.
        end: End,
        /// The capture time at which the end was determined.
        time: Timestamp,
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
    /// Gaps abandoned because too many bytes were buffered or too much time elapsed after them.
    pub abandoned_gaps: u64,
    /// Gaps abandoned because the memory was exhausted.
    pub gaps_abandoned_for_memory: u64,
    /// Segments without payload that belong to no known connection.
    pub without_connection: u64,
    /// Irregular segments.
    pub anomalies: Anomalies,
}
