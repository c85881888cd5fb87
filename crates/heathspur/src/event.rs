//! Events that an admission controller is given, in batches.

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
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// It names the resource that it reads, so that reads of one resource can share a result.
    pub has_subject: bool,
    /// How long its client still waits, where the client states it.
    pub remaining_deadline: Option<Span>,
    /// Its expected work on a standard core, in seconds, where the client states it.
    pub cost_hint: Option<f64>,
    /// Memory that it takes while queued, in kilobytes.
    pub queued_memory_kb: f64,
    /// It is marked as a retry.
    pub is_retry: bool,
    /// Time between its arrival at the machine and this batch.
    pub queueing_delay: Span,
    /// The earlier attempt that this one repeats, as the idempotency store found it.
    pub previous_attempt: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed and may have taken effect.
    Error,
    /// It was rejected before it ran.
    Rejected,
    /// It was abandoned and may have taken effect.
    Timeout,
    /// No connection could be made, so it never ran.
    ConnectFailed,
    /// Its connection broke, and it may have taken effect.
    Reset,
    /// The run was stopped, or ended at a call whose result is no longer needed.
    Cancelled,
    /// It was never begun, because the request had ended already.
    NoLongerNeeded,
}

/// Measurements of the server itself; `None` where it has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Fraction of the cores that were busy recently.
    pub cpu: Option<f64>,
    /// Number of runnable tasks.
    pub runnable: Option<f64>,
    /// Fraction of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
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
        /// How it ended.
        outcome: Outcome,
        /// Time since it began.
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
    /// The server drains; its process stops after the given time.
    Drain(Span),
    /// A timer is due.
    Timer {
        /// The timer's token.
        token: Token,
        /// The server's current gauges.
        gauges: Gauges,
    },
}
