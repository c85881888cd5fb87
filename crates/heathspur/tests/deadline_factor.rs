//! Learning from wasted runs: the concurrency limit, run-time estimates, and the safety factor by
//! which queued requests are rejected.

mod common;
use common::*;
use heathspur::*;

const CORES: u64 = 8;

/// An idempotent class to judge by, and an idempotent and a non-idempotent class to learn from; each
/// with an objective of 2 s and a client timeout of 6 s.
fn server(halt: Preemption) -> Harness {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
    ];
    let classes = effects.map(|effect| class(1.0, effect, false)).to_vec();
    Harness::new(Settings {
        classes,
        preemption: halt,
        cores: CORES,
        memory_kb: 1e6,
        ..settings()
    })
}

/// Runs requests one after the other, each alone on the cores; stopped runs do not complete.
fn runs(harness: &mut Harness, n: u64, class: usize, took: u64) {
    for _ in 0..n {
        let id = harness.now.0;
        harness.arrive(request(id, class), id);
        harness.advance(ms(took));
        harness.complete_run(id, Outcome::Ok);
    }
}

/// Starts requests whose clients cancel.
fn left(harness: &mut Harness, n: u64, class: usize, took: u64) {
    for _ in 0..n {
        let id = harness.now.0;
        harness.arrive(request(id, class), id);
        harness.advance(ms(took));
        harness.cancel(id);
    }
}

fn fill(harness: &mut Harness, class: usize) {
    for id in harness.now.0..harness.now.0 + CORES {
        harness.arrive(request(id, class), id);
    }
    assert_eq!(harness.running().len() as u64, CORES);
}

/// Ends all requests; nothing is learned from runs that fail.
fn clear(harness: &mut Harness) {
    while let Some(&id) = harness.running().first() {
        harness.complete_run(id, Outcome::Error);
    }
}

/// Returns the next id that `fill` has not used.
fn next(harness: &Harness) -> u64 {
    harness.now.0 + CORES
}

/// Returns whether a request behind full cores, with `others` after it that have time, is kept by
/// the next tick and then run. Otherwise it was rejected there, with `Retry-After`.
fn tried(harness: &mut Harness, r: Request, others: u64) -> bool {
    let id = next(harness);
    fill(harness, 2);
    harness.arrive(
        Request {
            id: RequestId(id),
            ..r
        },
        id,
    );
    for other in id + 1..=id + others {
        harness.arrive(request(other, 0), other);
    }
    harness.advance(ms(20));
    let advised = |a: &Action| matches!(a, Action::Reject { id: r, retry_after: Some(s), .. } if r.0 == id && *s >= ms(500));
    let rejected = harness.last.iter().any(advised);
    clear(harness);
    harness.advance(ms(20));
    let ran = harness.started();
    assert_eq!(
        ran.contains(&id),
        !rejected,
        "neither run nor rejected with advice"
    );
    assert!(
        (id + 1..=id + others).all(|other| ran.contains(&other)),
        "one with time was turned away"
    );
    !rejected
}

/// A request of class 0 with 0.8 s left of its objective, although it has just arrived.
fn tight() -> Request {
    Request {
        remaining_deadline: Some(ms(4800)),
        ..request(0, 0)
    }
}

#[test]
fn the_limit_grows_with_half_a_core_idle_and_not_on_busy_cores() {
    let mut harness = server(Preemption::Restart);
    runs(&mut harness, 10, 0, 400);
    fill(&mut harness, 0);
    // Requests are always queued, and run times do not depend on concurrency.
    let mut grown = |cpu: f64| {
        harness.gauges.cpu = Some(cpu);
        harness.advance(ms(20));
        let before = harness.controller.concurrency_limit();
        for _ in 0..30 {
            let id = next(&harness);
            harness.arrive(request(id, 0), id);
            harness.advance(Span(400_000 / harness.running().len() as u64));
            let first = harness.running()[0];
            harness.complete_run(first, Outcome::Ok);
        }
        harness.controller.concurrency_limit() - before
    };
    assert_eq!(grown(1.0), 0.0);
    assert_eq!(grown(0.95), 0.0, "0.4 of a core idle");
    assert!(grown(1.0 - 0.5 / CORES as f64) >= 1.0, "half a core idle");
    assert_eq!(grown(1.0), 0.0, "busy again");
}

#[test]
fn a_hint_above_the_objective_is_rejected_while_queued_and_a_mean_request_starts() {
    let mut harness = server(Preemption::Restart);
    // Mean run times beyond the objective are bounded, so that a class always gets starts; the hint
    // multiplies the bounded value.
    runs(&mut harness, 10, 2, 3000);
    assert!(tried(&mut harness, request(0, 2), 0));
    assert!(!tried(
        &mut harness,
        Request {
            cost_hint: Some(4.0),
            ..request(0, 2)
        },
        1
    ));
    assert!(
        tried(
            &mut harness,
            Request {
                cost_hint: Some(4.0),
                ..request(0, 2)
            },
            0
        ),
        "nobody else for the slot"
    );
    assert!(tried(&mut harness, request(0, 2), 0));
}

#[test]
fn hints_count_as_far_as_run_times_followed_them() {
    // Runs of 0.5 and 1.5 times the mean cost take the same time, or a time by their hints.
    for (took, believed) in [([700, 700], false), ([350, 1050], true)] {
        let mut harness = server(Preemption::Restart);
        for i in 0..40 {
            let id = harness.now.0;
            harness.arrive(
                Request {
                    cost_hint: Some([0.5, 1.5][i % 2]),
                    ..request(id, 0)
                },
                id,
            );
            harness.advance(ms(took[i % 2]));
            harness.complete_run(id, Outcome::Ok);
        }
        let large = Request {
            cost_hint: Some(4.0),
            ..request(0, 0)
        };
        assert_eq!(tried(&mut harness, large, 1), !believed, "{took:?}");
    }
}

