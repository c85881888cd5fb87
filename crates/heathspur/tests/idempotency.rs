//! Attempts of a keyed request run once and share one result.

mod common;
use common::*;
use heathspur::*;

#[test]
fn a_retry_of_a_running_attempt_gets_its_result() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, 1), 77);
    harness.arrive(request(2, 1), 77);
    assert_eq!(harness.started(), [1]);
    assert!(harness.last.contains(&Action::ReplayResult(RequestId(2))));
}

#[test]
fn a_retry_late_in_the_window_gets_the_retained_result() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, 1), 77);
    harness.complete_run(1, Outcome::Ok);
    harness.advance(ms(19_000));
    harness.arrive(request(2, 1), 77);
    assert!(harness.last.contains(&Action::ReplayResult(RequestId(2))));
}

#[test]
fn retries_in_one_batch_and_in_a_chain_run_once() {
    let mut harness = Harness::new(settings());
    let r = |id, prior: Option<u64>| Request {
        previous_attempt: prior.map(RequestId),
        ..request(id, 1)
    };
    let tries = [r(1, None), r(2, Some(1)), r(3, Some(2))];
    for t in &tries {
        harness.track(t, 77);
    }
    harness.batch(&tries.map(Event::Request));
    assert_eq!(harness.started(), [1]);
    assert_eq!(harness.in_state(State::AwaitingResult), [2, 3]);
}

#[test]
fn a_queued_retry_outlives_the_first_attempt() {
    let mut harness = Harness::new(settings());
    for id in 1..=4 {
        harness.arrive(request(id, 2), id);
    }
    harness.arrive(request(10, 1), 77);
    harness.advance(ms(300));
    harness.arrive(request(11, 1), 77);
    harness.cancel(10);
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(harness.started().last(), Some(&11));
    assert!(
        harness.entries.contains_key(&77),
        "its entry went with the first try"
    );
}

#[test]
fn a_retry_of_an_unknown_attempt_never_runs() {
    let mut harness = Harness::new(settings());
    harness.arrive(
        Request {
            previous_attempt: Some(RequestId(999)),
            ..request(1, 1)
        },
        5,
    );
    assert!(harness.started().is_empty());
    harness.advance(ms(8000));
    assert!(harness.rejected().is_empty());
    assert!(harness.all.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn a_rejected_key_leaves_the_store() {
    let mut harness = Harness::new(settings());
    for id in 1..=4 {
        harness.arrive(request(id, 2), id);
    }
    harness.arrive(request(10, 1), 77);
    harness.advance(ms(2000));
    assert_eq!(harness.rejected(), [10]);
    assert!(harness.all.contains(&Action::EvictResult(RequestId(10))));
}
