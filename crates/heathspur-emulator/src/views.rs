//! The membership view of every member, compared with the true state of the fleet.
//!
//! The number of wrong entries is updated with each change, so that a large fleet need not be scanned in
//! every step.

use heathspur_members::MemberState;

/// What one member believes of another.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Belief {
    /// Dead, left or unknown.
    Gone,
    Alive,
    Suspect,
}

/// How far the news of a member's end has spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetection {
    /// Running members that consider it gone.
    pub aware: usize,
    /// Running members other than it.
    pub observers: usize,
}

/// The membership views of all members.
pub struct MembershipViews {
    members: usize,
    up: Vec<bool>,
    /// The belief of each observer (row) about each subject (column).
    beliefs: Vec<Belief>,
    wrong: usize,
}

impl MembershipViews {
    /// Views of a fleet in which no member runs and no member knows another.
    pub fn new(members: usize) -> MembershipViews {
        MembershipViews {
            members,
            up: vec![false; members],
            beliefs: vec![Belief::Gone; members * members],
            wrong: 0,
        }
    }

    /// Records the state that `observer` now has for `subject`; `None` if it dropped the entry.
    pub fn record(&mut self, observer: usize, subject: usize, state: Option<MemberState>) {
        self.wrong -= usize::from(self.is_wrong(observer, subject));
        self.beliefs[observer * self.members + subject] = match state {
            Some(MemberState::Alive) => Belief::Alive,
            Some(MemberState::Suspect) => Belief::Suspect,
            Some(MemberState::Dead | MemberState::Left) | None => Belief::Gone,
        };
        self.wrong += usize::from(self.is_wrong(observer, subject));
    }

    /// Records that a member starts or stops; its own view is empty afterwards.
    pub fn set_up(&mut self, member: usize, up: bool) {
        self.wrong -= self.wrong_pairs_with(member);
        let row = member * self.members;
        self.beliefs[row..row + self.members].fill(Belief::Gone);
        self.up[member] = up;
        self.wrong += self.wrong_pairs_with(member);
    }

    /// Whether a member is up.
    pub fn is_up(&self, member: usize) -> bool {
        self.up[member]
    }

    /// Number of members that are up.
    pub fn up_count(&self) -> usize {
        self.up.iter().filter(|up| **up).count()
    }

    /// Number of wrong entries in the views of running members; zero if the views have converged.
    pub fn wrong(&self) -> usize {
        self.wrong
    }

    /// Wrong entries as a share of all entries in the views of running members, 0 to 1.
    pub fn wrong_share(&self) -> f64 {
        let entries = self.up_count() * (self.members - 1);
        self.wrong as f64 / entries.max(1) as f64
    }

    /// How many running members consider `subject` gone.
    pub fn failure_detection(&self, subject: usize) -> FailureDetection {
        let observers = self.observers_of(subject);
        let aware = observers
            .clone()
            .filter(|&observer| self.belief(observer, subject) == Belief::Gone)
            .count();
        FailureDetection {
            aware,
            observers: observers.count(),
        }
    }

    /// Whether any running member suspects `subject` or considers it gone.
    pub fn is_suspected(&self, subject: usize) -> bool {
        self.observers_of(subject)
            .any(|observer| self.belief(observer, subject) != Belief::Alive)
    }

    fn belief(&self, observer: usize, subject: usize) -> Belief {
        self.beliefs[observer * self.members + subject]
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

    /// A running member must be alive in the view, a stopped one gone.
    fn is_wrong(&self, observer: usize, subject: usize) -> bool {
        if observer == subject || !self.up[observer] {
            return false;
        }
        let correct = if self.up[subject] {
            Belief::Alive
        } else {
            Belief::Gone
        };
        self.belief(observer, subject) != correct
    }
}
