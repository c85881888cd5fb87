//! Actions that an admission controller requests from its host, which carries them out in order.

use crate::event::{RequestId, Token};
use crate::time::Span;

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a paused one.
    Run(RequestId),
    /// Stop a running request.
    Stop(RequestId),
    /// Reject a request that never ran or is idempotent, so that another server can safely run it.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller is asked not to send requests; `None` for no such advice.
        retry_after: Option<Span>,
        /// Whether the caller is asked not to retry on another server.
        no_retry: bool,
    },
    /// Answer a request with an error, since it may have taken effect and cannot be rejected.
    Fail(RequestId),
    /// Make the call to the dependency that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Time after which the call is abandoned.
        timeout: Span,
    },
    /// Continue a run without its call.
    SkipCall(RequestId),
    /// Add an entry for a request to the idempotency store.
    RetainResult {
        /// The request.
        id: RequestId,
        /// How long the entry is retained.
        ttl: Span,
    },
    /// Remove a request's entry from the idempotency store.
    EvictResult(RequestId),
    /// Answer a queued request with the result of the attempt that it repeats.
    ReplayResult(RequestId),
    /// Set the answer to health checks.
    Health {
        /// Whether the server accepts traffic.
        healthy: bool,
        /// Whether health checks are answered from this state, without the work of a full check.
        cached: bool,
    },
    /// Advertise this value to callers. Its meaning and bounds are those of the settings'
    /// [`LoadSignal`](crate::LoadSignal).
    SetLoadSignal(f64),
    /// Set the idle timeout after which client connections are closed.
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
