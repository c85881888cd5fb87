//! Tests of the runner in virtual time, against simulated targets that answer, refuse or break connections, or hang.

mod common;
use common::*;
use heathspur_replay::audit::{Audit, AuditOptions};
use heathspur_replay::event::{Action, ConnectFailure, Event};
use heathspur_replay::limits::Limits;
use heathspur_replay::outcome::{NotSentReason, Outcome, RequestState};
use heathspur_replay::plan::{Options, Plan};
use heathspur_replay::recording::RecordedRequest;
use heathspur_replay::runner::Runner;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

/// Behaviour of a simulated target.
#[derive(Clone, Debug)]
struct Target {
    /// Whether each connect attempt is refused; repeats from the start after the last element.
    refused_connects: Vec<bool>,
    /// Response time of each request; repeats from the start after the last element. `None` breaks the connection.
    response_times_ms: Vec<Option<u64>>,
    /// The response to every n-th request closes its connection.
    close_every: usize,
    /// Whether it never responds.
    hangs: bool,
}

impl Target {
    fn healthy(response_time_ms: u64) -> Target {
        Target {
            refused_connects: vec![false],
            response_times_ms: vec![Some(response_time_ms)],
            close_every: usize::MAX,
            hangs: false,
        }
    }
}

struct Replayed {
    outcomes: Vec<Outcome>,
    /// Index in the plan and sending time in nanoseconds of each request, in sending order.
    sent: Vec<(usize, u64)>,
    counts: heathspur_replay::outcome::Counts,
    /// Virtual time of the end, in nanoseconds from the start.
    ended_at: u64,
}

/// Runs a replay to its end in virtual time. Events of the same time are handled in the order of their creation.
fn run(plan: &Plan, limits: Limits, target: &Target) -> Replayed {
    let mut runner = Runner::new(plan, limits, 3);
    let mut events: BTreeMap<(u64, u64), (u64, Event)> = BTreeMap::new();
    let (mut now, mut event_number, mut connect_attempts, mut actions, mut sent) =
        (0, 0, 0, Vec::new(), Vec::new());
    // Incarnation of each connection, and the time of its latest response. Events of an older incarnation are dropped.
    let mut incarnations: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    let mut open: BTreeSet<usize> = BTreeSet::new();
    for step in 0.. {
        assert!(step < 200_000, "the replay does not end");
        runner.poll(now, &mut actions);
        for action in actions.drain(..) {
            event_number += 1;
            match action {
                Action::Connect(connection) => {
                    assert!(open.insert(connection), "connected twice");
                    let refused =
                        target.refused_connects[connect_attempts % target.refused_connects.len()];
                    connect_attempts += 1;
                    let entry = incarnations.entry(connection).or_default();
                    *entry = (entry.0 + 1, now + MS);
                    let event = match refused {
                        true => Event::ConnectFailed(connection, ConnectFailure::Refused),
                        false => Event::Connected(connection),
                    };
                    events.insert((now + MS, event_number), (entry.0, event));
                }
                Action::Send(request) => {
                    let connection = plan.requests[request].connection;
                    assert!(
                        open.contains(&connection),
                        "sent on a connection that is not open"
                    );
                    sent.push((request, now));
                    let (incarnation, last_response_at) =
                        incarnations.get_mut(&connection).unwrap();
                    let count = sent.len();
                    let event =
                        match target.response_times_ms[count % target.response_times_ms.len()] {
                            _ if target.hangs => continue,
                            None => (now + MS, Event::Closed(connection)),
                            Some(ms) => {
                                // Responses on one connection are received in order.
                                *last_response_at = (*last_response_at).max(now + ms * MS) + 1;
                                let close = count % target.close_every == 0;
                                let event = Event::Response {
                                    connection,
                                    status: 200,
                                    body_digest: 9,
                                    first_byte_at: *last_response_at,
                                    close,
                                };
                                (*last_response_at, event)
                            }
                        };
                    events.insert((event.0, event_number), (*incarnation, event.1));
                }
                Action::Close(connection) => {
                    assert!(open.remove(&connection));
                    incarnations.entry(connection).or_default().0 += 1;
                }
            }
        }
        assert!(open.len() <= limits.max_connections);
        if runner.is_done() {
            break;
        }
        let timer = runner.next_timer_at();
        let event = events.keys().next().copied();
        now = now.max(
            [timer, event.map(|(at, _)| at)]
                .into_iter()
                .flatten()
                .min()
                .expect("a timer or an event is pending"),
        );
        if let Some((at, (incarnation, event))) = event
            .filter(|(at, _)| *at <= now)
            .and_then(|key| events.remove_entry(&key))
            .map(|((at, _), value)| (at, value))
        {
            let connection = event.connection();
            if incarnations[&connection].0 == incarnation {
                if matches!(event, Event::ConnectFailed(..) | Event::Closed(_)) {
                    open.remove(&connection);
                    incarnations.get_mut(&connection).unwrap().0 += 1;
                }
                runner.on_event(at, event);
            }
        }
    }
    Replayed {
        outcomes: runner.outcomes().to_vec(),
        sent,
        counts: runner.counts(),
        ended_at: now,
    }
}

