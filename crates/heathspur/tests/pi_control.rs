//! PI control of run-slot budgets through the controller, against values calculated by hand.
//!
//! The control law is `U(m) = U(m-1) - 0.8 (E(m) - 0.3 E(m-1))`: `E` is the target wait less the
//! mean wait of the period's starts in seconds, and `U` is the budget in slots before rounding, at
//! least 1.

mod common;
use common::*;
use heathspur::*;

/// The only class of [`server_with_one_class`].
const CLASS: usize = 0;

/// Returns a server with one class, whose runs take 500 ms and whose objective is 5 s: its target
/// wait is half of the 4.5 s left, 2.25 s.
fn server_with_one_class() -> Harness {
    let mut settings = settings();
    settings.classes = vec![class(1.0, Idempotency::Idempotent, false)];
    settings.classes[CLASS].latency_objective = ms(5000);
    settings.classes[CLASS].client_timeout = ms(50_000);
    settings.cores = 100;
    settings.memory_kb = 1e6;
    let mut harness = Harness::new(settings);
    for id in 9000..9100 {
        harness.arrive(request(id, CLASS), id);
        harness.advance(ms(500));
        harness.complete_run(id, Outcome::Ok);
    }
    harness
}

/// Starts one request that has waited for `wait_ms`, and ends the control period.
fn play_period(harness: &mut Harness, id: u64, wait_ms: u64) {
    harness.arrive(
        Request {
            queueing_delay: ms(wait_ms),
            ..request(id, CLASS)
        },
        id,
    );
    harness.advance(ms(520));
}

#[test]
fn budget_follows_pi_law() {
    let mut harness = server_with_one_class();
    let class = ClassId(CLASS);
    // Waits of zero: the error is 2.25 s, so the output stays at its minimum of 1.
    assert_eq!(harness.controller.run_slot_budget(class), 1.0);
    // Wait 3.25 s: E = -1, previous E = 2.25; 1 - 0.8 x (-1 - 0.3 x 2.25) = 2.34, rounded to 2
    // slots.
    play_period(&mut harness, 1, 3250);
    assert_eq!(harness.controller.run_slot_budget(class), 2.0);
    // Wait 4.25 s: E = -2, previous E = -1; 2.34 - 0.8 x (-2 + 0.3) = 3.7, rounded to 4 slots.
    play_period(&mut harness, 2, 4250);
    assert_eq!(harness.controller.run_slot_budget(class), 4.0);
    // Wait 2.25 s: E = 0, previous E = -2; 3.7 - 0.8 x 0.6 = 3.22, rounded to 3 slots.
    play_period(&mut harness, 3, 2250);
    assert_eq!(harness.controller.run_slot_budget(class), 3.0);
}

#[test]
fn class_without_queued_or_started_requests_keeps_its_budget() {
    let mut harness = server_with_one_class();
    play_period(&mut harness, 1, 3250);
    play_period(&mut harness, 2, 4250);
    let budget_before = harness.controller.run_slot_budget(ClassId(CLASS));
    for _ in 0..4 {
        harness.advance(ms(500));
    }
    assert_eq!(
        harness.controller.run_slot_budget(ClassId(CLASS)),
        budget_before
    );
}

/// Requests of two classes wait behind long runs, so both outputs rise in every period. Unbounded,
/// they would wind up; computed from the slots in use, each stays within the concurrency limit and
/// falls as soon as the waits do.
#[test]
fn saturated_budgets_are_computed_from_slots_in_use() {
    let mut settings = settings();
    settings.classes = vec![
        class(1.0, Idempotency::NonIdempotent, false),
        class(2.0, Idempotency::NonIdempotent, false),
    ];
    for class in &mut settings.classes {
        (class.latency_objective, class.client_timeout) = (ms(20_000), ms(60_000));
    }
    let mut harness = Harness::new(settings);
    for id in 1..=12 {
        harness.arrive(
            Request {
                queueing_delay: ms(12_000),
                ..request(id, (id % 2) as usize)
            },
            id,
        );
    }
    harness.advance(ms(3000));
    let limit = harness.controller.concurrency_limit();
    let (low, high) = (
        harness.controller.run_slot_budget(ClassId(0)),
        harness.controller.run_slot_budget(ClassId(1)),
    );
    assert!(
        low + high > limit,
        "not saturated: {low} + {high}, limit {limit}"
    );
    assert!(low <= limit && high <= limit);
    // Waits of 14 s to 15 s against a target of 8.5 s (objective 20 s, assumed run 3 s): from two
    // slots in use each, one period adds 0.8 x (E - 0.3 E), a little under 4, which the limit
    // bounds.
    assert_eq!((low, high), (limit, limit));
}
