//! The decision of a zone on how much of its traffic stays, replicated among its instances.
//!
//! Each instance publishes a ballot with its member record: the decision that it has accepted and the level that it
//! prefers. A new decision needs a quorum of the zone's instances that prefer it, counted over all that are known, the
//! dead included: an instance that is cut off alone has no quorum and moves only its own calls. The accepted decision
//! is a max-register: the higher epoch wins, and in one epoch the lower level, so that messages in any order converge
//! on one decision. A decision holds for a minimum time, and a level is preferred only once it was observed for long
//! enough, longer for a recovery than for a failover, so that a flapping replica moves its zone once.

use crate::ALL_TRAFFIC_TENTHS;

/// A decision of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Rises with each decision.
    pub epoch: u64,
    /// Tenths of the zone's traffic that stay in the zone.
    pub local_traffic_tenths: u8,
}

impl Decision {
    /// The state before any decision: all traffic stays.
    pub const FIRST: Decision = Decision {
        epoch: 0,
        local_traffic_tenths: ALL_TRAFFIC_TENTHS,
    };

    /// Whether it wins over another decision: by a higher epoch, or in one epoch by a lower level. Moving traffic away
    /// is the safe side, since the spare capacity of other zones bounds it.
    pub fn supersedes(self, other: Decision) -> bool {
        let lower_level = self.local_traffic_tenths < other.local_traffic_tenths;
        self.epoch > other.epoch || self.epoch == other.epoch && lower_level
    }
}

/// How slowly decisions change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Hysteresis {
    /// A decision holds for at least this long.
    pub minimum_hold_ms: u32,
    /// A lower level is preferred once it was observed for this long.
    pub failover_delay_ms: u32,
    /// A higher level is preferred once it was observed for this long.
    pub recovery_delay_ms: u32,
    /// A level that differs by less from the preferred one changes nothing, unless it is the lowest or the highest.
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

/// What an instance publishes to the others of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ballot {
    /// The decision that it has accepted.
    pub accepted: Decision,
    /// The level that it prefers.
    pub preferred: u8,
}

/// How long another level than the preferred one has been observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Observation {
    for_ms: u32,
    /// Whether that level is lower than the preferred one.
    lower: bool,
}

/// One instance's replica of its zone's decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DecisionRegister {
    hysteresis: Hysteresis,
    accepted: Decision,
    preferred: u8,
    observation: Observation,
    /// Time left in which the accepted decision holds.
    hold_remaining_ms: u32,
    without_quorum: bool,
}

impl DecisionRegister {
    /// A register before any decision. A restarted instance accepts its zone's decision from the others' ballots.
    pub fn new(hysteresis: Hysteresis) -> DecisionRegister {
        let accepted = Decision::FIRST;
        DecisionRegister {
            hysteresis,
            accepted,
            preferred: accepted.local_traffic_tenths,
            observation: Observation::default(),
            hold_remaining_ms: 0,
            without_quorum: false,
        }
    }

    /// The ballot to publish.
    pub fn ballot(&self) -> Ballot {
        Ballot {
            accepted: self.accepted,
            preferred: self.preferred,
        }
    }

    /// The accepted decision.
    pub fn accepted(&self) -> Decision {
        self.accepted
    }

    /// Whether too few instances of the zone are live for a quorum, so that this one moves only its own calls.
    pub fn without_quorum(&self) -> bool {
        self.without_quorum
    }

    /// The level that applies to this instance's calls.
    pub fn local_traffic_tenths(&self) -> u8 {
        if self.without_quorum {
            self.preferred
        } else {
            self.accepted.local_traffic_tenths
        }
    }

    /// Advances by `elapsed_ms`. `observed_level` is the level by the local replica's health, `None` if unknown;
    /// `others` are the last ballots of the zone's other live instances; `zone_size` counts all instances of the zone,
    /// this one and the dead included. Returns a newly accepted decision.
    pub fn step(
        &mut self,
        elapsed_ms: u32,
        observed_level: Option<u8>,
        others: &[Ballot],
        zone_size: usize,
    ) -> Option<Decision> {
        let before = self.accepted;
        self.update_preferred(elapsed_ms, observed_level);
        self.hold_remaining_ms = self.hold_remaining_ms.saturating_sub(elapsed_ms);
        for other in others {
            if other.accepted.supersedes(self.accepted) {
                self.accept(other.accepted);
            }
        }
        self.decide(others, quorum_of(zone_size));
        (self.accepted != before).then_some(self.accepted)
    }

    /// Makes a new decision if a quorum prefers one and the accepted one has held for long enough.
    fn decide(&mut self, others: &[Ballot], quorum: usize) {
        self.without_quorum = 1 + others.len() < quorum;
        if self.without_quorum || self.hold_remaining_ms > 0 {
            return;
        }
        if let Some(local_traffic_tenths) = self.quorum_preferred(others, quorum) {
            self.accept(Decision {
                epoch: self.accepted.epoch + 1,
                local_traffic_tenths,
            });
        }
    }

    fn accept(&mut self, decision: Decision) {
        self.accepted = decision;
        self.hold_remaining_ms = self.hysteresis.minimum_hold_ms;
    }

    fn update_preferred(&mut self, elapsed_ms: u32, observed_level: Option<u8>) {
        let Some(level) = observed_level.filter(|level| self.is_outside_dead_band(*level)) else {
            self.observation.for_ms = 0;
            return;
        };
        let lower = level < self.preferred;
        if lower != self.observation.lower {
            self.observation = Observation { for_ms: 0, lower };
        }
        self.observation.for_ms = self.observation.for_ms.saturating_add(elapsed_ms);
        let delay_ms = if lower {
            self.hysteresis.failover_delay_ms
        } else {
            self.hysteresis.recovery_delay_ms
        };
        if self.observation.for_ms >= delay_ms {
            self.preferred = level;
            self.observation.for_ms = 0;
        }
    }

    fn is_outside_dead_band(&self, level: u8) -> bool {
        let at_an_end = level == 0 || level == ALL_TRAFFIC_TENTHS;
        let difference = level.abs_diff(self.preferred);
        difference > 0 && (at_an_end || difference >= self.hysteresis.dead_band_tenths)
    }

    /// The level furthest from the accepted one that a quorum prefers or exceeds. Two quorums share an instance, so
    /// they can't prefer opposite directions at once.
    fn quorum_preferred(&self, others: &[Ballot], quorum: usize) -> Option<u8> {
        let others_preferred = others.iter().map(|other| other.preferred);
        let mut preferred: Vec<u8> = others_preferred.chain([self.preferred]).collect();
        preferred.sort_unstable();
        let at_most = preferred[quorum - 1];
        let at_least = preferred[preferred.len() - quorum];
        let accepted = self.accepted.local_traffic_tenths;
        if at_most < accepted {
            Some(at_most)
        } else if at_least > accepted {
            Some(at_least)
        } else {
            None
        }
    }
}

/// The majority of a zone's instances.
fn quorum_of(zone_size: usize) -> usize {
    zone_size.max(1) / 2 + 1
}
