//! Queued requests, runs and idempotency entries stay within memory.

mod common;
use common::*;
use heathspur::*;

#[test]
fn idempotency_entries_leave_memory_for_runs() {
    let mut set = settings();
    set.classes[1].may_call = false;
    let mut harness = Harness::new(set);
    for id in 1..300 {
        harness.arrive(request(id, 1), id);
        harness.advance(ms(5));
        harness.complete_run(id, Outcome::Ok);
    }
    let kept = harness.entries.len() as f64 * harness.settings.dedup_entry_kb;
    assert!(
        kept > 0.7 * harness.settings.memory_kb,
        "keys use only {kept}"
    );
    assert!(
        !harness.rejected().is_empty(),
        "nothing was ever rejected for want of an entry"
    );
    let before = harness.started().len();
    harness.arrive(request(500, 2), 500);
    assert_eq!(harness.started().len(), before + 1, "no room left to run");
}

#[test]
fn memory_sheds_the_newest_of_the_lowest_weight() {
    let mut set = settings();
    set.memory_kb = 800.0;
    let mut harness = Harness::new(set);
    for id in 1..=6 {
        harness.arrive(request(id, 2), id);
    }
    for id in 10..80 {
        harness.arrive(request(id, 0), id);
    }
    assert!(harness.rejected().contains(&79) && !harness.rejected().contains(&5));
}

#[test]
fn retries_that_await_a_result_do_not_fill_the_memory() {
    let mut set = settings();
    (set.cores, set.memory_kb) = (1, 1200.0);
    let mut harness = Harness::new(set);
    harness.arrive(
        Request {
            queued_memory_kb: 50.0,
            ..request(1, 1)
        },
        7,
    );
    assert_eq!(harness.running(), [1]);
    // The harness fails when memory exceeds its limit.
    for id in 2..30 {
        harness.arrive(
            Request {
                queued_memory_kb: 50.0,
                ..request(id, 1)
            },
            7,
        );
    }
    assert!(!harness.in_state(State::AwaitingResult).is_empty());
    assert!(harness.answers[&RequestId(29)] == 1 && harness.rejected().is_empty());
}
