//! Calls to the dependency: retries, skips, timeouts and the budget of a shared dependency.

mod common;
use common::*;
use heathspur::*;

/// Returns settings with calls of the idempotent class that can be skipped.
fn settings_with_skippable_calls() -> Settings {
    let mut settings = settings();
    settings.classes[IDEMPOTENT].degraded_weight = 0.6;
    settings
}

/// Returns a shared dependency that averages its load over 5 s and works on an abandoned call for
/// 200 ms.
fn shared_dependency(capacity_share: f64) -> Dependency {
    Dependency::Shared {
        capacity_share,
        averaging_window: ms(5000),
        abandoned_call_lifetime: ms(200),
    }
}

/// Returns the timeout of a `Call` action.
fn call_timeout(action: &Action) -> Option<Span> {
    if let Action::Call { timeout, .. } = action {
        Some(*timeout)
    } else {
        None
    }
}

#[test]
fn keyed_call_that_may_have_run_is_not_retried() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset] {
        let mut harness = Harness::new(settings());
        harness.arrive(request(1, KEYED), 1);
        harness.need_call(1);
        harness.complete_call(1, outcome);
        assert!(
            harness.last_actions.contains(&Action::Fail(RequestId(1))),
            "{outcome:?}"
        );
    }
}

#[test]
fn call_that_did_not_run_is_retried_after_backoff() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut harness = Harness::new(settings());
        harness.arrive(request(1, KEYED), 1);
        harness.need_call(1);
        harness.complete_call(1, outcome);
        assert!(
            !harness
                .last_actions
                .iter()
                .any(|action| matches!(action, Action::Call { .. })),
            "retried without a backoff"
        );
        harness.advance(ms(500));
        assert_eq!(harness.in_state(State::Calling), [1], "{outcome:?}");
    }
}

#[test]
fn skippable_call_is_skipped_after_repeated_rejection() {
    let mut harness = Harness::new(settings_with_skippable_calls());
    harness.arrive(request(1, IDEMPOTENT), 1);
    harness.need_call(1);
    for _ in 0..2 {
        harness.complete_call(1, Outcome::Rejected);
        harness.advance(ms(400));
    }
    assert!(harness.actions.contains(&Action::SkipCall(RequestId(1))));
}

/// The acceptance rate falls with each rejected call, down to one attempt for each call. The
/// request of a skippable call must not be rejected for that.
#[test]
fn skippable_call_is_skipped_while_all_calls_are_rejected() {
    let mut harness = Harness::new(settings_with_skippable_calls());
    for id in 1..40 {
        harness.arrive(request(id, IDEMPOTENT), id);
        harness.need_call(id);
        while harness.in_state(State::Calling).contains(&id) {
            harness.complete_call(id, Outcome::Rejected);
            harness.advance(ms(400));
        }
        assert!(
            harness.actions.contains(&Action::SkipCall(RequestId(id))),
            "{id}"
        );
        harness.complete_run(id, Outcome::Ok);
    }
    assert!(harness.rejected().is_empty());
}

