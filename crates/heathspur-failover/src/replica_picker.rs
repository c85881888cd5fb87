//! The choice of a replica for each call: a smooth weighted round robin by the shares of the routing plan, within the
//! call budget.

use crate::call_budget::{CallBudget, ZoneCapacity};
use crate::zone_failover::RoutingPlan;
use crate::ALL_CALLS_THOUSANDTHS;

/// A picker of replicas by a routing plan.
#[derive(Clone, Debug)]
pub struct ReplicaPicker {
    zones: Vec<String>,
    /// The index of the local zone.
    local_index: usize,
    plan: RoutingPlan,
    /// The credit of each replica in the weighted round robin, in thousandths of a call.
    credit: Vec<i64>,
    budget: CallBudget,
}

impl ReplicaPicker {
    /// Creates a picker that routes all calls to the local zone until a plan is set. `local_index` is the index of the
    /// local zone in `zones`.
    pub fn new(zones: Vec<String>, local_index: usize) -> ReplicaPicker {
        ReplicaPicker {
            credit: vec![0; zones.len()],
            plan: RoutingPlan::all_local(zones.len(), local_index),
            zones,
            local_index,
            budget: CallBudget::default(),
        }
    }

    /// Sets a new plan. Calls in flight stay counted against the new limits, and all credit is reset.
    pub fn set_plan(&mut self, plan: RoutingPlan) {
        let limits = self.zones.iter().zip(&plan.call_limits);
        let capacities = limits.map(|(zone, limit)| ZoneCapacity {
            zone: zone.clone(),
            spare_capacity: *limit,
            // The limits of the plan are already the share of this instance.
            senders: 1,
        });
        self.budget.set_capacities(capacities);
        self.plan = plan;
        self.credit.fill(0);
    }

    /// Returns the index of the replica for the next call, which the caller releases once the call has completed.
    ///
    /// Returns `None` if a remote replica is due but neither it nor any other remote replica has capacity. The call is
    /// then rejected instead of being sent to the unhealthy local replica.
    #[must_use]
    pub fn pick(&mut self) -> Option<usize> {
        let due = self.take_due_replica()?;
        if due == self.local_index {
            return Some(due);
        }
        let shares = &self.plan.shares;
        let alternatives = (0..self.zones.len())
            .filter(|&index| index != self.local_index && index != due && shares[index] > 0);
        [due]
            .into_iter()
            .chain(alternatives)
            .find(|&index| self.budget.try_acquire(&self.zones[index]))
    }

    /// Adds each replica's share to its credit, and returns the replica with the most credit after deducting one call
    /// from it. Of several replicas with the same credit it is the first one.
    fn take_due_replica(&mut self) -> Option<usize> {
        for (credit, share) in self.credit.iter_mut().zip(&self.plan.shares) {
            *credit += i64::from(*share);
        }
        let indexes = 0..self.credit.len();
        let due = indexes.max_by_key(|&index| (self.credit[index], usize::MAX - index))?;
        self.credit[due] -= i64::from(ALL_CALLS_THOUSANDTHS);
        Some(due)
    }

    /// Releases the replica of a completed call, whatever the outcome of the call.
    pub fn release(&mut self, replica: usize) {
        if replica != self.local_index {
            self.budget.release(&self.zones[replica]);
        }
    }
}
