//! The state that all frontends share with the event loop.

use crate::frontend::connection_pool::ConnectionPool;
use crate::frontend::response_buffer::ResponseBudget;
use crate::recording::RecorderHandle;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use heathspur::{RequestId, Span};
use heathspur_settings::WireNames;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Shared between the frontends and the event loop. The event loop sets the cells; the frontends only read them.
pub(crate) struct FrontendContext {
    pub names: WireNames,
    /// Per class: whether its requests carry an idempotency key (and reads no subject).
    pub keyed_classes: Vec<bool>,
    next_id: Cell<u64>,
    /// What health checks report.
    pub healthy: Cell<bool>,
    /// Idle connections are closed after this time.
    pub idle_timeout: Cell<Span>,
    /// The load signal that answers and health checks carry, once it is set.
    pub load_signal: Cell<Option<f64>>,
    /// Every answer is the last one on its connection.
    pub draining: Cell<bool>,
    /// When frontends drop answers that clients do not read, once no new requests are accepted.
    pub abandon_responses_at: Cell<Option<Instant>>,
    /// Closed once no new requests are accepted; nothing is ever sent on it.
    pub stop_accepting: Receiver<()>,
    /// Records traffic, where that is enabled.
    pub recorder: Option<Rc<RecorderHandle>>,
    /// The connections of all frontends.
    pub connections: Rc<ConnectionPool>,
    /// The memory budget for answers that wait for their readers, where the frontends share one.
    pub response_budget: Option<Rc<ResponseBudget>>,
}

impl FrontendContext {
    pub fn new(
        names: WireNames,
        keyed_classes: Vec<bool>,
        idle_timeout: Span,
        stop_accepting: Receiver<()>,
        recorder: Option<Rc<RecorderHandle>>,
        connections: Rc<ConnectionPool>,
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

    /// A request id that was not used before.
    pub fn next_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        RequestId(id)
    }

    /// Waits until no new requests are accepted and answers that clients do not read are to be dropped.
    pub async fn responses_abandoned(&self) {
        self.accepting_stopped().await;
        match self.abandon_responses_at.get() {
            Some(at) => drop(Timer::at(at).await),
            None => future::pending().await,
        }
    }

    /// Whether [`responses_abandoned`](Self::responses_abandoned) would return at once.
    pub fn are_responses_abandoned(&self) -> bool {
        let abandon_at = self.abandon_responses_at.get();
        self.stop_accepting.is_closed() && abandon_at.is_some_and(|at| at <= Instant::now())
    }

    /// Waits until no new requests are accepted.
    pub async fn accepting_stopped(&self) {
        self.stop_accepting.recv().await.unwrap_or(());
    }
}
