//! Which replica a call goes to: by the plan's shares in a smooth rotation, and never past the budget.

use crate::spare::Budget;
use crate::zone::Plan;

/// The choice of replicas, call by call.
#[derive(Clone, Debug)]
pub struct Picker {
    zones: Vec<String>,
    home: usize,
    plan: Plan,
    /// What each replica is owed, in thousandths of a call.
    owed: Vec<i64>,
    budget: Budget,
}

impl Picker {
    /// All near until there is a plan.
    pub fn new(zones: Vec<String>, home: usize) -> Picker {
        let mut plan = Plan {
            shares: vec![0; zones.len()],
            may: vec![0; zones.len()],
        };
        plan.shares[home] = 1_000;
        Picker {
            owed: vec![0; zones.len()],
            zones,
            home,
            plan,
            budget: Budget::default(),
        }
    }

    /// A new plan. Calls under way keep their places.
    pub fn set(&mut self, plan: Plan) {
        let zones = self.zones.iter().zip(&plan.may);
        self.budget
            .set(zones.map(|(zone, may)| (zone.clone(), *may, 1)));
        self.plan = plan;
        // What was owed by another plan is void.
        self.owed.fill(0);
    }

    /// The replica for the next call; its place is to be given back once the call is over. `None`: whoever is due
    /// has no room, and the call is turned away rather than pushed on.
    #[must_use]
    pub fn pick(&mut self) -> Option<usize> {
        for (owed, share) in self.owed.iter_mut().zip(&self.plan.shares) {
            *owed += i64::from(*share);
        }
        let due = (0..self.owed.len()).max_by_key(|&at| (self.owed[at], usize::MAX - at))?;
        self.owed[due] -= 1_000;
        if due == self.home {
            return Some(due);
        }
        // Another far one that takes a share may have room where this one has none.
        let far = (0..self.zones.len())
            .filter(|&at| at != self.home && at != due && self.plan.shares[at] > 0);
        [due]
            .into_iter()
            .chain(far)
            .find(|&at| self.budget.take(&self.zones[at]))
    }

    /// A call that was picked is over, with whatever end.
    pub fn give_back(&mut self, replica: usize) {
        if replica != self.home {
            self.budget.give_back(&self.zones[replica]);
        }
    }
}
