//! Capture files as a source of traffic, without I/O and clocks: bytes of a file in, requests and responses out.
//!
//! [`file`](mod@file) reads packets from pcap and pcapng, [`frame`] finds TCP segments in packets, [`reassembly`] puts the
//! segments of connections in order, and [`exchange`] finds HTTP/1.1 messages in their bytes. [`Pipeline`] combines
//! the four. What is skipped on the way is counted by cause. All buffers and tables are bounded, and no input
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
pub struct Stamp(pub u64);

impl Stamp {
    /// Nanoseconds from another point to this one; 0 if this one is the earlier.
    pub fn since(self, earlier: Stamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The side that connected.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Side {
    /// The opposite side.
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }

    /// The position of the side in arrays that have an element for each side.
    pub(crate) fn index(self) -> usize {
        match self {
            Side::Client => 0,
            Side::Server => 1,
        }
    }
}

/// The part of the server that a recorded connection belongs to. Recordings have an interface for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Leg {
    /// Connections of clients.
    Front,
    /// Connections to the interpreter, with lines of JSON.
    Interpreter,
    /// Connections to the store, with lines of text.
    Store,
}

impl Leg {
    /// All legs, in the order of their interfaces.
    pub const ALL: [Leg; 3] = [Leg::Front, Leg::Interpreter, Leg::Store];

    /// The name of the leg's interface.
    pub fn name(self) -> &'static str {
        match self {
            Leg::Front => "front",
            Leg::Interpreter => "interpreter",
            Leg::Store => "store",
        }
    }

    /// The leg whose interface has this name.
    pub fn named(name: &[u8]) -> Option<Leg> {
        Leg::ALL
            .into_iter()
            .find(|leg| leg.name().as_bytes() == name)
    }
}

/// Identifies a connection of a capture. Connections are numbered in the order of their first packets; a port that
/// is reused has a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);
