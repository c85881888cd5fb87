//! A suspicion's timer, shortened by independent confirmations (Lifeguard, section 4.2).

use crate::member::MemberId;
use std::collections::BTreeSet;

/// One member under suspicion.
#[derive(Clone, Debug)]
pub struct Suspicion {
    started: u64,
    least: u64,
    most: u64,
    expected: usize,
    confirmers: BTreeSet<MemberId>,
    declared_dead: bool,
    /// The suspect was asked for its last word.
    asked: bool,
}

impl Suspicion {
    /// A suspicion raised at `now` by `accuser`, lasting `least` to `most`, shortened by up to `expected` others.
    pub fn new(now: u64, least: u64, most: u64, expected: usize, accuser: MemberId) -> Suspicion {
        let mut confirmers = BTreeSet::new();
        confirmers.insert(accuser);
        Suspicion {
            started: now,
            least,
            most: most.max(least),
            expected,
            confirmers,
            declared_dead: false,
            asked: false,
        }
    }

    /// One of those who accuse.
    pub fn accuser(&self) -> Option<&MemberId> {
        self.confirmers.first()
    }

    /// Another member suspects the same; says whether it was new. Bounded by the expected count.
    pub fn confirm(&mut self, accuser: MemberId) -> bool {
        if self.confirmers.len() > self.expected {
            return false;
        }
        self.confirmers.insert(accuser)
    }

    /// Somebody's timer has run out: as good as all confirmations. The least time still stands, in which the
    /// suspect may refute here.
    pub fn declare_dead(&mut self) {
        self.declared_dead = true;
    }

    /// Whether the suspect is to be asked for its last word now: once, while two thirds of the least time are left.
    pub fn asks(&mut self, now: u64) -> bool {
        let asks = !self.asked && now + 2 * self.least / 3 >= self.deadline();
        self.asked |= asks;
        asks
    }

    /// When the suspect is taken for dead: `most`, falling by the log of confirmations to `least`.
    pub fn deadline(&self) -> u64 {
        let confirmed = self.confirmers.len().saturating_sub(1) as f64;
        if self.expected == 0 || self.declared_dead {
            return self.started + self.least;
        }
        let fraction = ((confirmed + 1.0).ln() / (self.expected as f64 + 1.0).ln()).min(1.0);
        let span = self.most as f64 - (self.most - self.least) as f64 * fraction;
        self.started + (span as u64).max(self.least)
    }
}
