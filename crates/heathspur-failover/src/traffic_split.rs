//! The split of an instance's calls between the local zone and other zones, by level and reported spare capacity.

use crate::{ALL_CALLS_THOUSANDTHS, ALL_TRAFFIC_TENTHS};

/// The number of thousandths of the calls in one tenth.
const THOUSANDTHS_PER_TENTH: u16 = ALL_CALLS_THOUSANDTHS / ALL_TRAFFIC_TENTHS as u16;

/// Another zone in the fleet's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteZone {
    /// The zone's name.
    pub zone: String,
    /// Whether it is in the local region.
    pub same_region: bool,
    /// The spare capacity that its members report, in requests.
    pub spare_capacity: u32,
    /// The level of its own decision. A zone that moves its own traffic away receives less traffic from others.
    pub local_traffic_tenths: u8,
}

impl RemoteZone {
    /// Returns its weight in the split: the spare capacity times the level; 0 if the zone can't accept calls.
    fn weight(&self) -> u64 {
        let level = self.local_traffic_tenths.min(ALL_TRAFFIC_TENTHS);
        u64::from(self.spare_capacity) * u64::from(level)
    }
}

/// The part of an instance's calls that is sent to another zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: String,
    /// The part of the calls, in thousandths.
    pub thousandths: u16,
}

/// The parts of an instance's calls, which add up to [`ALL_CALLS_THOUSANDTHS`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficSplit {
    /// The part that stays in the local zone.
    pub local_thousandths: u16,
    /// The parts that are sent to other zones; none of them is zero.
    pub remote: Vec<ZoneShare>,
    /// Whether all calls stay in the unhealthy local zone because no other zone can accept any (Envoy's panic mode).
    pub panic: bool,
}

/// Splits calls between the local zone and `others` at a level. The calls that leave the zone are split by weight among
/// the zones of the same region, and among those of other regions only if no zone of the same region can accept calls.
pub fn split_traffic(local_traffic_tenths: u8, others: &[RemoteZone]) -> TrafficSplit {
    let local_tenths = local_traffic_tenths.min(ALL_TRAFFIC_TENTHS);
    let local_thousandths = u16::from(local_tenths) * THOUSANDTHS_PER_TENTH;
    let moved = ALL_CALLS_THOUSANDTHS - local_thousandths;
    let targets = target_zones(others);
    if moved == 0 || targets.is_empty() {
        return TrafficSplit {
            local_thousandths: ALL_CALLS_THOUSANDTHS,
            remote: Vec::new(),
            panic: moved > 0,
        };
    }
    TrafficSplit {
        local_thousandths,
        remote: split_by_weight(moved, &targets),
        panic: false,
    }
}

/// Returns the zones that can accept calls: those of the same region, or those of other regions if there are none.
fn target_zones(others: &[RemoteZone]) -> Vec<&RemoteZone> {
    let available = |same_region: bool| -> Vec<&RemoteZone> {
        let zones = others.iter();
        zones
            .filter(|zone| zone.same_region == same_region && zone.weight() > 0)
            .collect()
    };
    let same_region = available(true);
    if same_region.is_empty() {
        available(false)
    } else {
        same_region
    }
}

/// Splits `moved` thousandths by weight. The first zone also receives the remainder from rounding down.
fn split_by_weight(moved: u16, targets: &[&RemoteZone]) -> Vec<ZoneShare> {
    let total: u64 = targets.iter().map(|zone| zone.weight()).sum();
    let mut shares: Vec<ZoneShare> = targets
        .iter()
        .map(|zone| ZoneShare {
            zone: zone.zone.clone(),
            thousandths: (u64::from(moved) * zone.weight() / total) as u16,
        })
        .collect();
    let assigned: u16 = shares.iter().map(|share| share.thousandths).sum();
    shares[0].thousandths += moved - assigned;
    shares.retain(|share| share.thousandths > 0);
    shares
}
