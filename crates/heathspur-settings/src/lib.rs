//! The settings object that a server is given, read into the module's [`Settings`] and the words of its
//! wire. The bench adapter and the real server both start from it.
#![forbid(unsafe_code)]

use heathspur::*;
use serde::Deserialize;

/// The settings object as it comes; unknown keys are ignored. [`read`] makes use of it.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Facts {
    services: Vec<Service>,
    #[serde(default)]
    realms: Vec<Realm>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    worth_by: String,
    servers: u64,
    family_info: FamilyInfo,
    guarantees: Guarantees,
    #[serde(default)]
    caps: Caps,
    #[serde(default)]
    goal: Goal,
    #[serde(default)]
    tick_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Service {
    name: String,
    slo_s: f64,
    #[serde(default)]
    aim_stretch: f64,
    give_up_s: f64,
    gain: f64,
    #[serde(default)]
    late_worth: f64,
    effect: WireEffect,
    #[serde(default)]
    dedup_window_s: f64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Realm {
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FamilyInfo {
    n_cores: u64,
    mem_limit_kb: f64,
    #[serde(default)]
    run_factor: f64,
    #[serde(default)]
    key_kb: f64,
    #[serde(default)]
    halt: WireHalt,
    #[serde(default)]
    cold: bool,
    #[serde(default)]
    depends_on: WireDepends,
    #[serde(default)]
    calls_out: f64,
    #[serde(default)]
    calls_over_s: f64,
    #[serde(default)]
    linger_s: f64,
    #[serde(default)]
    calls_by_class: Vec<bool>,
    #[serde(default)]
    class_skip_worth: Vec<f64>,
    #[serde(default)]
    say: WireSay,
    #[serde(default)]
    deep_checks: bool,
    #[serde(default)]
    fresh_s: f64,
    #[serde(default)]
    idle_s: f64,
    #[serde(default)]
    upstreams: u64,
    #[serde(default)]
    meters: Vec<String>,
    #[serde(default)]
    cancel_seen: bool,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum WireHalt {
    #[default]
    None,
    Drop,
    Pause,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum WireDepends {
    #[default]
    None,
    Shared,
    Tier,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum WireSay {
    #[default]
    None,
    Level,
    Credit,
    Weight,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Guarantees {
    #[serde(default)]
    grace_to_answer_s: f64,
    #[serde(default)]
    start_capacity: f64,
    #[serde(default)]
    warm_up_s: f64,
    #[serde(default)]
    drain_grace_s: f64,
    fall_multiple: f64,
    #[serde(default)]
    fall_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
struct Goal {
    #[serde(default)]
    whole: f64,
    #[serde(default)]
    worst_class: f64,
    #[serde(default)]
    worst_tenant: f64,
    #[serde(default)]
    worst_window: f64,
}

/// Which gauge stands in which place.
#[derive(Clone, Debug)]
pub struct Meters(Vec<String>);

impl Meters {
    /// Reads the values in the order of the settings.
    pub fn read(&self, values: &[f64]) -> Gauges {
        let find = |name: &str| {
            self.0
                .iter()
                .position(|n| n == name)
                .and_then(|i| values.get(i))
                .copied()
        };
        Gauges {
            cpu: find("cpu_busy"),
            runnable: find("runnable"),
            memory: find("mem_used"),
            connections: find("sockets"),
        }
    }
}

/// The words of one server's wire that its settings give: classes, tenants and gauges by place.
#[derive(Clone, Debug)]
pub struct Names {
    /// The classes, in the order of [`ClassId`].
    pub classes: Vec<String>,
    /// The tenants, in the order of [`TenantId`].
    pub tenants: Vec<String>,
    /// The gauges.
    pub meters: Meters,
    /// The server learns of callers that give up.
    pub cancel_seen: bool,
}

/// Splits the settings into what the decisions need and what only the wire needs.
pub fn read(facts: Facts) -> (Settings, Names) {
    let info = &facts.family_info;
    let classes = facts.services.iter().enumerate().map(|(i, c)| Class {
        latency_objective: Span::from_secs(c.slo_s),
        latency_objective_per_work: c.aim_stretch,
        client_timeout: Span::from_secs(c.give_up_s),
        priority_weight: c.gain,
        late_weight: c.late_worth,
        idempotency: match c.effect {
            WireEffect::ReadLike => Idempotency::Idempotent,
            WireEffect::IdempotencyKey => Idempotency::Keyed,
            WireEffect::NonIdempotent => Idempotency::NonIdempotent,
        },
        dedup_window: Span::from_secs(c.dedup_window_s),
        may_call: info.calls_by_class.get(i).copied().unwrap_or(false),
        degraded_weight: info.class_skip_worth.get(i).copied().unwrap_or(0.0),
    });
    let goal = &facts.goal;
    let weights = goal.whole + goal.worst_class + goal.worst_tenant + goal.worst_window;
    let settings = Settings {
        classes: classes.collect(),
        tenants: facts
            .realms
            .iter()
            .map(|t| Tenant {
                quota_per_s: t.quota_per_s,
            })
            .collect(),
        over_quota_weight: facts.over_share_worth,
        weight_unit: if facts.worth_by == "work" {
            WeightUnit::Work
        } else {
            WeightUnit::Request
        },
        servers: facts.servers,
        callers: info.upstreams,
        cores: info.n_cores,
        memory_kb: info.mem_limit_kb,
        run_memory_factor: info.run_factor,
        dedup_entry_kb: info.key_kb,
        preemption: match info.halt {
            WireHalt::None => Preemption::None,
            WireHalt::Drop => Preemption::Restart,
            WireHalt::Pause => Preemption::Pause,
        },
        cold_start: info.cold,
        cold_start_capacity: facts.guarantees.start_capacity,
        warm_up: Span::from_secs(facts.guarantees.warm_up_s),
        overload_concurrency: facts.guarantees.fall_multiple,
        overload_window: Span::from_secs(facts.guarantees.fall_s),
        answer_slack: Span::from_secs(facts.guarantees.grace_to_answer_s),
        drain_grace: Span::from_secs(facts.guarantees.drain_grace_s),
        dependency: match info.depends_on {
            WireDepends::None => Dependency::None,
            WireDepends::Tier => Dependency::Tier,
            WireDepends::Shared => Dependency::Shared {
                capacity_share: info.calls_out,
                averaging_window: Span::from_secs(info.calls_over_s),
                abandoned_call_lifetime: Span::from_secs(info.linger_s),
            },
        },
        load_signal: match info.say {
            WireSay::None => LoadSignal::None,
            WireSay::Level => LoadSignal::Level,
            WireSay::Credit => LoadSignal::Credit,
            WireSay::Weight => LoadSignal::Weight,
        },
        costly_health_checks: info.deep_checks,
        client_idle_timeout: Span::from_secs(info.idle_s),
        cache_ttl: Span::from_secs(info.fresh_s),
        max_retry_after: facts
            .caps
            .retry_after
            .then(|| Span::from_secs(facts.caps.max_retry_after_s)),
        worst_class_weight: if weights > 0.0 {
            goal.worst_class / weights
        } else {
            0.0
        },
        tick: Span::from_secs(facts.tick_s),
    };
    let names = Names {
        classes: facts.services.into_iter().map(|c| c.name).collect(),
        tenants: facts.realms.into_iter().map(|t| t.name).collect(),
        meters: Meters(facts.family_info.meters),
        cancel_seen: facts.family_info.cancel_seen,
    };
    (settings, names)
}
