//! A zone's decision, held in common by its instances.
//!
//! Each instance says what it wants and what it holds; both travel with its member record. A new decision needs a
//! quorum of the zone's own instances that want it, counted over all that are known, the dead among them: an
//! instance that is cut off alone sees no quorum and moves only itself. What is held is a register that only rises:
//! the higher epoch wins, and of one epoch the lower level, so that any order of messages ends in one decision.
//! A decision stands for its dwell; and a level is wanted only once it was seen for long enough, longer for the way
//! back, so that a replica that flaps moves its zone once.

use crate::ALL_TRAFFIC_TENTHS;

/// What a zone holds in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Rises with each decision.
    pub epoch: u64,
    /// Tenths of the zone's traffic that stay near, 0 to 10.
    pub local_traffic_tenths: u8,
}

impl Decision {
    /// Before anything was decided.
    pub const FIRST: Decision = Decision {
        epoch: 0,
        local_traffic_tenths: ALL_TRAFFIC_TENTHS,
    };

    /// Whether it takes the place of another one: the higher epoch, or the same and less near. Moving away is the
    /// safe side, since the far side is bounded by its spare capacity.
    pub fn supersedes(self, other: Decision) -> bool {
        self.epoch > other.epoch
            || self.epoch == other.epoch && self.local_traffic_tenths < other.local_traffic_tenths
    }
}

/// How slowly decisions change. All in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Hysteresis {
    /// A decision stands for at least this long.
    pub minimum_hold_ms: u32,
    /// A worse level is wanted once it was seen for this long.
    pub failover_delay_ms: u32,
    /// A better one, for this long.
    pub recovery_delay_ms: u32,
    /// Levels nearer than this to what is wanted change nothing, but for the way to all and to nothing.
    pub dead_band_tenths: u8,
}

impl Default for Hysteresis {
    fn default() -> Hysteresis {
        Hysteresis {
            minimum_hold_ms: 30_000,
            failover_delay_ms: 1_000,
            recovery_delay_ms: 10_000,
            dead_band_tenths: 2,
        }
    }
}

/// What another instance of the zone said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ballot {
    /// What it holds.
    pub accepted: Decision,
    /// The level that it wants.
    pub preferred: u8,
}

/// One instance's part in its zone's decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DecisionRegister {
    hysteresis: Hysteresis,
    accepted: Decision,
    preferred: u8,
    /// Another level was seen for so long.
    observed_ms: u32,
    /// Whether that level is worse than what is wanted.
    worse: bool,
    /// What is held may not change for so long.
    hold_remaining_ms: u32,
    without_quorum: bool,
}

impl DecisionRegister {
    /// All near, nothing decided. A restarted instance begins so and takes over what its zone holds.
    pub fn new(hysteresis: Hysteresis) -> DecisionRegister {
        let accepted = Decision::FIRST;
        DecisionRegister {
            hysteresis,
            accepted,
            preferred: accepted.local_traffic_tenths,
            observed_ms: 0,
            worse: false,
            hold_remaining_ms: 0,
            without_quorum: false,
        }
    }

    /// What is said to others.
    pub fn ballot(&self) -> Ballot {
        Ballot {
            accepted: self.accepted,
            preferred: self.preferred,
        }
    }

    /// What the zone holds, as known here.
    pub fn accepted(&self) -> Decision {
        self.accepted
    }

    /// Whether no quorum of the zone is heard, so that this instance moves only itself.
    pub fn without_quorum(&self) -> bool {
        self.without_quorum
    }

    /// The level that this instance goes by.
    pub fn local_traffic_tenths(&self) -> u8 {
        if self.without_quorum {
            self.preferred
        } else {
            self.accepted.local_traffic_tenths
        }
    }

    /// After `elapsed` milliseconds: the level that the own replica's health speaks for (`None`: not seen), what the
    /// other live instances of the zone said last, and how many instances the zone has in all, this one and the dead
    /// too. Says what is decided or taken over, if that changed.
    pub fn step(
        &mut self,
        elapsed: u32,
        observed_level: Option<u8>,
        others: &[Ballot],
        zone: usize,
    ) -> Option<Decision> {
        self.update_preferred(elapsed, observed_level);
        self.hold_remaining_ms = self.hold_remaining_ms.saturating_sub(elapsed);
        let before = self.accepted;
        for other in others {
            if other.accepted.supersedes(self.accepted) {
                self.accepted = other.accepted;
                self.hold_remaining_ms = self.hysteresis.minimum_hold_ms;
            }
        }
        let quorum = zone.max(1) / 2 + 1;
        self.without_quorum = 1 + others.len() < quorum;
        if !self.without_quorum && self.hold_remaining_ms == 0 {
            if let Some(local_traffic_tenths) = self.quorum_preferred(others, quorum) {
                self.accepted = Decision {
                    epoch: self.accepted.epoch + 1,
                    local_traffic_tenths,
                };
                self.hold_remaining_ms = self.hysteresis.minimum_hold_ms;
            }
        }
        (self.accepted != before).then_some(self.accepted)
    }

    fn update_preferred(&mut self, elapsed: u32, observed_level: Option<u8>) {
        let Some(level) = observed_level.filter(|level| *level != self.preferred) else {
            self.observed_ms = 0;
            return;
        };
        let end = level == 0 || level == ALL_TRAFFIC_TENTHS;
        if level.abs_diff(self.preferred) < self.hysteresis.dead_band_tenths && !end {
            self.observed_ms = 0;
            return;
        }
        let worse = level < self.preferred;
        if worse != self.worse {
            (self.worse, self.observed_ms) = (worse, 0);
        }
        self.observed_ms = self.observed_ms.saturating_add(elapsed);
        if self.observed_ms
            >= if worse {
                self.hysteresis.failover_delay_ms
            } else {
                self.hysteresis.recovery_delay_ms
            }
        {
            (self.preferred, self.observed_ms) = (level, 0);
        }
    }

    /// The level furthest from what is held that a quorum wants or goes beyond. Two quorums share a member, so they
    /// can't want both ways at once.
    fn quorum_preferred(&self, others: &[Ballot], quorum: usize) -> Option<u8> {
        let mut preferred: Vec<u8> = others
            .iter()
            .map(|other| other.preferred)
            .chain([self.preferred])
            .collect();
        preferred.sort_unstable();
        let at_most = preferred[quorum - 1];
        let at_least = preferred[preferred.len() - quorum];
        match self.accepted.local_traffic_tenths {
            local_traffic_tenths if at_most < local_traffic_tenths => Some(at_most),
            local_traffic_tenths if at_least > local_traffic_tenths => Some(at_least),
            _ => None,
        }
    }
}
