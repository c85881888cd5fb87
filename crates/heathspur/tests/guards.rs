//! The guards of the four rules, one situation each.

mod common;
use common::*;
use heathspur::*;

#[test]
fn running_work_is_failed_by_its_due_time() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 1), 1);
    b.arrive(request(2, 2), 2);
    b.pass(ms(8000));
    assert!(
        b.all.contains(&Action::Fail(RequestId(1))) && b.all.contains(&Action::Fail(RequestId(2)))
    );
}

#[test]
fn a_request_read_after_its_due_time_is_answered_at_once() {
    let mut b = Bench::new(settings());
    b.arrive(
        Request {
            queueing_delay: ms(7000),
            ..request(1, 0)
        },
        1,
    );
    assert_eq!(b.refused(), [1]);
}

#[test]
fn a_request_at_a_call_is_failed_by_its_due_time() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 1), 1);
    b.needs_call(1);
    b.pass(ms(8000));
    assert!(b.all.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn a_repeat_of_what_runs_gets_its_result() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 1), 77);
    b.arrive(request(2, 1), 77);
    assert_eq!(b.ran(), [1]);
    assert!(b.last.contains(&Action::ReplayResult(RequestId(2))));
}

#[test]
fn a_repeat_of_what_ran_long_ago_gets_its_result() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 1), 77);
    b.done(1, Outcome::Ok);
    b.pass(ms(19_000));
    b.arrive(request(2, 1), 77);
    assert!(b.last.contains(&Action::ReplayResult(RequestId(2))));
}

#[test]
fn repeats_in_one_batch_and_in_a_chain_run_once() {
    let mut b = Bench::new(settings());
    let r = |id, prior: Option<u64>| Request {
        previous_attempt: prior.map(RequestId),
        ..request(id, 1)
    };
    let tries = [r(1, None), r(2, Some(1)), r(3, Some(2))];
    for t in &tries {
        b.track(t, 77);
    }
    b.batch(&tries.map(Event::Request));
    assert_eq!(b.ran(), [1]);
    assert_eq!(b.in_state(State::Attached), [2, 3]);
}

#[test]
fn a_held_repeat_outlives_the_first_try() {
    let mut b = Bench::new(settings());
    for id in 1..=4 {
        b.arrive(request(id, 2), id);
    }
    b.arrive(request(10, 1), 77);
    b.pass(ms(300));
    b.arrive(request(11, 1), 77);
    b.gone(10);
    b.done(1, Outcome::Ok);
    assert_eq!(b.ran().last(), Some(&11));
    assert!(
        b.entries.contains_key(&77),
        "its entry went with the first try"
    );
}

#[test]
fn a_repeat_of_something_unknown_never_runs() {
    let mut b = Bench::new(settings());
    b.arrive(
        Request {
            previous_attempt: Some(RequestId(999)),
            ..request(1, 1)
        },
        5,
    );
    assert!(b.ran().is_empty());
    b.pass(ms(8000));
    assert!(b.refused().is_empty());
    assert!(b.all.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn a_refused_key_leaves_the_table() {
    let mut b = Bench::new(settings());
    for id in 1..=4 {
        b.arrive(request(id, 2), id);
    }
    b.arrive(request(10, 1), 77);
    b.pass(ms(2000));
    assert_eq!(b.refused(), [10]);
    assert!(b.all.contains(&Action::EvictResult(RequestId(10))));
}

#[test]
fn keys_may_fill_memory_but_leave_room_for_runs() {
    let mut set = settings();
    set.classes[1].may_call = false;
    let mut b = Bench::new(set);
    for id in 1..300 {
        b.arrive(request(id, 1), id);
        b.pass(ms(5));
        b.done(id, Outcome::Ok);
    }
    let kept = b.entries.len() as f64 * b.set.dedup_entry_kb;
    assert!(kept > 0.7 * b.set.memory_kb, "keys use only {kept}");
    assert!(
        !b.refused().is_empty(),
        "nothing was ever refused for want of an entry"
    );
    let before = b.ran().len();
    b.arrive(request(500, 2), 500);
    assert_eq!(b.ran().len(), before + 1, "no room left to run");
}

#[test]
fn a_call_that_may_have_run_is_not_repeated_for_a_write() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset] {
        let mut b = Bench::new(settings());
        b.arrive(request(1, 1), 1);
        b.needs_call(1);
        b.called(1, outcome);
        assert!(b.last.contains(&Action::Fail(RequestId(1))), "{outcome:?}");
    }
}

