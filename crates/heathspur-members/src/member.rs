//! What a member is and what it carries.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// The longest id, zone or region, in bytes.
pub const LONGEST_NAME: usize = 48;

/// A member's name in the fleet: 1 to [`LONGEST_NAME`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub String);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A small summary of a member's load, for routing that reads the view; admission never reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// The admission module's current cap on requests in flight.
    pub cap: u32,
    /// Refusals in the last second.
    pub refusals: u32,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: Id,
    /// Where its membership datagrams go (IPv4).
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The version of its program as one number: 1.2.3 is 1002003.
    pub version: u32,
    /// Its load, as it last said.
    pub load: Load,
    /// How long its round trips to others usually take, in milliseconds, by its own word: others wait for its
    /// acks accordingly, within their bound.
    pub lag_ms: u32,
    /// The epoch of the decision that it holds in common with its zone; 0 before the first, or without failover.
    pub epoch: u64,
    /// That decision: tenths of its zone's traffic that stay near, 0 to [`WHOLE`].
    pub near: u8,
    /// The level that it wants itself.
    pub wants: u8,
}

/// All traffic stays near.
pub const WHOLE: u8 = 10;

/// What a member holds and wants of its zone's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stand {
    /// The decision's epoch.
    pub epoch: u64,
    /// The decision's level.
    pub near: u8,
    /// The level that the member wants.
    pub wants: u8,
}

impl Member {
    /// Whether its names and levels keep within their bounds.
    pub fn well_formed(&self) -> bool {
        let fits = |s: &str| s.len() <= LONGEST_NAME;
        let levels = self.near <= WHOLE && self.wants <= WHOLE;
        levels
            && !self.id.0.is_empty()
            && fits(&self.id.0)
            && fits(&self.zone)
            && fits(&self.region)
    }
}

/// Where a member stands in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Missed a probe, and may still refute it.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Said that it leaves.
    Left,
}

impl State {
    /// Its word in logs and tables.
    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Whether the member counts as in the fleet.
    pub fn live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}
