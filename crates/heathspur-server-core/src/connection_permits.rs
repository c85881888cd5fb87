//! The permits of connections from balancers: how many there may be, and which connection leaves when another needs
//! its permit.

use std::collections::BTreeMap;
use std::time::Duration;

/// Permits kept free for those that come next.
const FREE: usize = 16;
/// A new peer that said nothing whole after this is not spared any more: a first request follows its connection at once,
/// in one piece or two.
const FIRST: Duration = Duration::from_millis(250);

/// What a connection was doing when it was asked to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// It rested. What has come since is a reason to stay.
    Idle,
    /// A part of a request was there.
    Begun,
    /// It was about to end.
    Lingering,
}

/// All permits, with what `T` tells a connection to leave. Connections that wait for a request of their peer are idle;
/// only these and those that linger are asked.
#[derive(Debug)]
pub struct Permits<T> {
    open: usize,
    most: usize,
    next: u64,
    /// By when they became idle, the longest first.
    idle: BTreeMap<u64, Idle<T>>,
    /// Those that have shut their side and read off what still comes, the longest first. They end by themselves.
    lingering: BTreeMap<u64, T>,
}

#[derive(Debug)]
struct Idle<T> {
    /// A whole request came before.
    heard: bool,
    /// A part of a request has come.
    begun: bool,
    since: Duration,
    leave: T,
}

impl<T> Idle<T> {
    /// Who leaves first: who said nothing for long, then who is slow to say it for the first time, then who rests between
    /// requests or has just come. The last ones are in the midst of a request, and leave only where no permit is left.
    fn rank(&self, now: Duration) -> u8 {
        let slow = !self.heard && now.saturating_sub(self.since) >= FIRST;
        match (slow, self.begun) {
            (true, false) => 0,
            (true, true) => 1,
            (false, false) => 2,
            (false, true) => 3,
        }
    }
}

impl<T> Permits<T> {
    /// So many, at least one.
    pub fn new(most: usize) -> Permits<T> {
        Permits {
            open: 0,
            most: most.max(1),
            next: 0,
            idle: BTreeMap::new(),
            lingering: BTreeMap::new(),
        }
    }

    /// Connections that hold a permit.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Takes a permit if one is left.
    pub fn take(&mut self) -> bool {
        let left = self.open < self.most;
        self.open += usize::from(left);
        left
    }

    /// Gives one back that was taken.
    pub fn give_back(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// A connection becomes idle, after a whole request or as a new one; its number until it is idle no more.
    pub fn idle(&mut self, now: Duration, heard: bool, leave: T) -> u64 {
        let number = self.number();
        self.idle.insert(
            number,
            Idle {
                heard,
                begun: false,
                since: now,
                leave,
            },
        );
        number
    }

    /// A part of a request has come on the idle connection of that number.
    pub fn begun(&mut self, number: u64) {
        if let Some(idle) = self.idle.get_mut(&number) {
            idle.begun = true;
        }
    }

    /// It is idle no more, or was asked to leave already.
    pub fn busy(&mut self, number: u64) {
        self.idle.remove(&number);
    }

    /// A connection is about to end; its number until it has.
    pub fn linger(&mut self, leave: T) -> u64 {
        let number = self.number();
        self.lingering.insert(number, leave);
        number
    }

    /// It has ended, or was asked to already.
    pub fn lingered(&mut self, number: u64) {
        self.lingering.remove(&number);
    }

    /// Whether few permits are free.
    pub fn is_scarce(&self) -> bool {
        self.most - self.open < self.reserve()
    }

    fn reserve(&self) -> usize {
        FREE.min(self.most / 4)
    }

    /// Who is to be asked to leave, in this order, where few permits are free or about to be: one that lingers where
    /// none is free, and one that is idle. Who is given here is not given again.
    pub fn make_room(&mut self, now: Duration) -> [Option<(T, Asked)>; 2] {
        let free = self.most - self.open;
        let mut lingering = None;
        if free == 0 {
            lingering = self
                .lingering
                .pop_first()
                .map(|(_, leave)| (leave, Asked::Lingering));
        }
        let leaving = self.lingering.len();
        if free + leaving >= self.reserve() {
            return [lingering, None];
        }
        [lingering, self.ask_one(now, free + leaving == 0)]
    }

    /// The first in rank is to leave; one in the midst of a request only if it has to be.
    fn ask_one(&mut self, now: Duration, must: bool) -> Option<(T, Asked)> {
        let first = self
            .idle
            .iter()
            .map(|(&number, idle)| (idle.rank(now), number))
            .min();
        let (_, number) = first.filter(|&(rank, _)| rank < 3 || must)?;
        let leaver = self.idle.remove(&number)?;
        Some((
            leaver.leave,
            if leaver.begun {
                Asked::Begun
            } else {
                Asked::Idle
            },
        ))
    }

    fn number(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection_permits.rs"]
mod tests;
