//! What may be under way to other zones at once: a far zone takes from others at most what its members report to
//! have spare, shared evenly among the instances that send.

use std::collections::BTreeMap;

/// A far zone's spare capacity as its members report it: the admission's cap less what is in flight, summed.
pub fn spare(members: impl Iterator<Item = (u32, u32)>) -> u32 {
    members
        .map(|(cap, in_flight)| cap.saturating_sub(in_flight))
        .sum()
}

/// Requests and calls under way to other zones, each given back once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// What this instance may have under way, by zone.
    may: BTreeMap<String, u32>,
    under_way: BTreeMap<String, u32>,
}

impl Budget {
    /// A new view: what each zone has spare, and how many instances send there (this one too).
    pub fn set(&mut self, zones: impl Iterator<Item = (String, u32, usize)>) {
        self.may = zones
            .map(|(zone, spare, senders)| (zone, spare / senders.max(1) as u32))
            .collect();
    }

    /// Takes a place on the way to a zone; false where it has none left for this instance.
    #[must_use]
    pub fn take(&mut self, zone: &str) -> bool {
        let may = self.may.get(zone).copied().unwrap_or(0);
        let under_way = self.under_way.entry(zone.to_string()).or_insert(0);
        let has = *under_way < may;
        *under_way += u32::from(has);
        has
    }

    /// One that was taken has come back, with whatever end.
    pub fn give_back(&mut self, zone: &str) {
        if let Some(under_way) = self.under_way.get_mut(zone) {
            *under_way = under_way.saturating_sub(1);
            if *under_way == 0 {
                self.under_way.remove(zone);
            }
        }
    }

    /// What is under way to a zone.
    pub fn under_way(&self, zone: &str) -> u32 {
        self.under_way.get(zone).copied().unwrap_or(0)
    }
}