/// Returns a recording whose connections start 1 ms apart and send a request every `gap_ms`.
fn recording(connections: u64, requests_each: u64, gap_ms: u64) -> Vec<RecordedRequest> {
    let one_request = |connection: u64, n: u64| {
        let key = format!("{connection}-{n}");
        request(connection, connection + n * gap_ms, &key, Some(3))
    };
    let mut requests: Vec<_> = (0..connections)
        .flat_map(|connection| (0..requests_each).map(move |n| one_request(connection, n)))
        .collect();
    requests.sort_by_key(|request| request.first_byte_at);
    requests
}

fn build_plan(recorded: &[RecordedRequest], options: &Options) -> Plan {
    Plan::build(recorded, &BTreeMap::new(), options).unwrap()
}

/// Counts the requests that were not sent, by reason.
fn not_sent(replayed: &Replayed) -> BTreeMap<NotSentReason, usize> {
    let mut by_reason = BTreeMap::new();
    for outcome in &replayed.outcomes {
        if let RequestState::NotSent(reason) = outcome.state {
            *by_reason.entry(reason).or_default() += 1;
        }
    }
    by_reason
}

#[test]
fn requests_are_sent_in_order_when_due() {
    let recorded = recording(50, 20, 40);
    for speed in [1.0, 10.0] {
        let plan = build_plan(
            &recorded,
            &Options {
                speed,
                ..Options::default()
            },
        );
        let replayed = run(&plan, Limits::default(), &Target::healthy(3));
        assert_eq!(
            replayed
                .sent
                .iter()
                .map(|(request, _)| *request)
                .collect::<Vec<_>>(),
            (0..1000).collect::<Vec<_>>()
        );
        // The first request of a connection may wait for the connection to open, which takes a millisecond.
        assert!(replayed
            .sent
            .iter()
            .all(|(request, at)| at - plan.requests[*request].send_at <= MS));
        let audit = Audit::new(
            &recorded,
            &plan,
            &replayed.outcomes,
            replayed.counts,
            AuditOptions {
                key_field: "X-Txn-Key",
                late_after: None,
            },
        );
        assert!(audit.is_complete() && !audit.violates_rules(), "{audit:?}");
        assert_eq!((audit.compared.same, audit.counts.connected), (1000, 50));
        assert!(
            audit.lateness.max_ms <= 1.01 && audit.drift_ms_per_s <= 1.0,
            "{audit:?}"
        );
    }
}

#[test]
fn slow_target_delays_requests_only_in_causal_replay() {
    let recorded = recording(1, 10, 10);
    let slow = Target::healthy(100);
    let timed = build_plan(&recorded, &Options::default());
    let replayed = run(&timed, Limits::default(), &slow);
    assert!(replayed
        .sent
        .iter()
        .all(|(request, at)| at - timed.requests[*request].send_at <= MS));
    assert!(replayed.counts.peak_in_flight > 5);
    let causal = build_plan(
        &recorded,
        &Options {
            causal: true,
            ..Options::default()
        },
    );
    let replayed = run(&causal, Limits::default(), &slow);
    assert_eq!(replayed.counts.peak_in_flight, 1);
    let times: Vec<u64> = replayed.sent.iter().map(|(_, at)| at / MS).collect();
    // 100 ms until the response, and 7 ms from a response to the next request, as recorded.
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] == 107),
        "{times:?}"
    );
    let all_on_time = replayed
        .outcomes
        .iter()
        .all(|outcome| outcome.sent_at.unwrap() - outcome.intended_at <= MS);
    assert!(
        all_on_time,
        "waiting for a response counts as lateness of the sender"
    );
}

#[test]
fn reconnects_back_off_and_overdue_requests_are_counted() {
    let recorded = recording(4, 100, 50);
    let plan = build_plan(&recorded, &Options::default());
    let refusing = Target {
        refused_connects: vec![true],
        ..Target::healthy(3)
    };
    let replayed = run(&plan, Limits::default(), &refusing);
    assert_eq!(
        not_sent(&replayed),
        BTreeMap::from([(NotSentReason::Refused, 400)])
    );
    // The recording lasts 5 s and the send timeout is 1 s; after the first few, backoffs are 0.5 to 1 s long.
    assert!(
        (4 * 6..4 * 30).contains(&replayed.counts.connect_failures),
        "{:?}",
        replayed.counts
    );
    let refusing_at_first = Target {
        refused_connects: [vec![true; 8], vec![false; 1000]].concat(),
        ..Target::healthy(3)
    };
    let replayed = run(&plan, Limits::default(), &refusing_at_first);
    assert_eq!(not_sent(&replayed), BTreeMap::new());
    assert_eq!(replayed.sent.len(), 400);
}

