//! Tests of the adapter's line protocol: message formats, unusual but valid input, and invalid
//! input.

use heathspur_simulator_adapter::{serve, Error};
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "services": [
            {"name": "look", "effect": "read_like", "gain": 1.0, "give-up-s": 5.0, "slo-s": 2.0, "late-worth": 0.0,
             "dedup-window-s": 5.0},
            {"name": "pay", "effect": "idempotency_key", "gain": 4.0, "give-up-s": 6.0, "slo-s": 2.0,
             "late-worth": 0.2, "dedup-window-s": 20.0, "brand-new-key": [1, 2]}
        ],
        "servers": 3,
        "realms": [{"name": "north", "portion": 1.0, "quota-per-s": 40.0}],
        "over-share-worth": 0.05,
        "worth-by": "request",
        "caps": {"retry-after": true, "max-retry-after-s": 1.0},
        "goal": {"whole": 0.7, "worst-class": 0.3},
        "family-info": {"n-cores": 2, "mem-limit-kb": 9000.0, "run-factor": 4.0, "key-kb": 10.0, "halt": "drop",
            "depends-on": "tier", "calls-by-class": [true, true], "class-skip-worth": [0.5, 0.0],
            "say": "level", "heeded-s": 1.0, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "deep-checks": true},
        "guarantees": {"fall-multiple": 5.0, "fall-s": 2.0, "grace-to-answer-s": 0.06, "drain-grace-s": 1.0,
            "start-capacity": 0.2, "warm-up-s": 10.0},
        "tick-s": 0.002,
        "unheard-of": {"a": 1}
    })
}

fn start_server(id: u64) -> Value {
    json!({"ENLIST": {"server-id": id, "init-seed": 9007199254740991u64, "facts": settings()}})
}

fn request(server: u64, ticket: u64, kind: &str) -> Value {
    json!({"DEMAND": {"server-id": server, "ticket": ticket, "kind": kind, "client-group": "north",
        "size-kb": 20.5, "prio": 0.6, "neighbour": 4, "waited-s": 0.002, "new-field": "x"}})
}

fn batch(at: f64, events: &[Value]) -> String {
    let mut text = json!({"BEGIN_BATCH": {"t-s": at}}).to_string() + "\n";
    for e in events {
        text += &(e.to_string() + "\n");
    }
    text + "{\"YOUR_TURN\":{}}\n"
}

fn serve_input(input: &str) -> Result<Vec<Vec<Value>>, Error> {
    let mut out = Vec::new();
    serve(input.as_bytes(), &mut out)?;
    let mut replies = vec![Vec::new()];
    for line in String::from_utf8(out).unwrap().lines() {
        let value: Value = serde_json::from_str(line).unwrap();
        if value == json!({"OK": {}}) {
            replies.push(Vec::new());
        } else {
            replies.last_mut().unwrap().push(value);
        }
    }
    replies.pop();
    Ok(replies)
}

fn has_message(reply: &[Value], name: &str, ticket: u64) -> bool {
    reply.iter().any(|v| v[name]["ticket"] == json!(ticket))
}

#[test]
fn empty_batch_gets_empty_reply() {
    assert_eq!(
        serve_input(&batch(8.5, &[])).unwrap(),
        vec![Vec::<Value>::new()]
    );
    assert!(serve_input("").unwrap().is_empty());
}

#[test]
fn request_runs_with_call_and_completes() {
    let input = batch(1.0, &[start_server(5)])
        + &batch(1.01, &[request(5, 11, "pay")])
        + &batch(
            1.02,
            &[json!({"WANTS_CALL": {"server-id": 5, "ticket": 11}})],
        )
        + &batch(
            1.05,
            &[json!({"CAME_BACK": {"server-id": 5, "ticket": 11, "rc": 0, "rtt-s": 0.03}})],
        )
        + &batch(
            1.06,
            &[json!({"ENDED": {"server-id": 5, "ticket": 11, "rc": 0, "rtt-s": 0.05}})],
        )
        + &batch(
            1.07,
            &[json!({"TICK_DUE": {"server-id": 5, "token": "0", "gauge": [0.5, 1, 0.1, 3]}})],
        );
    let replies = serve_input(&input).unwrap();
    assert_eq!(replies.len(), 6);
    assert!(replies[0]
        .iter()
        .any(|v| v["HEALTH"] == json!({"server-id": 5, "enable": true, "cached": true})));
    assert!(replies[0].iter().any(|v| v["SLEEP"]["token"] == json!("0")));
    assert!(has_message(&replies[1], "PIN", 11) && has_message(&replies[1], "EXECUTE", 11));
    assert!(has_message(&replies[2], "CALL", 11));
    let call = replies[2].iter().find(|v| !v["CALL"].is_null()).unwrap();
    assert!(call["CALL"]["limit-s"].as_f64().unwrap() > 0.1);
    assert!(replies[3].is_empty() && replies[4].is_empty());
    assert_eq!(
        replies[5].len(),
        1,
        "expected only the next timer: {:?}",
        replies[5]
    );
}

#[test]
fn repeat_of_running_request_replays_result() {
    let mut repeat = request(5, 12, "pay");
    repeat["DEMAND"]["dup-of"] = json!(11);
    let input = batch(1.0, &[start_server(5), request(5, 11, "pay"), repeat]);
    let replies = serve_input(&input).unwrap();
    assert!(has_message(&replies[0], "EXECUTE", 11) && has_message(&replies[0], "ATTACH", 12));
}

