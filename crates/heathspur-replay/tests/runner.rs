//! The replay against targets that answer, refuse, break and hang, in a time of their own.

mod common;
use common::*;
use heathspur_replay::audit::{audit, Terms};
use heathspur_replay::event::{Action, Event, Failure};
use heathspur_replay::limits::Limits;
use heathspur_replay::outcome::{End, Outcome, Unsent};
use heathspur_replay::plan::{Options, Plan};
use heathspur_replay::recording::RecordedRequest;
use heathspur_replay::runner::Runner;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

/// How a target behaves.
#[derive(Clone, Debug)]
struct Target {
    /// Of each connection: whether it is refused, by its number in time.
    refuses: Vec<bool>,
    /// Of each request: after how many ms it is answered; none breaks the connection instead.
    answers: Vec<Option<u64>>,
    /// An answer of this place is the last on its connection.
    last_every: usize,
    /// Never answers.
    hangs: bool,
}

impl Target {
    fn good(ms: u64) -> Target {
        Target {
            refuses: vec![false],
            answers: vec![Some(ms)],
            last_every: usize::MAX,
            hangs: false,
        }
    }
}

struct Played {
    outcomes: Vec<Outcome>,
    /// Place in the plan and time, in the order of sending.
    sent: Vec<(usize, u64)>,
    counts: heathspur_replay::outcome::Counts,
    ended: u64,
}

