//! Settings of an admission controller: request classes, tenants, capacity and limits.
//!
//! Settings are read once, when the controller is created.

use crate::time::Span;

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// Carries an idempotency key and must run at most once in the class's deduplication window.
    Keyed,
    /// Must not run twice and carries no key by which a retry could be recognized.
    NonIdempotent,
}

/// How running work can be preempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// Running work cannot be stopped.
    #[default]
    None,
    /// A stopped run returns to its queue and restarts from the beginning.
    Restart,
    /// A stopped run keeps its progress and its memory.
    Pause,
}

/// The downstream service that requests call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Dependency {
    /// Requests make no calls.
    #[default]
    None,
    /// One dependency shared by all servers, which fails when overloaded.
    Shared {
        /// This server's share of the dependency's capacity, as a mean number of concurrent calls.
        capacity_share: f64,
        /// The window over which the mean number of concurrent calls is taken.
        averaging_window: Span,
        /// How long the dependency may continue to work on an abandoned call.
        abandoned_call_lifetime: Span,
    },
    /// A downstream tier of servers that does its own admission control.
    Tier,
}

/// How callers interpret the load signal that this server advertises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    /// Callers ignore the signal, and the server must not set it.
    #[default]
    None,
    /// Admission level, from 0 to 1: callers send no requests whose priority rank is lower.
    Level,
    /// Credit, in requests: each caller has at most this many requests outstanding.
    Credit,
    /// Load-balancing weight, from 0 to 1: the probability that a caller does not skip this server.
    Weight,
}

/// The unit to which a priority weight applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightUnit {
    /// The weight applies once to each request.
    #[default]
    Request,
    /// The weight applies to each unit of a request's work.
    Work,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of the first attempt earns the full weight.
    pub latency_objective: Span,
    /// The objective is extended by this multiple of the request's own work.
    pub latency_objective_per_work: f64,
    /// Total time that a client waits for an answer, over all attempts of a request.
    pub client_timeout: Span,
    /// Weight of an answer within the latency objective, relative to the other classes.
    pub priority_weight: f64,
    /// Fraction of the weight that a late answer earns.
    pub late_weight: f64,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// How long after its arrival a request of a keyed class may be retried under its key.
    pub dedup_window: Span,
    /// Whether requests of the class may call the dependency.
    pub may_call: bool,
    /// Fraction of the weight that an answer without its call earns; 0 if calls cannot be skipped.
    pub degraded_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all servers, that are within the tenant's quota.
    pub quota_per_s: f64,
}

/// The settings of an admission controller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; empty if requests have no tenants.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// The unit to which a priority weight applies. The controller does not use it.
    pub weight_unit: WeightUnit,
    /// Number of servers of this tier that were listed when this one started.
    pub servers: u64,
    /// Number of clients (load balancers) that call this tier.
    pub callers: u64,
    /// Number of cores of this server.
    pub cores: u64,
    /// Memory of this server, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of its memory while queued.
    pub run_memory_factor: f64,
    /// Memory of one entry in the idempotency store, in kilobytes.
    pub dedup_entry_kb: f64,
    /// How running work can be preempted.
    pub preemption: Preemption,
    /// Whether the server has just started and still has to warm up.
    pub cold_start: bool,
    /// Least fraction of its full capacity that a cold server has when it starts.
    pub cold_start_capacity: f64,
    /// Longest time that a cold server takes to warm up.
    pub warm_up: Span,
    /// Running requests per core above which a warm server is overloaded.
    pub overload_concurrency: f64,
    /// The window over which the number of running requests is averaged for that limit. The
    /// controller does not use it.
    pub overload_window: Span,
    /// How long after its deadline an answer still counts.
    pub answer_slack: Span,
    /// Requests that arrive later than this after the start of a drain must not run.
    pub drain_grace: Span,
    /// The downstream service that requests call while they run.
    pub dependency: Dependency,
    /// How callers interpret the advertised load signal.
    pub load_signal: LoadSignal,
    /// Whether health checks cost real work unless they are answered from a cached state.
    pub costly_health_checks: bool,
    /// Time after which callers close an idle connection.
    pub client_idle_timeout: Span,
    /// How long the answer to a read may be reused for other requests.
    pub cache_ttl: Span,
    /// The longest `Retry-After` that callers honour; `None` if it is not passed on to them.
    pub max_retry_after: Option<Span>,
    /// Weight of the worst-served class in the platform's objective, as a fraction of all weights.
    /// The controller does not use it.
    pub worst_class_weight: f64,
    /// The smallest step of the clock between batches.
    pub tick: Span,
}
