//! Attempts of a keyed request run once and share one result.

mod common;
use common::*;
use heathspur::*;

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
