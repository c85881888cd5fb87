//! Plans, and fresh IDs, keys and time stamps.

mod common;
use bytes::Bytes;
use common::*;
use heathspur_replay::plan::{Error, Options, Plan};
use heathspur_replay::recording::RecordedRequest;
use heathspur_replay::renew::{FieldNames, RenewedValues, Renewer, RequestIdentity, RequestTimes};
use std::collections::BTreeMap;

fn recording() -> Vec<RecordedRequest> {
    vec![
        request(1, 0, "a", Some(30)),
        request(1, 100, "b", Some(20)),
        request(2, 50, "a", None),
        request(1, 110, "c", None),
        request(2, 1000, "d", Some(5)),
    ]
}

fn build(options: &Options) -> Plan {
    Plan::build(&recording(), &BTreeMap::new(), options).unwrap()
}

fn times(plan: &Plan) -> Vec<(usize, u64)> {
    plan.requests
        .iter()
        .map(|send| (send.recorded, send.send_at / MS))
        .collect()
}

#[test]
fn the_default_plan_keeps_the_recorded_schedule() {
    let plan = build(&Options::default());
    assert_eq!(
        times(&plan),
        [(0, 0), (2, 50), (1, 100), (3, 110), (4, 1000)]
    );
    assert_eq!(plan.connections.len(), 2);
    assert_eq!(plan.connections[0].requests, [0, 2, 3]);
    assert_eq!(plan.connections[1].requests, [1, 4]);
    assert!(!plan.has_copies && plan.last_send_at == 1000 * MS);
    assert!(plan
        .requests
        .iter()
        .all(|send| send.delay_after_response.is_none()));
}

#[test]
fn speed_scales_all_times() {
    assert_eq!(
        times(&build(&Options {
            speed: 10.0,
            ..Options::default()
        })),
        [(0, 0), (2, 5), (1, 10), (3, 11), (4, 100)]
    );
    assert_eq!(
        build(&Options {
            speed: 0.5,
            ..Options::default()
        })
        .last_send_at,
        2000 * MS
    );
}

#[test]
fn a_selected_interval_starts_at_once() {
    let options = Options {
        from: 60 * MS,
        to: Some(1000 * MS),
        ..Options::default()
    };
    assert_eq!(times(&build(&options)), [(1, 0), (3, 10)]);
    let nothing = Options {
        from: 5000 * MS,
        ..Options::default()
    };
    assert_eq!(
        Plan::build(&recording(), &BTreeMap::new(), &nothing),
        Err(Error::NoRequests)
    );
}

#[test]
fn a_causal_plan_waits_only_for_responses_received_before_the_request() {
    let plan = build(&Options {
        causal: true,
        speed: 2.0,
        ..Options::default()
    });
    let waits: Vec<_> = plan
        .requests
        .iter()
        .map(|send| send.delay_after_response.map(|wait| wait / MS))
        .collect();
    // The second request of connection 1 came 70 ms after the answer to the first; the third came before the
    // answer to the second, so its client did not wait.
    assert_eq!(waits, [None, None, Some(35), None, None]);
}

#[test]
fn rounds_do_not_overlap_and_copies_are_numbered() {
    let plan = build(&Options {
        repeat: 3,
        ..Options::default()
    });
    assert!(plan.has_copies);
    assert_eq!((plan.requests.len(), plan.connections.len()), (15, 6));
    let round = |copy: u64| {
        plan.requests
            .iter()
            .filter(move |send| send.copy == copy)
            .map(|send| send.send_at)
    };
    for copy in 1..3 {
        assert!(round(copy).min() > round(copy - 1).max());
        let shift = round(copy).min().unwrap();
        assert!(round(copy)
            .zip(round(0))
            .all(|(late, first)| late - shift == first));
    }
}

#[test]
fn load_drops_or_copies_whole_connections() {
    let many: Vec<RecordedRequest> = (0..400)
        .flat_map(|c| [request(c, c, "k", None), request(c, c + 9, "k", None)])
        .collect();
    for (load, least, most) in [
        (0.25, 70, 130),
        (1.0, 400, 400),
        (2.5, 950, 1050),
        (3.0, 1200, 1200),
    ] {
        let options = Options {
            load,
            ..Options::default()
        };
        let plan = Plan::build(&many, &BTreeMap::new(), &options).unwrap();
        assert!(
            (least..=most).contains(&plan.connections.len()),
            "{load}: {}",
            plan.connections.len()
        );
        assert!(plan
            .connections
            .iter()
            .all(|connection| connection.requests.len() == 2));
        assert_eq!(plan.has_copies, load > 1.0);
        assert_eq!(
            plan,
            Plan::build(&many, &BTreeMap::new(), &options).unwrap()
        );
    }
}

