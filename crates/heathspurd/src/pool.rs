//! The connections from balancers: how many there may be, and which one leaves when another needs the room.

use crate::notify::Notify;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

/// Places kept free for those that come next.
const FREE: usize = 16;

/// All connections. Those that wait for a request of their peer rest; only these are asked to leave.
pub(crate) struct Pool {
    open: Cell<usize>,
    most: usize,
    next: Cell<u64>,
    /// By when they began to rest, the longest first.
    resting: RefCell<BTreeMap<u64, Resting>>,
    room: Notify,
    /// Told of each that closes, once somebody waits for the last one.
    closed: RefCell<Option<Sender<()>>>,
}

struct Resting {
    asked: bool,
    leave: Sender<()>,
}

impl Pool {
    pub fn new(most: usize) -> Pool {
        let most = most.max(1);
        Pool {
            open: Cell::new(0),
            most,
            next: Cell::new(0),
            resting: RefCell::default(),
            room: Notify::new(),
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

    /// Asks one connection to leave where few places are free: the one that has rested longest of those that
    /// never sent a whole request, else of all.
    pub fn make_room(&self) {
        if self.open.get() + FREE.min(self.most / 4) <= self.most {
            return;
        }
        let mut resting = self.resting.borrow_mut();
        let unheard = resting.iter().find(|(_, r)| !r.asked).map(|(&number, _)| number);
        let longest = unheard.or_else(|| resting.keys().next().copied());
        if let Some(leaver) = longest.and_then(|number| resting.remove(&number)) {
            // A full channel says so already.
            let _ = leaver.leave.try_send(());
        }
    }

    /// Waits until a place was given back.
    pub async fn room(&self) {
        self.room.notified().await;
    }
}

/// One connection's permit; given back when it is dropped.
pub(crate) struct Permit {
    pool: Rc<Pool>,
    asked: Cell<bool>,
    leave: Sender<()>,
    told: Receiver<()>,
}

impl Permit {
    pub fn take(pool: &Rc<Pool>) -> Option<Permit> {
        (pool.open.get() < pool.most).then(|| {
            pool.open.set(pool.open.get() + 1);
            let (leave, told) = async_channel::bounded(1);
            Permit { pool: pool.clone(), asked: Cell::new(false), leave, told }
        })
    }

    /// Whether a whole request has come on this connection.
    pub fn asked(&self) -> bool {
        self.asked.get()
    }

    pub fn has_asked(&self) {
        self.asked.set(true);
    }

    /// Does what may be broken off when the place is needed; none when it was.
    pub async fn rest<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        // What was told while it did not rest any more is void.
        let _ = self.told.try_recv();
        let pool = &self.pool;
        let number = pool.next.get();
        pool.next.set(number + 1);
        let resting = Resting { asked: self.asked.get(), leave: self.leave.clone() };
        pool.resting.borrow_mut().insert(number, resting);
        let _rest = Rest(pool, number);
        let told = async {
            let _ = self.told.recv().await;
            None
        };
        future::or(async { Some(work.await) }, told).await
    }
}

struct Rest<'a>(&'a Pool, u64);

impl Drop for Rest<'_> {
    fn drop(&mut self) {
        self.0.resting.borrow_mut().remove(&self.1);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        self.pool.room.notify();
        if let Some(closed) = &*self.pool.closed.borrow() {
            let _ = closed.try_send(());
        }
    }
}
