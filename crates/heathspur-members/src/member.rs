//! The record that a member publishes about itself, and the states that others see it in.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddrV4;

/// The longest id, zone or region, in bytes.
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

/// A summary of a member's load, for routing that reads the view; admission never reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// The admission controller's current limit on requests in flight.
    pub concurrency_limit: u32,
    /// Requests rejected in the last second.
    pub rejections_per_second: u32,
}

/// The record that a member publishes about itself. The order of its fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its unique name.
    pub id: MemberId,
    /// Where it receives membership datagrams (IPv4).
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The version of its program as one number: 1.2.3 is 1002003.
    pub version: u32,
    /// Its load.
    pub load: Load,
    /// The usual round trip of its probes, in milliseconds. Others wait for its acks accordingly, within a bound.
    pub usual_round_trip_ms: u32,
    /// The epoch of the zone decision that it has accepted; 0 before the first, or without failover.
    pub decision_epoch: u64,
    /// That decision: tenths of its zone's traffic that stay in the zone, 0 to [`ALL_TRAFFIC_TENTHS`].
    pub local_traffic_tenths: u8,
    /// The level that it prefers itself.
    pub preferred_tenths: u8,
}

/// A member's vote on the decision of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneVote {
    /// The epoch of the accepted decision.
    pub decision_epoch: u64,
    /// The level of the accepted decision.
    pub local_traffic_tenths: u8,
    /// The level that the member prefers.
    pub preferred_tenths: u8,
}

impl Member {
    /// Whether its names and levels are within their bounds.
    pub fn well_formed(&self) -> bool {
        let fits = |name: &str| name.len() <= MAX_NAME_BYTES;
        let levels_fit = self.local_traffic_tenths <= ALL_TRAFFIC_TENTHS
            && self.preferred_tenths <= ALL_TRAFFIC_TENTHS;
        let id_fits = !self.id.0.is_empty() && fits(&self.id.0);
        levels_fit && id_fits && fits(&self.zone) && fits(&self.region)
    }

    /// Its vote on the decision of its zone.
    pub fn zone_vote(&self) -> ZoneVote {
        ZoneVote {
            decision_epoch: self.decision_epoch,
            local_traffic_tenths: self.local_traffic_tenths,
            preferred_tenths: self.preferred_tenths,
        }
    }
}

/// The state of a member in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It missed a probe and may still refute the suspicion.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Its name in logs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }

    /// Whether the member counts as part of the fleet.
    pub fn live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}