#[test]
fn late_and_cancelled_runs_count_in_the_run_time_estimate() {
    let mut harness = server(Preemption::Restart);
    runs(&mut harness, 2, 0, 100);
    assert!(tried(&mut harness, tight(), 0));
    runs(&mut harness, 10, 0, 2100);
    assert_eq!(
        harness
            .all
            .iter()
            .filter(|a| matches!(a, Action::Stop(_)))
            .count(),
        10
    );
    assert!(!tried(&mut harness, tight(), 0));
    // A cancelled run does not show its length, so it does not count as short.
    left(&mut harness, 60, 0, 20);
    assert!(!tried(&mut harness, tight(), 0));
}

#[test]
fn without_preemption_runs_that_outlive_their_answers_count() {
    let mut harness = server(Preemption::None);
    runs(&mut harness, 2, 0, 100);
    assert!(tried(&mut harness, tight(), 0));
    runs(&mut harness, 20, 0, 2500);
    assert!(!tried(&mut harness, tight(), 0));
    // Cancelled requests were not served: the advice follows a high rejection rate.
    let advice = |a: &Action| {
        if let Action::Reject {
            retry_after: stay_away,
            ..
        } = a
        {
            *stay_away
        } else {
            None
        }
    };
    assert!(harness.all.iter().rev().find_map(advice).expect("advice") > ms(800));
}

#[test]
fn wasted_runs_lower_the_safety_factor_and_useful_runs_raise_it() {
    let vain: [fn(&mut Harness); 3] = [
        |harness| runs(harness, 16, 1, 2100), // stopped, because late
        |harness| runs(harness, 16, 2, 2100), // writes that complete late
        |harness| left(harness, 16, 1, 100),
    ];
    for (kind, vain) in vain.iter().enumerate() {
        let mut harness = server(Preemption::Restart);
        let queued = Request {
            queueing_delay: ms(300),
            ..request(0, 0)
        };
        runs(&mut harness, 20, 0, 500);
        assert!(tried(&mut harness, tight(), 1) && tried(&mut harness, queued.clone(), 1));
        vain(&mut harness);
        assert!(
            !tried(&mut harness, tight(), 1),
            "{kind}: started with its mean just left"
        );
        assert!(
            !tried(&mut harness, queued.clone(), 1),
            "{kind}: the line may take all that is left"
        );
        assert!(tried(&mut harness, tight(), 0), "{kind}: alone in the line");
        // On free cores, alone or first of two, and checked before it is started.
        for n in 1..=2 {
            let requests = [
                Request {
                    id: RequestId(1),
                    ..tight()
                },
                request(2, 0),
            ];
            requests[..n].iter().for_each(|r| harness.track(r, r.id.0));
            let mut events: Vec<_> = requests[..n].iter().cloned().map(Event::Request).collect();
            events.push(Event::Timer {
                token: Token(9),
                gauges: harness.gauges,
            });
            harness.batch(&events);
            assert_eq!(harness.running(), [1, 2][..n], "{kind}: on free cores");
            clear(&mut harness);
        }
        runs(&mut harness, 130, 1, 40);
        assert!(
            tried(&mut harness, tight(), 1) && tried(&mut harness, queued, 1),
            "{kind}: not widened"
        );
    }
}

#[test]
fn stalled_runs_and_requests_that_never_ran_leave_the_safety_factor() {
    let mut harness = server(Preemption::Restart);
    runs(&mut harness, 20, 0, 500);
    fill(&mut harness, 1);
    harness.advance(ms(1700));
    assert_eq!(harness.rejected().len() as u64, CORES);
    assert!(tried(&mut harness, tight(), 1));
    for _ in 0..10 {
        assert!(!tried(
            &mut harness,
            Request {
                queueing_delay: ms(1800),
                ..request(0, 0)
            },
            0
        ));
    }
    assert!(tried(&mut harness, tight(), 1));
}

/// Returns the time until a request is rejected, and whether the same batch stops its run.
fn refused_after(harness: &mut Harness, id: u64) -> (Span, bool) {
    let since = harness.now;
    while harness.requests.contains_key(&RequestId(id)) {
        harness.advance(ms(20));
        let stops = harness.last.contains(&Action::Stop(RequestId(id)));
        if harness
            .last
            .iter()
            .any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id))
        {
            return (harness.now - since, stops);
        }
        assert!(!stops, "stopped without its answer");
    }
    panic!("gone without a refusal");
}

#[test]
fn a_request_given_up_is_answered_in_that_batch() {
    let mut harness = server(Preemption::Restart);
    runs(&mut harness, 20, 0, 700);
    let late = harness.now.0;
    harness.arrive(request(late, 0), late);
    let (after, stops) = refused_after(&mut harness, late);
    assert!(
        stops && after <= ms(2020),
        "a late run: {after:?}, stopped: {stops}"
    );
    left(&mut harness, 16, 1, 100);
    let id = next(&harness);
    fill(&mut harness, 2);
    harness.arrive(
        Request {
            cost_hint: Some(6.0),
            ..request(id, 0)
        },
        id,
    );
    harness.arrive(request(id + 1, 0), id + 1);
    assert_eq!(
        refused_after(&mut harness, id),
        (ms(20), false),
        "too large"
    );
    // After a tenth of its objective, queue and run must fit into a quarter of the 1.8 s left.
    assert_eq!(
        refused_after(&mut harness, id + 1),
        (ms(200), false),
        "too long a line"
    );
    harness.advance(ms(6000));
    assert!([late, id, id + 1]
        .iter()
        .all(|id| harness.answers[&RequestId(*id)] == 1));
}