#[test]
fn requests_on_broken_connection_are_lost_and_never_resent() {
    let recorded = recording(5, 40, 20);
    let plan = build_plan(&recorded, &Options::default());
    let breaking = Target {
        response_times_ms: vec![Some(3), Some(3), Some(3), None],
        ..Target::healthy(3)
    };
    let replayed = run(&plan, Limits::default(), &breaking);
    let distinct: BTreeSet<_> = replayed.sent.iter().map(|(request, _)| *request).collect();
    assert_eq!((distinct.len(), replayed.sent.len()), (200, 200));
    let lost = replayed
        .outcomes
        .iter()
        .filter(|outcome| outcome.state == RequestState::ConnectionLost)
        .count();
    assert!(
        lost >= 50 && replayed.counts.connections_lost >= 40,
        "{lost} {:?}",
        replayed.counts
    );
    let audit = Audit::new(
        &recorded,
        &plan,
        &replayed.outcomes,
        replayed.counts,
        AuditOptions::default(),
    );
    assert_eq!(audit.connection_lost as usize, lost);
    assert_eq!(audit.answered as usize, 200 - lost);
    assert!(!audit.is_complete());
}

#[test]
fn closing_response_causes_reconnect_without_loss() {
    let recorded = recording(3, 60, 30);
    let plan = build_plan(&recorded, &Options::default());
    let replayed = run(
        &plan,
        Limits::default(),
        &Target {
            close_every: 4,
            ..Target::healthy(3)
        },
    );
    assert!(replayed
        .outcomes
        .iter()
        .all(|outcome| matches!(outcome.state, RequestState::Answered { .. })));
    assert!(replayed.counts.connected >= 40);
    assert!(replayed
        .sent
        .iter()
        .all(|(request, at)| at - plan.requests[*request].send_at <= MS));
}

#[test]
fn replay_to_hanging_target_ends_in_bounded_time_and_memory() {
    let recorded = recording(10, 100, 10);
    let plan = build_plan(&recorded, &Options::default());
    let limits = Limits {
        max_in_flight: 64,
        response_timeout: 2_000 * MS,
        ..Limits::default()
    };
    let replayed = run(
        &plan,
        limits,
        &Target {
            hangs: true,
            ..Target::healthy(3)
        },
    );
    assert_eq!(replayed.counts.peak_in_flight, 64);
    assert!(not_sent(&replayed)[&NotSentReason::InFlightLimit] > 800);
    assert!(replayed
        .outcomes
        .iter()
        .any(|outcome| outcome.state == RequestState::TimedOut));
    assert!(replayed.ended_at < plan.last_send_at + 3_000 * MS);
}

#[test]
fn idle_connections_due_last_are_evicted_at_connection_limit() {
    // 200 connections that each send a request every 10 s, at different times.
    let mut recorded: Vec<_> = (0..200)
        .flat_map(|c| (0..3).map(move |n| request(c, c * 50 + n * 10_000, "k", Some(3))))
        .collect();
    recorded.sort_by_key(|request| request.first_byte_at);
    let plan = build_plan(&recorded, &Options::default());
    let limits = Limits {
        max_connections: 10,
        ..Limits::default()
    };
    let replayed = run(&plan, limits, &Target::healthy(3));
    assert_eq!(not_sent(&replayed), BTreeMap::new());
    assert!(replayed.counts.idle_evictions > 300 && replayed.counts.peak_connections <= 10);
    // Without idle connections to evict, requests that can't be sent in time are counted as such.
    let limits = Limits {
        max_connections: 1,
        send_timeout: 20 * MS,
        ..Limits::default()
    };
    let replayed = run(
        &build_plan(&recording(30, 5, 5), &Options::default()),
        limits,
        &Target::healthy(500),
    );
    assert!(not_sent(&replayed)[&NotSentReason::Exhausted] > 50);
}

