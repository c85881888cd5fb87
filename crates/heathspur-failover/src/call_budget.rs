//! Limits on calls in flight to other zones: a zone takes from all others at most the spare capacity that its members
//! report, shared evenly among the instances that send there.

use std::collections::BTreeMap;

/// The load that a member reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// The limit of its admission on requests in flight.
    pub concurrency_limit: u32,
    /// Its requests in flight.
    pub in_flight: u32,
}

impl PeerLoad {
    /// Requests that it could take in addition.
    pub fn spare(self) -> u32 {
        self.concurrency_limit.saturating_sub(self.in_flight)
    }
}

/// The spare capacity of a zone, in requests, as the sum over its members.
pub fn spare_capacity(members: impl Iterator<Item = PeerLoad>) -> u32 {
    members.map(PeerLoad::spare).sum()
}

/// The capacity of another zone and the instances that share it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: String,
    /// Requests that it has spare.
    pub spare_capacity: u32,
    /// Instances that send there, this one included.
    pub senders: usize,
}

/// Calls of this instance in flight to other zones, each released once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallBudget {
    /// The most calls in flight, by zone.
    limits: BTreeMap<String, u32>,
    in_flight: BTreeMap<String, u32>,
}

impl CallBudget {
    /// Sets the limits anew. Calls in flight stay counted.
    pub fn set_capacities(&mut self, zones: impl Iterator<Item = ZoneCapacity>) {
        let limit = |zone: &ZoneCapacity| zone.spare_capacity / zone.senders.max(1) as u32;
        self.limits = zones
            .map(|zone| (zone.zone.clone(), limit(&zone)))
            .collect();
    }

    /// Counts a call to a zone as in flight; false if the zone has no capacity left for this instance.
    #[must_use]
    pub fn try_acquire(&mut self, zone: &str) -> bool {
        let limit = self.limits.get(zone).copied().unwrap_or(0);
        let in_flight = self.in_flight.entry(zone.to_string()).or_insert(0);
        let acquired = *in_flight < limit;
        *in_flight += u32::from(acquired);
        acquired
    }

    /// Releases a call that was acquired, whatever its outcome.
    pub fn release(&mut self, zone: &str) {
        if let Some(in_flight) = self.in_flight.get_mut(zone) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.in_flight.remove(zone);
            }
        }
    }

    /// Calls in flight to a zone.
    pub fn in_flight(&self, zone: &str) -> u32 {
        self.in_flight.get(zone).copied().unwrap_or(0)
    }
}
