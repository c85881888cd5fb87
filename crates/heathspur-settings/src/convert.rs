//! Conversion of the JSON settings to the settings of the admission controller.

use crate::wire::{
    WireDependency, WireIdempotency, WireLoadSignal, WireObjective, WirePreemption, WireServer,
    WireSettings,
};
use crate::{GaugeLayout, ProtocolNames};
use heathspur::{
    Class, Dependency, Idempotency, LoadSignal, Preemption, Settings, Span, Tenant, WeightUnit,
};

/// The JSON value for weights by work. Any other value selects weights by request.
const WEIGHT_BY_WORK: &str = "work";

/// A server's settings: those of its admission controller, and the names of the protocol.
pub struct ServerSettings {
    /// The settings of the admission controller.
    pub admission: Settings,
    /// Names that only the conversion of messages uses.
    pub names: ProtocolNames,
}

impl From<WireSettings> for ServerSettings {
    fn from(wire: WireSettings) -> ServerSettings {
        ServerSettings {
            admission: admission_settings(&wire),
            names: ProtocolNames {
                classes: wire.classes.into_iter().map(|class| class.name).collect(),
                tenants: wire.tenants.into_iter().map(|tenant| tenant.name).collect(),
                gauges: GaugeLayout(wire.server.gauges),
                reports_cancellation: wire.server.reports_cancellation,
            },
        }
    }
}

fn admission_settings(wire: &WireSettings) -> Settings {
    let server = &wire.server;
    let guarantees = &wire.guarantees;
    Settings {
        classes: classes(wire),
        tenants: tenants(wire),
        over_quota_weight: wire.over_quota_weight,
        weight_unit: weight_unit(&wire.weight_unit),
        servers: wire.servers,
        callers: server.callers,
        cores: server.cores,
        memory_kb: server.memory_kb,
        run_memory_factor: server.run_memory_factor,
        dedup_entry_kb: server.dedup_entry_kb,
        preemption: server.preemption.into(),
        cold_start: server.cold_start,
        cold_start_capacity: guarantees.cold_start_capacity,
        warm_up: Span::from_secs(guarantees.warm_up_s),
        overload_concurrency: guarantees.overload_concurrency,
        overload_window: Span::from_secs(guarantees.overload_window_s),
        answer_slack: Span::from_secs(guarantees.answer_slack_s),
        drain_grace: Span::from_secs(guarantees.drain_grace_s),
        dependency: dependency(server),
        load_signal: server.load_signal.into(),
        costly_health_checks: server.costly_health_checks,
        client_idle_timeout: Span::from_secs(server.client_idle_timeout_s),
        cache_ttl: Span::from_secs(server.cache_ttl_s),
        max_retry_after: wire
            .client_capabilities
            .retry_after
            .then(|| Span::from_secs(wire.client_capabilities.max_retry_after_s)),
        worst_class_weight: worst_class_weight(&wire.objective),
        tick: Span::from_secs(wire.tick_s),
    }
}

fn classes(wire: &WireSettings) -> Vec<Class> {
    let may_call = &wire.server.may_call;
    let degraded_weights = &wire.server.degraded_weights;
    wire.classes
        .iter()
        .enumerate()
        .map(|(index, class)| Class {
            latency_objective: Span::from_secs(class.latency_objective_s),
            latency_objective_per_work: class.latency_objective_per_work,
            client_timeout: Span::from_secs(class.client_timeout_s),
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
            idempotency: class.idempotency.into(),
            dedup_window: Span::from_secs(class.dedup_window_s),
            may_call: may_call.get(index).copied().unwrap_or(false),
            degraded_weight: degraded_weights.get(index).copied().unwrap_or(0.0),
        })
        .collect()
}

fn tenants(wire: &WireSettings) -> Vec<Tenant> {
    wire.tenants
        .iter()
        .map(|tenant| Tenant {
            quota_per_s: tenant.quota_per_s,
        })
        .collect()
}

fn weight_unit(name: &str) -> WeightUnit {
    if name == WEIGHT_BY_WORK {
        WeightUnit::Work
    } else {
        WeightUnit::Request
    }
}

fn dependency(server: &WireServer) -> Dependency {
    match server.dependency {
        WireDependency::None => Dependency::None,
        WireDependency::Tier => Dependency::Tier,
        WireDependency::Shared => Dependency::Shared {
            capacity_share: server.call_capacity_share,
            averaging_window: Span::from_secs(server.call_averaging_window_s),
            abandoned_call_lifetime: Span::from_secs(server.abandoned_call_lifetime_s),
        },
    }
}

/// Returns the fraction of the objective's weights that the worst class has; 0 without weights.
fn worst_class_weight(objective: &WireObjective) -> f64 {
    let sum = objective.total_weight
        + objective.worst_class_weight
        + objective.worst_tenant_weight
        + objective.worst_window_weight;
    if sum > 0.0 {
        objective.worst_class_weight / sum
    } else {
        0.0
    }
}

impl From<WireIdempotency> for Idempotency {
    fn from(wire: WireIdempotency) -> Idempotency {
        match wire {
            WireIdempotency::Idempotent => Idempotency::Idempotent,
            WireIdempotency::Keyed => Idempotency::Keyed,
            WireIdempotency::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}

impl From<WirePreemption> for Preemption {
    fn from(wire: WirePreemption) -> Preemption {
        match wire {
            WirePreemption::None => Preemption::None,
            WirePreemption::Restart => Preemption::Restart,
            WirePreemption::Pause => Preemption::Pause,
        }
    }
}

impl From<WireLoadSignal> for LoadSignal {
    fn from(wire: WireLoadSignal) -> LoadSignal {
        match wire {
            WireLoadSignal::None => LoadSignal::None,
            WireLoadSignal::Level => LoadSignal::Level,
            WireLoadSignal::Credit => LoadSignal::Credit,
            WireLoadSignal::Weight => LoadSignal::Weight,
        }
    }
}
