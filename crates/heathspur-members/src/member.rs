//! What a member is and what it carries.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// The longest id, zone or region, in bytes.
pub const MAX_NAME_BYTES: usize = 48;

/// A member's name in the fleet: 1 to [`MAX_NAME_BYTES`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub String);

impl fmt::Display for MemberId {
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
    pub concurrency_limit: u32,
    /// Refusals in the last second.
    pub rejections_per_second: u32,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: MemberId,
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
    pub usual_round_trip_ms: u32,
    /// The epoch of the decision that it holds in common with its zone; 0 before the first, or without failover.
    pub decision_epoch: u64,
    /// That decision: tenths of its zone's traffic that stay near, 0 to [`ALL_TRAFFIC_TENTHS`].
    pub local_traffic_tenths: u8,
    /// The level that it wants itself.
    pub preferred_tenths: u8,
}

/// All traffic stays near.
pub const ALL_TRAFFIC_TENTHS: u8 = 10;

/// What a member holds and wants of its zone's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneVote {
    /// The decision's epoch.
    pub decision_epoch: u64,
    /// The decision's level.
    pub local_traffic_tenths: u8,
    /// The level that the member wants.
    pub preferred_tenths: u8,
}

impl Member {
    /// Whether its names and levels keep within their bounds.
    pub fn well_formed(&self) -> bool {
        let fits = |s: &str| s.len() <= MAX_NAME_BYTES;
        let levels = self.local_traffic_tenths <= ALL_TRAFFIC_TENTHS
            && self.preferred_tenths <= ALL_TRAFFIC_TENTHS;
        levels
            && !self.id.0.is_empty()
            && fits(&self.id.0)
            && fits(&self.zone)
            && fits(&self.region)
    }
}

/// Where a member stands in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe, and may still refute it.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Said that it leaves.
    Left,
}

impl MemberState {
    /// Its word in logs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Whether the member counts as in the fleet.
    pub fn live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}
