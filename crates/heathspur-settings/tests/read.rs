//! Tests that the JSON settings object is converted to the settings of the admission controller.

use heathspur::*;
use heathspur_settings::{ProtocolNames, ServerSettings, WireSettings};
use serde_json::{json, Value};

fn wire_settings() -> Value {
    json!({
        "services": [
            {"name": "card-check", "effect": "read_like", "gain": 1.0, "give-up-s": 5.9, "slo-s": 2.3,
             "dedup-window-s": 5.0, "aim-stretch": 1.5},
            {"name": "capture", "effect": "idempotency_key", "gain": 4.0, "give-up-s": 7.3, "late-worth": 0.2,
             "slo-s": 2.3, "dedup-window-s": 21.951},
            {"name": "wire-out", "effect": "non_idempotent", "gain": 2.0, "give-up-s": 7.3, "slo-s": 2.3}
        ],
        "realms": [{"name": "baltic-fleet", "portion": 0.5, "quota-per-s": 26.0}],
        "servers": 10, "over-share-worth": 0.05, "worth-by": "work", "tick-s": 0.002, "unheard-of": [1],
        "family-info": {"n-cores": 6, "mem-limit-kb": 49584.0, "run-factor": 8.0, "key-kb": 120.66,
            "halt": "pause", "cold": true, "depends-on": "shared", "calls-out": 0.4, "calls-over-s": 5.0,
            "linger-s": 0.2, "calls-by-class": [true, false, true], "class-skip-worth": [0.6, 0.0, 0.3],
            "say": "weight", "cancel-seen": true, "idle-s": 30.0, "upstreams": 3,
            "meters": ["sockets", "cpu_busy", "runnable"]},
        "guarantees": {"drain-grace-s": 2.5, "fall-multiple": 5.0, "fall-s": 3.0, "grace-to-answer-s": 0.06,
            "start-capacity": 0.21, "warm-up-s": 14.0},
        "caps": {"max-retry-after-s": 1.0, "retry-after": true},
        "goal": {"whole": 0.55, "worst-class": 0.15, "worst-tenant": 0.15, "worst-window": 0.15}
    })
}

fn read(value: Value) -> (Settings, ProtocolNames) {
    let wire: WireSettings = serde_json::from_value(value).unwrap();
    let settings = ServerSettings::from(wire);
    (settings.admission, settings.names)
}

#[test]
fn every_field_is_converted() {
    let (settings, names) = read(wire_settings());
    let idempotency: Vec<_> = settings
        .classes
        .iter()
        .map(|class| class.idempotency)
        .collect();
    assert_eq!(
        idempotency,
        [
            Idempotency::Idempotent,
            Idempotency::Keyed,
            Idempotency::NonIdempotent
        ]
    );
    assert_eq!(
        (
            settings.classes[0].latency_objective,
            settings.classes[0].client_timeout
        ),
        (Span(2_300_000), Span(5_900_000))
    );
    assert_eq!(
        (
            settings.classes[0].latency_objective_per_work,
            settings.classes[0].may_call,
            settings.classes[0].degraded_weight
        ),
        (1.5, true, 0.6)
    );
    assert_eq!(
        (
            settings.classes[1].dedup_window,
            settings.classes[1].late_weight,
            settings.classes[1].may_call
        ),
        (Span(21_951_000), 0.2, false)
    );
    assert_eq!(
        (
            settings.tenants[0].quota_per_s,
            settings.over_quota_weight,
            settings.weight_unit
        ),
        (26.0, 0.05, WeightUnit::Work)
    );
    assert_eq!(
        (
            settings.cores,
            settings.memory_kb,
            settings.run_memory_factor,
            settings.dedup_entry_kb
        ),
        (6, 49584.0, 8.0, 120.66)
    );
    assert_eq!(
        (
            settings.preemption,
            settings.cold_start,
            settings.load_signal
        ),
        (Preemption::Pause, true, LoadSignal::Weight)
    );
    let shared = Dependency::Shared {
        capacity_share: 0.4,
        averaging_window: Span(5_000_000),
        abandoned_call_lifetime: Span(200_000),
    };
    assert_eq!(
        (settings.dependency, settings.servers, settings.callers),
        (shared, 10, 3)
    );
    assert_eq!(
        (
            settings.max_retry_after,
            settings.client_idle_timeout,
            settings.tick
        ),
        (Some(Span(1_000_000)), Span(30_000_000), Span(2_000))
    );
    assert_eq!(
        (settings.drain_grace, settings.answer_slack),
        (Span(2_500_000), Span(60_000))
    );
    assert!((settings.worst_class_weight - 0.15).abs() < 1e-9);
    assert_eq!(
        (names.classes[2].as_str(), names.tenants[0].as_str()),
        ("wire-out", "baltic-fleet")
    );
    assert!(names.reports_cancellation);
}

#[test]
fn gauges_are_read_by_position_in_settings() {
    let (_, names) = read(wire_settings());
    let gauges = names.gauges.read(&[40.0, 0.5]);
    assert_eq!(
        (
            gauges.connections,
            gauges.cpu,
            gauges.runnable,
            gauges.memory
        ),
        (Some(40.0), Some(0.5), None, None)
    );
}

#[test]
fn absent_fields_have_neutral_defaults() {
    let mut minimal = wire_settings();
    for field in [
        "realms",
        "caps",
        "goal",
        "tick-s",
        "worth-by",
        "over-share-worth",
    ] {
        minimal.as_object_mut().unwrap().remove(field);
    }
    minimal["family-info"] = json!({"n-cores": 1, "mem-limit-kb": 10.0});
    let (settings, names) = read(minimal);
    assert!(settings.tenants.is_empty() && !names.reports_cancellation);
    assert_eq!(
        (
            settings.preemption,
            settings.dependency,
            settings.load_signal
        ),
        (Preemption::None, Dependency::None, LoadSignal::None)
    );
    assert_eq!(
        (
            settings.max_retry_after,
            settings.worst_class_weight,
            settings.weight_unit
        ),
        (None, 0.0, WeightUnit::Request)
    );
}
