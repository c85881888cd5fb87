//! The split of an instance's calls between the local zone and others, by level and reported spare capacity.

use crate::{ALL_CALLS_THOUSANDTHS, ALL_TRAFFIC_TENTHS};

/// Thousandths of the calls in one tenth.
const THOUSANDTHS_PER_TENTH: u16 = ALL_CALLS_THOUSANDTHS / ALL_TRAFFIC_TENTHS as u16;

/// Another zone in the fleet's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteZone {
    /// Its name.
    pub zone: String,
    /// Whether it is in the local region.
    pub same_region: bool,
    /// Requests that its members report as spare capacity.
    pub spare_capacity: u32,
    /// The level of its own decision: a zone that moves its own traffic away is unfit to take others'.
    pub local_traffic_tenths: u8,
}

impl RemoteZone {
    /// Its weight in the split: the spare capacity by the level of health; 0 if it can take nothing.
    fn weight(&self) -> u64 {
        let level = self.local_traffic_tenths.min(ALL_TRAFFIC_TENTHS);
        u64::from(self.spare_capacity) * u64::from(level)
    }
}

/// The part of an instance's calls that goes to another zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: String,
    /// Its part, in thousandths.
    pub thousandths: u16,
}

/// The parts of an instance's calls, which add up to [`ALL_CALLS_THOUSANDTHS`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficSplit {
    /// The part that stays in the local zone.
    pub local_thousandths: u16,
    /// The parts of other zones, none of them empty.
    pub remote: Vec<ZoneShare>,
    /// No other zone can take anything, so all calls stay although the local zone is unhealthy (Envoy's panic mode).
    pub panic: bool,
}

/// Splits calls at a level. What leaves the zone goes to zones of the same region while any of them can take it, by
/// spare capacity and health, and only otherwise to other regions.
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

/// The zones that can take calls: those of the same region, or else those of other regions.
fn target_zones(others: &[RemoteZone]) -> Vec<&RemoteZone> {
    let fit = |same_region: bool| -> Vec<&RemoteZone> {
        let zones = others.iter();
        zones
            .filter(|zone| zone.same_region == same_region && zone.weight() > 0)
            .collect()
    };
    let same_region = fit(true);
    if same_region.is_empty() {
        fit(false)
    } else {
        same_region
    }
}

/// Shares of `moved` thousandths by weight; the first zone gets what rounding leaves over.
fn split_by_weight(moved: u16, targets: &[&RemoteZone]) -> Vec<ZoneShare> {
    let total: u64 = targets.iter().map(|zone| zone.weight()).sum();
    let mut shares: Vec<ZoneShare> = targets
        .iter()
        .map(|zone| ZoneShare {
            zone: zone.zone.clone(),
            thousandths: (u64::from(moved) * zone.weight() / total) as u16,
        })
        .collect();
    let given: u16 = shares.iter().map(|share| share.thousandths).sum();
    shares[0].thousandths += moved - given;
    shares.retain(|share| share.thousandths > 0);
    shares
}
