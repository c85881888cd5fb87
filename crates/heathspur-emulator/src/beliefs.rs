//! Who holds whom alive, against what is true: kept as changes come, so that a large fleet is not walked
//! through at each step.

use heathspur_members::MemberState;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Held {
    Gone,
    Alive,
    Suspect,
}

/// What each member holds of each other.
pub struct Beliefs {
    members: usize,
    up: Vec<bool>,
    held: Vec<Held>,
    wrong: usize,
}

impl Beliefs {
    /// Nobody is up, and nobody knows of anybody.
    pub fn new(members: usize) -> Beliefs {
        Beliefs {
            members,
            up: vec![false; members],
            held: vec![Held::Gone; members * members],
            wrong: 0,
        }
    }

    fn is_wrong(&self, by: usize, of: usize) -> bool {
        let held = self.held[by * self.members + of];
        by != of && self.up[by] && (held == Held::Alive) != self.up[of]
            || by != of && self.up[by] && !self.up[of] && held == Held::Suspect
    }

    /// `by` holds `of` in a new state; `None`: out of its table.
    pub fn set(&mut self, by: usize, of: usize, state: Option<MemberState>) {
        self.wrong -= self.is_wrong(by, of) as usize;
        self.held[by * self.members + of] = match state {
            Some(MemberState::Alive) => Held::Alive,
            Some(MemberState::Suspect) => Held::Suspect,
            Some(MemberState::Dead | MemberState::Left) | None => Held::Gone,
        };
        self.wrong += self.is_wrong(by, of) as usize;
    }

    /// Member `i` starts or stops. One that starts knows of nobody.
    pub fn set_up(&mut self, i: usize, up: bool) {
        for other in 0..self.members {
            self.wrong -= self.is_wrong(i, other) as usize + self.is_wrong(other, i) as usize;
            self.held[i * self.members + other] = Held::Gone;
        }
        self.up[i] = up;
        for other in 0..self.members {
            self.wrong += self.is_wrong(i, other) as usize + self.is_wrong(other, i) as usize;
        }
    }

    /// Whether a member is up.
    pub fn is_up(&self, i: usize) -> bool {
        self.up[i]
    }

    /// Pairs of a running member and another of which it holds what is not so. Zero: one view.
    pub fn wrong(&self) -> usize {
        self.wrong
    }

    /// The same, as a part of all pairs that running members hold, 0 to 1.
    pub fn wrong_share(&self) -> f64 {
        let up = self.up.iter().filter(|up| **up).count();
        self.wrong as f64 / (up * (self.members - 1)).max(1) as f64
    }

    /// Running members that hold `of` gone, and running members but for `of`.
    pub fn know_gone(&self, of: usize) -> (usize, usize) {
        let others = (0..self.members).filter(|&by| by != of && self.up[by]);
        let know = others
            .clone()
            .filter(|&by| self.held[by * self.members + of] == Held::Gone)
            .count();
        (know, others.count())
    }

    /// Whether any running member suspects `of`, or holds it gone.
    pub fn noticed(&self, of: usize) -> bool {
        (0..self.members)
            .any(|by| by != of && self.up[by] && self.held[by * self.members + of] != Held::Alive)
    }
}
