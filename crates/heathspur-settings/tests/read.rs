//! The settings object, as the wire's page shows it, in the module's terms.

use heathspur::*;
use heathspur_settings::{read, Facts};
use serde_json::{json, Value};

fn facts() -> Value {
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

fn parsed(value: Value) -> (Settings, heathspur_settings::Names) {
    read(serde_json::from_value::<Facts>(value).unwrap())
}

#[test]
fn each_part_reaches_its_place() {
    let (s, names) = parsed(facts());
    let effects: Vec<_> = s.classes.iter().map(|c| c.effect).collect();
    assert_eq!(effects, [Effect::Safe, Effect::Keyed, Effect::Unsafe]);
    assert_eq!(
        (s.classes[0].aim, s.classes[0].give_up),
        (Span(2_300_000), Span(5_900_000))
    );
    assert_eq!(
        (
            s.classes[0].aim_stretch,
            s.classes[0].calls,
            s.classes[0].skip_worth
        ),
        (1.5, true, 0.6)
    );
    assert_eq!(
        (
            s.classes[1].window,
            s.classes[1].late_worth,
            s.classes[1].calls
        ),
        (Span(21_951_000), 0.2, false)
    );
    assert_eq!(
        (s.tenants[0].quota_per_s, s.over_share_worth, s.worth_by),
        (26.0, 0.05, WorthBy::Work)
    );
    assert_eq!(
        (s.cores, s.memory_kb, s.run_factor, s.key_kb),
        (6, 49584.0, 8.0, 120.66)
    );
    assert_eq!(
        (s.halt, s.cold, s.free_value),
        (Halt::Pause, true, FreeValue::Weight)
    );
    let shared = Dependency::Shared {
        part: 0.4,
        over: Span(5_000_000),
        linger: Span(200_000),
    };
    assert_eq!((s.dependency, s.servers, s.callers), (shared, 10, 3));
    assert_eq!(
        (s.advice, s.idle, s.tick),
        (Some(Span(1_000_000)), Span(30_000_000), Span(2_000))
    );
    assert_eq!(
        (s.drain_grace, s.answer_slack),
        (Span(2_500_000), Span(60_000))
    );
    assert!((s.worst_class_weight - 0.15).abs() < 1e-9);
    assert_eq!(
        (names.classes[2].as_str(), names.tenants[0].as_str()),
        ("wire-out", "baltic-fleet")
    );
    assert!(names.cancel_seen);
}

#[test]
fn gauges_are_known_by_their_place_in_the_settings() {
    let (_, names) = parsed(facts());
    let read = names.meters.read(&[40.0, 0.5]);
    assert_eq!(
        (read.connections, read.cpu, read.runnable, read.memory),
        (Some(40.0), Some(0.5), None, None)
    );
}

#[test]
fn what_is_absent_is_off() {
    let mut bare = facts();
    for field in [
        "realms",
        "caps",
        "goal",
        "tick-s",
        "worth-by",
        "over-share-worth",
    ] {
        bare.as_object_mut().unwrap().remove(field);
    }
    bare["family-info"] = json!({"n-cores": 1, "mem-limit-kb": 10.0});
    let (s, names) = parsed(bare);
    assert!(s.tenants.is_empty() && !names.cancel_seen);
    assert_eq!(
        (s.halt, s.dependency, s.free_value),
        (Halt::None, Dependency::None, FreeValue::None)
    );
    assert_eq!(
        (s.advice, s.worst_class_weight, s.worth_by),
        (None, 0.0, WorthBy::Request)
    );
}