#[test]
fn idle_connection_is_evicted_when_descriptors_run_out() {
    // The second connection is needed while the first one is idle for a long time.
    let recorded = [
        request(1, 0, "a", Some(3)),
        request(2, 500, "b", Some(3)),
        request(1, 5000, "c", Some(3)),
    ];
    let plan = build_plan(&recorded, &Options::default());
    let mut runner = Runner::new(&plan, Limits::default(), 3);
    let (mut actions, mut now) = (Vec::new(), 0);
    let mut run_until = |runner: &mut Runner<'_>, expected: Action, now: &mut u64| {
        while !actions.contains(&expected) {
            *now = runner
                .next_timer_at()
                .expect("a timer or an event is pending")
                .max(*now);
            runner.poll(*now, &mut actions);
        }
        actions.retain(|action| *action != expected);
    };
    let response = |connection, now| Event::Response {
        connection,
        status: 200,
        body_digest: 9,
        first_byte_at: now,
        close: false,
    };
    run_until(&mut runner, Action::Connect(0), &mut now);
    runner.on_event(now, Event::Connected(0));
    run_until(&mut runner, Action::Send(0), &mut now);
    runner.on_event(now, response(0, now));
    run_until(&mut runner, Action::Connect(1), &mut now);
    runner.on_event(now, Event::ConnectFailed(1, ConnectFailure::Exhausted));
    run_until(&mut runner, Action::Close(0), &mut now);
    run_until(&mut runner, Action::Connect(1), &mut now);
    runner.on_event(now, Event::Connected(1));
    run_until(&mut runner, Action::Send(1), &mut now);
    assert!(now <= 520 * MS, "{now}");
    runner.on_event(now, response(1, now));
    // The first connection is opened again in time for its next request.
    run_until(&mut runner, Action::Connect(0), &mut now);
    runner.on_event(now, Event::Connected(0));
    run_until(&mut runner, Action::Send(2), &mut now);
    assert!(now <= 5000 * MS, "{now}");
    runner.on_event(now, response(0, now));
    assert!(runner.is_done() && runner.counts().idle_evictions == 1);
}

#[test]
fn different_results_for_one_key_violate_rules() {
    let recorded = vec![
        request(1, 0, "same", None),
        request(1, 50, "same", None),
        request(1, 90, "other", None),
    ];
    let plan = build_plan(&recorded, &Options::default());
    let answered = |body_digest| RequestState::Answered {
        status: 200,
        body_digest,
        first_byte_at: 9 * MS,
        last_byte_at: 9 * MS,
    };
    let outcomes = [1, 2, 3].map(|digest| Outcome {
        intended_at: 0,
        sent_at: Some(0),
        state: answered(digest),
    });
    let options = AuditOptions {
        key_field: "x-txn-key",
        late_after: Some(5 * MS),
    };
    let audit = Audit::new(&recorded, &plan, &outcomes, Default::default(), options);
    assert_eq!((audit.conflicting_keys, audit.late), (1, 3));
    assert!(audit.violates_rules());
}

#[test]
fn requests_end_once_within_limits_against_any_target() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]));
    let target_strategy = (
        prop::collection::vec(prop::bool::weighted(0.3), 1..20),
        prop::collection::vec(prop::option::weighted(0.9, 0_u64..400), 1..20),
        1_usize..30,
        prop::bool::weighted(0.05),
    );
    let recording_strategy = (1_u64..30, 1_u64..20, 0_u64..200);
    let limits_strategy = (1_usize..40, 1_usize..40, any::<bool>());
    runner
        .run(
            &(target_strategy, recording_strategy, limits_strategy),
            |(
                (refused_connects, response_times_ms, close_every, hangs),
                (connections, requests_each, gap_ms),
                (max_connections, max_in_flight, causal),
            )| {
                let recorded = recording(connections, requests_each, gap_ms);
                let plan = build_plan(
                    &recorded,
                    &Options {
                        causal,
                        ..Options::default()
                    },
                );
                let limits = Limits {
                    max_connections,
                    max_in_flight,
                    response_timeout: 1_000 * MS,
                    ..Limits::default()
                };
                let replayed = run(
                    &plan,
                    limits,
                    &Target {
                        refused_connects,
                        response_times_ms,
                        close_every,
                        hangs,
                    },
                );
                let distinct: BTreeSet<_> =
                    replayed.sent.iter().map(|(request, _)| *request).collect();
                prop_assert_eq!(distinct.len(), replayed.sent.len());
                prop_assert!(replayed.counts.peak_in_flight <= max_in_flight);
                for (index, outcome) in replayed.outcomes.iter().enumerate() {
                    prop_assert!(outcome.state != RequestState::Pending);
                    prop_assert_eq!(outcome.sent_at.is_some(), distinct.contains(&index));
                    prop_assert_eq!(
                        outcome.sent_at.is_none(),
                        matches!(outcome.state, RequestState::NotSent(_))
                    );
                    prop_assert!(outcome
                        .sent_at
                        .is_none_or(|sent_at| sent_at >= outcome.intended_at));
                }
                for connection in &plan.connections {
                    let sent: Vec<_> = replayed
                        .sent
                        .iter()
                        .filter(|(request, _)| connection.requests.contains(request))
                        .map(|(request, _)| *request)
                        .collect();
                    let mut sorted = sent.clone();
                    sorted.sort_by_key(|request| {
                        connection
                            .requests
                            .iter()
                            .position(|planned| planned == request)
                    });
                    prop_assert_eq!(sent, sorted);
                }
                Ok(())
            },
        )
        .unwrap();
}
