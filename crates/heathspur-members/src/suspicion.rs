//! The timer of a suspicion, which independent confirmations shorten (Lifeguard, section 4.2).

use crate::member::MemberId;
use std::collections::BTreeSet;

/// The bounds of a suspicion's timeout, and the number of confirmations that shorten it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspicionTimeout {
    /// The timeout after all expected confirmations: the least time that the suspect has to refute.
    pub(crate) minimum_ms: u64,
    /// The timeout without any confirmation.
    pub(crate) maximum_ms: u64,
    /// The number of confirmations that shorten the timeout to its minimum.
    pub(crate) expected_confirmations: usize,
}

/// A running suspicion of one member.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    started_at: u64,
    timeout: SuspicionTimeout,
    accusers: BTreeSet<MemberId>,
    /// Whether another member has declared the suspect dead.
    declared_dead: bool,
    /// Whether the last direct query of the suspect has been sent.
    queried: bool,
}

impl Suspicion {
    /// Starts a suspicion that `accuser` raised at `now`.
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

    /// Returns the first accuser in the order of ids.
    pub(crate) fn first_accuser(&self) -> Option<&MemberId> {
        self.accusers.first()
    }

    /// Adds an accuser and returns whether it is a new confirmation. Accusers beyond the expected number of
    /// confirmations are ignored, which bounds the set.
    pub(crate) fn confirm(&mut self, accuser: MemberId) -> bool {
        if self.accusers.len() > self.timeout.expected_confirmations {
            return false;
        }
        self.accusers.insert(accuser)
    }

    /// Records that another member has declared the suspect dead, which counts as all confirmations. The minimum
    /// timeout still applies.
    pub(crate) fn declare_dead(&mut self) {
        self.declared_dead = true;
    }

    /// Returns whether the suspect is due for its last direct query. It returns true once for a suspicion, when at most
    /// two thirds of the minimum timeout are left.
    pub(crate) fn take_due_query(&mut self, now: u64) -> bool {
        let due = !self.queried && now + 2 * self.timeout.minimum_ms / 3 >= self.deadline();
        self.queried |= due;
        due
    }

    /// Returns when the suspicion times out. The timeout falls from its maximum to its minimum with the logarithm of
    /// the number of confirmations.
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
        let timeout_ms = maximum_ms as f64 - (maximum_ms - minimum_ms) as f64 * fraction;
        self.started_at + (timeout_ms as u64).max(minimum_ms)
    }
}
