//! The state of a member at an incarnation, and the effect of an update on it.
//!
//! In SWIM (section 4.2) a reported death overrides every other state. Here it only starts a suspicion, since after a
//! partition heals each side reports members as dead that the other side still reaches.

use crate::member::MemberState;

/// The state of a member at an incarnation, either known locally or reported by an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateRecord {
    /// The state.
    pub state: MemberState,
    /// The incarnation, which only the member itself raises.
    pub incarnation: u64,
}

/// The effect of a reported record on a known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateEffect {
    /// The report is older than the known record.
    Stale,
    /// The report has the known state and incarnation. If the member itself sent it, its load may be new.
    Unchanged,
    /// The member is alive at a higher incarnation.
    Alive,
    /// The member is accused: a suspicion starts, or a running one is confirmed.
    Accused {
        /// Whether the accuser's own suspicion has timed out already.
        declared_dead: bool,
    },
    /// The member has announced that it leaves.
    Left,
}

impl StateRecord {
    /// Returns the effect of `reported` on this known record.
    pub fn effect_of(self, reported: StateRecord) -> UpdateEffect {
        let newer = reported.incarnation > self.incarnation;
        let older = reported.incarnation < self.incarnation;
        match reported.state {
            MemberState::Alive if newer => UpdateEffect::Alive,
            MemberState::Alive if !older && self.state == MemberState::Alive => {
                UpdateEffect::Unchanged
            }
            MemberState::Suspect | MemberState::Dead if self.state.is_live() && !older => {
                UpdateEffect::Accused {
                    declared_dead: reported.state == MemberState::Dead,
                }
            }
            MemberState::Left if !older && self.state != MemberState::Left => UpdateEffect::Left,
            _ => UpdateEffect::Stale,
        }
    }

    /// Returns the record after a suspicion at `incarnation`; `None` if it changes nothing.
    pub fn suspect(self, incarnation: u64) -> Option<StateRecord> {
        let starts = self.state == MemberState::Alive || incarnation > self.incarnation;
        let applies = self.state.is_live() && incarnation >= self.incarnation;
        (applies && starts).then_some(StateRecord {
            state: MemberState::Suspect,
            incarnation,
        })
    }

    /// Returns the record after a suspicion has timed out; `None` if the member is not suspect.
    pub fn expire(self) -> Option<StateRecord> {
        (self.state == MemberState::Suspect).then_some(StateRecord {
            state: MemberState::Dead,
            ..self
        })
    }
}

/// Returns the incarnation by which a member whose own incarnation is `own` refutes a report about itself; `None` if
/// the report needs no refutation.
pub fn refuting_incarnation(own: u64, reported: StateRecord) -> Option<u64> {
    let accused = reported.state != MemberState::Alive && reported.incarnation >= own;
    accused.then(|| reported.incarnation + 1)
}
