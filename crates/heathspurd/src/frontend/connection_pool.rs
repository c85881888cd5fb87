//! Permits for connections from load balancers, and the eviction of connections whose permits are needed.
//!
//! Which connection is evicted is decided by [`heathspur_server_core::connection_permits`]; this module notifies the
//! connection's task.

use crate::notify::Notify;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use heathspur_server_core::connection_permits::Permits;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

pub(crate) use heathspur_server_core::connection_permits::ConnectionPhase;

/// Permits, with a channel to notify a connection of its eviction.
type SharedPermits = RefCell<Permits<Sender<ConnectionPhase>>>;

/// The connections of one frontend, or of all.
pub(crate) struct ConnectionPool {
    permits: SharedPermits,
    /// Origin of the times that are passed to `permits`.
    start: Instant,
    /// Notified when a permit was released or is about to be.
    freed: Notify,
    /// Receives a notification for each connection that closes, once the event loop waits for that.
    closed: RefCell<Option<Sender<()>>>,
}

impl ConnectionPool {
    /// Creates a pool with `max_connections` permits, at least one.
    pub fn new(max_connections: usize) -> ConnectionPool {
        ConnectionPool {
            permits: RefCell::new(Permits::new(max_connections)),
            start: Instant::now(),
            freed: Notify::new(),
            closed: RefCell::default(),
        }
    }

    fn notify_closed(&self, closed: Sender<()>) {
        self.closed.replace(Some(closed));
    }

    fn open_connections(&self) -> usize {
        self.permits.borrow().acquired()
    }

    /// Returns whether fewer permits are free than are reserved for new connections.
    pub fn is_scarce(&self) -> bool {
        self.permits.borrow().is_scarce()
    }

    /// Notifies connections of their eviction if too few permits are free or about to be released.
    pub fn reclaim_permits(&self) {
        let now = self.start.elapsed();
        let evictions = self.permits.borrow_mut().evict(now);
        for eviction in evictions.into_iter().flatten() {
            // If the channel is full, the connection has a notification already.
            let _ = eviction.handle.try_send(eviction.phase);
        }
    }

    /// Waits until a permit was released or is about to be.
    pub async fn permit_freed(&self) {
        self.freed.notified().await;
    }
}

/// The pools of the frontends.
pub(crate) struct ConnectionPools {
    /// The pool of HTTP/1.1 connections, and of HTTP/2 connections unless these have a pool of their own.
    pub http1: Rc<ConnectionPool>,
    /// The pool of HTTP/2 connections, if fewer of them than of HTTP/1.1 fit into the memory.
    own_http2: Option<Rc<ConnectionPool>>,
}

impl ConnectionPools {
    /// Creates pools for `max_connections` connections, of which at most `max_http2` are HTTP/2.
    pub fn new(max_connections: usize, max_http2: usize) -> ConnectionPools {
        if max_http2 >= max_connections {
            return ConnectionPools {
                http1: Rc::new(ConnectionPool::new(max_connections)),
                own_http2: None,
            };
        }
        ConnectionPools {
            http1: Rc::new(ConnectionPool::new(max_connections - max_http2)),
            own_http2: Some(Rc::new(ConnectionPool::new(max_http2))),
        }
    }

    /// Returns the pool of HTTP/2 connections.
    pub fn http2(&self) -> &Rc<ConnectionPool> {
        self.own_http2.as_ref().unwrap_or(&self.http1)
    }

    /// Sends a notification to `closed` for each connection that closes from now on, unless the channel
    /// contains one already.
    pub fn notify_closed(&self, closed: &Sender<()>) {
        for pool in self.all() {
            pool.notify_closed(closed.clone());
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.all().map(|pool| pool.open_connections()).sum()
    }

    fn all(&self) -> impl Iterator<Item = &Rc<ConnectionPool>> {
        std::iter::once(&self.http1).chain(&self.own_http2)
    }
}

/// The permit of one connection. Dropping it releases the permit.
pub(crate) struct Permit {
    pool: Rc<ConnectionPool>,
    has_received_request: Cell<bool>,
    /// Token of the connection when it was last idle.
    idle_token: Cell<u64>,
    evict: Sender<ConnectionPhase>,
    evictions: Receiver<ConnectionPhase>,
}

impl Permit {
    /// Acquires a permit. Returns `None` if all are in use.
    pub fn acquire(pool: &Rc<ConnectionPool>) -> Option<Permit> {
        pool.permits.borrow_mut().try_acquire().then(|| {
            let (evict, evictions) = async_channel::bounded(1);
            Permit {
                pool: pool.clone(),
                has_received_request: Cell::new(false),
                idle_token: Cell::new(0),
                evict,
                evictions,
            }
        })
    }

    /// Returns whether a complete request has arrived on this connection.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request.get()
    }

    /// Records that a complete request has arrived.
    pub fn request_received(&self) {
        self.has_received_request.set(true);
    }

    /// Records that a part of a request has arrived while the connection was idle.
    pub fn request_begun(&self) {
        self.pool
            .permits
            .borrow_mut()
            .mark_reading(self.idle_token.get());
    }

    /// Runs `work` while the connection counts as idle.
    ///
    /// # Errors
    ///
    /// Returns the connection's phase if the connection is evicted before `work` is complete.
    pub async fn idle<T>(&self, work: impl Future<Output = T>) -> Result<T, ConnectionPhase> {
        let now = self.pool.start.elapsed();
        let evict = self.evict.clone();
        let token =
            self.pool
                .permits
                .borrow_mut()
                .mark_idle(now, self.has_received_request.get(), evict);
        self.idle_token.set(token);
        let _registration = PhaseRegistration {
            permits: &self.pool.permits,
            remove: Permits::remove_idle,
            token,
        };
        self.until_evicted(work).await
    }

    /// Runs `work`, the connection's last, while the connection counts as lingering. Stops early if the connection is
    /// evicted, which happens when no permit is free.
    pub async fn linger(&self, work: impl Future<Output = ()>) {
        let token = self
            .pool
            .permits
            .borrow_mut()
            .mark_lingering(self.evict.clone());
        // Wakes a task that waits for a permit, which may evict this connection.
        self.pool.freed.notify();
        let _registration = PhaseRegistration {
            permits: &self.pool.permits,
            remove: Permits::remove_lingering,
            token,
        };
        // Evicted or not, the connection is closed next.
        let _ = self.until_evicted(work).await;
    }

    async fn until_evicted<T>(&self, work: impl Future<Output = T>) -> Result<T, ConnectionPhase> {
        // Discards a notification that was sent while the connection was in an earlier phase.
        let _ = self.evictions.try_recv();
        let evicted = async {
            // The permit itself owns a sender, so the channel is never closed.
            Err(self.evictions.recv().await.unwrap_or(ConnectionPhase::Idle))
        };
        future::or(async { Ok(work.await) }, evicted).await
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

/// A connection's registration as idle or lingering. Dropping it removes the registration.
struct PhaseRegistration<'a, F: Fn(&mut Permits<Sender<ConnectionPhase>>, u64)> {
    permits: &'a SharedPermits,
    /// Removes the registration with a token.
    remove: F,
    token: u64,
}

impl<F: Fn(&mut Permits<Sender<ConnectionPhase>>, u64)> Drop for PhaseRegistration<'_, F> {
    fn drop(&mut self) {
        (self.remove)(&mut self.permits.borrow_mut(), self.token);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_pool.rs"]
mod tests;
