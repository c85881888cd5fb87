//! State that all frontends share with the event loop.

use crate::frontend::connection_pool::ConnectionPools;
use crate::frontend::response_budget::ResponseBudget;
use crate::recording::RecorderHandle;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use heathspur::{RequestId, Span};
use heathspur_settings::ProtocolNames;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// State shared between the frontends and the event loop. The event loop writes the public cells; the frontends only
/// read them.
pub(crate) struct FrontendContext {
    /// The names of classes, tenants and gauges on the wire.
    pub names: ProtocolNames,
    /// For each class, whether its requests carry an idempotency key; they carry no subject then.
    pub keyed_classes: Vec<bool>,
    next_id: Cell<u64>,
    /// Whether health checks succeed.
    pub healthy: Cell<bool>,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Cell<Span>,
    /// The load signal to send with answers and health checks, once it is set.
    pub load_signal: Cell<Option<f64>>,
    /// Whether the server drains: connections are closed after the answers to the requests received on them.
    pub draining: Cell<bool>,
    /// When frontends drop answers that clients do not read. Applies only once no new requests are accepted.
    pub abandon_responses_at: Cell<Option<Instant>>,
    /// This channel is closed once no new requests are accepted. Nothing is ever sent on it.
    pub stop_accepting: Receiver<()>,
    /// Records traffic, if that is enabled.
    pub recorder: Option<Rc<RecorderHandle>>,
    /// The connections of all frontends.
    pub connections: ConnectionPools,
    /// The memory budget for answers that clients have not read yet, if the frontends share one.
    pub response_budget: Option<Rc<ResponseBudget>>,
}

impl FrontendContext {
    /// Creates the state of a server that is not ready and does not drain.
    pub fn new(
        names: ProtocolNames,
        keyed_classes: Vec<bool>,
        idle_timeout: Span,
        stop_accepting: Receiver<()>,
        recorder: Option<Rc<RecorderHandle>>,
        connections: ConnectionPools,
        response_budget: Option<Rc<ResponseBudget>>,
    ) -> FrontendContext {
        FrontendContext {
            names,
            keyed_classes,
            next_id: Cell::new(1),
            healthy: Cell::new(false),
            idle_timeout: Cell::new(idle_timeout),
            load_signal: Cell::new(None),
            draining: Cell::new(false),
            abandon_responses_at: Cell::new(None),
            stop_accepting,
            recorder,
            connections,
            response_budget,
        }
    }

    /// Returns a request identifier that was not used before.
    pub fn next_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        RequestId(id)
    }

    /// Waits until no new requests are accepted and answers that clients do not read have to be dropped.
    pub async fn responses_abandoned(&self) {
        self.accepting_stopped().await;
        match self.abandon_responses_at.get() {
            Some(at) => drop(Timer::at(at).await),
            None => future::pending().await,
        }
    }

    /// Returns whether [`responses_abandoned`](Self::responses_abandoned) would return at once.
    pub fn are_responses_abandoned(&self) -> bool {
        let abandon_at = self.abandon_responses_at.get();
        self.stop_accepting.is_closed() && abandon_at.is_some_and(|at| at <= Instant::now())
    }

    /// Waits until no new requests are accepted.
    pub async fn accepting_stopped(&self) {
        self.stop_accepting.recv().await.unwrap_or(());
    }
}
