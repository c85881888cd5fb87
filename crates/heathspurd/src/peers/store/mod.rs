//! The link to the store.
//!
//! Each call in flight has a connection to itself, so a corrupt reply or a broken connection affects only that call. A
//! connection on which one complete reply and nothing else arrived may be reused for a short time. Abandoning a call
//! closes its connection.

mod connection;
mod pool;

use crate::frontend::AttemptId;
use crate::membership::failover::{Route, Router};
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

/// The identifier of a call. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CallId(pub u64);

/// A call to make.
pub(crate) struct Call {
    /// The request whose run needs the call.
    pub request: RequestId,
    pub id: CallId,
    /// The attempt id of the request, by which the store's reply is matched.
    pub attempt: AttemptId,
    /// The time for the call from its start, including the wait for a slot and for the connection. The event loop
    /// abandons the call shortly after it has passed.
    pub timeout_ms: u64,
    /// The body to send, as received from the interpreter.
    pub body: Bytes,
    /// Whether the call requires a new connection, which is so unless the request's class is idempotent. The store may
    /// have silently dropped an idle connection, and if a connection breaks after the call was written, it is unknown
    /// whether the call has run.
    pub new_connection: bool,
}

/// The event that reports the end of a call to the event loop. `body` is the reply if the outcome is [`Outcome::Ok`].
#[derive(Debug)]
pub(crate) struct CallCompleted {
    pub request: RequestId,
    pub call: CallId,
    pub outcome: Outcome,
    pub body: Bytes,
}

/// The state of a call in flight that the call's task owns.
struct OutgoingCall {
    call: Call,
    started: Instant,
    /// Whether the call may have been written to a connection.
    written: Rc<Cell<bool>>,
}

impl OutgoingCall {
    /// Returns the time until the call's timeout.
    fn time_left(&self) -> Duration {
        Duration::from_millis(self.call.timeout_ms).saturating_sub(self.started.elapsed())
    }
}

/// The destination of a call.
#[derive(Clone)]
enum Destination {
    /// The address of the store that is configured at the time when the call is sent.
    ConfiguredAddress,
    /// The replica that failover has selected.
    Replica(Rc<Route>),
    /// No replica has capacity for the call.
    NoCapacity,
}

/// The link's record of a call in flight. Dropping the task closes the call's connection.
struct CallTask {
    task: Task<()>,
    written: Rc<Cell<bool>>,
    destination: Destination,
}

/// The event loop's end of the link. The number of calls is bounded by the number of requests that wait for one, and
/// the number of connections by the pool's slots.
pub(crate) struct Link<N> {
    executor: Rc<LocalExecutor<'static>>,
    address: Cell<Option<SocketAddr>>,
    pool: Pool,
    /// The calls in flight that can be abandoned.
    tasks: RefCell<HashMap<CallId, CallTask>>,
    events: Sender<N>,
    /// Selects a replica for each call if zone failover is enabled. Otherwise, all calls go to `address`.
    router: Option<Rc<Router>>,
}

