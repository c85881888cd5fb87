//! Which replica a call goes to: by the plan's shares in a smooth rotation, and never past the budget.

use crate::call_budget::CallBudget;
use crate::zone_failover::RoutingPlan;

/// The choice of replicas, call by call.
#[derive(Clone, Debug)]
pub struct ReplicaPicker {
    zones: Vec<String>,
    home: usize,
    plan: RoutingPlan,
    /// What each replica is owed, in thousandths of a call.
    credit: Vec<i64>,
    budget: CallBudget,
}

impl ReplicaPicker {
    /// All near until there is a plan.
    pub fn new(zones: Vec<String>, home: usize) -> ReplicaPicker {
        let mut plan = RoutingPlan {
            shares: vec![0; zones.len()],
            call_limits: vec![0; zones.len()],
        };
        plan.shares[home] = 1_000;
        ReplicaPicker {
            credit: vec![0; zones.len()],
            zones,
            home,
            plan,
            budget: CallBudget::default(),
        }
    }

    /// A new plan. Calls under way keep their places.
    pub fn set(&mut self, plan: RoutingPlan) {
        let zones = self.zones.iter().zip(&plan.call_limits);
        self.budget
            .set(zones.map(|(zone, call_limits)| (zone.clone(), *call_limits, 1)));
        self.plan = plan;
        // What was owed by another plan is void.
        self.credit.fill(0);
    }

    /// The replica for the next call; its place is to be given back once the call is over. `None`: whoever is due
    /// has no room, and the call is turned away rather than pushed on.
    #[must_use]
    pub fn pick(&mut self) -> Option<usize> {
        for (credit, share) in self.credit.iter_mut().zip(&self.plan.shares) {
            *credit += i64::from(*share);
        }
        let due = (0..self.credit.len()).max_by_key(|&at| (self.credit[at], usize::MAX - at))?;
        self.credit[due] -= 1_000;
        if due == self.home {
            return Some(due);
        }
        // Another far one that takes a share may have room where this one has none.
        let remote = (0..self.zones.len())
            .filter(|&at| at != self.home && at != due && self.plan.shares[at] > 0);
        [due]
            .into_iter()
            .chain(remote)
            .find(|&at| self.budget.try_acquire(&self.zones[at]))
    }

    /// A call that was picked is over, with whatever end.
    pub fn release(&mut self, replica: usize) {
        if replica != self.home {
            self.budget.release(&self.zones[replica]);
        }
    }
}