#[test]
fn rejection_contains_retry_after_and_no_retry_only_if_set() {
    let drain = json!({"DRAIN": {"server-id": 5, "patience-left-s": 4.0}});
    let input = batch(1.0, &[start_server(5), drain]) + &batch(3.0, &[request(5, 11, "look")]);
    let replies = serve_input(&input).unwrap();
    assert!(replies[0].iter().any(|v| v["STAMP"]["level"] == json!(1.0)));
    let rejection = replies[1].iter().find(|v| !v["BUSY"].is_null()).unwrap();
    assert_eq!(
        rejection["BUSY"],
        json!({"server-id": 5, "ticket": 11, "not-before-for-s": 1.0})
    );
}

#[test]
fn stopped_server_restarts_in_same_batch() {
    let stop = json!({"HALT": {"server-id": 5}});
    let input = batch(1.0, &[start_server(5), request(5, 11, "pay")])
        + &batch(2.0, &[stop, start_server(5)])
        + &batch(2.1, &[request(5, 12, "pay")]);
    let replies = serve_input(&input).unwrap();
    assert!(replies[1].iter().any(|v| !v["HEALTH"].is_null()));
    assert!(has_message(&replies[2], "EXECUTE", 12));
}

#[test]
fn events_for_unknown_servers_and_requests_are_ignored() {
    let completed =
        |server| json!({"ENDED": {"server-id": server, "ticket": 77, "rc": 125, "rtt-s": 0.1}});
    let input = batch(
        1.0,
        &[
            start_server(5),
            completed(5),
            completed(6),
            request(6, 1, "look"),
        ],
    ) + &batch(
        1.1,
        &[
            json!({"ABANDONED": {"server-id": 5, "ticket": 77}}),
            json!({"HALT": {"server-id": 9}}),
        ],
    );
    let replies = serve_input(&input).unwrap();
    assert!(replies[0]
        .iter()
        .all(|v| !has_message(std::slice::from_ref(v), "EXECUTE", 1)));
    assert!(replies[1].is_empty());
}

#[test]
fn only_servers_with_events_decide() {
    let input =
        batch(1.0, &[start_server(5), start_server(6)]) + &batch(9.0, &[request(6, 1, "look")]);
    let replies = serve_input(&input).unwrap();
    assert!(replies[1].iter().all(|v| v
        .as_object()
        .unwrap()
        .values()
        .all(|f| f["server-id"] == json!(6))));
}

#[test]
fn replies_do_not_depend_on_other_servers() {
    let single = |id: u64| {
        batch(
            1.0,
            &[
                start_server(id),
                request(id, 1, "look"),
                request(id, 2, "pay"),
                request(id, 3, "look"),
            ],
        ) + &batch(
            1.5,
            &[json!({"ENDED": {"server-id": id, "ticket": 2, "rc": 0, "rtt-s": 0.4}})],
        )
    };
    let both = batch(
        1.0,
        &[
            start_server(1),
            start_server(2),
            request(1, 1, "look"),
            request(2, 1, "look"),
            request(1, 2, "pay"),
            request(2, 2, "pay"),
            request(1, 3, "look"),
            request(2, 3, "look"),
        ],
    ) + &batch(
        1.5,
        &[
            json!({"ENDED": {"server-id": 1, "ticket": 2, "rc": 0, "rtt-s": 0.4}}),
            json!({"ENDED": {"server-id": 2, "ticket": 2, "rc": 0, "rtt-s": 0.4}}),
        ],
    );
    let (one, two, both) = (
        serve_input(&single(1)).unwrap(),
        serve_input(&single(2)).unwrap(),
        serve_input(&both).unwrap(),
    );
    for i in 0..2 {
        assert_eq!(both[i], [one[i].clone(), two[i].clone()].concat());
    }
}

#[test]
fn invalid_input_reports_line_and_reason() {
    let begin = "{\"BEGIN_BATCH\":{\"t-s\":1.0}}\n";
    let cases = [
        ("not json\n".to_string(), "line 1: "),
        (
            format!("{begin}{{\"NOISE\":{{}}}}\n"),
            "line 2: unknown variant `NOISE`",
        ),
        (
            format!("{begin}{{\"DEMAND\":{{\"server-id\":1}}}}\n"),
            "line 2: missing field `ticket`",
        ),
        (begin.to_string(), "line 1: input ended inside a batch"),
        (
            format!("{begin}{begin}"),
            "line 2: a batch begins inside another",
        ),
        (
            "{\"YOUR_TURN\":{}}\n".to_string(),
            "line 1: a message outside a batch",
        ),
        (
            batch(1.0, &[start_server(1), request(1, 2, "sing")]),
            "line 3: class \"sing\" is not in the settings",
        ),
        (
            batch(
                1.0,
                &[
                    start_server(1),
                    json!({"ENDED": {"server-id": 1, "ticket": 2, "rc": 99}}),
                ],
            ),
            "line 3: outcome code 99 is not in the protocol",
        ),
    ];
    for (input, expected) in cases {
        let error = serve_input(&input).expect_err(expected).to_string();
        assert!(error.starts_with(expected), "{error:?}, not {expected:?}");
        assert!(!error.contains('\n'));
    }
}
