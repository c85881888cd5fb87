//! The seam between the protocol frontends and the event loop.
//!
//! A frontend speaks one protocol with clients. It submits checked requests, each with a channel for its answer,
//! reports clients that have disconnected, and sends exactly one final answer to each request. The event loop knows no
//! protocol.
//!
//! A request's cost in memory travels with it (`queued_memory_kb`); its connection occupies a permit of the
//! [`ConnectionPool`](connection_pool::ConnectionPool).

pub(crate) mod accept;
pub(crate) mod connection_pool;
mod context;
pub(crate) mod header;
pub(crate) mod http1;
pub(crate) mod http2;
pub(crate) mod lingering_close;
pub(crate) mod request;
pub(crate) mod request_queue;
pub(crate) mod response;
pub(crate) mod response_buffer;

pub(crate) use context::FrontendContext;

use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, RequestId, Span, TenantId};
use std::rc::Rc;

/// The client's id of one attempt: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId([u8; 16]);

impl AttemptId {
    /// Parses an id; `None` where the text is not one.
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
    /// Unix microseconds at which it reached the machine.
    pub received_unix_micros: u64,
    /// Identifies its repetitions: the idempotency key, or the subject of a read.
    pub idempotency_key: Option<Bytes>,
    pub has_subject: bool,
    pub is_retry: bool,
    /// How long the client waits from `received_unix_micros` on, where the request says so.
    pub client_timeout: Option<Span>,
    /// Its estimated work in seconds, where the request says so.
    pub cost_hint: Option<f64>,
    pub queued_memory_kb: f64,
    pub body: Bytes,
    /// Receives the answer; closed once the client has disconnected.
    pub reply: Sender<Answer>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    /// The result of a run.
    Success(Bytes),
    /// The attempt never ran.
    Rejected {
        retry_after: Option<Span>,
        no_retry: bool,
    },
    /// The run failed.
    Failed,
    /// Its deadline passed before it completed.
    DeadlineExceeded,
    /// A request with this attempt id is in progress already.
    Conflict,
    /// Its idempotency key was used with another body.
    KeyReused,
}

/// One frontend's channels to the event loop. Each frontend has a request queue of its own, and the event loop takes
/// from the queues in turn.
#[derive(Clone)]
pub(crate) struct FrontendHandle {
    pub context: Rc<FrontendContext>,
    pub requests: Sender<IncomingRequest>,
    /// Requests whose clients have disconnected.
    pub disconnected: Sender<RequestId>,
}
