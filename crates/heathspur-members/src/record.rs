//! What is held of one member, and what a word about it changes: states ordered by incarnations.
//!
//! SWIM (section 4.2) lets a word of death override. Here a death said by another is heard as a suspicion: after
//! a partition heals, each side tells the other that members which answer there are dead.

use crate::member::State;

/// A member's state at an incarnation, held or said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    /// The state.
    pub state: State,
    /// The incarnation, which the member alone raises.
    pub incarnation: u64,
}

/// What a word about a member is to whoever holds a record of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Older than what is held.
    Stale,
    /// What is held already; from the member itself, its load may be new.
    Same,
    /// It lives, at a higher incarnation.
    Alive,
    /// It is accused: a suspicion begins, or one that runs is confirmed.
    Accused {
        /// Whoever says so has waited for its refutation already.
        convicted: bool,
    },
    /// It said that it leaves.
    Left,
}

impl Record {
    /// What is said of the member whose record this is.
    pub fn hear(self, said: Record) -> Heard {
        let (newer, older) = (
            said.incarnation > self.incarnation,
            said.incarnation < self.incarnation,
        );
        match said.state {
            State::Alive if newer => Heard::Alive,
            State::Alive if !older && self.state == State::Alive => Heard::Same,
            State::Suspect | State::Dead if self.state.live() && !older => Heard::Accused {
                convicted: said.state == State::Dead,
            },
            State::Left if !older && self.state != State::Left => Heard::Left,
            _ => Heard::Stale,
        }
    }

    /// The record of a member that is suspected at `incarnation`; `None` where that changes nothing.
    pub fn suspect(self, incarnation: u64) -> Option<Record> {
        let begins = self.state == State::Alive || incarnation > self.incarnation;
        let holds = self.state.live() && incarnation >= self.incarnation;
        (holds && begins).then_some(Record {
            state: State::Suspect,
            incarnation,
        })
    }

    /// The record once a suspicion has run out; only a suspect is taken for dead.
    pub fn expire(self) -> Option<Record> {
        (self.state == State::Suspect).then_some(Record {
            state: State::Dead,
            ..self
        })
    }
}

/// The incarnation by which a member at `own` refutes what is said of itself, if that has to be refuted.
pub fn refute(own: u64, said: Record) -> Option<u64> {
    (said.state != State::Alive && said.incarnation >= own).then(|| said.incarnation + 1)
}
