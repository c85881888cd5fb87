//! The runner against simulated targets that answer, refuse, break and hang, in virtual time.

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
    /// Whether each attempt to connect is refused, in turn.
    refuses: Vec<bool>,
    /// Response time of each request in milliseconds, in turn; `None` breaks the connection instead.
    answers: Vec<Option<u64>>,
    /// Every response with a multiple of this number closes its connection.
    close_every: usize,
    /// Whether it never answers.
    hangs: bool,
}

impl Target {
    fn healthy(ms: u64) -> Target {
        Target {
            refuses: vec![false],
            answers: vec![Some(ms)],
            close_every: usize::MAX,
            hangs: false,
        }
    }
}

struct Replayed {
    outcomes: Vec<Outcome>,
    /// Index in the plan and time of each request, in sending order.
    sent: Vec<(usize, u64)>,
    counts: heathspur_replay::outcome::Counts,
    ended: u64,
}

/// Runs a replay to its end in virtual time. Events take effect by time, then in the order of their creation.
fn run(plan: &Plan, limits: Limits, target: &Target) -> Replayed {
    let mut runner = Runner::new(plan, limits, 3);
    let mut events: BTreeMap<(u64, u64), (u64, Event)> = BTreeMap::new();
    let (mut now, mut number, mut attempts, mut actions, mut sent) =
        (0, 0, 0, Vec::new(), Vec::new());
    // Incarnation of each connection, and when its latest response is due. Events of an older one are dropped.
    let mut incarnations: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    let mut up: BTreeSet<usize> = BTreeSet::new();
    for turn in 0.. {
        assert!(turn < 200_000, "the replay does not end");
        runner.poll(now, &mut actions);
        for action in actions.drain(..) {
            number += 1;
            match action {
                Action::Connect(connection) => {
                    assert!(up.insert(connection), "connected twice");
                    let refused = target.refuses[attempts % target.refuses.len()];
                    attempts += 1;
                    let entry = incarnations.entry(connection).or_default();
                    *entry = (entry.0 + 1, now + MS);
                    let event = match refused {
                        true => Event::ConnectFailed(connection, ConnectFailure::Refused),
                        false => Event::Connected(connection),
                    };
                    events.insert((now + MS, number), (entry.0, event));
                }
                Action::Send(send) => {
                    let connection = plan.requests[send].connection;
                    assert!(
                        up.contains(&connection),
                        "sent on a connection that is not there"
                    );
                    sent.push((send, now));
                    let (incarnation, busy) = incarnations.get_mut(&connection).unwrap();
                    let n = sent.len();
                    let event = match target.answers[n % target.answers.len()] {
                        _ if target.hangs => continue,
                        None => (now + MS, Event::Closed(connection)),
                        Some(ms) => {
                            // Answers of one connection come in order.
                            *busy = (*busy).max(now + ms * MS) + 1;
                            let close = n % target.close_every == 0;
                            let event = Event::Response {
                                connection,
                                status: 200,
                                body_digest: 9,
                                first_byte_at: *busy,
                                close,
                            };
                            (*busy, event)
                        }
                    };
                    events.insert((event.0, number), (*incarnation, event.1));
                }
                Action::Close(connection) => {
                    assert!(up.remove(&connection));
                    incarnations.entry(connection).or_default().0 += 1;
                }
            }
        }
        assert!(up.len() <= limits.max_connections);
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
                .expect("something is to come"),
        );
        if let Some((at, (alive, event))) = event
            .filter(|(at, _)| *at <= now)
            .and_then(|key| events.remove_entry(&key))
            .map(|(k, v)| (k.0, v))
        {
            let connection = event.connection();
            if incarnations[&connection].0 == alive {
                if matches!(event, Event::ConnectFailed(..) | Event::Closed(_)) {
                    up.remove(&connection);
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
        ended: now,
    }
}

fn recording(conns: u64, each: u64, gap_ms: u64) -> Vec<RecordedRequest> {
    let one = |conn: u64, n: u64| request(conn, conn + n * gap_ms, &format!("{conn}-{n}"), Some(3));
    let mut all: Vec<_> = (0..conns)
        .flat_map(|conn| (0..each).map(move |n| one(conn, n)))
        .collect();
    all.sort_by_key(|request| request.first_byte_at);
    all
}

fn schedule(recorded: &[RecordedRequest], options: &Options) -> Plan {
    Plan::build(recorded, &BTreeMap::new(), options).unwrap()
}

fn unsent(replayed: &Replayed) -> BTreeMap<NotSentReason, usize> {
    let mut by_cause = BTreeMap::new();
    for outcome in &replayed.outcomes {
        if let RequestState::NotSent(why) = outcome.state {
            *by_cause.entry(why).or_default() += 1;
        }
    }
    by_cause
}

#[test]
fn every_request_is_sent_in_order_on_its_connection_when_it_is_due() {
    let recorded = recording(50, 20, 40);
    for speed in [1.0, 10.0] {
        let plan = schedule(
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
                .map(|(send, _)| *send)
                .collect::<Vec<_>>(),
            (0..1000).collect::<Vec<_>>()
        );
        // The first of all leave as soon as their connection is there, which takes a millisecond.
        assert!(replayed
            .sent
            .iter()
            .all(|(send, at)| at - plan.requests[*send].send_at <= MS));
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
fn a_slow_target_delays_requests_only_in_a_causal_replay() {
    let recorded = recording(1, 10, 10);
    let slow = Target::healthy(100);
    let clock = schedule(&recorded, &Options::default());
    let replayed = run(&clock, Limits::default(), &slow);
    assert!(replayed
        .sent
        .iter()
        .all(|(send, at)| at - clock.requests[*send].send_at <= MS));
    assert!(replayed.counts.peak_in_flight > 5);
    let causal = schedule(
        &recorded,
        &Options {
            causal: true,
            ..Options::default()
        },
    );
    let replayed = run(&causal, Limits::default(), &slow);
    assert_eq!(replayed.counts.peak_in_flight, 1);
    let times: Vec<u64> = replayed.sent.iter().map(|(_, at)| at / MS).collect();
    // 100 ms for the answer and the 7 ms that the recorded client took after each.
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] == 107),
        "{times:?}"
    );
    let none_late = replayed
        .outcomes
        .iter()
        .all(|o| o.sent_at.unwrap() - o.intended_at <= MS);
    assert!(
        none_late,
        "a wait for the target is not the sender's lateness"
    );
}

#[test]
fn reconnects_back_off_and_overdue_requests_are_counted() {
    let recorded = recording(4, 100, 50);
    let plan = schedule(&recorded, &Options::default());
    let never = Target {
        refuses: vec![true],
        ..Target::healthy(3)
    };
    let replayed = run(&plan, Limits::default(), &never);
    assert_eq!(
        unsent(&replayed),
        BTreeMap::from([(NotSentReason::Refused, 400)])
    );
    // Five seconds and the second of patience, at half a second to a second each after the first few.
    assert!(
        (4 * 6..4 * 30).contains(&replayed.counts.connect_failures),
        "{:?}",
        replayed.counts
    );
    let at_first = Target {
        refuses: [vec![true; 8], vec![false; 1000]].concat(),
        ..Target::healthy(3)
    };
    let replayed = run(&plan, Limits::default(), &at_first);
    assert_eq!(unsent(&replayed), BTreeMap::new());
    assert_eq!(replayed.sent.len(), 400);
}

#[test]
fn requests_on_a_broken_connection_are_lost_and_never_sent_again() {
    let recorded = recording(5, 40, 20);
    let plan = schedule(&recorded, &Options::default());
    let breaks = Target {
        answers: vec![Some(3), Some(3), Some(3), None],
        ..Target::healthy(3)
    };
    let replayed = run(&plan, Limits::default(), &breaks);
    let once: BTreeSet<_> = replayed.sent.iter().map(|(send, _)| *send).collect();
    assert_eq!((once.len(), replayed.sent.len()), (200, 200));
    let broken = replayed
        .outcomes
        .iter()
        .filter(|o| o.state == RequestState::ConnectionLost)
        .count();
    assert!(
        broken >= 50 && replayed.counts.connections_lost >= 40,
        "{broken} {:?}",
        replayed.counts
    );
    let audit = Audit::new(
        &recorded,
        &plan,
        &replayed.outcomes,
        replayed.counts,
        AuditOptions::default(),
    );
    assert_eq!(audit.connection_lost as usize, broken);
    assert_eq!(audit.answered as usize, 200 - broken);
    assert!(!audit.is_complete());
}

#[test]
fn a_closing_response_costs_only_a_new_connection() {
    let recorded = recording(3, 60, 30);
    let plan = schedule(&recorded, &Options::default());
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
        .all(|o| matches!(o.state, RequestState::Answered { .. })));
    assert!(replayed.counts.connected >= 40);
    assert!(replayed
        .sent
        .iter()
        .all(|(send, at)| at - plan.requests[*send].send_at <= MS));
}

