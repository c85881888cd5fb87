//! Events that the host passes to an admission controller, in batches.

use crate::settings::{ClassId, TenantId};
use crate::time::Span;

/// Identifies one attempt of a request, for the lifetime of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a timer to the controller that set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

/// A request that has been read in full.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies this attempt.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant; `None` if it has no tenant.
    pub tenant: Option<TenantId>,
    /// Whether the request names the resource that it reads, so that reads of one resource can
    /// share a result.
    pub has_subject: bool,
    /// Time that the client still waits for an answer; `None` if the client does not state it.
    pub remaining_deadline: Option<Span>,
    /// Expected work on a standard core, in seconds; `None` if the client does not state it.
    pub cost_hint: Option<f64>,
    /// Memory that the request uses while queued, in kilobytes.
    pub queued_memory_kb: f64,
    /// Whether the request is marked as a retry.
    pub is_retry: bool,
    /// Time between the request's arrival at the machine and this batch.
    pub queueing_delay: Span,
    /// The earlier attempt that this one repeats, as found in the idempotency store; `None` for a
    /// first attempt.
    pub previous_attempt: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Ok,
    /// The run or call failed and may have taken effect.
    Error,
    /// The run or call was rejected before it ran.
    Rejected,
    /// The run or call was abandoned after its timeout and may have taken effect.
    Timeout,
    /// No connection could be made, so the run or call never started.
    ConnectFailed,
    /// The connection was lost, and the run or call may have taken effect.
    Reset,
    /// The run was stopped, or ended at a call whose result is no longer needed.
    Cancelled,
    /// The run or call never started, because the request had already ended.
    NoLongerNeeded,
}

/// Measurements of the server itself; a value is `None` if the server has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Fraction of the cores that were recently busy.
    pub cpu: Option<f64>,
    /// Number of runnable tasks.
    pub runnable: Option<f64>,
    /// Fraction of the memory in use. The controller does not use it.
    pub memory: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// Something that happened since the last batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request has been read and waits for a decision.
    Request(Request),
    /// A run, or the wait for another attempt's result, has ended.
    RunCompleted {
        /// The request.
        id: RequestId,
        /// How the run or the wait ended.
        outcome: Outcome,
        /// Time since the run or the wait began.
        latency: Span,
    },
    /// A running request cannot continue without a call to the dependency.
    CallNeeded(RequestId),
    /// A call has ended.
    CallCompleted {
        /// The request that made it.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the call was made.
        latency: Span,
    },
    /// The client no longer waits for this request.
    ClientCancelled(RequestId),
    /// The server starts to drain; its process stops after the given time.
    Drain(Span),
    /// A timer has expired.
    Timer {
        /// The timer's token.
        token: Token,
        /// The server's current gauges.
        gauges: Gauges,
    },
}
