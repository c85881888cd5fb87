//! The choice of a replica for each call: a smooth weighted round robin by the plan's shares, within the call budget.

use crate::call_budget::{CallBudget, ZoneCapacity};
use crate::zone_failover::RoutingPlan;
use crate::ALL_CALLS_THOUSANDTHS;

/// Picks a replica for each call.
#[derive(Clone, Debug)]
pub struct ReplicaPicker {
    zones: Vec<String>,
    /// The index of the local zone.
    home: usize,
    plan: RoutingPlan,
    /// The credit of each replica in the round robin, in thousandths of a call.
    credit: Vec<i64>,
    budget: CallBudget,
}

impl ReplicaPicker {
    /// A picker that keeps all calls in the local zone until there is a plan. `home` is the index of the local zone.
    pub fn new(zones: Vec<String>, home: usize) -> ReplicaPicker {
        ReplicaPicker {
            credit: vec![0; zones.len()],
            plan: RoutingPlan::all_local(zones.len(), home),
            zones,
            home,
            budget: CallBudget::default(),
        }
    }

    /// Sets a new plan. Calls in flight stay counted against its limits; credit from the previous plan is void.
    pub fn set_plan(&mut self, plan: RoutingPlan) {
        let limits = self.zones.iter().zip(&plan.call_limits);
        let capacities = limits.map(|(zone, limit)| ZoneCapacity {
            zone: zone.clone(),
            spare_capacity: *limit,
            // The plan's limits are this instance's share already.
            senders: 1,
        });
        self.budget.set_capacities(capacities);
        self.plan = plan;
        self.credit.fill(0);
    }

    /// The index of the replica for the next call, to be released once the call has completed. `None` if the remote
    /// replica that is due has no capacity, and no other one does: the call is rejected and not kept in the zone.
    #[must_use]
    pub fn pick(&mut self) -> Option<usize> {
        let due = self.take_due_replica()?;
        if due == self.home {
            return Some(due);
        }
        let shares = &self.plan.shares;
        let alternatives = (0..self.zones.len())
            .filter(|&index| index != self.home && index != due && shares[index] > 0);
        [due]
            .into_iter()
            .chain(alternatives)
            .find(|&index| self.budget.try_acquire(&self.zones[index]))
    }

    /// The replica with the most credit, the first one of several, which pays for one call.
    fn take_due_replica(&mut self) -> Option<usize> {
        for (credit, share) in self.credit.iter_mut().zip(&self.plan.shares) {
            *credit += i64::from(*share);
        }
        let indexes = 0..self.credit.len();
        let due = indexes.max_by_key(|&index| (self.credit[index], usize::MAX - index))?;
        self.credit[due] -= i64::from(ALL_CALLS_THOUSANDTHS);
        Some(due)
    }

    /// Releases the replica of a completed call, whatever its outcome.
    pub fn release(&mut self, replica: usize) {
        if replica != self.home {
            self.budget.release(&self.zones[replica]);
        }
    }
}
