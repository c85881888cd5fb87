//! Limits on calls in flight to other zones. The spare capacity that a zone's members report is shared evenly among the
//! instances of other zones that send calls to it, so that together they don't exceed it.

use std::collections::BTreeMap;

/// The load that a member reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// The admission controller's current limit on requests in flight.
    pub concurrency_limit: u32,
    /// The number of requests in flight.
    pub in_flight: u32,
}

impl PeerLoad {
    /// Returns the number of additional requests that the member could accept.
    pub fn spare(self) -> u32 {
        self.concurrency_limit.saturating_sub(self.in_flight)
    }
}

/// Returns the spare capacity of a zone, in requests: the sum over its members.
pub fn spare_capacity(members: impl Iterator<Item = PeerLoad>) -> u32 {
    members.map(PeerLoad::spare).sum()
}

/// The spare capacity of another zone, and the number of instances that share it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: String,
    /// Its spare capacity, in requests.
    pub spare_capacity: u32,
    /// The number of instances that send calls to it, including this one.
    pub senders: usize,
}

/// The calls of this instance in flight to other zones, with their limits. Each acquired call must be released once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallBudget {
    /// The maximum number of calls in flight, by zone.
    limits: BTreeMap<String, u32>,
    in_flight: BTreeMap<String, u32>,
}

impl CallBudget {
    /// Replaces all limits. Calls in flight stay counted against the new limits.
    pub fn set_capacities(&mut self, zones: impl Iterator<Item = ZoneCapacity>) {
        let limit = |zone: &ZoneCapacity| zone.spare_capacity / zone.senders.max(1) as u32;
        self.limits = zones
            .map(|zone| (zone.zone.clone(), limit(&zone)))
            .collect();
    }

    /// Counts a call to a zone as in flight. Returns false, without counting it, if this instance's share of the zone's
    /// capacity is used up.
    #[must_use]
    pub fn try_acquire(&mut self, zone: &str) -> bool {
        let limit = self.limits.get(zone).copied().unwrap_or(0);
        let in_flight = self.in_flight.entry(zone.to_string()).or_insert(0);
        let acquired = *in_flight < limit;
        *in_flight += u32::from(acquired);
        acquired
    }

    /// Releases an acquired call once it has completed, whatever its outcome.
    pub fn release(&mut self, zone: &str) {
        if let Some(in_flight) = self.in_flight.get_mut(zone) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.in_flight.remove(zone);
            }
        }
    }

    /// Returns the number of calls in flight to a zone.
    pub fn in_flight(&self, zone: &str) -> u32 {
        self.in_flight.get(zone).copied().unwrap_or(0)
    }
}
