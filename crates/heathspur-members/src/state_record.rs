//! What is held of one member, and what a word about it changes: states ordered by incarnations.
//!
//! SWIM (section 4.2) lets a word of death override. Here a death said by another is heard as a suspicion: after
//! a partition heals, each side tells the other that members which answer there are dead.

use crate::member::MemberState;

/// A member's state at an incarnation, held or said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateRecord {
    /// The state.
    pub state: MemberState,
    /// The incarnation, which the member alone raises.
    pub incarnation: u64,
}

/// What a word about a member is to whoever holds a record of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateEffect {
    /// Older than what is held.
    Stale,
    /// What is held already; from the member itself, its load may be new.
    Unchanged,
    /// It lives, at a higher incarnation.
    Alive,
    /// It is accused: a suspicion begins, or one that runs is confirmed.
    Accused {
        /// Whoever says so has waited for its refutation already.
        declared_dead: bool,
    },
    /// It said that it leaves.
    Left,
}

impl StateRecord {
    /// What is said of the member whose record this is.
    pub fn effect_of(self, said: StateRecord) -> UpdateEffect {
        let (newer, older) = (
            said.incarnation > self.incarnation,
            said.incarnation < self.incarnation,
        );
        match said.state {
            MemberState::Alive if newer => UpdateEffect::Alive,
            MemberState::Alive if !older && self.state == MemberState::Alive => {
                UpdateEffect::Unchanged
            }
            MemberState::Suspect | MemberState::Dead if self.state.live() && !older => {
                UpdateEffect::Accused {
                    declared_dead: said.state == MemberState::Dead,
                }
            }
            MemberState::Left if !older && self.state != MemberState::Left => UpdateEffect::Left,
            _ => UpdateEffect::Stale,
        }
    }

    /// The record of a member that is suspected at `incarnation`; `None` where that changes nothing.
    pub fn suspect(self, incarnation: u64) -> Option<StateRecord> {
        let begins = self.state == MemberState::Alive || incarnation > self.incarnation;
        let holds = self.state.live() && incarnation >= self.incarnation;
        (holds && begins).then_some(StateRecord {
            state: MemberState::Suspect,
            incarnation,
        })
    }

    /// The record once a suspicion has run out; only a suspect is taken for dead.
    pub fn expire(self) -> Option<StateRecord> {
        (self.state == MemberState::Suspect).then_some(StateRecord {
            state: MemberState::Dead,
            ..self
        })
    }
}

/// The incarnation by which a member at `own` refutes what is said of itself, if that has to be refuted.
pub fn refuting_incarnation(own: u64, said: StateRecord) -> Option<u64> {
    (said.state != MemberState::Alive && said.incarnation >= own).then(|| said.incarnation + 1)
}
