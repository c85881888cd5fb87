//! Actions that an admission controller asks its host to carry out, in order.

use crate::event::{RequestId, Token};
use crate::time::Span;

/// Something for the host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a paused one.
    Run(RequestId),
    /// Stop running work.
    Stop(RequestId),
    /// Answer that the request was rejected: it never ran, or it is idempotent, so that running it
    /// on another server does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Ask the caller to send nothing for this long.
        retry_after: Option<Span>,
        /// Ask the caller not to retry on another server.
        no_retry: bool,
    },
    /// Answer with an error.
    Fail(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Abandon the call after this time.
        timeout: Span,
    },
    /// Continue a run without its call.
    SkipCall(RequestId),
    /// Enter a request into the idempotency store.
    RetainResult {
        /// The request.
        id: RequestId,
        /// How long the entry is kept.
        ttl: Span,
    },
    /// Remove a request from the idempotency store.
    EvictResult(RequestId),
    /// Answer a queued request with the result of the attempt that it repeats.
    ReplayResult(RequestId),
    /// Set the answer to health checks.
    Health {
        /// The server takes traffic.
        healthy: bool,
        /// Answer checks from this state alone, at little cost.
        cached: bool,
    },
    /// Advertise this value of the load signal.
    SetLoadSignal(f64),
    /// Close connections that have been idle for this long.
    CloseIdleConnections(Span),
    /// Set a timer.
    SetTimer {
        /// Time until it is due.
        after: Span,
        /// The token that identifies it.
        token: Token,
    },
    /// Write a line to the operators' log.
    Log(String),
}
