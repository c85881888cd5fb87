//! From what zones hold and report to shares: how much stays near, how much goes to which other zone.

use crate::ALL_TRAFFIC_TENTHS;

/// Another zone as the view has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteZone {
    /// Its name.
    pub zone: String,
    /// Whether it is in the same region.
    pub same_region: bool,
    /// What its members report to have spare, in requests.
    pub spare_capacity: u32,
    /// The level that it holds for its own traffic: one that moves its own away is no place for others'.
    pub local_traffic_tenths: u8,
}

/// Parts of an instance's calls, in thousandths; they add up to 1,000.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficSplit {
    /// What stays in the own zone.
    pub local_thousandths: u16,
    /// What goes to other zones.
    pub remote: Vec<(String, u16)>,
    /// Nobody far is fit to take anything, so all stays near although that is not healthy (Envoy's panic).
    pub panic: bool,
}

/// The shares at a level. What moves goes to the own region while anyone there can take it, by what they have
/// spare and how healthy they are, and elsewhere only then.
pub fn split_traffic(local_traffic_tenths: u8, others: &[RemoteZone]) -> TrafficSplit {
    let moved = u32::from(ALL_TRAFFIC_TENTHS - local_traffic_tenths.min(ALL_TRAFFIC_TENTHS)) * 100;
    let weight = |other: &RemoteZone| {
        u64::from(other.spare_capacity)
            * u64::from(other.local_traffic_tenths.min(ALL_TRAFFIC_TENTHS))
    };
    let fit = |same_region: bool| -> Vec<&RemoteZone> {
        others
            .iter()
            .filter(|o| o.same_region == same_region && weight(o) > 0)
            .collect()
    };
    let mut chosen = fit(true);
    if chosen.is_empty() {
        chosen = fit(false);
    }
    if moved == 0 || chosen.is_empty() {
        return TrafficSplit {
            local_thousandths: 1_000,
            remote: Vec::new(),
            panic: moved > 0,
        };
    }
    let all: u64 = chosen.iter().map(|o| weight(o)).sum();
    let part = |o: &RemoteZone| (u64::from(moved) * weight(o) / all) as u16;
    let mut remote: Vec<(String, u16)> = chosen.iter().map(|o| (o.zone.clone(), part(o))).collect();
    // What rounding left goes to the first.
    let given: u32 = remote.iter().map(|(_, part)| u32::from(*part)).sum();
    remote[0].1 += (moved - given) as u16;
    remote.retain(|(_, part)| *part > 0);
    TrafficSplit {
        local_thousandths: 1_000 - moved as u16,
        remote,
        panic: false,
    }
}
