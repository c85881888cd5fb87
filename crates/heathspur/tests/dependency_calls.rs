//! Calls to the dependency: retries, skips, timeouts and the budget of a shared one.

mod common;
use common::*;
use heathspur::*;

#[test]
fn a_call_that_may_have_run_is_not_retried_for_a_write() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset] {
        let mut harness = Harness::new(settings());
        harness.arrive(request(1, 1), 1);
        harness.need_call(1);
        harness.complete_call(1, outcome);
        assert!(
            harness.last.contains(&Action::Fail(RequestId(1))),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_call_that_provably_did_not_run_is_retried_after_a_backoff() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut harness = Harness::new(settings());
        harness.arrive(request(1, 1), 1);
        harness.need_call(1);
        harness.complete_call(1, outcome);
        assert!(
            !harness
                .last
                .iter()
                .any(|a| matches!(a, Action::Call { .. })),
            "no pause"
        );
        harness.advance(ms(500));
        assert_eq!(harness.in_state(State::Calling), [1], "{outcome:?}");
    }
}

#[test]
fn a_skippable_call_is_skipped_when_it_keeps_failing() {
    let mut set = settings();
    set.classes[0].degraded_weight = 0.6;
    let mut harness = Harness::new(set);
    harness.arrive(request(1, 0), 1);
    harness.need_call(1);
    for _ in 0..2 {
        harness.complete_call(1, Outcome::Rejected);
        harness.advance(ms(400));
    }
    assert!(harness.all.contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn a_rejected_skippable_call_is_skipped_and_its_request_not_given_up() {
    let mut set = settings();
    set.classes[0].degraded_weight = 0.6;
    let mut harness = Harness::new(set);
    for id in 1..40 {
        harness.arrive(request(id, 0), id);
        harness.need_call(id);
        while harness.in_state(State::Calling).contains(&id) {
            harness.complete_call(id, Outcome::Rejected);
            harness.advance(ms(400));
        }
        assert!(
            harness.all.contains(&Action::SkipCall(RequestId(id))),
            "{id}"
        );
        harness.complete_run(id, Outcome::Ok);
    }
    assert!(harness.rejected().is_empty());
}

#[test]
fn concurrent_calls_stay_below_this_servers_share() {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: 2.5,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    let mut harness = Harness::new(set);
    for id in 1..=4 {
        harness.arrive(request(id, 0), id);
    }
    for id in 1..=4 {
        harness.need_call(id);
    }
    for _ in 0..40 {
        harness.advance(ms(100));
        assert!(harness.in_state(State::Calling).len() <= 2);
        let calling = harness.in_state(State::Calling);
        if let Some(&id) = calling.first() {
            harness.complete_call(id, Outcome::Ok);
            if harness.requests.contains_key(&RequestId(id)) {
                harness.need_call(id);
            }
        }
    }
}

#[test]
fn an_abandoned_call_counts_for_its_lifetime() {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: 1.0,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    let mut harness = Harness::new(set);
    harness.arrive(request(1, 0), 1);
    harness.arrive(request(2, 0), 2);
    harness.need_call(1);
    harness.complete_call(1, Outcome::Timeout);
    harness.need_call(2);
    assert!(
        harness.in_state(State::Calling).is_empty(),
        "called while ours still lingers"
    );
    harness.advance(ms(900));
    assert_eq!(harness.in_state(State::Calling).len(), 1);
}

/// Returns the calls that a server makes whose capacity share is far below one call, with many
/// requests waiting for calls. Each call takes `time` ms.
fn calls_at_small_share(part: f64, time: u64, rounds: u64) -> Vec<(u64, Time)> {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: part,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    set.classes[0].degraded_weight = 0.6;
    set.memory_kb = 1e6;
    let mut harness = Harness::new(set);
    let mut made: Vec<(u64, Time)> = Vec::new();
    for round in 0..rounds {
        for id in [2 * round, 2 * round + 1] {
            harness.arrive(request(id, (id % 2) as usize), id);
            if harness.in_state(State::Running).contains(&id) {
                harness.need_call(id);
            }
        }
        harness.advance(ms(time));
        for id in harness.in_state(State::Calling) {
            if !made.iter().any(|m| m.0 == id) {
                made.push((id, harness.requests[&RequestId(id)].since));
            }
            if harness.now - harness.requests[&RequestId(id)].since >= ms(time) {
                harness.complete_call(id, Outcome::Ok);
                harness.complete_run(id, Outcome::Ok);
            }
        }
        for id in harness.in_state(State::Running) {
            harness.complete_run(id, Outcome::Ok);
        }
    }
    made
}

#[test]
fn a_small_share_holds_in_every_window_from_the_first() {
    // A mean of 0.4 calls over 5 s are 2 call seconds; each call takes 0.4 s.
    let made = calls_at_small_share(0.4, 400, 60);
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
fn paced_calls_go_first_to_requests_that_cannot_skip_them() {
    let made = calls_at_small_share(0.4, 50, 400);
    let must = made.iter().filter(|m| m.0 % 2 == 1).count();
    assert!(must > 2 * (made.len() - must), "{must} of {}", made.len());
}

#[test]
fn a_share_below_one_usual_call_still_makes_some() {
    let made = calls_at_small_share(0.02, 50, 2000);
    assert!((1..40).contains(&made.len()), "{}", made.len());
}

/// A server at a shared dependency with spare capacity and a known baseline latency of 100 ms.
fn server_with_known_latency() -> Harness {
    let mut set = settings();
    set.dependency = Dependency::Shared {
        capacity_share: 6.0,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    };
    set.classes[0].degraded_weight = 0.6;
    set.memory_kb = 1e6;
    let mut harness = Harness::new(set);
    for id in 1000..1100 {
        harness.arrive(request(id, 0), id);
        harness.need_call(id);
        harness.advance(ms(100));
        harness.complete_call(id, Outcome::Ok);
        harness.complete_run(id, Outcome::Ok);
    }
    harness
}

#[test]
fn the_call_limit_does_not_grow_while_one_is_enough() {
    let mut harness = server_with_known_latency();
    for id in 1..=4 {
        harness.arrive(request(id, 1), id);
    }
    for id in 1..=4 {
        harness.need_call(id);
    }
    assert!(
        harness.in_state(State::Calling).len() <= 2,
        "{:?}",
        harness.in_state(State::Calling)
    );
}

#[test]
fn the_call_limit_falls_when_latency_is_inflated() {
    let mut harness = server_with_known_latency();
    let busy = |harness: &mut Harness, from: u64, time: u64| {
        for id in from..from + 4 {
            harness.arrive(request(id, 1), id);
            harness.need_call(id);
        }
        let mut most = 0;
        while let Some(&id) = harness.in_state(State::Calling).first() {
            most = most.max(harness.in_state(State::Calling).len());
            harness.advance(ms(time));
            if harness
                .requests
                .get(&RequestId(id))
                .is_some_and(|k| !k.answered && k.state == State::Calling)
            {
                harness.complete_call(id, Outcome::Ok);
            }
            harness.complete_run(id, Outcome::Ok);
        }
        most
    };
    let mut grown = 0;
    for round in 0..10 {
        grown = busy(&mut harness, 2000 + 10 * round, 30);
    }
    assert!(grown >= 3, "{grown}");
    for round in 0..6 {
        busy(&mut harness, 3000 + 10 * round, 400);
    }
    assert_eq!(busy(&mut harness, 4000, 400), 1);
}

#[test]
fn a_skippable_call_at_a_shared_dependency_times_out_after_a_few_baseline_latencies() {
    let mut harness = server_with_known_latency();
    harness.arrive(request(1, 0), 1);
    harness.need_call(1);
    let limit = |a: &Action| {
        if let Action::Call { timeout: limit, .. } = a {
            Some(*limit)
        } else {
            None
        }
    };
    let given = harness.last.iter().find_map(limit).expect("a call");
    assert!(given > ms(200) && given < ms(1000), "{given:?}");
}

#[test]
fn an_idempotent_call_times_out_early_and_a_write_does_not() {
    let mut harness = Harness::new(settings());
    for id in 1000..1040 {
        harness.arrive(request(id, 0), id);
        harness.need_call(id);
        harness.advance(ms(50));
        harness.complete_call(id, Outcome::Ok);
        harness.complete_run(id, Outcome::Ok);
    }
    let limit = |a: &Action| {
        if let Action::Call { timeout: limit, .. } = a {
            Some(*limit)
        } else {
            None
        }
    };
    harness.arrive(request(1, 0), 1);
    harness.need_call(1);
    assert!(harness.last.iter().find_map(limit).expect("a call") < ms(500));
    harness.arrive(request(2, 1), 2);
    harness.need_call(2);
    assert!(harness.last.iter().find_map(limit).expect("a call") > ms(1500));
    harness.advance(ms(200));
    harness.complete_call(1, Outcome::Timeout);
    harness.advance(ms(500));
    assert_eq!(harness.in_state(State::Calling), [1, 2], "not repeated");
}

/// Returns how often a call is attempted that is always rejected, and the time until its request is
/// given up, while all other calls end with the outcome `others`.
fn attempts_of_a_call(class: usize, others: Outcome) -> (usize, Span) {
    let mut harness = Harness::new(settings());
    let mut next = 1000;
    let mut call_others = |harness: &mut Harness, n: u64| {
        for id in next..next + n {
            harness.arrive(request(id, 0), id);
            harness.need_call(id);
            harness.complete_call(id, others);
            harness.complete_run(id, Outcome::Error);
        }
        next += n;
    };
    call_others(&mut harness, 40);
    let began = harness.now;
    harness.arrive(request(1, class), 1);
    harness.need_call(1);
    while harness
        .requests
        .get(&RequestId(1))
        .is_some_and(|k| !k.answered)
    {
        if harness.in_state(State::Calling).contains(&1) {
            harness.complete_call(1, Outcome::Rejected);
            // Other calls in between, so that the request's own calls have little weight.
            call_others(&mut harness, 8);
        }
        harness.advance(ms(20));
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
    (harness.all.iter().filter(made).count(), harness.now - began)
}

#[test]
fn calls_are_retried_as_far_as_calls_are_accepted() {
    for class in [0, 1] {
        assert_eq!(attempts_of_a_call(class, Outcome::Ok).0, 4);
        // The request is given up as soon as the last attempt ends.
        let (made, took) = attempts_of_a_call(class, Outcome::Rejected);
        assert!(made == 1 && took <= ms(20), "{made} calls, {took:?}");
    }
}
