//! A zone's decision, held in common by its instances.
//!
//! Each instance says what it wants and what it holds; both travel with its member record. A new decision needs a
//! quorum of the zone's own instances that want it, counted over all that are known, the dead among them: an
//! instance that is cut off alone sees no quorum and moves only itself. What is held is a register that only rises:
//! the higher epoch wins, and of one epoch the lower level, so that any order of messages ends in one decision.
//! A decision stands for its dwell; and a level is wanted only once it was seen for long enough, longer for the way
//! back, so that a replica that flaps moves its zone once.

use crate::WHOLE;

/// What a zone holds in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Rises with each decision.
    pub epoch: u64,
    /// Tenths of the zone's traffic that stay near, 0 to 10.
    pub near: u8,
}

impl Decision {
    /// Before anything was decided.
    pub const FIRST: Decision = Decision {
        epoch: 0,
        near: WHOLE,
    };

    /// Whether it takes the place of another one: the higher epoch, or the same and less near. Moving away is the
    /// safe side, since the far side is bounded by its spare capacity.
    pub fn replaces(self, other: Decision) -> bool {
        self.epoch > other.epoch || self.epoch == other.epoch && self.near < other.near
    }
}

/// How slowly decisions change. All in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// A decision stands for at least this long.
    pub dwell: u32,
    /// A worse level is wanted once it was seen for this long.
    pub leave: u32,
    /// A better one, for this long.
    pub back: u32,
    /// Levels nearer than this to what is wanted change nothing, but for the way to all and to nothing.
    pub band: u8,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            dwell: 30_000,
            leave: 1_000,
            back: 10_000,
            band: 2,
        }
    }
}

/// What another instance of the zone said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Voice {
    /// What it holds.
    pub held: Decision,
    /// The level that it wants.
    pub wants: u8,
}

/// One instance's part in its zone's decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Register {
    pace: Pace,
    held: Decision,
    wants: u8,
    /// Another level was seen for so long.
    seen: u32,
    /// Whether that level is worse than what is wanted.
    worse: bool,
    /// What is held may not change for so long.
    rest: u32,
    alone: bool,
}

impl Register {
    /// All near, nothing decided. A restarted instance begins so and takes over what its zone holds.
    pub fn new(pace: Pace) -> Register {
        let held = Decision::FIRST;
        Register {
            pace,
            held,
            wants: held.near,
            seen: 0,
            worse: false,
            rest: 0,
            alone: false,
        }
    }

    /// What is said to others.
    pub fn voice(&self) -> Voice {
        Voice {
            held: self.held,
            wants: self.wants,
        }
    }

    /// What the zone holds, as known here.
    pub fn held(&self) -> Decision {
        self.held
    }

    /// Whether no quorum of the zone is heard, so that this instance moves only itself.
    pub fn alone(&self) -> bool {
        self.alone
    }

    /// The level that this instance goes by.
    pub fn near(&self) -> u8 {
        if self.alone {
            self.wants
        } else {
            self.held.near
        }
    }

    /// After `elapsed` milliseconds: the level that the own replica's health speaks for (`None`: not seen), what the
    /// other live instances of the zone said last, and how many instances the zone has in all, this one and the dead
    /// too. Says what is decided or taken over, if that changed.
    pub fn step(
        &mut self,
        elapsed: u32,
        sight: Option<u8>,
        others: &[Voice],
        zone: usize,
    ) -> Option<Decision> {
        self.want(elapsed, sight);
        self.rest = self.rest.saturating_sub(elapsed);
        let before = self.held;
        for other in others {
            if other.held.replaces(self.held) {
                self.held = other.held;
                self.rest = self.pace.dwell;
            }
        }
        let quorum = zone.max(1) / 2 + 1;
        self.alone = 1 + others.len() < quorum;
        if !self.alone && self.rest == 0 {
            if let Some(near) = self.quorum_wants(others, quorum) {
                self.held = Decision {
                    epoch: self.held.epoch + 1,
                    near,
                };
                self.rest = self.pace.dwell;
            }
        }
        (self.held != before).then_some(self.held)
    }

    fn want(&mut self, elapsed: u32, sight: Option<u8>) {
        let Some(level) = sight.filter(|level| *level != self.wants) else {
            self.seen = 0;
            return;
        };
        let end = level == 0 || level == WHOLE;
        if level.abs_diff(self.wants) < self.pace.band && !end {
            self.seen = 0;
            return;
        }
        let worse = level < self.wants;
        if worse != self.worse {
            (self.worse, self.seen) = (worse, 0);
        }
        self.seen = self.seen.saturating_add(elapsed);
        if self.seen
            >= if worse {
                self.pace.leave
            } else {
                self.pace.back
            }
        {
            (self.wants, self.seen) = (level, 0);
        }
    }

    /// The level furthest from what is held that a quorum wants or goes beyond. Two quorums share a member, so they
    /// can't want both ways at once.
    fn quorum_wants(&self, others: &[Voice], quorum: usize) -> Option<u8> {
        let mut wants: Vec<u8> = others
            .iter()
            .map(|other| other.wants)
            .chain([self.wants])
            .collect();
        wants.sort_unstable();
        let at_most = wants[quorum - 1];
        let at_least = wants[wants.len() - quorum];
        match self.held.near {
            near if at_most < near => Some(at_most),
            near if at_least > near => Some(at_least),
            _ => None,
        }
    }
}
