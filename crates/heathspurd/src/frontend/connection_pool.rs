//! Permits for connections from load balancers, and the requests to leave that free one for another connection.
//!
//! Which connection has to leave is decided by [`heathspur_server_core::permits`]; this module delivers the decision to
//! the connection's task.

use crate::notify::Notify;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use heathspur_server_core::connection_permits::Permits;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

pub(crate) use heathspur_server_core::connection_permits::ConnectionPhase as LeaveRequest;

type SharedPermits = RefCell<Permits<Sender<LeaveRequest>>>;

/// The connections of all frontends.
pub(crate) struct ConnectionPool {
    permits: SharedPermits,
    /// The origin of the permits' time.
    start: Instant,
    freed: Notify,
    /// Notified of each connection that closes, once the event loop waits for the last one.
    closed: RefCell<Option<Sender<()>>>,
}

impl ConnectionPool {
    pub fn new(max_connections: usize) -> ConnectionPool {
        ConnectionPool {
            permits: RefCell::new(Permits::new(max_connections)),
            start: Instant::now(),
            freed: Notify::new(),
            closed: RefCell::default(),
        }
    }

    /// Notifies `closed` of each connection that closes from now on. A full channel already holds a notification.
    pub fn notify_closed(&self, closed: Sender<()>) {
        self.closed.replace(Some(closed));
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.permits.borrow().acquired()
    }

    /// Whether few permits are free.
    pub fn is_scarce(&self) -> bool {
        self.permits.borrow().is_scarce()
    }

    /// Requests connections to leave where few permits are free or about to be freed.
    pub fn reclaim_permits(&self) {
        let now = self.start.elapsed();
        let leaving = self.permits.borrow_mut().evict(now);
        for eviction in leaving.into_iter().flatten() {
            // A full channel already holds a request.
            let _ = eviction.handle.try_send(eviction.phase);
        }
    }

    /// Waits until a permit was returned or is about to be.
    pub async fn permit_freed(&self) {
        self.freed.notified().await;
    }
}

/// One connection's permit; returned when it is dropped.
pub(crate) struct Permit {
    pool: Rc<ConnectionPool>,
    has_received_request: Cell<bool>,
    /// Its latest entry among the idle connections.
    idle_entry: Cell<u64>,
    leave: Sender<LeaveRequest>,
    leave_requests: Receiver<LeaveRequest>,
}

impl Permit {
    /// `None` where all permits are in use.
    pub fn acquire(pool: &Rc<ConnectionPool>) -> Option<Permit> {
        pool.permits.borrow_mut().try_acquire().then(|| {
            let (leave, leave_requests) = async_channel::bounded(1);
            Permit {
                pool: pool.clone(),
                has_received_request: Cell::new(false),
                idle_entry: Cell::new(0),
                leave,
                leave_requests,
            }
        })
    }

    /// Whether a complete request has arrived on this connection.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request.get()
    }

    /// Notes that a complete request has arrived.
    pub fn request_received(&self) {
        self.has_received_request.set(true);
    }

    /// Notes that a part of a request has arrived while the connection was idle.
    pub fn request_begun(&self) {
        self.pool
            .permits
            .borrow_mut()
            .mark_reading(self.idle_entry.get());
    }

    /// Runs `work` while the connection counts as idle; fails where the connection is requested to leave meanwhile.
    pub async fn idle<T>(&self, work: impl Future<Output = T>) -> Result<T, LeaveRequest> {
        let now = self.pool.start.elapsed();
        let leave = self.leave.clone();
        let entry =
            self.pool
                .permits
                .borrow_mut()
                .mark_idle(now, self.has_received_request.get(), leave);
        self.idle_entry.set(entry);
        let _entry = PermitEntry {
            permits: &self.pool.permits,
            remove: Permits::remove_idle,
            entry,
        };
        self.until_leave_requested(work).await
    }

    /// Runs the connection's last `work` while it counts as about to end; cut short where no other permit is left.
    pub async fn linger(&self, work: impl Future<Output = ()>) {
        let entry = self
            .pool
            .permits
            .borrow_mut()
            .mark_lingering(self.leave.clone());
        // A connection that waits for a permit may get this one.
        self.pool.freed.notify();
        let _entry = PermitEntry {
            permits: &self.pool.permits,
            remove: Permits::remove_lingering,
            entry,
        };
        // The connection ends either way.
        let _ = self.until_leave_requested(work).await;
    }

    async fn until_leave_requested<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, LeaveRequest> {
        // A request from before applied to an earlier state.
        let _ = self.leave_requests.try_recv();
        let leave_requested = async {
            // The permit owns a sender, so the channel is never closed.
            Err(self
                .leave_requests
                .recv()
                .await
                .unwrap_or(LeaveRequest::Idle))
        };
        future::or(async { Ok(work.await) }, leave_requested).await
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

/// An entry among the idle or lingering connections; removed when it is dropped.
struct PermitEntry<'a, F: Fn(&mut Permits<Sender<LeaveRequest>>, u64)> {
    permits: &'a SharedPermits,
    remove: F,
    entry: u64,
}

impl<F: Fn(&mut Permits<Sender<LeaveRequest>>, u64)> Drop for PermitEntry<'_, F> {
    fn drop(&mut self) {
        (self.remove)(&mut self.permits.borrow_mut(), self.entry);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_pool.rs"]
mod tests;
