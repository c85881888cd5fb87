//! The protocol frontends and their interface to the event loop.
//!
//! A frontend implements one protocol towards clients. It submits validated requests to the event loop, each with a
//! channel for its answer, reports clients that have disconnected, and sends exactly one final answer per request. The
//! event loop is independent of the protocols.
//!
//! Each request carries the memory that it declares (`queued_memory_kb`), and each connection occupies a permit of the
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
pub(crate) mod response_budget;

pub(crate) use context::FrontendContext;

use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, RequestId, Span, TenantId};
use std::rc::Rc;

/// The client's identifier of one attempt: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId([u8; 16]);

impl AttemptId {
    /// Parses an identifier. Returns `None` if the text is not 16 hexadecimal digits.
    pub fn parse(text: &[u8]) -> Option<AttemptId> {
        let digits: [u8; 16] = text.try_into().ok()?;
        digits
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(AttemptId(digits))
    }

    /// Returns the digits as text, as the client sent them.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

/// A validated request that was received on a connection.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    /// The controller's identifier of the request, unique among all frontends.
    pub id: RequestId,
    pub attempt: AttemptId,
    pub class: ClassId,
    /// The tenant, if the settings have tenants.
    pub tenant: Option<TenantId>,
    /// When the request reached the machine, in microseconds since the Unix epoch.
    pub received_unix_micros: u64,
    /// Identifies retries of the same request: the idempotency key, or the subject of a read.
    pub idempotency_key: Option<Bytes>,
    /// Whether the request carries a subject, which is then its `idempotency_key`.
    pub has_subject: bool,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// How long the client waits, counted from `received_unix_micros`, if the request specifies it.
    pub client_timeout: Option<Span>,
    /// Estimated work in seconds, if the request specifies it.
    pub cost_hint: Option<f64>,
    /// Memory that the request declares to occupy while it is queued, in kilobytes.
    pub queued_memory_kb: f64,
    pub body: Bytes,
    /// The channel for the answer. It is closed once the client has disconnected.
    pub reply: Sender<Answer>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    /// The run succeeded with this result.
    Success(Bytes),
    /// The attempt was rejected without having run.
    Rejected {
        /// Delay after which the client should retry.
        retry_after: Option<Span>,
        /// Whether the client should not retry at all.
        no_retry: bool,
    },
    /// The run failed.
    Failed,
    /// The deadline passed before the request completed.
    DeadlineExceeded,
    /// A request with the same attempt identifier is in progress.
    Conflict,
    /// The idempotency key was used before with another body.
    KeyReused,
}

/// One frontend's channels to the event loop. Each frontend has its own request queue; the event loop takes requests
/// from the queues round-robin.
#[derive(Clone)]
pub(crate) struct FrontendHandle {
    pub context: Rc<FrontendContext>,
    /// This frontend's request queue.
    pub requests: Sender<IncomingRequest>,
    /// Requests whose clients have disconnected.
    pub disconnected: Sender<RequestId>,
}