/// Plays a replay to its end in made-up time; each event takes its place by time and order.
fn play(plan: &Plan, limits: Limits, target: &Target) -> Played {
    let mut runner = Runner::new(plan, limits, 3);
    let mut events: BTreeMap<(u64, u64), (u64, Event)> = BTreeMap::new();
    let (mut now, mut number, mut tries, mut actions, mut sent) = (0, 0, 0, Vec::new(), Vec::new());
    // What a lane's connection is now, so that events of an older one are dropped.
    let mut life: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    let mut up: BTreeSet<usize> = BTreeSet::new();
    for turn in 0.. {
        assert!(turn < 200_000, "the replay does not end");
        runner.step(now, &mut actions);
        for action in actions.drain(..) {
            number += 1;
            match action {
                Action::Connect(lane) => {
                    assert!(up.insert(lane), "connected twice");
                    let refused = target.refuses[tries % target.refuses.len()];
                    tries += 1;
                    let entry = life.entry(lane).or_default();
                    *entry = (entry.0 + 1, now + MS);
                    let event = match refused {
                        true => Event::Failed(lane, Failure::Refused),
                        false => Event::Connected(lane),
                    };
                    events.insert((now + MS, number), (entry.0, event));
                }
                Action::Send(send) => {
                    let lane = plan.requests[send].connection;
                    assert!(up.contains(&lane), "sent on a connection that is not there");
                    sent.push((send, now));
                    let (life, busy) = life.get_mut(&lane).unwrap();
                    let n = sent.len();
                    let event = match target.answers[n % target.answers.len()] {
                        _ if target.hangs => continue,
                        None => (now + MS, Event::Closed(lane)),
                        Some(ms) => {
                            // Answers of one connection come in order.
                            *busy = (*busy).max(now + ms * MS) + 1;
                            let close = n % target.last_every == 0;
                            let event = Event::Answer {
                                lane,
                                status: 200,
                                digest: 9,
                                first: *busy,
                                close,
                            };
                            (*busy, event)
                        }
                    };
                    events.insert((event.0, number), (*life, event.1));
                }
                Action::Close(lane) => {
                    assert!(up.remove(&lane));
                    life.entry(lane).or_default().0 += 1;
                }
            }
        }
        assert!(up.len() <= limits.connections);
        if runner.done() {
            break;
        }
        let timer = runner.next_time();
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
            let lane = match event {
                Event::Connected(lane) | Event::Failed(lane, _) | Event::Closed(lane) => lane,
                Event::Answer { lane, .. } => lane,
            };
            if life[&lane].0 == alive {
                if matches!(event, Event::Failed(..) | Event::Closed(_)) {
                    up.remove(&lane);
                    life.get_mut(&lane).unwrap().0 += 1;
                }
                runner.event(at, event);
            }
        }
    }
    Played {
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

fn unsent(played: &Played) -> BTreeMap<Unsent, usize> {
    let mut by_cause = BTreeMap::new();
    for outcome in &played.outcomes {
        if let End::Unsent(why) = outcome.end {
            *by_cause.entry(why).or_default() += 1;
        }
    }
    by_cause
}

#[test]
fn every_request_leaves_at_its_time_on_its_connection_and_in_order() {
    let recorded = recording(50, 20, 40);
    for speed in [1.0, 10.0] {
        let plan = schedule(
            &recorded,
            &Options {
                speed,
                ..Options::default()
            },
        );
        let played = play(&plan, Limits::default(), &Target::good(3));
        assert_eq!(
            played
                .sent
                .iter()
                .map(|(send, _)| *send)
                .collect::<Vec<_>>(),
            (0..1000).collect::<Vec<_>>()
        );
        // The first of all leave as soon as their connection is there, which takes a millisecond.
        assert!(played
            .sent
            .iter()
            .all(|(send, at)| at - plan.requests[*send].send_at <= MS));
        let audit = audit(
            &recorded,
            &plan,
            &played.outcomes,
            played.counts,
            Terms {
                key: "X-Txn-Key",
                late_after: None,
            },
        );
        assert!(audit.whole() && !audit.breaks_a_rule(), "{audit:?}");
        assert_eq!((audit.compared.same, audit.counts.connected), (1000, 50));
        assert!(
            audit.lateness.max_ms <= 1.01 && audit.drift_ms_per_s <= 1.0,
            "{audit:?}"
        );
    }
}

#[test]
fn a_slow_target_is_sent_to_by_the_clock_or_by_its_answers() {
    let recorded = recording(1, 10, 10);
    let slow = Target::good(100);
    let clock = schedule(&recorded, &Options::default());
    let played = play(&clock, Limits::default(), &slow);
    assert!(played
        .sent
        .iter()
        .all(|(send, at)| at - clock.requests[*send].send_at <= MS));
    assert!(played.counts.most_open > 5);
    let causal = schedule(
        &recorded,
        &Options {
            causal: true,
            ..Options::default()
        },
    );
    let played = play(&causal, Limits::default(), &slow);
    assert_eq!(played.counts.most_open, 1);
    let times: Vec<u64> = played.sent.iter().map(|(_, at)| at / MS).collect();
    // 100 ms for the answer and the 7 ms that the recorded client took after each.
    assert!(
        times.windows(2).all(|pair| pair[1] - pair[0] == 107),
        "{times:?}"
    );
    let none_late = played
        .outcomes
        .iter()
        .all(|o| o.sent.unwrap() - o.intended <= MS);
    assert!(
        none_late,
        "a wait for the target is not the sender's lateness"
    );
}

#[test]
fn a_refusing_target_is_tried_with_growing_waits_and_what_was_due_is_counted() {
    let recorded = recording(4, 100, 50);
    let plan = schedule(&recorded, &Options::default());
    let never = Target {
        refuses: vec![true],
        ..Target::good(3)
    };
    let played = play(&plan, Limits::default(), &never);
    assert_eq!(unsent(&played), BTreeMap::from([(Unsent::Refused, 400)]));
    // Five seconds and the second of patience, at half a second to a second each after the first few.
    assert!(
        (4 * 6..4 * 30).contains(&played.counts.failed),
        "{:?}",
        played.counts
    );
    let at_first = Target {
        refuses: [vec![true; 8], vec![false; 1000]].concat(),
        ..Target::good(3)
    };
    let played = play(&plan, Limits::default(), &at_first);
    assert_eq!(unsent(&played), BTreeMap::new());
    assert_eq!(played.sent.len(), 400);
}

#[test]
fn what_was_written_to_a_connection_that_breaks_is_lost_and_never_sent_again() {
    let recorded = recording(5, 40, 20);
    let plan = schedule(&recorded, &Options::default());
    let breaks = Target {
        answers: vec![Some(3), Some(3), Some(3), None],
        ..Target::good(3)
    };
    let played = play(&plan, Limits::default(), &breaks);
    let once: BTreeSet<_> = played.sent.iter().map(|(send, _)| *send).collect();
    assert_eq!((once.len(), played.sent.len()), (200, 200));
    let broken = played
        .outcomes
        .iter()
        .filter(|o| o.end == End::Broken)
        .count();
    assert!(
        broken >= 50 && played.counts.broken >= 40,
        "{broken} {:?}",
        played.counts
    );
    let audit = audit(
        &recorded,
        &plan,
        &played.outcomes,
        played.counts,
        Terms::default(),
    );
    assert_eq!(audit.broken as usize, broken);
    assert_eq!(audit.answered as usize, 200 - broken);
    assert!(!audit.whole());
}

#[test]
fn a_last_answer_costs_a_new_connection_and_nothing_else() {
    let recorded = recording(3, 60, 30);
    let plan = schedule(&recorded, &Options::default());
    let played = play(
        &plan,
        Limits::default(),
        &Target {
            last_every: 4,
            ..Target::good(3)
        },
    );
    assert!(played
        .outcomes
        .iter()
        .all(|o| matches!(o.end, End::Answered { .. })));
    assert!(played.counts.connected >= 40);
    assert!(played
        .sent
        .iter()
        .all(|(send, at)| at - plan.requests[*send].send_at <= MS));
}

#[test]
fn a_silent_target_ends_the_replay_in_bounded_time_and_memory() {
    let recorded = recording(10, 100, 10);
    let plan = schedule(&recorded, &Options::default());
    let limits = Limits {
        open: 64,
        answer: 2_000 * MS,
        ..Limits::default()
    };
    let played = play(
        &plan,
        limits,
        &Target {
            hangs: true,
            ..Target::good(3)
        },
    );
    assert_eq!(played.counts.most_open, 64);
    assert!(unsent(&played)[&Unsent::Budget] > 800);
    assert!(played.outcomes.iter().any(|o| o.end == End::TimedOut));
    assert!(played.ended < plan.last_send_at + 3_000 * MS);
}

#[test]
fn few_connections_are_shared_by_closing_those_needed_last() {
    // Two hundred connections that each speak once in ten seconds, at other times.
    let mut recorded: Vec<_> = (0..200)
        .flat_map(|c| (0..3).map(move |n| request(c, c * 50 + n * 10_000, "k", Some(3))))
        .collect();
    recorded.sort_by_key(|request| request.first_byte_at);
    let plan = schedule(&recorded, &Options::default());
    let limits = Limits {
        connections: 10,
        ..Limits::default()
    };
    let played = play(&plan, limits, &Target::good(3));
    assert_eq!(unsent(&played), BTreeMap::new());
    assert!(played.counts.made_room > 300 && played.counts.most_connections <= 10);
    // With none to spare, what can't leave in time is told as such.
    let limits = Limits {
        connections: 1,
        late: 20 * MS,
        ..Limits::default()
    };
    let played = play(
        &schedule(&recording(30, 5, 5), &Options::default()),
        limits,
        &Target::good(500),
    );
    assert!(unsent(&played)[&Unsent::Exhausted] > 50);
}

#[test]
fn where_descriptors_run_out_a_resting_connection_makes_room() {
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
            *now = runner.next_time().expect("something is to come").max(*now);
            runner.step(*now, &mut actions);
        }
        actions.retain(|action| *action != wanted);
    };
    let answer = |lane, now| Event::Answer {
        lane,
        status: 200,
        digest: 9,
        first: now,
        close: false,
    };
    until(&mut runner, Action::Connect(0), &mut now);
    runner.event(now, Event::Connected(0));
    until(&mut runner, Action::Send(0), &mut now);
    runner.event(now, answer(0, now));
    until(&mut runner, Action::Connect(1), &mut now);
    runner.event(now, Event::Failed(1, Failure::Exhausted));
    until(&mut runner, Action::Close(0), &mut now);
    until(&mut runner, Action::Connect(1), &mut now);
    runner.event(now, Event::Connected(1));
    until(&mut runner, Action::Send(1), &mut now);
    assert!(now <= 520 * MS, "{now}");
    runner.event(now, answer(1, now));
    // The first is made again in time for its next request.
    until(&mut runner, Action::Connect(0), &mut now);
    runner.event(now, Event::Connected(0));
    until(&mut runner, Action::Send(2), &mut now);
    assert!(now <= 5000 * MS, "{now}");
    runner.event(now, answer(0, now));
    assert!(runner.done() && runner.counts().made_room == 1);
}