#[test]
fn a_replay_to_a_silent_target_ends_in_bounded_time_and_memory() {
    let recorded = recording(10, 100, 10);
    let plan = schedule(&recorded, &Options::default());
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
    assert!(unsent(&replayed)[&NotSentReason::Budget] > 800);
    assert!(replayed
        .outcomes
        .iter()
        .any(|o| o.state == RequestState::TimedOut));
    assert!(replayed.ended < plan.last_send_at + 3_000 * MS);
}

#[test]
fn idle_connections_needed_last_are_closed_for_others() {
    // Two hundred connections that each speak once in ten seconds, at other times.
    let mut recorded: Vec<_> = (0..200)
        .flat_map(|c| (0..3).map(move |n| request(c, c * 50 + n * 10_000, "k", Some(3))))
        .collect();
    recorded.sort_by_key(|request| request.first_byte_at);
    let plan = schedule(&recorded, &Options::default());
    let limits = Limits {
        max_connections: 10,
        ..Limits::default()
    };
    let replayed = run(&plan, limits, &Target::healthy(3));
    assert_eq!(unsent(&replayed), BTreeMap::new());
    assert!(replayed.counts.idle_evictions > 300 && replayed.counts.peak_connections <= 10);
    // With none to spare, what can't leave in time is told as such.
    let limits = Limits {
        max_connections: 1,
        send_timeout: 20 * MS,
        ..Limits::default()
    };
    let replayed = run(
        &schedule(&recording(30, 5, 5), &Options::default()),
        limits,
        &Target::healthy(500),
    );
    assert!(unsent(&replayed)[&NotSentReason::Exhausted] > 50);
}

