//! The timer of a suspicion, shortened by independent confirmations (Lifeguard, section 4.2).

use crate::member::MemberId;
use std::collections::BTreeSet;

/// How long a suspicion lasts and how many confirmations shorten it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspicionTimeout {
    /// The time in which the suspect may refute in any case.
    pub(crate) minimum_ms: u64,
    /// The time without any confirmation.
    pub(crate) maximum_ms: u64,
    /// Confirmations that shorten the time to its minimum.
    pub(crate) expected_confirmations: usize,
}

/// A running suspicion of one member.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    started_at: u64,
    timeout: SuspicionTimeout,
    accusers: BTreeSet<MemberId>,
    declared_dead: bool,
    queried: bool,
}

impl Suspicion {
    /// A suspicion that `accuser` raised at `now`.
    pub(crate) fn new(now: u64, timeout: SuspicionTimeout, accuser: MemberId) -> Suspicion {
        let maximum_ms = timeout.maximum_ms.max(timeout.minimum_ms);
        Suspicion {
            started_at: now,
            timeout: SuspicionTimeout {
                maximum_ms,
                ..timeout
            },
            accusers: BTreeSet::from([accuser]),
            declared_dead: false,
            queried: false,
        }
    }

    /// The first accuser, in the order of ids.
    pub(crate) fn first_accuser(&self) -> Option<&MemberId> {
        self.accusers.first()
    }

    /// Adds an accuser; returns whether it is a new confirmation. Bounded by the expected confirmations.
    pub(crate) fn confirm(&mut self, accuser: MemberId) -> bool {
        if self.accusers.len() > self.timeout.expected_confirmations {
            return false;
        }
        self.accusers.insert(accuser)
    }

    /// Another member's timer has run out, which counts as all confirmations; the minimum time still applies.
    pub(crate) fn declare_dead(&mut self) {
        self.declared_dead = true;
    }

    /// Whether the suspect is to be queried now: once, while two thirds of the minimum time are left.
    pub(crate) fn take_query(&mut self, now: u64) -> bool {
        let due = !self.queried && now + 2 * self.timeout.minimum_ms / 3 >= self.deadline();
        self.queried |= due;
        due
    }

    /// When the suspicion times out: the maximum, falling with the logarithm of confirmations to the minimum.
    pub(crate) fn deadline(&self) -> u64 {
        let SuspicionTimeout {
            minimum_ms,
            maximum_ms,
            expected_confirmations,
        } = self.timeout;
        if expected_confirmations == 0 || self.declared_dead {
            return self.started_at + minimum_ms;
        }
        let confirmations = self.accusers.len().saturating_sub(1) as f64;
        let expected = expected_confirmations as f64;
        let fraction = ((confirmations + 1.0).ln() / (expected + 1.0).ln()).min(1.0);
        let span = maximum_ms as f64 - (maximum_ms - minimum_ms) as f64 * fraction;
        self.started_at + (span as u64).max(minimum_ms)
    }
}
