//! The pool of connections from balancers: their permits, and how one is told to leave when another needs its own.
//! Which one that is decides [`heathspur_server_core::connection_permits`].

use crate::notify::Notify;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use heathspur_server_core::connection_permits::{Eviction, Permits};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

pub(crate) use heathspur_server_core::connection_permits::ConnectionPhase as Asked;

/// All connections. Who leaves for whom is decided by the permits.
pub(crate) struct Pool {
    permits: RefCell<Permits<Sender<Asked>>>,
    /// The permits' time is what passed since then.
    start: Instant,
    freed: Notify,
    /// Told of each that closes, once somebody waits for the last one.
    closed: RefCell<Option<Sender<()>>>,
}

impl Pool {
    pub fn new(most: usize) -> Pool {
        Pool {
            permits: RefCell::new(Permits::new(most)),
            start: Instant::now(),
            freed: Notify::new(),
            closed: RefCell::default(),
        }
    }

    /// From now on each connection that closes is told there; a full channel holds what is to be known already.
    pub fn tell_closed(&self, closed: Sender<()>) {
        self.closed.replace(Some(closed));
    }

    pub fn open(&self) -> usize {
        self.permits.borrow().acquired()
    }

    /// Whether few permits are free.
    pub fn is_scarce(&self) -> bool {
        self.permits.borrow().is_scarce()
    }

    /// Asks one connection to leave where few permits are free or about to be.
    pub fn make_room(&self) {
        let asked = self.permits.borrow_mut().evict(self.start.elapsed());
        for Eviction {
            handle: leave,
            phase: asked,
        } in asked.into_iter().flatten()
        {
            // A full channel says so already.
            let _ = leave.try_send(asked);
        }
    }

    /// Waits until a permit was given back, or is about to be.
    pub async fn freed(&self) {
        self.freed.notified().await;
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
        pool.permits.borrow_mut().try_acquire().then(|| {
            let (leave, told) = async_channel::bounded(1);
            Permit {
                pool: pool.clone(),
                heard: Cell::new(false),
                number: Cell::new(0),
                leave,
                told,
            }
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
        self.pool
            .permits
            .borrow_mut()
            .mark_reading(self.number.get());
    }

    /// Does what may be broken off when the permit is needed; the error says that it was.
    pub async fn idle<T>(&self, work: impl Future<Output = T>) -> Result<T, Asked> {
        let now = self.pool.start.elapsed();
        let number =
            self.pool
                .permits
                .borrow_mut()
                .mark_idle(now, self.heard.get(), self.leave.clone());
        self.number.set(number);
        let _entry = Entry(&self.pool.permits, Permits::remove_idle, number);
        self.unless_told(work).await
    }

    /// Does the last thing that it does, which counts as an end that is near; broken off where nothing else is left.
    pub async fn linger(&self, work: impl Future<Output = ()>) {
        let number = self
            .pool
            .permits
            .borrow_mut()
            .mark_lingering(self.leave.clone());
        // Whoever waits for a permit may take this one.
        self.pool.freed.notify();
        let _entry = Entry(&self.pool.permits, Permits::remove_lingering, number);
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

/// An entry among the permits; taken out as the function says when it is dropped.
struct Entry<'a, F: Fn(&mut Permits<Sender<Asked>>, u64)>(
    &'a RefCell<Permits<Sender<Asked>>>,
    F,
    u64,
);

impl<F: Fn(&mut Permits<Sender<Asked>>, u64)> Drop for Entry<'_, F> {
    fn drop(&mut self) {
        self.1(&mut self.0.borrow_mut(), self.2);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.permits.borrow_mut().release();
        self.pool.freed.notify();
        if let Some(closed) = &*self.pool.closed.borrow() {
            let _ = closed.try_send(());
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_pool.rs"]
mod tests;
