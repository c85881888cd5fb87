//! The pool of connections from balancers: how many there may be, and which one leaves when another needs its permit.

use crate::notify::Notify;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Permits kept free for those that come next.
const FREE: usize = 16;
/// A new peer that said nothing whole after this is not spared any more: a first request follows its connection at once,
/// in one piece or two.
const FIRST: Duration = Duration::from_millis(250);

/// What a connection was doing when it was asked to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// It rested. What has come since is a reason to stay.
    Idle,
    /// A part of a request was there.
    Begun,
    /// It was about to end.
    Lingering,
}

/// All connections. Those that wait for a request of their peer are idle; only these are asked to leave.
pub(crate) struct Pool {
    open: Cell<usize>,
    most: usize,
    next: Cell<u64>,
    /// By when they became idle, the longest first.
    idle: RefCell<BTreeMap<u64, Idle>>,
    /// Those that have shut their side and read off what still comes, the longest first. They end by themselves.
    lingering: RefCell<BTreeMap<u64, Sender<Asked>>>,
    freed: Notify,
    /// Told of each that closes, once somebody waits for the last one.
    closed: RefCell<Option<Sender<()>>>,
}

struct Idle {
    /// A whole request came before.
    heard: bool,
    /// A part of a request has come.
    begun: bool,
    since: Instant,
    leave: Sender<Asked>,
}

impl Idle {
    /// Who leaves first: who said nothing for long, then who is slow to say it for the first time, then who rests between
    /// requests or has just come. The last ones are in the midst of a request, and leave only where no permit is left.
    fn rank(&self) -> u8 {
        let slow = !self.heard && self.since.elapsed() >= FIRST;
        match (slow, self.begun) {
            (true, false) => 0,
            (true, true) => 1,
            (false, false) => 2,
            (false, true) => 3,
        }
    }
}

impl Pool {
    pub fn new(most: usize) -> Pool {
        Pool {
            open: Cell::new(0),
            most: most.max(1),
            next: Cell::new(0),
            idle: RefCell::default(),
            lingering: RefCell::default(),
            freed: Notify::new(),
            closed: RefCell::default(),
        }
    }

    /// From now on each connection that closes is told there; a full channel holds what is to be known already.
    pub fn tell_closed(&self, closed: Sender<()>) {
        self.closed.replace(Some(closed));
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether few permits are free.
    pub fn is_scarce(&self) -> bool {
        self.most - self.open.get() < self.reserve()
    }

    fn reserve(&self) -> usize {
        FREE.min(self.most / 4)
    }

    /// Asks one connection to leave where few permits are free or about to be.
    pub fn make_room(&self) {
        let free = self.most - self.open.get();
        if free == 0 {
            if let Some((_, leave)) = self.lingering.borrow_mut().pop_first() {
                // A full channel says so already.
                let _ = leave.try_send(Asked::Lingering);
            }
        }
        let leaving = self.lingering.borrow().len();
        if free + leaving >= self.reserve() {
            return;
        }
        self.ask_one(free + leaving == 0);
    }

    /// Asks the first in rank to leave; one in the midst of a request only if it has to be.
    fn ask_one(&self, must: bool) {
        let mut idle = self.idle.borrow_mut();
        let first = idle.iter().map(|(&number, idle)| (idle.rank(), number)).min();
        let first = first.filter(|&(rank, _)| rank < 3 || must);
        if let Some(leaver) = first.and_then(|(_, number)| idle.remove(&number)) {
            let _ = leaver.leave.try_send(if leaver.begun { Asked::Begun } else { Asked::Idle });
        }
    }

    /// Waits until a permit was given back, or is about to be.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    fn number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        number
    }
}

/// One connection's permit; given back when it is dropped.
pub(crate) struct Permit {
    pool: Rc<Pool>,
    heard: Cell<bool>,
    /// Its number among the idle ones.
    number: Cell<u64>,
    leave: Sender<Asked>,
    told: Receiver<Asked>,
}

impl Permit {
    pub fn take(pool: &Rc<Pool>) -> Option<Permit> {
        (pool.open.get() < pool.most).then(|| {
            pool.open.set(pool.open.get() + 1);
            let (leave, told) = async_channel::bounded(1);
            Permit { pool: pool.clone(), heard: Cell::new(false), number: Cell::new(0), leave, told }
        })
    }

    /// Whether a whole request has come on this connection.
    pub fn was_heard(&self) -> bool {
        self.heard.get()
    }

    pub fn heard(&self) {
        self.heard.set(true);
    }

    /// A part of a request has come while it was idle.
    pub fn begun(&self) {
        if let Some(idle) = self.pool.idle.borrow_mut().get_mut(&self.number.get()) {
            idle.begun = true;
        }
    }

    /// Does what may be broken off when the permit is needed; the error says that it was.
    pub async fn idle<T>(&self, work: impl Future<Output = T>) -> Result<T, Asked> {
        let number = self.pool.number();
        self.number.set(number);
        let idle =
            Idle { heard: self.heard.get(), begun: false, since: Instant::now(), leave: self.leave.clone() };
        self.pool.idle.borrow_mut().insert(number, idle);
        let _entry = Entry(&self.pool.idle, number);
        self.unless_told(work).await
    }

    /// Does the last thing that it does, which counts as an end that is near; broken off where nothing else is left.
    pub async fn linger(&self, work: impl Future<Output = ()>) {
        let number = self.pool.number();
        self.pool.lingering.borrow_mut().insert(number, self.leave.clone());
        // Whoever waits for a permit may take this one.
        self.pool.freed.notify();
        let _entry = Entry(&self.pool.lingering, number);
        // It ends either way.
        let _ = self.unless_told(work).await;
    }

    async fn unless_told<T>(&self, work: impl Future<Output = T>) -> Result<T, Asked> {
        // What was told before is void.
        let _ = self.told.try_recv();
        let told = async {
            // It holds its own sender, so the channel is never closed.
            Err(self.told.recv().await.unwrap_or(Asked::Idle))
        };
        future::or(async { Ok(work.await) }, told).await
    }
}

/// An entry in one of the pool's tables; taken out when it is dropped.
struct Entry<'a, T>(&'a RefCell<BTreeMap<u64, T>>, u64);

impl<T> Drop for Entry<'_, T> {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        self.pool.freed.notify();
        if let Some(closed) = &*self.pool.closed.borrow() {
            let _ = closed.try_send(());
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/pool.rs"]
mod tests;
