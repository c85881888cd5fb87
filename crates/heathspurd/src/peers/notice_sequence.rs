//! The numbers of the interpreter's notices: which are new, which were taken before, and which can't be. They count
//! up by one, and the last 4,000 are kept for a link that is made again. No I/O.

/// Links that are ended for a number that can't be, with nothing taken between, before it is taken at its word.
const REFUSALS: u32 = 3;
/// Notices that the interpreter keeps. The first that it still has moves on while a link is made again.
const KEPT: u64 = 4_000;

/// What a notice's number says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sight {
    /// The next one.
    Next,
    /// The next one that there is: those between are kept no longer.
    NextKept,
    /// Taken before.
    Old,
    /// Too high to be the next: the link has to end, and what follows the last good one comes again, whole.
    Spoilt,
}

/// Numbers up to now. A copy is tried on a notice, and replaces the count once the notice is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Count {
    last: u64,
    /// Nothing numbered was seen on this link yet, and what was missed may yet come.
    fresh: bool,
    /// The least of the numbers too high to follow `last`, the links that ended for one, and whether the first of
    /// these came at the beginning of a link.
    least: u64,
    refused: u32,
    at_start: bool,
    /// It was seen to leave numbers out, so a jump says nothing.
    skips: bool,
}

impl Count {
    /// The last number that was taken; 0 for none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A new link begins behind the last number.
    pub fn begin_link(&mut self) {
        self.fresh = true;
    }

    /// All that was missed has come: the link has answered a question.
    pub fn caught_up(&mut self) {
        self.fresh = false;
    }

    /// Looks at the next notice's number.
    pub fn see(&mut self, index: u64) -> Sight {
        let fresh = std::mem::replace(&mut self.fresh, false);
        if index <= self.last {
            return Sight::Old;
        }
        if index == self.last + 1 || self.skips {
            self.take(index);
            return Sight::Next;
        }
        // A spoilt line comes again whole. What comes again as it was, or as far on as notices were made meanwhile,
        // is how it is: either more were missed than are kept, or this peer leaves numbers out.
        if fresh && self.refused > 0 && index >= self.least && index - self.least <= KEPT {
            let missed = self.at_start;
            self.skips = !missed;
            self.take(index);
            return if missed { Sight::NextKept } else { Sight::Next };
        }
        self.least = if self.refused == 0 {
            index
        } else {
            self.least.min(index)
        };
        self.at_start = if self.refused == 0 {
            fresh
        } else {
            self.at_start
        };
        self.refused += 1;
        if self.refused > REFUSALS {
            // Never a link that is made again for ever. Upwards spoilt, the least number is the nearest.
            self.take(self.least);
            return Sight::Next;
        }
        Sight::Spoilt
    }

    fn take(&mut self, index: u64) {
        (self.last, self.refused) = (index, 0);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/notice_sequence.rs"]
mod tests;