impl<N: From<CallCompleted> + 'static> Link<N> {
    /// Creates a link that opens at most `max_connections` connections at a time.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        address: Option<SocketAddr>,
        max_connections: usize,
        events: Sender<N>,
        recorder: Option<Rc<RecorderHandle>>,
        router: Option<Rc<Router>>,
    ) -> Rc<Link<N>> {
        Rc::new(Link {
            executor,
            address: Cell::new(address),
            pool: Pool::new(max_connections, router.is_some(), recorder),
            tasks: RefCell::default(),
            events,
            router,
        })
    }

    /// Sets the address for new calls. Calls in flight are not affected.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.address.set(address);
    }

    /// Returns whether a call is carried out only if its run waits for it. The platform's store checks that; the replicas
    /// between which failover selects know nothing of runs.
    pub fn requires_waiting_run(&self) -> bool {
        self.router.is_none()
    }

    /// Starts a call. A [`CallCompleted`] event follows unless the call is abandoned.
    pub fn call(self: &Rc<Self>, call: Call) {
        let id = call.id;
        let destination = self.pick_destination();
        let written = Rc::new(Cell::new(false));
        let outgoing = OutgoingCall {
            call,
            started: Instant::now(),
            written: written.clone(),
        };
        let (link, task_destination) = (self.clone(), destination.clone());
        let task = self
            .executor
            .spawn(async move { link.run_call(&outgoing, &task_destination).await });
        let call_task = CallTask {
            task,
            written,
            destination,
        };
        self.tasks.borrow_mut().insert(id, call_task);
    }

    /// Selects the destination of the next call.
    fn pick_destination(&self) -> Destination {
        match &self.router {
            None => Destination::ConfiguredAddress,
            Some(router) => match router.pick() {
                Some(route) => Destination::Replica(Rc::new(route)),
                None => Destination::NoCapacity,
            },
        }
    }

    /// Performs a call and reports its outcome to the event loop.
    async fn run_call(&self, outgoing: &OutgoingCall, destination: &Destination) {
        let (outcome, body) = match destination {
            Destination::ConfiguredAddress => self.exchange(outgoing, self.address.get()).await,
            Destination::Replica(route) => {
                let (outcome, body) = self.exchange(outgoing, Some(route.address())).await;
                route.complete(outcome);
                (outcome, body)
            }
            // No part of the call was sent, so it cannot have run.
            Destination::NoCapacity => (Outcome::Rejected, Bytes::new()),
        };
        self.detach(outgoing.call.id);
        let completed = CallCompleted {
            request: outgoing.call.request,
            call: outgoing.call.id,
            outcome,
            body,
        };
        // Sending fails only after the event loop has ended.
        let _ = self.events.send(completed.into()).await;
    }

    /// Removes a completed call from those that can be abandoned, and lets its task report the outcome.
    fn detach(&self, call: CallId) {
        if let Some(call_task) = self.tasks.borrow_mut().remove(&call) {
            call_task.task.detach();
        }
    }

    /// Abandons a call that timed out, and counts the timeout as a failure of the call's replica. Returns the same as
    /// [`abandon`](Link::abandon).
    pub fn abandon_timed_out(&self, call: CallId) -> Outcome {
        if let Some(call_task) = self.tasks.borrow().get(&call) {
            if let Destination::Replica(route) = &call_task.destination {
                route.complete(Outcome::Timeout);
            }
        }
        self.abandon(call)
    }

    /// Abandons a call, whose outcome is then not reported. Returns [`Outcome::ConnectFailed`] if the call cannot have
    /// run because it was never written to a connection, otherwise [`Outcome::Timeout`].
    pub fn abandon(&self, call: CallId) -> Outcome {
        let call_task = self.tasks.borrow_mut().remove(&call);
        match call_task {
            Some(call_task) if !call_task.written.get() => Outcome::ConnectFailed,
            _ => Outcome::Timeout,
        }
    }

    /// Closes the idle connections whose reuse window has passed.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Sends a call to `address` and reads its reply. Without an address, the call fails.
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
        // The time spent waiting for a slot and connecting counts towards the call's timeout.
        let _slot = self.pool.acquire_slot().await;
        let time_left = outgoing.time_left();
        let mut connection = match self.pool.connect(call, address, time_left).await {
            Ok(connection) => connection,
            Err(e) => {
                warn!(error = %e, "cannot connect to the store at {address}: {e}");
                return not_sent;
            }
        };
        outgoing.written.set(true);
        match connection.exchange(call, outgoing.time_left()).await {
            Ok(reply) => {
                if reply.connection_reusable {
                    connection.record_call_end(call.attempt);
                    self.pool.put_back(connection);
                }
                (reply.outcome, reply.body)
            }
            Err(e) => {
                warn!(cause = %e, "connection to the store at {address} failed during a call: {e}");
                (Outcome::Reset, Bytes::new())
            }
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/store.rs"]
mod tests;
