//! The seam between fronts and the owner. A front speaks a protocol with callers: it hands in checked requests,
//! each with its caller's way back, and says when a caller is gone; it gets one final answer to each. The owner
//! knows no protocol.
//!
//! What a request costs in memory and connections is told with it (`held_kb`) and by its front's places among the
//! connections ([`ConnectionPool`]).

pub(crate) mod accept;
pub(crate) mod connection_pool;
pub(crate) mod http1;
pub(crate) mod http2;
pub(crate) mod lingering_close;
pub(crate) mod request;
pub(crate) mod request_queue;
pub(crate) mod response;
pub(crate) mod response_buffer;

use crate::frontend::connection_pool::ConnectionPool;
use crate::frontend::response_buffer::ResponseBudget;
use crate::recording::recorded_stream::RecorderHandle;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use heathspur::{ClassId, RequestId, Span, TenantId};
use heathspur_settings::Names;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The name of a try on the wire: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId([u8; 16]);

impl AttemptId {
    pub fn read(text: &[u8]) -> Option<AttemptId> {
        let digits: [u8; 16] = text.try_into().ok()?;
        digits
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(AttemptId(digits))
    }

    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

/// A request as it was read from a connection.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub id: RequestId,
    pub attempt: AttemptId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// Unix microseconds at which it came to the machine.
    pub received_unix_micros: u64,
    /// What tells its repeats: the idempotency key, or what a read is about.
    pub idempotency_key: Option<Bytes>,
    pub has_subject: bool,
    pub is_retry: bool,
    /// How long its caller waits, from `ingress` on, where that is told.
    pub client_timeout: Option<Span>,
    /// Its likely work in seconds, where that is told.
    pub cost_hint: Option<f64>,
    pub queued_memory_kb: f64,
    pub body: Bytes,
    /// The way back to its connection; closed once the caller is gone.
    pub reply: Sender<Answer>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    /// The result of a run.
    Success(Bytes),
    /// This try never ran.
    Rejected {
        retry_after: Option<Span>,
        no_retry: bool,
    },
    /// The run failed.
    Failed,
    /// It was given up.
    DeadlineExceeded,
    /// A request of that name is open already.
    Conflict,
    /// Its idempotency key came with another body before.
    KeyReused,
}

/// What all fronts share with the owner.
pub(crate) struct FrontendContext {
    pub names: Names,
    /// Per class: whether its requests carry an idempotency key, and whether reads have a subject.
    pub keyed: Vec<bool>,
    next_id: Cell<u64>,
    /// What health checks are told.
    pub healthy: Cell<bool>,
    /// Idle connections are closed after this.
    pub idle_timeout: Cell<Span>,
    /// The free value that answers and checks carry, once it is set.
    pub load_signal: Cell<Option<f64>>,
    /// Every answer is the last on its connection.
    pub draining: Cell<bool>,
    /// By when fronts let go of answers that nobody reads, once nothing new is taken.
    pub abandon_responses_at: Cell<Option<Instant>>,
    /// Closed, never sent on, once no new request is taken: idle connections close.
    pub stop_accepting: Receiver<()>,
    /// Where traffic is recorded, if it is.
    pub recorder: Option<Rc<RecorderHandle>>,
    /// The connections of all fronts.
    pub connections: Rc<ConnectionPool>,
    /// The budget for answers that wait for their readers, where fronts share one.
    pub response_budget: Option<Rc<ResponseBudget>>,
}

impl FrontendContext {
    pub fn new(
        names: Names,
        keyed: Vec<bool>,
        idle: Span,
        shutting: Receiver<()>,
        tap: Option<Rc<RecorderHandle>>,
        pool: Rc<ConnectionPool>,
        room: Option<Rc<ResponseBudget>>,
    ) -> FrontendContext {
        FrontendContext {
            names,
            keyed,
            next_id: Cell::new(1),
            healthy: Cell::new(false),
            idle_timeout: Cell::new(idle),
            load_signal: Cell::new(None),
            draining: Cell::new(false),
            abandon_responses_at: Cell::new(None),
            stop_accepting: shutting,
            recorder: tap,
            connections: pool,
            response_budget: room,
        }
    }

    /// A number that no request had before.
    pub fn next_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        RequestId(id)
    }

    /// Ends when nothing new is taken and answers that nobody reads are to be let go of.
    pub async fn responses_abandoned(&self) {
        self.accepting_stopped().await;
        match self.abandon_responses_at.get() {
            Some(at) => drop(Timer::at(at).await),
            None => future::pending().await,
        }
    }

    /// Whether that time has come.
    pub fn are_responses_abandoned(&self) -> bool {
        self.stop_accepting.is_closed()
            && self
                .abandon_responses_at
                .get()
                .is_some_and(|at| at <= Instant::now())
    }

    /// Ends once no new request is taken. The channel is closed then; nothing is ever sent on it.
    pub async fn accepting_stopped(&self) {
        self.stop_accepting.recv().await.unwrap_or(());
    }
}

/// One front's ways to the owner. Each front has a queue of its own, and the owner takes from them by turns.
#[derive(Clone)]
pub(crate) struct FrontendHandle {
    pub context: Rc<FrontendContext>,
    pub requests: Sender<IncomingRequest>,
    /// Requests whose callers are gone.
    pub disconnected: Sender<RequestId>,
}
