//! Queued requests, runs and idempotency entries stay within the memory limit.

mod common;
use common::*;
use heathspur::*;

#[test]
fn idempotency_entries_leave_memory_for_runs() {
    let mut settings = settings();
    settings.classes[KEYED].may_call = false;
    let mut harness = Harness::new(settings);
    for id in 1..300 {
        harness.arrive(request(id, KEYED), id);
        harness.advance(ms(5));
        harness.complete_run(id, Outcome::Ok);
    }
    let entries_kb = harness.store_entries.len() as f64 * harness.settings.dedup_entry_kb;
    assert!(
        entries_kb > 0.7 * harness.settings.memory_kb,
        "idempotency entries use only {entries_kb} kB"
    );
    assert!(
        !harness.rejected().is_empty(),
        "no request was rejected for lack of memory for an entry"
    );
    let started_before = harness.started().len();
    harness.arrive(request(500, NON_IDEMPOTENT), 500);
    assert_eq!(
        harness.started().len(),
        started_before + 1,
        "no memory left for a run"
    );
}

#[test]
fn newest_request_of_lowest_weight_is_shed_when_memory_is_short() {
    let mut settings = settings();
    settings.memory_kb = 800.0;
    let mut harness = Harness::new(settings);
    for id in 1..=6 {
        harness.arrive(request(id, NON_IDEMPOTENT), id);
    }
    for id in 10..80 {
        harness.arrive(request(id, IDEMPOTENT), id);
    }
    assert!(harness.rejected().contains(&79) && !harness.rejected().contains(&5));
}

#[test]
fn retries_awaiting_result_stay_within_memory_limit() {
    let mut settings = settings();
    (settings.cores, settings.memory_kb) = (1, 1200.0);
    let mut harness = Harness::new(settings);
    harness.arrive(
        Request {
            queued_memory_kb: 50.0,
            ..request(1, KEYED)
        },
        7,
    );
    assert_eq!(harness.running(), [1]);
    // The harness fails if the memory limit is exceeded.
    for id in 2..30 {
        harness.arrive(
            Request {
                queued_memory_kb: 50.0,
                ..request(id, KEYED)
            },
            7,
        );
    }
    assert!(!harness.in_state(State::AwaitingResult).is_empty());
    assert!(harness.answer_counts[&RequestId(29)] == 1 && harness.rejected().is_empty());
}
