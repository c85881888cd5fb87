//! Tests of plans and of the renewal of IDs, keys and time stamps.

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

/// Returns the recorded index and the send time in milliseconds of each request.
fn send_times(plan: &Plan) -> Vec<(usize, u64)> {
    plan.requests
        .iter()
        .map(|request| (request.recorded, request.send_at / MS))
        .collect()
}

#[test]
fn default_plan_has_recorded_schedule() {
    let plan = build(&Options::default());
    assert_eq!(
        send_times(&plan),
        [(0, 0), (2, 50), (1, 100), (3, 110), (4, 1000)]
    );
    assert_eq!(plan.connections.len(), 2);
    assert_eq!(plan.connections[0].requests, [0, 2, 3]);
    assert_eq!(plan.connections[1].requests, [1, 4]);
    assert!(!plan.has_copies && plan.last_send_at == 1000 * MS);
    assert!(plan
        .requests
        .iter()
        .all(|request| request.delay_after_response.is_none()));
}

#[test]
fn speed_scales_all_times() {
    assert_eq!(
        send_times(&build(&Options {
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
fn selected_interval_starts_at_time_zero() {
    let options = Options {
        from: 60 * MS,
        to: Some(1000 * MS),
        ..Options::default()
    };
    assert_eq!(send_times(&build(&options)), [(1, 0), (3, 10)]);
    let empty_interval = Options {
        from: 5000 * MS,
        ..Options::default()
    };
    assert_eq!(
        Plan::build(&recording(), &BTreeMap::new(), &empty_interval),
        Err(Error::NoRequests)
    );
}

#[test]
fn causal_plan_waits_only_for_responses_received_before_request() {
    let plan = build(&Options {
        causal: true,
        speed: 2.0,
        ..Options::default()
    });
    let delays_ms: Vec<_> = plan
        .requests
        .iter()
        .map(|request| request.delay_after_response.map(|delay| delay / MS))
        .collect();
    // The second request of connection 1 was sent 70 ms after the first response; the third was sent before the
    // second response, so the client did not wait for it.
    assert_eq!(delays_ms, [None, None, Some(35), None, None]);
}

#[test]
fn rounds_do_not_overlap_and_copies_are_numbered() {
    let plan = build(&Options {
        repeat: 3,
        ..Options::default()
    });
    assert!(plan.has_copies);
    assert_eq!((plan.requests.len(), plan.connections.len()), (15, 6));
    let times_of_copy = |copy: u64| {
        plan.requests
            .iter()
            .filter(move |request| request.copy == copy)
            .map(|request| request.send_at)
    };
    for copy in 1..3 {
        assert!(times_of_copy(copy).min() > times_of_copy(copy - 1).max());
        let offset = times_of_copy(copy).min().unwrap();
        assert!(times_of_copy(copy)
            .zip(times_of_copy(0))
            .all(|(copied, first)| copied - offset == first));
    }
}

#[test]
fn load_factor_drops_or_copies_complete_connections() {
    let recorded: Vec<RecordedRequest> = (0..400)
        .flat_map(|c| [request(c, c, "k", None), request(c, c + 9, "k", None)])
        .collect();
    for (load, min_connections, max_connections) in [
        (0.25, 70, 130),
        (1.0, 400, 400),
        (2.5, 950, 1050),
        (3.0, 1200, 1200),
    ] {
        let options = Options {
            load,
            ..Options::default()
        };
        let plan = Plan::build(&recorded, &BTreeMap::new(), &options).unwrap();
        assert!(
            (min_connections..=max_connections).contains(&plan.connections.len()),
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
            Plan::build(&recorded, &BTreeMap::new(), &options).unwrap()
        );
    }
}

#[test]
fn connections_open_as_recorded_and_never_after_first_request() {
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
    let opened_late = BTreeMap::from([(2, START + 70 * MS)]);
    let plan = Plan::build(&recording(), &opened_late, &Options::default()).unwrap();
    assert_eq!(plan.connections[1].open_at / MS, 50);
}

#[test]
fn options_out_of_range_are_rejected() {
    let error =
        |options: Options| Plan::build(&recording(), &BTreeMap::new(), &options).unwrap_err();
    assert_eq!(
        error(Options {
            speed: 0.0,
            ..Options::default()
        }),
        Error::OutOfRange {
            option: "speed",
            value: 0.0
        }
    );
    assert!(matches!(
        error(Options {
            load: f64::NAN,
            ..Options::default()
        }),
        Error::OutOfRange { option: "load", .. }
    ));
    assert_eq!(
        error(Options {
            repeat: 0,
            ..Options::default()
        }),
        Error::OutOfRange {
            option: "repeat",
            value: 0.0
        }
    );
    assert_eq!(
        error(Options {
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

/// Renews the recorded request at `recorded_index`.
fn renewed(recorded_index: usize, index: u64, copy: u64) -> (Bytes, RenewedValues) {
    let names = FieldNames {
        attempt_id: "x-txn".into(),
        idempotency_key: "X-Txn-Key".into(),
        ingress_time: "X-Ingress-Time".into(),
    };
    let request = &recording()[recorded_index];
    let end = request
        .bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
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
fn renewed_requests_have_fresh_ids_and_share_keys_only_within_copy() {
    let (first, values) = renewed(0, 0, 0);
    assert_eq!(
        values,
        RenewedValues {
            ids: 1,
            keys: 1,
            stamps: 1
        }
    );
    // Requests 0 and 2 were recorded with the same key.
    let (retry, other, copy) = (renewed(2, 1, 0).0, renewed(1, 2, 0).0, renewed(0, 3, 1).0);
    let key = |bytes: &Bytes| field(bytes, "X-Txn-Key");
    assert_eq!(key(&first), key(&retry));
    assert_ne!(key(&first), key(&other));
    assert_ne!(key(&first), key(&copy));
    let ids = [&first, &retry, &other, &copy].map(|bytes| field(bytes, "X-Txn"));
    let distinct: std::collections::BTreeSet<_> = ids.iter().collect();
    assert!(distinct.len() == 4 && ids.iter().all(|id| id.len() == 16));
    // The ingress time is 7 ms before the sending time, as recorded.
    assert_eq!(field(&first, "X-Ingress-Time"), "1799999999993");
    assert!(first.ends_with(b"Content-Length: 4\r\n\r\nbody"));
    assert_eq!(renewed(0, 0, 0).0, first);
}
