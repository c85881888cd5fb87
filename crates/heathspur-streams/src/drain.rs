//! The end of a connection that is to end: GOAWAY in two steps (RFC 9113, section 6.8), and who is still read.
//!
//! First the highest id is named, so that what is on its way is not lost; one round trip later, by PING or by a
//! bound in time, the last one that was read. A caller that goes on after that gets nothing run.

use crate::Time;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Streams are taken.
    Open,
    /// The highest id was named; streams are taken until the round trip is over, or this time.
    Announced(Time),
    /// The last stream is fixed: no more are taken, those that were are answered.
    Last,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing.
    None,
    /// Name the highest id, and ask for the round trip.
    Announce,
    /// The last stream is fixed: refuse what comes after it.
    Fix,
}

/// The drain of one connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Drain {
    stage: Stage,
    /// Microseconds that the round trip may take.
    patience: u64,
}

impl Drain {
    /// A connection that is open. `patience` is how long its round trip is waited for, in microseconds.
    pub fn new(patience: u64) -> Drain {
        Drain {
            stage: Stage::Open,
            patience,
        }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The connection is to end: the server leaves, or it was idle for long, or its place is needed.
    pub fn leave(&mut self, now: Time) -> Step {
        match self.stage {
            Stage::Open => {
                self.stage = Stage::Announced(now.after(self.patience));
                Step::Announce
            }
            Stage::Announced(_) | Stage::Last => Step::None,
        }
    }

    /// The caller has answered the PING: all that it sent before it knew has been read.
    pub fn pong(&mut self) -> Step {
        match self.stage {
            Stage::Announced(_) => self.fix(),
            Stage::Open | Stage::Last => Step::None,
        }
    }

    /// The server takes nothing new any more.
    pub fn shut(&mut self) -> Step {
        match self.stage {
            Stage::Last => Step::None,
            Stage::Open | Stage::Announced(_) => self.fix(),
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) -> Step {
        match self.stage {
            Stage::Announced(until) if until <= now => self.fix(),
            _ => Step::None,
        }
    }

    /// Whether a stream that begins now is read.
    pub fn takes(&self) -> bool {
        self.stage != Stage::Last
    }

    /// Whether the connection can be closed, with so many of its streams open.
    pub fn is_over(&self, open: u32) -> bool {
        self.stage == Stage::Last && open == 0
    }

    /// When it has to be asked again by the clock.
    pub fn next(&self) -> Option<Time> {
        match self.stage {
            Stage::Announced(until) => Some(until),
            Stage::Open | Stage::Last => None,
        }
    }

    fn fix(&mut self) -> Step {
        self.stage = Stage::Last;
        Step::Fix
    }
}