#[test]
fn one_key_with_two_results_is_told() {
    let recorded = vec![
        request(1, 0, "same", None),
        request(1, 50, "same", None),
        request(1, 90, "other", None),
    ];
    let plan = schedule(&recorded, &Options::default());
    let ended = |digest| End::Answered {
        status: 200,
        digest,
        first: 9 * MS,
        last: 9 * MS,
    };
    let outcomes = [1, 2, 3].map(|digest| Outcome {
        intended: 0,
        sent: Some(0),
        end: ended(digest),
    });
    let terms = Terms {
        key: "x-txn-key",
        late_after: Some(5 * MS),
    };
    let found = audit(&recorded, &plan, &outcomes, Default::default(), terms);
    assert_eq!((found.keys_differ, found.late), (1, 3));
    assert!(found.breaks_a_rule());
}

#[test]
fn against_any_target_each_request_ends_once_and_the_bounds_hold() {
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
            |((refuses, answers, last_every, hangs), shape, (connections, open, causal))| {
                let recorded = recording(shape.0, shape.1, shape.2);
                let plan = schedule(
                    &recorded,
                    &Options {
                        causal,
                        ..Options::default()
                    },
                );
                let limits = Limits {
                    connections,
                    open,
                    answer: 1_000 * MS,
                    ..Limits::default()
                };
                let played = play(
                    &plan,
                    limits,
                    &Target {
                        refuses,
                        answers,
                        last_every,
                        hangs,
                    },
                );
                let once: BTreeSet<_> = played.sent.iter().map(|(send, _)| *send).collect();
                prop_assert_eq!(once.len(), played.sent.len());
                prop_assert!(played.counts.most_open <= open);
                for (n, outcome) in played.outcomes.iter().enumerate() {
                    prop_assert!(outcome.end != End::Open);
                    prop_assert_eq!(outcome.sent.is_some(), once.contains(&n));
                    prop_assert_eq!(
                        outcome.sent.is_none(),
                        matches!(outcome.end, End::Unsent(_))
                    );
                    prop_assert!(outcome.sent.is_none_or(|sent| sent >= outcome.intended));
                }
                for lane in &plan.connections {
                    let order: Vec<_> = played
                        .sent
                        .iter()
                        .filter(|(s, _)| lane.requests.contains(s))
                        .map(|(s, _)| *s)
                        .collect();
                    let mut sorted = order.clone();
                    sorted.sort_by_key(|send| lane.requests.iter().position(|one| one == send));
                    prop_assert_eq!(order, sorted);
                }
                Ok(())
            },
        )
        .unwrap();
}
