//! The membership view of every member, compared with the true state of the fleet.
//!
//! The number of wrong entries is updated with each change, so that the views of a large fleet need not be scanned in
//! every step.

use heathspur_members::MemberState;

/// The state of a member in another member's view.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ObservedState {
    /// Dead, left or unknown.
    Gone,
    Alive,
    Suspect,
}

/// The number of members that have detected that a member stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetection {
    /// The number of running members that consider it dead or left, or don't have it in their view.
    pub detected_by: usize,
    /// The number of running members other than it.
    pub observers: usize,
}

/// The membership views of all members.
pub struct MembershipViews {
    members: usize,
    up: Vec<bool>,
    /// The state of each subject (column) in the view of each observer (row).
    observed_states: Vec<ObservedState>,
    wrong: usize,
}

impl MembershipViews {
    /// Creates the views of a fleet in which no member runs and all views are empty.
    pub fn new(members: usize) -> MembershipViews {
        MembershipViews {
            members,
            up: vec![false; members],
            observed_states: vec![ObservedState::Gone; members * members],
            wrong: 0,
        }
    }

    /// Records the new state of `subject` in the view of `observer`; `None` if the observer removed the entry.
    pub fn record(&mut self, observer: usize, subject: usize, state: Option<MemberState>) {
        self.wrong -= usize::from(self.is_wrong(observer, subject));
        self.observed_states[observer * self.members + subject] = match state {
            Some(MemberState::Alive) => ObservedState::Alive,
            Some(MemberState::Suspect) => ObservedState::Suspect,
            Some(MemberState::Dead | MemberState::Left) | None => ObservedState::Gone,
        };
        self.wrong += usize::from(self.is_wrong(observer, subject));
    }

    /// Records that a member starts or stops, and clears its view.
    pub fn set_up(&mut self, member: usize, up: bool) {
        self.wrong -= self.wrong_pairs_with(member);
        let row = member * self.members;
        self.observed_states[row..row + self.members].fill(ObservedState::Gone);
        self.up[member] = up;
        self.wrong += self.wrong_pairs_with(member);
    }

    /// Returns whether a member is running.
    pub fn is_up(&self, member: usize) -> bool {
        self.up[member]
    }

    /// Returns the number of running members.
    pub fn up_count(&self) -> usize {
        self.up.iter().filter(|up| **up).count()
    }

    /// Returns the number of wrong entries in the views of running members; zero if the views have converged.
    pub fn wrong(&self) -> usize {
        self.wrong
    }

    /// Returns the share of wrong entries in the views of running members, 0 to 1.
    pub fn wrong_share(&self) -> f64 {
        let entries = self.up_count() * (self.members - 1);
        self.wrong as f64 / entries.max(1) as f64
    }

    /// Returns how many running members have detected that `subject` stopped.
    pub fn failure_detection(&self, subject: usize) -> FailureDetection {
        let observers = self.observers_of(subject);
        let detected_by = observers
            .clone()
            .filter(|&observer| self.observed_state(observer, subject) == ObservedState::Gone)
            .count();
        FailureDetection {
            detected_by,
            observers: observers.count(),
        }
    }

    /// Returns whether any running member suspects `subject` or has detected that it stopped.
    pub fn is_suspected(&self, subject: usize) -> bool {
        self.observers_of(subject)
            .any(|observer| self.observed_state(observer, subject) != ObservedState::Alive)
    }

    fn observed_state(&self, observer: usize, subject: usize) -> ObservedState {
        self.observed_states[observer * self.members + subject]
    }

    fn observers_of(&self, subject: usize) -> impl Iterator<Item = usize> + Clone + '_ {
        (0..self.members).filter(move |&observer| observer != subject && self.up[observer])
    }

    fn wrong_pairs_with(&self, member: usize) -> usize {
        (0..self.members)
            .map(|other| {
                usize::from(self.is_wrong(member, other))
                    + usize::from(self.is_wrong(other, member))
            })
            .sum()
    }

    /// Returns whether an entry is wrong. In a correct view, running members are alive and stopped ones are gone.
    fn is_wrong(&self, observer: usize, subject: usize) -> bool {
        if observer == subject || !self.up[observer] {
            return false;
        }
        let correct = if self.up[subject] {
            ObservedState::Alive
        } else {
            ObservedState::Gone
        };
        self.observed_state(observer, subject) != correct
    }
}
