//! The record that a member publishes about itself, and the states that other members assign to it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// The maximum length of an id, zone or region, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// The level at which all of a zone's traffic stays in the zone, in tenths.
pub const ALL_TRAFFIC_TENTHS: u8 = 10;

/// A member's unique name in the fleet: 1 to [`MAX_NAME_BYTES`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub String);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A summary of a member's load. Routing reads it from the view; admission does not use it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// The admission controller's current limit on requests in flight.
    pub concurrency_limit: u32,
    /// Requests rejected in the last second.
    pub rejections_per_second: u32,
}

/// The record that a member publishes about itself. The order of its fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's unique name.
    pub id: MemberId,
    /// The IPv4 address at which it receives membership datagrams.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The version of its program as one number; 1.2.3 is 1002003.
    pub version: u32,
    /// Its load.
    pub load: Load,
    /// The moving average of its probes' round trips, in milliseconds. Others adapt their wait for its acks to it,
    /// within a bound.
    pub average_round_trip_ms: u32,
    /// The epoch of the zone decision that it has accepted; 0 before the first decision or without failover.
    pub decision_epoch: u64,
    /// The level of that decision: tenths of the zone's traffic that stay in the zone, 0 to [`ALL_TRAFFIC_TENTHS`].
    pub local_traffic_tenths: u8,
    /// The level that the member itself prefers.
    pub preferred_local_traffic_tenths: u8,
}

/// A member's vote on the decision of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneVote {
    /// The epoch of the accepted decision.
    pub decision_epoch: u64,
    /// The level of the accepted decision.
    pub local_traffic_tenths: u8,
    /// The level that the member prefers.
    pub preferred_local_traffic_tenths: u8,
}

impl Member {
    /// Returns whether all names and levels are within their bounds.
    pub fn is_well_formed(&self) -> bool {
        let fits = |name: &str| name.len() <= MAX_NAME_BYTES;
        let levels_fit = self.local_traffic_tenths <= ALL_TRAFFIC_TENTHS
            && self.preferred_local_traffic_tenths <= ALL_TRAFFIC_TENTHS;
        let id_fits = !self.id.0.is_empty() && fits(&self.id.0);
        levels_fit && id_fits && fits(&self.zone) && fits(&self.region)
    }

    /// Returns the member's vote on the decision of its zone.
    pub fn zone_vote(&self) -> ZoneVote {
        ZoneVote {
            decision_epoch: self.decision_epoch,
            local_traffic_tenths: self.local_traffic_tenths,
            preferred_local_traffic_tenths: self.preferred_local_traffic_tenths,
        }
    }
}

/// The state of a member in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member missed a probe and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl MemberState {
    /// Returns the state's name in logs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Returns whether a member in this state counts as part of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}
