//! The link to the store.
//!
//! Each call occupies a connection of its own, so a corrupt reply or a broken connection affects only that call. A
//! connection that received one complete reply and nothing else is reused for a short time; abandoning a call closes
//! its connection.

mod connection;
mod pool;

use crate::frontend::AttemptId;
use crate::membership::failover::{Route as ReplicaRoute, Router};
use crate::recording::RecorderHandle;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use bytes::Bytes;
use heathspur::{Outcome, RequestId};
use pool::Pool;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Identifies one call; numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CallId(pub u64);

/// A call to make.
pub(crate) struct Call {
    pub request: RequestId,
    pub call: CallId,
    pub attempt: AttemptId,
    pub timeout_ms: u64,
    pub body: Bytes,
    /// Requires a new connection: the other side may have dropped an idle one, and a connection that breaks under
    /// the call would not prove that the call did not run.
    pub new_connection: bool,
}

/// Reports to the event loop how a call ended; `body` is the reply where the outcome is [`Outcome::Ok`].
#[derive(Debug)]
pub(crate) struct CallCompleted {
    pub request: RequestId,
    pub call: CallId,
    pub outcome: Outcome,
    pub body: Bytes,
}

/// A call in progress and the time that it began.
struct OutgoingCall {
    call: Call,
    started: Instant,
    /// Set once the call may have been written to a connection.
    written: Rc<Cell<bool>>,
}

impl OutgoingCall {
    fn time_left(&self) -> Duration {
        Duration::from_millis(self.call.timeout_ms).saturating_sub(self.started.elapsed())
    }
}

/// Where a call goes.
#[derive(Clone)]
enum Route {
    /// To the store's address as it stands when the call is sent.
    ConfiguredAddress,
    /// To a replica that failover has chosen.
    Replica(Rc<ReplicaRoute>),
    /// Nowhere: no replica may take the call.
    NoCapacity,
}

/// What the link keeps of a call in progress. Dropping the task closes the call's connection.
struct PendingCall {
    task: Task<()>,
    written: Rc<Cell<bool>>,
    route: Route,
}

/// The event loop's end of the link. Its calls are bounded by the requests that wait for one, and its connections by
/// the pool's slots.
pub(crate) struct Link<N> {
    executor: Rc<LocalExecutor<'static>>,
    address: Cell<Option<SocketAddr>>,
    pool: Pool,
    pending: RefCell<HashMap<CallId, PendingCall>>,
    events: Sender<N>,
    /// Router calls by zone; without it all calls go to the one address.
    routes: Option<Rc<Router>>,
}

impl<N: From<CallCompleted> + 'static> Link<N> {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        address: Option<SocketAddr>,
        max_connections: usize,
        events: Sender<N>,
        recorder: Option<Rc<RecorderHandle>>,
        routes: Option<Rc<Router>>,
    ) -> Rc<Link<N>> {
        Rc::new(Link {
            executor,
            address: Cell::new(address),
            pool: Pool::new(max_connections, routes.is_some(), recorder),
            pending: RefCell::default(),
            events,
            routes,
        })
    }

    /// Sends new calls to this address; calls in progress stay where they are.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.address.set(address);
    }

    /// Makes a call; [`CallCompleted`] follows unless the call is abandoned.
    pub fn call(self: &Rc<Self>, call: Call) {
        let id = call.call;
        let route = self.pick_route();
        let written = Rc::new(Cell::new(false));
        let outgoing = OutgoingCall {
            call,
            started: Instant::now(),
            written: written.clone(),
        };
        let (link, task_route) = (self.clone(), route.clone());
        let task = self
            .executor
            .spawn(async move { link.run_call(&outgoing, &task_route).await });
        let pending = PendingCall {
            task,
            written,
            route,
        };
        self.pending.borrow_mut().insert(id, pending);
    }

    fn pick_route(&self) -> Route {
        match &self.routes {
            None => Route::ConfiguredAddress,
            Some(routes) => match routes.pick() {
                Some(replica) => Route::Replica(Rc::new(replica)),
                None => Route::NoCapacity,
            },
        }
    }

    /// Carries a call to its end and reports how it ended.
    async fn run_call(&self, outgoing: &OutgoingCall, route: &Route) {
        let (outcome, body) = match route {
            Route::ConfiguredAddress => self.exchange(outgoing, self.address.get()).await,
            Route::Replica(replica) => {
                let (outcome, body) = self.exchange(outgoing, Some(replica.address())).await;
                replica.complete(outcome);
                (outcome, body)
            }
            // Nothing of the call was sent, so it is proven not to have run.
            Route::NoCapacity => (Outcome::Rejected, Bytes::new()),
        };
        self.detach(outgoing.call.call);
        let completed = CallCompleted {
            request: outgoing.call.request,
            call: outgoing.call.call,
            outcome,
            body,
        };
        // Fails only once the event loop has ended.
        let _ = self.events.send(completed.into()).await;
    }

    /// Makes a call impossible to abandon, since the event loop will learn its outcome.
    fn detach(&self, call: CallId) {
        if let Some(pending) = self.pending.borrow_mut().remove(&call) {
            pending.task.detach();
        }
    }

    /// Abandons a call that took too long, which counts against the replica that it went to.
    pub fn give_up_late(&self, call: CallId) -> Outcome {
        if let Some(pending) = self.pending.borrow().get(&call) {
            if let Route::Replica(replica) = &pending.route {
                replica.complete(Outcome::Timeout);
            }
        }
        self.give_up(call)
    }

    /// Abandons a call, which is not reported any more. The outcome says whether it may have run.
    pub fn give_up(&self, call: CallId) -> Outcome {
        let pending = self.pending.borrow_mut().remove(&call);
        match pending {
            Some(pending) if !pending.written.get() => Outcome::ConnectFailed,
            _ => Outcome::Timeout,
        }
    }

    /// Closes connections that will not be reused.
    pub fn prune(&self) {
        self.pool.close_expired();
    }

    /// Sends a call to `address` and reads its reply.
    async fn exchange(
        &self,
        outgoing: &OutgoingCall,
        address: Option<SocketAddr>,
    ) -> (Outcome, Bytes) {
        let call = &outgoing.call;
        let not_sent = (Outcome::ConnectFailed, Bytes::new());
        let Some(address) = address else {
            return not_sent;
        };
        // Waiting for a slot and connecting count towards the call's timeout.
        let _slot = self.pool.acquire_slot().await;
        let time_left = outgoing.time_left();
        let mut connection = match self.pool.connect(call, address, time_left).await {
            Ok(connection) => connection,
            Err(e) => {
                warn!(error = %e, "no connection to the store: {e}");
                return not_sent;
            }
        };
        outgoing.written.set(true);
        match connection.exchange(call, outgoing.time_left()).await {
            Ok(reply) => {
                if reply.connection_reusable {
                    connection.call_ended(call.attempt);
                    self.pool.put_back(connection);
                }
                (reply.outcome, reply.body)
            }
            Err(e) => {
                warn!(cause = %e, "the store's connection broke under a call: {e}");
                (Outcome::Reset, Bytes::new())
            }
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/store.rs"]
mod tests;