#[test]
fn an_idle_connection_is_closed_when_descriptors_run_out() {
    // The second connection is needed while the first rests for long.
    let recorded = [
        request(1, 0, "a", Some(3)),
        request(2, 500, "b", Some(3)),
        request(1, 5000, "c", Some(3)),
    ];
    let plan = schedule(&recorded, &Options::default());
    let mut runner = Runner::new(&plan, Limits::default(), 3);
    let (mut actions, mut now) = (Vec::new(), 0);
    let mut until = |runner: &mut Runner<'_>, wanted: Action, now: &mut u64| {
        while !actions.contains(&wanted) {
            *now = runner
                .next_timer_at()
                .expect("something is to come")
                .max(*now);
            runner.poll(*now, &mut actions);
        }
        actions.retain(|action| *action != wanted);
    };
    let answer = |connection, now| Event::Response {
        connection,
        status: 200,
        body_digest: 9,
        first_byte_at: now,
        close: false,
    };
    until(&mut runner, Action::Connect(0), &mut now);
    runner.on_event(now, Event::Connected(0));
    until(&mut runner, Action::Send(0), &mut now);
    runner.on_event(now, answer(0, now));
    until(&mut runner, Action::Connect(1), &mut now);
    runner.on_event(now, Event::ConnectFailed(1, ConnectFailure::Exhausted));
    until(&mut runner, Action::Close(0), &mut now);
    until(&mut runner, Action::Connect(1), &mut now);
    runner.on_event(now, Event::Connected(1));
    until(&mut runner, Action::Send(1), &mut now);
    assert!(now <= 520 * MS, "{now}");
    runner.on_event(now, answer(1, now));
    // The first is made again in time for its next request.
    until(&mut runner, Action::Connect(0), &mut now);
    runner.on_event(now, Event::Connected(0));
    until(&mut runner, Action::Send(2), &mut now);
    assert!(now <= 5000 * MS, "{now}");
    runner.on_event(now, answer(0, now));
    assert!(runner.is_done() && runner.counts().idle_evictions == 1);
}

