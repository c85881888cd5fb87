//! Calls to the dependency: retries, skips, timeouts and the budget of a shared one.

mod common;
use common::*;
use heathspur::*;

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
