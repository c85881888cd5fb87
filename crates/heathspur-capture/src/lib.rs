//! Extracts HTTP/1.1 requests and responses from capture files, without I/O and clocks.
//!
//! [`file`](mod@file) reads packets from pcap and pcapng, [`frame`] finds TCP segments in packets, [`reassembly`] puts
//! the segments of connections in order, and [`exchange`] finds HTTP/1.1 messages in their bytes. [`Pipeline`] combines
//! the four modules. Everything that is skipped is counted by cause. All buffers and tables are bounded, and no input
//! causes a panic. [`write`](mod@write) encodes capture files.
#![forbid(unsafe_code)]

pub mod exchange;
pub mod file;
pub mod frame;
pub mod reassembly;
pub mod write;

mod pipeline;

pub use pipeline::{Item, Options, Pipeline, Tally};

/// A point in capture time, in nanoseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the nanoseconds from another point to this one; 0 if the other point is later.
    pub fn since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Side {
    /// Returns the opposite side.
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }

    /// Returns the position of the side in arrays that have an element for each side.
    pub(crate) fn index(self) -> usize {
        match self {
            Side::Client => 0,
            Side::Server => 1,
        }
    }
}

/// The part of the server that a recorded connection belongs to. Recordings have one interface for each leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Leg {
    /// Connections of clients.
    Front,
    /// Connections to the interpreter, which carry lines of JSON.
    Interpreter,
    /// Connections to the store, which carry lines of text and bodies.
    Store,
}

impl Leg {
    /// All legs, in the order of their interfaces.
    pub const ALL: [Leg; 3] = [Leg::Front, Leg::Interpreter, Leg::Store];

    /// Returns the name of the leg's interface.
    pub fn name(self) -> &'static str {
        match self {
            Leg::Front => "front",
            Leg::Interpreter => "interpreter",
            Leg::Store => "store",
        }
    }

    /// Returns the leg whose interface has this name.
    pub fn from_name(name: &[u8]) -> Option<Leg> {
        Leg::ALL
            .into_iter()
            .find(|leg| leg.name().as_bytes() == name)
    }
}

/// The number of a connection in a capture. Connections are numbered in the order of their first packets; a connection
/// that reuses the ports of an earlier one has a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