#[test]
fn connections_open_as_recorded_and_never_after_their_first_request() {
    let opened = BTreeMap::from([(1, START), (2, START + 20 * MS)]);
    let plan = Plan::build(
        &recording(),
        &opened,
        &Options {
            speed: 2.0,
            ..Options::default()
        },
    )
    .unwrap();
    assert_eq!(
        plan.connections
            .iter()
            .map(|connection| connection.open_at / MS)
            .collect::<Vec<_>>(),
        [0, 10]
    );
    let late = BTreeMap::from([(2, START + 70 * MS)]);
    let plan = Plan::build(&recording(), &late, &Options::default()).unwrap();
    assert_eq!(plan.connections[1].open_at / MS, 50);
}

#[test]
fn options_outside_their_bounds_are_rejected() {
    let fault =
        |options: Options| Plan::build(&recording(), &BTreeMap::new(), &options).unwrap_err();
    assert_eq!(
        fault(Options {
            speed: 0.0,
            ..Options::default()
        }),
        Error::OutOfBounds {
            option: "speed",
            value: 0.0
        }
    );
    assert!(matches!(
        fault(Options {
            load: f64::NAN,
            ..Options::default()
        }),
        Error::OutOfBounds { option: "load", .. }
    ));
    assert_eq!(
        fault(Options {
            repeat: 0,
            ..Options::default()
        }),
        Error::OutOfBounds {
            option: "repeat",
            value: 0.0
        }
    );
    assert_eq!(
        fault(Options {
            max_requests: 4,
            ..Options::default()
        }),
        Error::TooManyRequests { limit: 4 }
    );
    assert_eq!(
        Plan::build(&[], &BTreeMap::new(), &Options::default()),
        Err(Error::NoRequests)
    );
}

fn renewed(n: usize, index: u64, copy: u64) -> (Bytes, RenewedValues) {
    let names = FieldNames {
        attempt_id: "x-txn".into(),
        idempotency_key: "X-Txn-Key".into(),
        ingress_time: "X-Ingress-Time".into(),
    };
    let request = &recording()[n];
    let end = request
        .bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .unwrap()
        + 2;
    let fields = request.bytes.iter().position(|b| *b == b'\n').unwrap() + 1..end;
    let times = RequestTimes {
        recorded_at: request.first_byte_at,
        sent_at_ms: 1_800_000_000_000,
    };
    Renewer::new(names, 5).renew(
        &request.bytes,
        fields,
        RequestIdentity { index, copy },
        times,
    )
}

fn field(bytes: &Bytes, name: &str) -> String {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let start = text.find(&format!("{name}: ")).unwrap() + name.len() + 2;
    text[start..].split("\r\n").next().unwrap().to_string()
}

#[test]
fn renewed_requests_have_fresh_ids_and_share_keys_within_a_copy_only() {
    let (one, values) = renewed(0, 0, 0);
    assert_eq!(
        values,
        RenewedValues {
            ids: 1,
            keys: 1,
            stamps: 1
        }
    );
    // Requests 0 and 2 were recorded with the same key.
    let (repeat, other, copy) = (renewed(2, 1, 0).0, renewed(1, 2, 0).0, renewed(0, 3, 1).0);
    let key = |bytes: &Bytes| field(bytes, "X-Txn-Key");
    assert_eq!(key(&one), key(&repeat));
    assert_ne!(key(&one), key(&other));
    assert_ne!(key(&one), key(&copy));
    let ids = [&one, &repeat, &other, &copy].map(|bytes| field(bytes, "X-Txn"));
    let distinct: std::collections::BTreeSet<_> = ids.iter().collect();
    assert!(distinct.len() == 4 && ids.iter().all(|id| id.len() == 16));
    // It was recorded 7 ms after its stamp, and is so again.
    assert_eq!(field(&one, "X-Ingress-Time"), "1799999999993");
    assert!(one.ends_with(b"Content-Length: 4\r\n\r\nbody"));
    assert_eq!(renewed(0, 0, 0).0, one);
}