#[test]
fn concurrent_calls_stay_within_capacity_share() {
    let mut harness = Harness::new(Settings {
        dependency: shared_dependency(2.5),
        ..settings()
    });
    for id in 1..=4 {
        harness.arrive(request(id, IDEMPOTENT), id);
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
fn abandoned_call_occupies_share_for_its_lifetime() {
    let mut harness = Harness::new(Settings {
        dependency: shared_dependency(1.0),
        ..settings()
    });
    harness.arrive(request(1, IDEMPOTENT), 1);
    harness.arrive(request(2, IDEMPOTENT), 2);
    harness.need_call(1);
    harness.complete_call(1, Outcome::Timeout);
    harness.need_call(2);
    assert!(
        harness.in_state(State::Calling).is_empty(),
        "called while the abandoned call occupies the dependency"
    );
    harness.advance(ms(900));
    assert_eq!(harness.in_state(State::Calling).len(), 1);
}

/// The first call that a request made.
struct MadeCall {
    request: u64,
    made_at: Time,
}

impl MadeCall {
    /// Returns whether the request could continue without the call. Even ids are idempotent.
    fn can_skip(&self) -> bool {
        self.request % 2 == 0
    }
}

/// Returns the calls of a server whose capacity share is below one call, while in each round two
/// new requests need a call: one can skip it and one, of the keyed class, cannot. Each call takes
/// `call_ms`, and so does a round.
fn calls_at_small_share(capacity_share: f64, call_ms: u64, rounds: u64) -> Vec<MadeCall> {
    let mut harness = Harness::new(Settings {
        dependency: shared_dependency(capacity_share),
        memory_kb: 1e6,
        ..settings_with_skippable_calls()
    });
    let mut calls: Vec<MadeCall> = Vec::new();
    for round in 0..rounds {
        for id in [2 * round, 2 * round + 1] {
            harness.arrive(request(id, (id % 2) as usize), id);
            if harness.in_state(State::Running).contains(&id) {
                harness.need_call(id);
            }
        }
        harness.advance(ms(call_ms));
        for id in harness.in_state(State::Calling) {
            let made_at = harness.requests[&RequestId(id)].started_at;
            if !calls.iter().any(|call| call.request == id) {
                calls.push(MadeCall {
                    request: id,
                    made_at,
                });
            }
            if harness.now - made_at >= ms(call_ms) {
                harness.complete_call(id, Outcome::Ok);
                harness.complete_run(id, Outcome::Ok);
            }
        }
        for id in harness.in_state(State::Running) {
            harness.complete_run(id, Outcome::Ok);
        }
    }
    calls
}

#[test]
fn calls_stay_within_small_share_in_every_window() {
    // A mean of 0.4 calls over 5 s are 2 call seconds; each call takes 0.4 s.
    let calls = calls_at_small_share(0.4, 400, 60);
    assert!(calls.len() > 5, "{}", calls.len());
    for first in &calls {
        let window = first.made_at..first.made_at + ms(5000);
        let calls_in_window = calls
            .iter()
            .filter(|call| window.contains(&call.made_at))
            .count();
        assert!(
            calls_in_window as f64 * 0.4 <= 2.0,
            "{calls_in_window} calls within 5 s"
        );
    }
}

#[test]
fn paced_calls_go_first_to_requests_that_cannot_skip_them() {
    let calls = calls_at_small_share(0.4, 50, 400);
    let required = calls.iter().filter(|call| !call.can_skip()).count();
    assert!(
        required > 2 * (calls.len() - required),
        "{required} of {}",
        calls.len()
    );
}

#[test]
fn share_far_below_one_call_still_makes_some_calls() {
    let calls = calls_at_small_share(0.02, 50, 2000);
    assert!((1..40).contains(&calls.len()), "{}", calls.len());
}

/// Returns a server whose calls have had a latency of 100 ms, with spare capacity at a shared
/// dependency.
fn server_with_known_latency() -> Harness {
    let mut harness = Harness::new(Settings {
        dependency: shared_dependency(6.0),
        memory_kb: 1e6,
        ..settings_with_skippable_calls()
    });
    for id in 1000..1100 {
        harness.arrive(request(id, IDEMPOTENT), id);
        harness.need_call(id);
        harness.advance(ms(100));
        harness.complete_call(id, Outcome::Ok);
        harness.complete_run(id, Outcome::Ok);
    }
    harness
}

#[test]
fn call_limit_does_not_grow_without_concurrent_calls() {
    let mut harness = server_with_known_latency();
    for id in 1..=4 {
        harness.arrive(request(id, KEYED), id);
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
fn call_limit_grows_under_demand_and_falls_when_latency_is_inflated() {
    let mut harness = server_with_known_latency();
    // Completes four requests with calls of `call_ms`; returns the most calls in flight at once.
    let peak_calls = |harness: &mut Harness, first_id: u64, call_ms: u64| {
        for id in first_id..first_id + 4 {
            harness.arrive(request(id, KEYED), id);
            harness.need_call(id);
        }
        let mut peak = 0;
        while let Some(&id) = harness.in_state(State::Calling).first() {
            peak = peak.max(harness.in_state(State::Calling).len());
            harness.advance(ms(call_ms));
            if harness
                .requests
                .get(&RequestId(id))
                .is_some_and(|request| !request.answered && request.state == State::Calling)
            {
                harness.complete_call(id, Outcome::Ok);
            }
            harness.complete_run(id, Outcome::Ok);
        }
        peak
    };
    let mut grown = 0;
    for round in 0..10 {
        grown = peak_calls(&mut harness, 2000 + 10 * round, 30);
    }
    assert!(grown >= 3, "{grown}");
    for round in 0..6 {
        peak_calls(&mut harness, 3000 + 10 * round, 400);
    }
    assert_eq!(peak_calls(&mut harness, 4000, 400), 1);
}

#[test]
fn skippable_call_to_shared_dependency_times_out_after_few_baseline_latencies() {
    let mut harness = server_with_known_latency();
    harness.arrive(request(1, IDEMPOTENT), 1);
    harness.need_call(1);
    let timeout = harness
        .last_actions
        .iter()
        .find_map(call_timeout)
        .expect("a call");
    assert!(timeout > ms(200) && timeout < ms(1000), "{timeout:?}");
}

#[test]
fn idempotent_call_times_out_early_and_keyed_call_does_not() {
    let mut harness = Harness::new(settings());
    for id in 1000..1040 {
        harness.arrive(request(id, IDEMPOTENT), id);
        harness.need_call(id);
        harness.advance(ms(50));
        harness.complete_call(id, Outcome::Ok);
        harness.complete_run(id, Outcome::Ok);
    }
    harness.arrive(request(1, IDEMPOTENT), 1);
    harness.need_call(1);
    let idempotent_timeout = harness.last_actions.iter().find_map(call_timeout);
    assert!(idempotent_timeout.expect("a call") < ms(500));
    harness.arrive(request(2, KEYED), 2);
    harness.need_call(2);
    let keyed_timeout = harness.last_actions.iter().find_map(call_timeout);
    assert!(keyed_timeout.expect("a call") > ms(1500));
    harness.advance(ms(200));
    harness.complete_call(1, Outcome::Timeout);
    harness.advance(ms(500));
    assert_eq!(
        harness.in_state(State::Calling),
        [1, 2],
        "the idempotent call was not retried"
    );
}

/// Returns how often a call is attempted that is always rejected, and the time until its request is
/// answered, while all other calls end with `other_outcome`.
fn attempts_of_rejected_call(class: usize, other_outcome: Outcome) -> (usize, Span) {
    let mut harness = Harness::new(settings());
    let mut next_id = 1000;
    let mut make_other_calls = |harness: &mut Harness, count: u64| {
        for id in next_id..next_id + count {
            harness.arrive(request(id, IDEMPOTENT), id);
            harness.need_call(id);
            harness.complete_call(id, other_outcome);
            harness.complete_run(id, Outcome::Error);
        }
        next_id += count;
    };
    make_other_calls(&mut harness, 40);
    let began_at = harness.now;
    harness.arrive(request(1, class), 1);
    harness.need_call(1);
    while harness
        .requests
        .get(&RequestId(1))
        .is_some_and(|request| !request.answered)
    {
        if harness.in_state(State::Calling).contains(&1) {
            harness.complete_call(1, Outcome::Rejected);
            // With other calls in between, the rejections of this call have little weight in the
            // acceptance rate.
            make_other_calls(&mut harness, 8);
        }
        harness.advance(ms(20));
    }
    let is_attempt = |action: &&Action| {
        matches!(
            action,
            Action::Call {
                id: RequestId(1),
                ..
            }
        )
    };
    (
        harness.actions.iter().filter(is_attempt).count(),
        harness.now - began_at,
    )
}

#[test]
fn number_of_call_attempts_follows_acceptance_rate() {
    for class in [IDEMPOTENT, KEYED] {
        assert_eq!(attempts_of_rejected_call(class, Outcome::Ok).0, 4);
        // The request is answered as soon as the only attempt ends.
        let (attempts, elapsed) = attempts_of_rejected_call(class, Outcome::Rejected);
        assert!(
            attempts == 1 && elapsed <= ms(20),
            "{attempts} attempts, {elapsed:?}"
        );
    }
}
