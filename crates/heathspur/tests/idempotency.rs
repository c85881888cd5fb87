//! Attempts of a keyed request run at most once and share one result.

mod common;
use common::*;
use heathspur::*;

#[test]
fn retry_of_running_attempt_replays_its_result() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, KEYED), 77);
    harness.arrive(request(2, KEYED), 77);
    assert_eq!(harness.started(), [1]);
    assert!(harness
        .last_actions
        .contains(&Action::ReplayResult(RequestId(2))));
}

#[test]
fn retry_late_in_dedup_window_replays_retained_result() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, KEYED), 77);
    harness.complete_run(1, Outcome::Ok);
    harness.advance(ms(19_000));
    harness.arrive(request(2, KEYED), 77);
    assert!(harness
        .last_actions
        .contains(&Action::ReplayResult(RequestId(2))));
}

#[test]
fn chained_retries_in_one_batch_run_once() {
    let mut harness = Harness::new(settings());
    let attempt = |id, previous: Option<u64>| Request {
        previous_attempt: previous.map(RequestId),
        ..request(id, KEYED)
    };
    let attempts = [attempt(1, None), attempt(2, Some(1)), attempt(3, Some(2))];
    for attempt in &attempts {
        harness.track(attempt, 77);
    }
    harness.decide(&attempts.map(Event::Request));
    assert_eq!(harness.started(), [1]);
    assert_eq!(harness.in_state(State::AwaitingResult), [2, 3]);
}

#[test]
fn queued_retry_runs_after_first_attempt_is_cancelled() {
    let mut harness = Harness::new(settings());
    for id in 1..=4 {
        harness.arrive(request(id, NON_IDEMPOTENT), id);
    }
    harness.arrive(request(10, KEYED), 77);
    harness.advance(ms(300));
    harness.arrive(request(11, KEYED), 77);
    harness.cancel(10);
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(harness.started().last(), Some(&11));
    assert!(
        harness.store_entries.contains_key(&77),
        "its store entry was evicted with the first attempt"
    );
}

#[test]
fn retry_of_unknown_attempt_fails_without_running() {
    let mut harness = Harness::new(settings());
    harness.arrive(
        Request {
            previous_attempt: Some(RequestId(999)),
            ..request(1, KEYED)
        },
        5,
    );
    assert!(harness.started().is_empty());
    harness.advance(ms(8000));
    assert!(harness.rejected().is_empty());
    assert!(harness.actions.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn rejected_request_is_evicted_from_idempotency_store() {
    let mut harness = Harness::new(settings());
    for id in 1..=4 {
        harness.arrive(request(id, NON_IDEMPOTENT), id);
    }
    harness.arrive(request(10, KEYED), 77);
    harness.advance(ms(2000));
    assert_eq!(harness.rejected(), [10]);
    assert!(harness
        .actions
        .contains(&Action::EvictResult(RequestId(10))));
}
