//! PI control of run-slot budgets through the controller, against values calculated by hand.

mod common;
use common::*;
use heathspur::*;

/// One class with runs of 500 ms and an objective of 5 s: its target wait is half of the 4.5 s
/// left, 2.25 s.
fn one_class() -> Harness {
    let mut set = settings();
    set.classes = vec![class(1.0, Idempotency::Idempotent, false)];
    set.classes[0].latency_objective = ms(5000);
    set.classes[0].client_timeout = ms(50_000);
    set.cores = 100;
    set.memory_kb = 1e6;
    let mut harness = Harness::new(set);
    for id in 9000..9100 {
        harness.arrive(request(id, 0), id);
        harness.advance(ms(500));
        harness.complete_run(id, Outcome::Ok);
    }
    harness
}

/// Starts one request in this period that has waited for so many milliseconds.
fn period(harness: &mut Harness, id: u64, waited: u64) {
    harness.arrive(
        Request {
            queueing_delay: ms(waited),
            ..request(id, 0)
        },
        id,
    );
    harness.advance(ms(520));
}

#[test]
fn budgets_follow_the_pi_law() {
    let mut harness = one_class();
    let k = ClassId(0);
    // Waits of zero: the error is 2.25 s, so the output stays at its minimum.
    assert_eq!(harness.controller.run_slot_budget(k), 1.0);
    // Wait 3.25: E = -1, E before = 2.25: 1 + -0.8 x (-1 - 0.3 x 2.25) = 2.34, in whole slots 2.
    period(&mut harness, 1, 3250);
    assert_eq!(harness.controller.run_slot_budget(k), 2.0);
    // Wait 4.25: E = -2, E before = -1: 2.34 + -0.8 x (-2 + 0.3) = 3.7, in whole slots 4.
    period(&mut harness, 2, 4250);
    assert_eq!(harness.controller.run_slot_budget(k), 4.0);
    // Wait 2.25: E = 0, E before = -2: 3.7 + -0.8 x 0.6 = 3.22, in whole slots 3.
    period(&mut harness, 3, 2250);
    assert_eq!(harness.controller.run_slot_budget(k), 3.0);
}

#[test]
fn a_class_with_nothing_queued_or_started_keeps_its_budget() {
    let mut harness = one_class();
    period(&mut harness, 1, 3250);
    period(&mut harness, 2, 4250);
    let before = harness.controller.run_slot_budget(ClassId(0));
    for _ in 0..4 {
        harness.advance(ms(500));
    }
    assert_eq!(harness.controller.run_slot_budget(ClassId(0)), before);
}

#[test]
fn after_saturation_control_continues_from_the_slots_in_use() {
    // Two classes starve behind long runs. Unbounded, their outputs would wind up in every period;
    // based on the slots in use, each budget stays within the limit and falls once waits do.
    let mut set = settings();
    set.classes = vec![
        class(1.0, Idempotency::NonIdempotent, false),
        class(2.0, Idempotency::NonIdempotent, false),
    ];
    for c in &mut set.classes {
        (c.latency_objective, c.client_timeout) = (ms(20_000), ms(60_000));
    }
    let mut harness = Harness::new(set);
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
    let cap = harness.controller.concurrency_limit();
    let (low, high) = (
        harness.controller.run_slot_budget(ClassId(0)),
        harness.controller.run_slot_budget(ClassId(1)),
    );
    assert!(low + high > cap, "not saturated: {low} + {high}, cap {cap}");
    assert!(low <= cap && high <= cap);
    // Waits of 14 s to 15 s against a target of 8.5 s (objective 20 s, assumed run 3 s): from two
    // slots in use each, one period adds 0.8 x (E - 0.3 E), a little under 4, which the limit bounds.
    assert_eq!((low, high), (cap, cap));
}
