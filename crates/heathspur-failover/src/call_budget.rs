//! What may be under way to other zones at once: a far zone takes from others at most what its members report to
//! have spare, shared evenly among the instances that send.

use std::collections::BTreeMap;

/// A far zone's spare capacity as its members report it: the admission's cap less what is in flight, summed.
pub fn spare_capacity(members: impl Iterator<Item = (u32, u32)>) -> u32 {
    members
        .map(|(cap, in_flight)| cap.saturating_sub(in_flight))
        .sum()
}

/// Requests and calls under way to other zones, each given back once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallBudget {
    /// What this instance may have under way, by zone.
    call_limits: BTreeMap<String, u32>,
    in_flight: BTreeMap<String, u32>,
}

impl CallBudget {
    /// A new view: what each zone has spare, and how many instances send there (this one too).
    pub fn set(&mut self, zones: impl Iterator<Item = (String, u32, usize)>) {
        self.call_limits = zones
            .map(|(zone, spare_capacity, senders)| (zone, spare_capacity / senders.max(1) as u32))
            .collect();
    }

    /// Takes a place on the way to a zone; false where it has none left for this instance.
    #[must_use]
    pub fn try_acquire(&mut self, zone: &str) -> bool {
        let call_limits = self.call_limits.get(zone).copied().unwrap_or(0);
        let in_flight = self.in_flight.entry(zone.to_string()).or_insert(0);
        let has = *in_flight < call_limits;
        *in_flight += u32::from(has);
        has
    }

    /// One that was taken has come back, with whatever end.
    pub fn release(&mut self, zone: &str) {
        if let Some(in_flight) = self.in_flight.get_mut(zone) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.in_flight.remove(zone);
            }
        }
    }

    /// What is under way to a zone.
    pub fn in_flight(&self, zone: &str) -> u32 {
        self.in_flight.get(zone).copied().unwrap_or(0)
    }
}
