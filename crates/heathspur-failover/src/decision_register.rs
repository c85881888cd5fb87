//! The decision of a zone on how much of its traffic stays in the zone, replicated among its instances.
//!
//! Each instance publishes a ballot with its member record: the decision that it has accepted, and the level that it
//! prefers. A new decision requires a quorum of the zone's instances that prefer it. The quorum is a majority of all
//! known instances, including dead ones, so a partitioned instance has no quorum and moves only its own calls.
//!
//! The accepted decision is a max-register: the higher epoch supersedes, and within an epoch the lower level. Instances
//! therefore converge on one decision whatever the order of messages.
//!
//! A decision is in force for a minimum time. A level is preferred only once it has been observed for long enough, and
//! longer for a recovery than for a failover. A flapping replica therefore causes a single failover of its zone.

use crate::ALL_TRAFFIC_TENTHS;

/// A decision of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// The number of the decision, which rises with each new one.
    pub epoch: u64,
    /// The part of the zone's traffic that stays in the zone, in tenths.
    pub local_traffic_tenths: u8,
}

impl Decision {
    /// The state before any decision, in which all traffic stays in the zone.
    pub const FIRST: Decision = Decision {
        epoch: 0,
        local_traffic_tenths: ALL_TRAFFIC_TENTHS,
    };

    /// Returns whether this decision supersedes `other`, by a higher epoch or by a lower level in the same epoch. The
    /// lower level is the safe choice, since the spare capacity of other zones limits the traffic that moves.
    pub fn supersedes(self, other: Decision) -> bool {
        let lower_level = self.local_traffic_tenths < other.local_traffic_tenths;
        self.epoch > other.epoch || self.epoch == other.epoch && lower_level
    }
}

/// The delays and the dead band that limit how often decisions change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Hysteresis {
    /// The minimum time for which a decision is in force, in milliseconds.
    pub minimum_hold_ms: u32,
    /// How long a lower level must be observed before it is preferred, in milliseconds.
    pub failover_delay_ms: u32,
    /// How long a higher level must be observed before it is preferred, in milliseconds.
    pub recovery_delay_ms: u32,
    /// The smallest difference from the preferred level that has an effect, in tenths. The lowest and the highest level
    /// have an effect at any difference.
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

/// The vote that an instance publishes to the other instances of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ballot {
    /// The decision that the instance has accepted.
    pub accepted: Decision,
    /// The level that the instance prefers, in tenths.
    pub preferred: u8,
}

/// The time for which a level other than the preferred one has been observed.
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
    /// The remaining time for which the accepted decision must stay in force.
    hold_remaining_ms: u32,
    without_quorum: bool,
}

impl DecisionRegister {
    /// Creates a register before any decision. A restarted instance accepts the decision of its zone from the ballots
    /// of other instances.
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

    /// Returns the ballot to publish.
    pub fn ballot(&self) -> Ballot {
        Ballot {
            accepted: self.accepted,
            preferred: self.preferred,
        }
    }

    /// Returns the accepted decision.
    pub fn accepted(&self) -> Decision {
        self.accepted
    }

    /// Returns whether too few instances of the zone are live for a quorum, so that this one moves only its own calls.
    pub fn without_quorum(&self) -> bool {
        self.without_quorum
    }

    /// Returns the level that applies to the calls of this instance.
    pub fn local_traffic_tenths(&self) -> u8 {
        if self.without_quorum {
            self.preferred
        } else {
            self.accepted.local_traffic_tenths
        }
    }

    /// Advances by `elapsed_ms` and returns the accepted decision if it is a new one.
    ///
    /// `observed_level` is the level that the health of the local replica justifies, `None` if it is unknown. `others`
    /// are the last ballots of the zone's other live instances. `zone_size` is the number of all instances of the zone,
    /// including this one and dead ones.
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

    /// Makes a new decision if a quorum prefers one and the accepted one has been in force for its minimum time.
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
        let at_bound = level == 0 || level == ALL_TRAFFIC_TENTHS;
        let difference = level.abs_diff(self.preferred);
        difference > 0 && (at_bound || difference >= self.hysteresis.dead_band_tenths)
    }

    /// Returns the level furthest from the accepted one that a quorum supports, by preferring that level or one beyond
    /// it. Any two quorums share an instance, so two levels in opposite directions never have a quorum at once.
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

/// Returns the size of a majority of a zone's instances.
fn quorum_of(zone_size: usize) -> usize {
    zone_size.max(1) / 2 + 1
}
