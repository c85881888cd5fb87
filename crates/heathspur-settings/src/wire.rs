//! The JSON format of the settings object. Unknown fields are ignored.

use serde::Deserialize;

/// The settings object of a server.
#[derive(Deserialize)]
pub struct WireSettings {
    #[serde(rename = "services")]
    pub(crate) classes: Vec<WireClass>,
    #[serde(rename = "realms", default)]
    pub(crate) tenants: Vec<WireTenant>,
    #[serde(rename = "over-share-worth", default)]
    pub(crate) over_quota_weight: f64,
    #[serde(rename = "worth-by", default)]
    pub(crate) weight_unit: String,
    pub(crate) servers: u64,
    #[serde(rename = "family-info")]
    pub(crate) server: WireServer,
    pub(crate) guarantees: WireGuarantees,
    #[serde(rename = "caps", default)]
    pub(crate) client_capabilities: WireClientCapabilities,
    #[serde(rename = "goal", default)]
    pub(crate) objective: WireObjective,
    #[serde(rename = "tick-s", default)]
    pub(crate) tick_s: f64,
}

/// A class of requests.
#[derive(Deserialize)]
pub(crate) struct WireClass {
    pub name: String,
    #[serde(rename = "slo-s")]
    pub latency_objective_s: f64,
    #[serde(rename = "aim-stretch", default)]
    pub latency_objective_per_work: f64,
    #[serde(rename = "give-up-s")]
    pub client_timeout_s: f64,
    #[serde(rename = "gain")]
    pub priority_weight: f64,
    #[serde(rename = "late-worth", default)]
    pub late_weight: f64,
    #[serde(rename = "effect")]
    pub idempotency: WireIdempotency,
    #[serde(rename = "dedup-window-s", default)]
    pub dedup_window_s: f64,
}

/// Whether requests of a class may run more than once.
#[derive(Deserialize, Clone, Copy)]
pub(crate) enum WireIdempotency {
    #[serde(rename = "read_like")]
    Idempotent,
    #[serde(rename = "idempotency_key")]
    Keyed,
    #[serde(rename = "non_idempotent")]
    NonIdempotent,
}

/// A tenant.
#[derive(Deserialize)]
pub(crate) struct WireTenant {
    pub name: String,
    #[serde(rename = "quota-per-s", default)]
    pub quota_per_s: f64,
}

/// The properties of a server and its interpreter.
#[derive(Deserialize)]
pub(crate) struct WireServer {
    #[serde(rename = "n-cores")]
    pub cores: u64,
    #[serde(rename = "mem-limit-kb")]
    pub memory_kb: f64,
    #[serde(rename = "run-factor", default)]
    pub run_memory_factor: f64,
    #[serde(rename = "key-kb", default)]
    pub dedup_entry_kb: f64,
    #[serde(rename = "halt", default)]
    pub preemption: WirePreemption,
    #[serde(rename = "cold", default)]
    pub cold_start: bool,
    #[serde(rename = "depends-on", default)]
    pub dependency: WireDependency,
    #[serde(rename = "calls-out", default)]
    pub call_capacity_share: f64,
    #[serde(rename = "calls-over-s", default)]
    pub call_averaging_window_s: f64,
    #[serde(rename = "linger-s", default)]
    pub abandoned_call_lifetime_s: f64,
    /// Whether requests may call the dependency, for each class.
    #[serde(rename = "calls-by-class", default)]
    pub may_call: Vec<bool>,
    /// Fraction of the weight that an answer without its call earns, for each class.
    #[serde(rename = "class-skip-worth", default)]
    pub degraded_weights: Vec<f64>,
    #[serde(rename = "say", default)]
    pub load_signal: WireLoadSignal,
    #[serde(rename = "deep-checks", default)]
    pub costly_health_checks: bool,
    #[serde(rename = "fresh-s", default)]
    pub cache_ttl_s: f64,
    #[serde(rename = "idle-s", default)]
    pub client_idle_timeout_s: f64,
    #[serde(rename = "upstreams", default)]
    pub callers: u64,
    #[serde(rename = "meters", default)]
    pub gauges: Vec<String>,
    #[serde(rename = "cancel-seen", default)]
    pub reports_cancellation: bool,
}

/// How running work can be preempted.
#[derive(Deserialize, Default, Clone, Copy)]
pub(crate) enum WirePreemption {
    #[default]
    #[serde(rename = "none")]
    None,
    #[serde(rename = "drop")]
    Restart,
    #[serde(rename = "pause")]
    Pause,
}

/// The kind of the downstream service.
#[derive(Deserialize, Default, Clone, Copy)]
pub(crate) enum WireDependency {
    #[default]
    #[serde(rename = "none")]
    None,
    #[serde(rename = "shared")]
    Shared,
    #[serde(rename = "tier")]
    Tier,
}

/// How callers interpret the advertised load signal.
#[derive(Deserialize, Default, Clone, Copy)]
pub(crate) enum WireLoadSignal {
    #[default]
    #[serde(rename = "none")]
    None,
    #[serde(rename = "level")]
    Level,
    #[serde(rename = "credit")]
    Credit,
    #[serde(rename = "weight")]
    Weight,
}

/// The limits that the platform guarantees or enforces.
#[derive(Deserialize)]
pub(crate) struct WireGuarantees {
    #[serde(rename = "grace-to-answer-s", default)]
    pub answer_slack_s: f64,
    #[serde(rename = "start-capacity", default)]
    pub cold_start_capacity: f64,
    #[serde(rename = "warm-up-s", default)]
    pub warm_up_s: f64,
    #[serde(rename = "drain-grace-s", default)]
    pub drain_grace_s: f64,
    #[serde(rename = "fall-multiple")]
    pub overload_concurrency: f64,
    #[serde(rename = "fall-s", default)]
    pub overload_window_s: f64,
}

/// Features that clients and load balancers support.
#[derive(Deserialize, Default)]
pub(crate) struct WireClientCapabilities {
    #[serde(rename = "max-retry-after-s", default)]
    pub max_retry_after_s: f64,
    #[serde(rename = "retry-after", default)]
    pub retry_after: bool,
}

/// The weights of the components of the platform's objective.
#[derive(Deserialize, Default)]
pub(crate) struct WireObjective {
    #[serde(rename = "whole", default)]
    pub total_weight: f64,
    #[serde(rename = "worst-class", default)]
    pub worst_class_weight: f64,
    #[serde(rename = "worst-tenant", default)]
    pub worst_tenant_weight: f64,
    #[serde(rename = "worst-window", default)]
    pub worst_window_weight: f64,
}
