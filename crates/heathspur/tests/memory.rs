//! Queued requests, runs and idempotency entries stay within memory.

mod common;
use common::*;
use heathspur::*;

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