#[test]
fn a_call_proven_not_run_is_repeated_after_a_pause() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut b = Bench::new(settings());
        b.arrive(request(1, 1), 1);
        b.needs_call(1);
        b.called(1, outcome);
        assert!(
            !b.last.iter().any(|a| matches!(a, Action::Call { .. })),
            "no pause"
        );
        b.pass(ms(500));
        assert_eq!(b.in_state(State::Calling), [1], "{outcome:?}");
    }
}

#[test]
fn a_skippable_call_is_left_out_when_it_keeps_failing() {
    let mut set = settings();
    set.classes[0].degraded_weight = 0.6;
    let mut b = Bench::new(set);
    b.arrive(request(1, 0), 1);
    b.needs_call(1);
    for _ in 0..2 {
        b.called(1, Outcome::Rejected);
        b.pass(ms(400));
    }
    assert!(b.all.contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn where_calls_are_turned_away_a_skippable_one_is_left_out_and_not_given_up() {
    let mut set = settings();
    set.classes[0].degraded_weight = 0.6;
    let mut b = Bench::new(set);
    for id in 1..40 {
        b.arrive(request(id, 0), id);
        b.needs_call(id);
        while b.in_state(State::Calling).contains(&id) {
            b.called(id, Outcome::Rejected);
            b.pass(ms(400));
        }
        assert!(b.all.contains(&Action::SkipCall(RequestId(id))), "{id}");
        b.done(id, Outcome::Ok);
    }
    assert!(b.refused().is_empty());
}

#[test]
fn calls_at_once_stay_under_our_part_of_a_shared_dependency() {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: 2.5,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    let mut b = Bench::new(set);
    for id in 1..=4 {
        b.arrive(request(id, 0), id);
    }
    for id in 1..=4 {
        b.needs_call(id);
    }
    for _ in 0..40 {
        b.pass(ms(100));
        assert!(b.in_state(State::Calling).len() <= 2);
        let calling = b.in_state(State::Calling);
        if let Some(&id) = calling.first() {
            b.called(id, Outcome::Ok);
            if b.known.contains_key(&RequestId(id)) {
                b.needs_call(id);
            }
        }
    }
}

#[test]
fn an_abandoned_call_counts_while_it_lingers() {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: 1.0,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    let mut b = Bench::new(set);
    b.arrive(request(1, 0), 1);
    b.arrive(request(2, 0), 2);
    b.needs_call(1);
    b.called(1, Outcome::Timeout);
    b.needs_call(2);
    assert!(
        b.in_state(State::Calling).is_empty(),
        "called while ours still lingers"
    );
    b.pass(ms(900));
    assert_eq!(b.in_state(State::Calling).len(), 1);
}

/// A server whose part of a shared dependency is far below one call, at which many requests stand, and which
/// of them were called: each call takes `time` ms.
fn small_part(part: f64, time: u64, rounds: u64) -> Vec<(u64, Time)> {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: part,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    set.classes[0].degraded_weight = 0.6;
    set.memory_kb = 1e6;
    let mut b = Bench::new(set);
    let mut made: Vec<(u64, Time)> = Vec::new();
    for round in 0..rounds {
        for id in [2 * round, 2 * round + 1] {
            b.arrive(request(id, (id % 2) as usize), id);
            if b.in_state(State::Running).contains(&id) {
                b.needs_call(id);
            }
        }
        b.pass(ms(time));
        for id in b.in_state(State::Calling) {
            if !made.iter().any(|m| m.0 == id) {
                made.push((id, b.known[&RequestId(id)].since));
            }
            if b.now - b.known[&RequestId(id)].since >= ms(time) {
                b.called(id, Outcome::Ok);
                b.done(id, Outcome::Ok);
            }
        }
        for id in b.in_state(State::Running) {
            b.done(id, Outcome::Ok);
        }
    }
    made
}

#[test]
fn a_small_part_of_a_shared_dependency_holds_in_each_period_from_the_first() {
    // 0.4 calls in the mean of 5 s are 2 call seconds; each call takes 0.4 s.
    let made = small_part(0.4, 400, 60);
    assert!(made.len() > 5, "{}", made.len());
    for &(_, from) in &made {
        let within = made
            .iter()
            .filter(|m| m.1 >= from && m.1 < from + ms(5000))
            .count();
        assert!(within as f64 * 0.4 <= 2.0, "{within} calls within 5 s");
    }
}

#[test]
fn paced_calls_go_first_to_requests_that_cannot_go_without() {
    let made = small_part(0.4, 50, 400);
    let must = made.iter().filter(|m| m.0 % 2 == 1).count();
    assert!(must > 2 * (made.len() - must), "{must} of {}", made.len());
}

#[test]
fn a_part_that_never_holds_one_usual_call_still_makes_some() {
    let made = small_part(0.02, 50, 2000);
    assert!((1..40).contains(&made.len()), "{}", made.len());
}

#[test]
fn late_arrivals_are_refused_in_a_drain_and_all_is_answered_before_the_stop() {
    let mut b = Bench::new(settings());
    for id in 1..=8 {
        b.arrive(request(id, 2), id);
    }
    b.leave(ms(3000));
    assert!(b.last.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    b.pass(ms(1500));
    let ran = b.ran().len();
    b.done(1, Outcome::Ok);
    b.arrive(request(50, 1), 50);
    assert!(b.refused().contains(&50));
    assert!(!b.ran()[ran..].contains(&50));
    b.pass(ms(2000));
    assert!(b.known.values().all(|k| k.answered));
}

#[test]
fn a_stall_turns_health_bad_sends_work_elsewhere_and_ends_with_progress() {
    let mut b = Bench::new(settings());
    for id in 1..=4 {
        b.arrive(request(id, 2), id);
    }
    b.arrive(request(9, 0), 9);
    b.pass(ms(1500));
    assert!(b.all.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    assert_eq!(b.refused(), [9]);
    b.arrive(request(10, 0), 10);
    let away = Action::Reject {
        id: RequestId(10),
        retry_after: Some(ms(1000)),
        no_retry: false,
    };
    assert!(b.last.contains(&away), "{:?}", b.last);
    b.done(1, Outcome::Ok);
    b.pass(ms(100));
    b.arrive(request(11, 0), 11);
    assert!(b.running().contains(&11));
    let health = b
        .all
        .iter()
        .filter(|a| matches!(a, Action::Health { .. }))
        .count();
    assert_eq!(health, 3, "flapped");
}

#[test]
fn a_cold_server_keeps_a_smaller_crowd() {
    let mut set = settings();
    set.cold_start = true;
    let mut b = Bench::new(set);
    for id in 1..=40 {
        b.arrive(request(id, 2), id);
    }
    // 4 cores x (1 + 4 x 0.2) = 7.2 survivable.
    assert!(b.running().len() <= 5, "{}", b.running().len());
}

#[test]
fn a_returning_call_finds_its_place_on_a_cold_core() {
    let mut set = settings();
    (
        set.cores,
        set.cold_start,
        set.cold_start_capacity,
        set.overload_concurrency,
    ) = (1, true, 0.15, 3.0);
    let mut b = Bench::new(set);
    b.arrive(request(1, 0), 1);
    b.needs_call(1);
    b.arrive(request(2, 2), 2);
    b.called(1, Outcome::Ok);
    // 1 core x (1 + 2 x 0.15) = 1.3 survivable.
    assert_eq!(b.running().len(), 1, "{:?}", b.running());
    b.done(1, Outcome::Ok);
    assert_eq!(b.running(), [2], "the next takes the place that is free");
}

#[test]
fn memory_sheds_the_newest_of_the_least_worth() {
    let mut set = settings();
    set.memory_kb = 800.0;
    let mut b = Bench::new(set);
    for id in 1..=6 {
        b.arrive(request(id, 2), id);
    }
    for id in 10..80 {
        b.arrive(request(id, 0), id);
    }
    assert!(b.refused().contains(&79) && !b.refused().contains(&5));
}

#[test]
fn events_of_finished_requests_are_harmless() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 0), 1);
    b.done(1, Outcome::Ok);
    let id = RequestId(1);
    b.batch(&[
        Event::RunCompleted {
            id,
            outcome: Outcome::Ok,
            latency: ms(1),
        },
        Event::CallNeeded(id),
        Event::CallCompleted {
            id,
            outcome: Outcome::Ok,
            latency: ms(1),
        },
        Event::ClientCancelled(id),
        Event::Timer {
            token: Token(99),
            gauges: Gauges::default(),
        },
    ]);
    b.arrive(request(2, 0), 2);
    assert_eq!(b.running(), [2]);
}

/// A server at a shared dependency with room, taught a quiet call time of 100 ms.
fn taught_calls() -> Bench {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: 6.0,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    set.classes[0].degraded_weight = 0.6;
    set.memory_kb = 1e6;
    let mut b = Bench::new(set);
    for id in 1000..1100 {
        b.arrive(request(id, 0), id);
        b.needs_call(id);
        b.pass(ms(100));
        b.called(id, Outcome::Ok);
        b.done(id, Outcome::Ok);
    }
    b
}

#[test]
fn calls_at_once_do_not_grow_while_one_is_enough() {
    let mut b = taught_calls();
    for id in 1..=4 {
        b.arrive(request(id, 1), id);
    }
    for id in 1..=4 {
        b.needs_call(id);
    }
    assert!(
        b.in_state(State::Calling).len() <= 2,
        "{:?}",
        b.in_state(State::Calling)
    );
}

#[test]
fn calls_at_once_are_cut_when_call_times_stretch() {
    let mut b = taught_calls();
    let busy = |b: &mut Bench, from: u64, time: u64| {
        for id in from..from + 4 {
            b.arrive(request(id, 1), id);
            b.needs_call(id);
        }
        let mut most = 0;
        while let Some(&id) = b.in_state(State::Calling).first() {
            most = most.max(b.in_state(State::Calling).len());
            b.pass(ms(time));
            if b.known
                .get(&RequestId(id))
                .is_some_and(|k| !k.answered && k.state == State::Calling)
            {
                b.called(id, Outcome::Ok);
            }
            b.done(id, Outcome::Ok);
        }
        most
    };
    let mut grown = 0;
    for round in 0..10 {
        grown = busy(&mut b, 2000 + 10 * round, 30);
    }
    assert!(grown >= 3, "{grown}");
    for round in 0..6 {
        busy(&mut b, 3000 + 10 * round, 400);
    }
    assert_eq!(busy(&mut b, 4000, 400), 1);
}

#[test]
fn a_skippable_call_at_a_shared_dependency_gets_a_few_quiet_call_times() {
    let mut b = taught_calls();
    b.arrive(request(1, 0), 1);
    b.needs_call(1);
    let limit = |a: &Action| {
        if let Action::Call { timeout: limit, .. } = a {
            Some(*limit)
        } else {
            None
        }
    };
    let given = b.last.iter().find_map(limit).expect("a call");
    assert!(given > ms(200) && given < ms(1000), "{given:?}");
}

#[test]
fn a_call_that_may_be_repeated_is_given_up_early_and_a_write_is_not() {
    let mut b = Bench::new(settings());
    for id in 1000..1040 {
        b.arrive(request(id, 0), id);
        b.needs_call(id);
        b.pass(ms(50));
        b.called(id, Outcome::Ok);
        b.done(id, Outcome::Ok);
    }
    let limit = |a: &Action| {
        if let Action::Call { timeout: limit, .. } = a {
            Some(*limit)
        } else {
            None
        }
    };
    b.arrive(request(1, 0), 1);
    b.needs_call(1);
    assert!(b.last.iter().find_map(limit).expect("a call") < ms(500));
    b.arrive(request(2, 1), 2);
    b.needs_call(2);
    assert!(b.last.iter().find_map(limit).expect("a call") > ms(1500));
    b.pass(ms(200));
    b.called(1, Outcome::Timeout);
    b.pass(ms(500));
    assert_eq!(b.in_state(State::Calling), [1, 2], "not repeated");
}

/// The times that idle connections were given, while so many are open and requests come four a second and
/// are served or left waiting.
fn idle_times(b: &mut Bench, from: u64, open: impl Fn(u64) -> f64, serve: bool) -> Vec<Span> {
    let before = b.all.len();
    for n in 0..60 {
        let id = from + n;
        b.gauges.connections = Some(open(n));
        b.arrive(request(id, 0), id);
        b.pass(ms(250));
        if serve {
            b.done(id, Outcome::Ok);
        }
    }
    let given = |a: &Action| {
        if let Action::CloseIdleConnections(span) = a {
            Some(*span)
        } else {
            None
        }
    };
    b.all[before..].iter().filter_map(given).collect()
}

#[test]
fn idle_connections_that_serve_one_request_are_closed_early() {
    let mut set = settings();
    set.callers = 500;
    let mut b = Bench::new(set);
    let given = idle_times(&mut b, 0, |n| n as f64, true);
    assert!(given.last().is_some_and(|&t| t <= ms(4000)), "{given:?}");
    // Callers that come again keep theirs longer.
    let given = idle_times(&mut b, 100, |_| 1.0, true);
    assert_eq!(given.last(), Some(&ms(30_000)), "{given:?}");
}

#[test]
fn few_connections_that_serve_many_requests_stay_open() {
    let mut set = settings();
    set.callers = 500;
    let mut b = Bench::new(set);
    assert!(idle_times(&mut b, 0, |_| 5.0, true).is_empty());
    // Nor are they closed where there is one for most callers anyway.
    let mut b = Bench::new(settings());
    assert!(idle_times(&mut b, 0, |n| n as f64, true).is_empty());
}

#[test]
fn a_full_table_stays_while_most_work_is_turned_away() {
    let mut set = settings();
    set.callers = 500;
    let mut b = Bench::new(set);
    idle_times(&mut b, 0, |n| n as f64, true);
    // Nothing ends any more: what comes is turned away.
    b.arrive(request(99, 2), 99);
    let given = idle_times(&mut b, 100, |_| 60.0, false);
    assert!(
        given.windows(2).all(|w| w[0] < w[1]) && given.len() > 1,
        "{given:?}"
    );
}

/// The time that idle connections stay, after each of so many requests: four a second that waited unread so
/// long, and are served.
fn stays(b: &mut Bench, from: u64, n: u64, waited: Span) -> Vec<Span> {
    let given = |a: &Action| {
        if let Action::CloseIdleConnections(span) = a {
            Some(*span)
        } else {
            None
        }
    };
    let mut stays = Vec::new();
    for id in from..from + n {
        b.arrive(
            Request {
                queueing_delay: waited,
                ..request(id, 0)
            },
            id,
        );
        b.pass(ms(250));
        b.done(id, Outcome::Ok);
        stays.push(
            b.all
                .iter()
                .filter_map(given)
                .next_back()
                .unwrap_or(b.set.client_idle_timeout),
        );
    }
    stays
}

/// A server that closes idle connections early, and what it gave them as requests then waited unread for half
/// of their aim.
fn unread_waits(cpu: Option<f64>) -> (Bench, Vec<Span>) {
    let mut b = Bench::new(Settings {
        callers: 500,
        client_idle_timeout: ms(10_000),
        ..settings()
    });
    b.gauges = Gauges {
        connections: Some(100.0),
        cpu,
        ..Gauges::default()
    };
    stays(&mut b, 0, 60, ms(0));
    let given = stays(&mut b, 100, 8, ms(1000));
    (b, given)
}

#[test]
fn requests_that_wait_unread_fill_the_table_at_once_and_for_one_idle_time() {
    for cpu in [None, Some(0.75)] {
        let (mut b, given) = unread_waits(cpu);
        let early = given[0];
        assert!(early < ms(2000), "not closed early: {early:?}");
        assert!(
            given
                .iter()
                .all(|&s| s == early || s == b.set.client_idle_timeout),
            "by steps: {given:?}"
        );
        assert_eq!(given.last(), Some(&b.set.client_idle_timeout));
        // The mean of the waits takes some 10 requests to fall, and an idle time is 40.
        let calm = stays(&mut b, 200, 80, ms(0));
        let first = calm.iter().position(|&s| s < b.set.client_idle_timeout);
        assert!(
            first.is_some_and(|n| (45..56).contains(&n)),
            "{cpu:?}: opened at {first:?}"
        );
        assert!(calm.last() < Some(&ms(2000)), "{calm:?}");
    }
}

#[test]
fn a_table_filled_by_unread_waits_opens_by_a_tenth_a_period_on_idle_cores() {
    let (mut b, given) = unread_waits(Some(0.65));
    assert_eq!(given.last(), Some(&b.set.client_idle_timeout));
    let mut calm = stays(&mut b, 200, 40, ms(0));
    calm.dedup();
    let eases = |w: &[Span]| (w[1].secs() / w[0].secs() - 0.9).abs() < 0.001;
    assert!(calm.len() > 8 && calm.windows(2).all(eases), "{calm:?}");
}

#[test]
fn after_a_flood_idle_connections_are_closed_early_on_idle_cores_only() {
    for (cpu, early) in [(Some(0.3), true), (Some(0.9), false), (None, false)] {
        let mut b = Bench::new(Settings {
            callers: 500,
            ..settings()
        });
        b.gauges.cpu = cpu.map(|_| 0.9);
        b.arrive(request(99, 2), 99);
        // Nothing ends: what comes is turned away, to the last.
        let flood = idle_times(&mut b, 100, |_| 100.0, false);
        assert!(flood.is_empty() && b.refused().len() > 40, "{flood:?}");
        let before = b.all.len();
        b.gauges.cpu = cpu;
        b.pass(ms(8000));
        let closed = b.all[before..]
            .iter()
            .any(|a| matches!(a, Action::CloseIdleConnections(s) if *s < ms(20_000)));
        assert_eq!(closed, early, "{cpu:?}");
    }
}

/// How often the call of one request is made that always comes back full, and the time until it is given up,
/// while all other calls, before and meanwhile, come back like this.
fn tries_of_a_call(class: usize, others: Outcome) -> (usize, Span) {
    let mut b = Bench::new(settings());
    let mut next = 1000;
    let mut call_others = |b: &mut Bench, n: u64| {
        for id in next..next + n {
            b.arrive(request(id, 0), id);
            b.needs_call(id);
            b.called(id, others);
            b.done(id, Outcome::Error);
        }
        next += n;
    };
    call_others(&mut b, 40);
    let began = b.now;
    b.arrive(request(1, class), 1);
    b.needs_call(1);
    while b.known.get(&RequestId(1)).is_some_and(|k| !k.answered) {
        if b.in_state(State::Calling).contains(&1) {
            b.called(1, Outcome::Rejected);
            // Between, so that the request's own calls weigh little.
            call_others(&mut b, 8);
        }
        b.pass(ms(20));
    }
    let made = |a: &&Action| {
        matches!(
            a,
            Action::Call {
                id: RequestId(1),
                ..
            }
        )
    };
    (b.all.iter().filter(made).count(), b.now - began)
}

#[test]
fn calls_are_repeated_as_far_as_calls_come_back_well() {
    for class in [0, 1] {
        assert_eq!(tries_of_a_call(class, Outcome::Ok).0, 4);
        // Given up as soon as that came back.
        let (made, took) = tries_of_a_call(class, Outcome::Rejected);
        assert!(made == 1 && took <= ms(20), "{made} calls, {took:?}");
    }
}

#[test]
fn repeats_that_wait_for_a_result_do_not_fill_the_memory() {
    let mut set = settings();
    (set.cores, set.memory_kb) = (1, 1200.0);
    let mut b = Bench::new(set);
    b.arrive(
        Request {
            queued_memory_kb: 50.0,
            ..request(1, 1)
        },
        7,
    );
    assert_eq!(b.running(), [1]);
    // The driver fails when memory is passed.
    for id in 2..30 {
        b.arrive(
            Request {
                queued_memory_kb: 50.0,
                ..request(id, 1)
            },
            7,
        );
    }
    assert!(!b.in_state(State::Attached).is_empty());
    assert!(b.answers[&RequestId(29)] == 1 && b.refused().is_empty());
}

#[test]
fn a_run_that_never_began_leaves_its_slot_and_its_memory() {
    let mut b = Bench::new(settings());
    for id in 1..200 {
        b.arrive(request(id, 0), id);
        assert_eq!(
            b.running(),
            [id],
            "the slots of runs that never began are free"
        );
        b.done(id, Outcome::NoLongerNeeded);
    }
}

/// Runs that share cores without slowing each other raise the cap to the crowd that the machine bears. Work that
/// calls must not wait for room at calls where nothing stands at one: nothing would ever free it.
#[test]
fn work_that_calls_goes_on_when_the_cap_has_grown_to_the_crowd() {
    let mut b = Bench::new(Settings {
        memory_kb: 1e6,
        ..settings()
    });
    let (mut next, mut ended) = (1, 0);
    for _ in 0..6_000 {
        // Always more than can run, and each run takes as long however many there are.
        while b.in_state(State::Held).len() < 8 {
            b.arrive(request(next, 0), next);
            next += 1;
        }
        b.pass(ms(4));
        let running = b.running();
        assert!(
            !running.is_empty(),
            "nothing runs of {} held, after {ended} ends",
            b.in_state(State::Held).len()
        );
        for id in running {
            b.done(id, Outcome::Ok);
            ended += 1;
        }
    }
}