#[test]
fn different_results_for_one_key_are_reported() {
    let recorded = vec![
        request(1, 0, "same", None),
        request(1, 50, "same", None),
        request(1, 90, "other", None),
    ];
    let plan = schedule(&recorded, &Options::default());
    let ended = |body_digest| RequestState::Answered {
        status: 200,
        body_digest,
        first_byte_at: 9 * MS,
        last_byte_at: 9 * MS,
    };
    let outcomes = [1, 2, 3].map(|digest| Outcome {
        intended_at: 0,
        sent_at: Some(0),
        state: ended(digest),
    });
    let terms = AuditOptions {
        key_field: "x-txn-key",
        late_after: Some(5 * MS),
    };
    let found = Audit::new(&recorded, &plan, &outcomes, Default::default(), terms);
    assert_eq!((found.conflicting_keys, found.late), (1, 3));
    assert!(found.violates_rules());
}

#[test]
fn each_request_ends_once_within_the_limits_against_any_target() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let mut cases =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]));
    let target = (
        prop::collection::vec(prop::bool::weighted(0.3), 1..20),
        prop::collection::vec(prop::option::weighted(0.9, 0_u64..400), 1..20),
        1_usize..30,
        prop::bool::weighted(0.05),
    );
    let shape = (1_u64..30, 1_u64..20, 0_u64..200);
    let bounds = (1_usize..40, 1_usize..40, any::<bool>());
    cases
        .run(
            &(target, shape, bounds),
            |(
                (refuses, answers, close_every, hangs),
                shape,
                (max_connections, max_in_flight, causal),
            )| {
                let recorded = recording(shape.0, shape.1, shape.2);
                let plan = schedule(
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
                        refuses,
                        answers,
                        close_every,
                        hangs,
                    },
                );
                let once: BTreeSet<_> = replayed.sent.iter().map(|(send, _)| *send).collect();
                prop_assert_eq!(once.len(), replayed.sent.len());
                prop_assert!(replayed.counts.peak_in_flight <= max_in_flight);
                for (n, outcome) in replayed.outcomes.iter().enumerate() {
                    prop_assert!(outcome.state != RequestState::Pending);
                    prop_assert_eq!(outcome.sent_at.is_some(), once.contains(&n));
                    prop_assert_eq!(
                        outcome.sent_at.is_none(),
                        matches!(outcome.state, RequestState::NotSent(_))
                    );
                    prop_assert!(outcome
                        .sent_at
                        .is_none_or(|sent| sent >= outcome.intended_at));
                }
                for connection in &plan.connections {
                    let order: Vec<_> = replayed
                        .sent
                        .iter()
                        .filter(|(s, _)| connection.requests.contains(s))
                        .map(|(s, _)| *s)
                        .collect();
                    let mut sorted = order.clone();
                    sorted
                        .sort_by_key(|send| connection.requests.iter().position(|one| one == send));
                    prop_assert_eq!(order, sorted);
                }
                Ok(())
            },
        )
        .unwrap();
}
