//! Plain types that pass between a server's decisions and whatever carries its traffic.
//!
//! Nothing here decides: settings come in once, events come in batches, actions go out.

use std::ops::{Add, Sub};

/// A point on a clock that only advances, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// The span of so many seconds; what is negative or not a number counts as zero.
    pub fn from_secs(secs: f64) -> Span {
        Span((secs * 1e6).round().max(0.0) as u64)
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    /// The time since `earlier`; zero when that lies ahead.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// Names one try of a request, for the life of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Names a timer to the server that set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless to repeat.
    Idempotent,
    /// Carries an idempotency key: runs once in its window.
    Keyed,
    /// Must never run twice and carries nothing that tells a repeat.
    NonIdempotent,
}

/// How running work can be stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// It cannot.
    #[default]
    None,
    /// It goes back to the hold and starts over.
    Restart,
    /// It keeps its progress and its memory.
    Pause,
}

/// What requests call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Dependency {
    /// Nothing.
    #[default]
    None,
    /// One dependency that all servers share and that can fall over.
    Shared {
        /// This server's part of the calls that it survives, as a mean number in its hands.
        capacity_share: f64,
        /// The period of that mean.
        averaging_window: Span,
        /// How long an abandoned call may stay in its hands.
        abandoned_call_lifetime: Span,
    },
    /// A further tier of servers.
    Tier,
}

/// What callers make of the free value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    /// Nothing; it must not be set.
    #[default]
    None,
    /// They send nothing of a lower rank.
    Level,
    /// Each keeps at most so many requests outstanding.
    Credit,
    /// The probability that they do not pass this server over.
    Weight,
}

/// What the worth of a request is counted by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightUnit {
    /// Each request counts once.
    #[default]
    Request,
    /// Each unit of work counts.
    Work,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this period of the first try earns the full worth.
    pub latency_objective: Span,
    /// The aim is longer by this multiple of the request's own work.
    pub latency_objective_per_work: f64,
    /// How long a client waits in all.
    pub client_timeout: Span,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Part of the worth that a late answer earns.
    pub late_weight: f64,
    /// What a second run would do.
    pub idempotency: Idempotency,
    /// For keyed classes: how long after its arrival a request may come again.
    pub dedup_window: Span,
    /// Requests may call the dependency.
    pub may_call: bool,
    /// Part of the worth kept when a call is left out; 0 where that is not allowed.
    pub degraded_weight: f64,
}

/// A tenant and what it may send.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all servers, within its share.
    pub quota_per_s: f64,
}

/// Everything a server is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's.
    pub over_quota_weight: f64,
    /// What worth is counted by.
    pub weight_unit: WeightUnit,
    /// Servers of this tier in the list when this one started.
    pub servers: u64,
    /// Parties that call this tier.
    pub callers: u64,
    /// Cores of this server.
    pub cores: u64,
    /// Memory in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of its held memory.
    pub run_memory_factor: f64,
    /// Kilobytes of one entry in the table of keys.
    pub dedup_entry_kb: f64,
    /// How running work can be stopped.
    pub preemption: Preemption,
    /// Started only now, and slow yet.
    pub cold_start: bool,
    /// A cold server starts at no less than this part of its speed.
    pub cold_start_capacity: f64,
    /// A cold server is warm after this at the latest.
    pub warm_up: Span,
    /// Running requests a core that a warm server survives.
    pub overload_concurrency: f64,
    /// The period of that mean.
    pub overload_window: Span,
    /// How long past its due time an answer still counts.
    pub answer_slack: Span,
    /// What arrives later than this after the notice to leave must not run.
    pub drain_grace: Span,
    /// What requests call while they run.
    pub dependency: Dependency,
    /// What callers make of the free value.
    pub load_signal: LoadSignal,
    /// Health checks cost real work unless they are answered from store.
    pub costly_health_checks: bool,
    /// How long callers leave a connection idle before they close it.
    pub client_idle_timeout: Span,
    /// How long the answer to a read may serve other requests.
    pub cache_ttl: Span,
    /// The longest advice to stay away that callers honour; `None` where advice is not passed on.
    pub max_retry_after: Option<Span>,
    /// The weight of the worst-served class in the goal, as a part of all weights.
    pub worst_class_weight: f64,
    /// The finest step of the clock between batches.
    pub tick: Span,
}

/// A request that has been read.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// It has a subject, by which reads of one thing are known.
    pub has_subject: bool,
    /// How long its caller still waits, where that is told.
    pub remaining_deadline: Option<Span>,
    /// Its likely work on a standard core, in seconds, where that is told.
    pub cost_hint: Option<f64>,
    /// Kilobytes that it takes while held.
    pub queued_memory_kb: f64,
    /// A further try, where those are marked.
    pub is_retry: bool,
    /// Since when it has been at the machine, as a span before now.
    pub queueing_delay: Span,
    /// The request that this one repeats.
    pub previous_attempt: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed, and may have taken effect.
    Error,
    /// Rejected unexamined: it never ran.
    Rejected,
    /// Abandoned; it may have taken effect.
    Timeout,
    /// Nothing could be contacted: it never ran.
    ConnectFailed,
    /// Interrupted; it may have taken effect.
    Reset,
    /// The run was stopped, or ended at a call that nobody needed any longer.
    Cancelled,
    /// Nothing was begun: the request had ended already.
    NoLongerNeeded,
}

/// What a server measures of itself; absent where it has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Part of the cores that were busy of late.
    pub cpu: Option<f64>,
    /// All that wants a core now.
    pub runnable: Option<f64>,
    /// Part of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request has been read and is held.
    Request(Request),
    /// A run, or the wait for another request's result, has ended.
    RunCompleted {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was begun.
        latency: Span,
    },
    /// A running request cannot go on without a call.
    CallNeeded(RequestId),
    /// A call has come back.
    CallCompleted {
        /// The request.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// Time since it was made.
        latency: Span,
    },
    /// Nobody waits for this request any longer.
    ClientCancelled(RequestId),
    /// This server is to leave service; its process stops after the span.
    Drain(Span),
    /// A timer is due.
    Timer {
        /// Which.
        token: Token,
        /// The server's gauges.
        gauges: Gauges,
    },
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request, or go on with a paused one.
    Run(RequestId),
    /// Stop running work.
    Stop(RequestId),
    /// Answer that the request was turned away: it never ran, or it is safe, so that running it again
    /// elsewhere does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Ask the caller to stay away so long.
        retry_after: Option<Span>,
        /// Ask the caller not to try elsewhere.
        no_retry: bool,
    },
    /// Answer with an error.
    Fail(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Give the call up after this.
        timeout: Span,
    },
    /// Go on without the call.
    SkipCall(RequestId),
    /// Enter a request into the table of keys.
    RetainResult {
        /// The request.
        id: RequestId,
        /// For how long.
        ttl: Span,
    },
    /// Take a request out of the table of keys.
    EvictResult(RequestId),
    /// Answer a held request with the result of the one it repeats.
    ReplayResult(RequestId),
    /// What health checks are told from now on.
    Health {
        /// Fit for traffic.
        healthy: bool,
        /// Answer from this setting alone, at little cost.
        cached: bool,
    },
    /// Set the free value.
    SetLoadSignal(f64),
    /// Close connections that have been idle so long.
    CloseIdleConnections(Span),
    /// Set a timer.
    SetTimer {
        /// Due after this.
        after: Span,
        /// Which.
        token: Token,
    },
    /// A line for the operators' report.
    Log(String),
}
