//! Capture files as a source of traffic, without I/O and clocks: bytes of a file in, requests and answers out.
//!
//! [`file`] finds packets in pcap and pcapng, [`frame`] finds TCP segments in packets, [`reassembly`] puts
//! segments in order, and [`exchange`] finds HTTP/1.1 messages in what was put in order. [`Pipeline`] is the
//! four of them in one. Whatever is left out on the way is counted by its cause. Every buffer and table has
//! a bound, and any bytes are taken without a panic.
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

/// Who sent bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The one that connected.
    Client,
    /// The one that was connected to.
    Server,
}

impl Side {
    /// The other one.
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

/// Where a recording of ours saw a packet: the names of its interfaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Leg {
    /// Callers.
    Front,
    /// The interpreter's link, in lines of JSON.
    Interpreter,
    /// The store's connections, in lines.
    Store,
}

impl Leg {
    /// All, by the places of their interfaces.
    pub const ALL: [Leg; 3] = [Leg::Front, Leg::Interpreter, Leg::Store];

    /// The name of its interface.
    pub fn name(self) -> &'static str {
        match self {
            Leg::Front => "front",
            Leg::Interpreter => "interpreter",
            Leg::Store => "store",
        }
    }

    /// The one of that name.
    pub fn named(name: &[u8]) -> Option<Leg> {
        Leg::ALL
            .into_iter()
            .find(|leg| leg.name().as_bytes() == name)
    }
}

/// A connection of a capture, numbered in the order in which they were first seen. A port that is used again
/// has a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);
