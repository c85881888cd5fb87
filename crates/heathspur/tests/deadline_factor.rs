//! The effects of completed and wasted runs on the concurrency limit, on run-time estimates, and on
//! the safety factor on the remaining time by which queued requests are rejected.

mod common;
use common::*;
use heathspur::*;

const CORES: u64 = 8;

/// The idempotent class whose requests are checked for admission.
const TESTED: usize = 0;
/// An idempotent class whose runs change the estimates, the limit and the factor.
const IDEMPOTENT_LOAD: usize = 1;
/// A non-idempotent class that occupies cores and whose runs have the same effects.
const NON_IDEMPOTENT_LOAD: usize = 2;

/// Returns a server with the classes above, each with an objective of 2 s and a client timeout of
/// 6 s.
fn server(preemption: Preemption) -> Harness {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
    ];
    let classes = idempotencies
        .map(|idempotency| class(1.0, idempotency, false))
        .to_vec();
    Harness::new(Settings {
        classes,
        preemption,
        cores: CORES,
        memory_kb: 1e6,
        ..settings()
    })
}

/// Runs requests one after the other, each alone on the cores. A run that the controller stops
/// before `run_ms` does not complete.
fn complete_runs(harness: &mut Harness, count: u64, class: usize, run_ms: u64) {
    for _ in 0..count {
        let id = harness.now.0;
        harness.arrive(request(id, class), id);
        harness.advance(ms(run_ms));
        harness.complete_run(id, Outcome::Ok);
    }
}

/// Starts requests one after the other, whose clients cancel after `run_ms`.
fn cancel_runs(harness: &mut Harness, count: u64, class: usize, run_ms: u64) {
    for _ in 0..count {
        let id = harness.now.0;
        harness.arrive(request(id, class), id);
        harness.advance(ms(run_ms));
        harness.cancel(id);
    }
}

/// Starts a run on each core.
fn occupy_cores(harness: &mut Harness, class: usize) {
    for id in harness.now.0..harness.now.0 + CORES {
        harness.arrive(request(id, class), id);
    }
    assert_eq!(harness.running().len() as u64, CORES);
}

/// Fails all runs, including those that start meanwhile. Failed runs change no estimate, limit or
/// factor.
fn fail_all_runs(harness: &mut Harness) {
    while let Some(&id) = harness.running().first() {
        harness.complete_run(id, Outcome::Error);
    }
}

/// Returns the first id after those that `occupy_cores` uses at the present time.
fn next_free_id(harness: &Harness) -> u64 {
    harness.now.0 + CORES
}

/// Returns whether a request is admitted that arrives while all cores are busy, followed by
/// `followers` requests that have enough time. An admitted request is still queued after the next
/// tick and runs once cores are free; otherwise that tick rejects it with a `Retry-After` of at
/// least 500 ms.
fn is_admitted(harness: &mut Harness, request_to_admit: Request, followers: u64) -> bool {
    let id = next_free_id(harness);
    occupy_cores(harness, NON_IDEMPOTENT_LOAD);
    harness.arrive(
        Request {
            id: RequestId(id),
            ..request_to_admit
        },
        id,
    );
    for follower in id + 1..=id + followers {
        harness.arrive(request(follower, TESTED), follower);
    }
    harness.advance(ms(20));
    let is_rejection = |action: &Action| {
        matches!(
            action,
            Action::Reject { id: rejected, retry_after: Some(delay), .. }
                if rejected.0 == id && *delay >= ms(500)
        )
    };
    let is_rejected = harness.last_actions.iter().any(is_rejection);
    fail_all_runs(harness);
    harness.advance(ms(20));
    let started = harness.started();
    assert_eq!(
        started.contains(&id),
        !is_rejected,
        "neither started nor rejected with Retry-After"
    );
    assert!(
        (id + 1..=id + followers).all(|follower| started.contains(&follower)),
        "a request with enough time was rejected"
    );
    !is_rejected
}

/// Returns a request that has just arrived with 0.8 s left of its objective: its stated deadline
/// shows that its first attempt is 1.2 s old.
fn request_with_800_ms_left() -> Request {
    Request {
        remaining_deadline: Some(ms(4800)),
        ..request(0, TESTED)
    }
}

#[test]
fn concurrency_limit_grows_only_with_half_a_core_idle() {
    let mut harness = server(Preemption::Restart);
    complete_runs(&mut harness, 10, TESTED, 400);
    occupy_cores(&mut harness, TESTED);
    // Requests are always queued, and each run takes 400 ms at any concurrency.
    let mut growth_at = |cpu_utilization: f64| {
        harness.gauges.cpu = Some(cpu_utilization);
        harness.advance(ms(20));
        let limit_before = harness.controller.concurrency_limit();
        for _ in 0..30 {
            let id = next_free_id(&harness);
            harness.arrive(request(id, TESTED), id);
            harness.advance(Span(400_000 / harness.running().len() as u64));
            let first = harness.running()[0];
            harness.complete_run(first, Outcome::Ok);
        }
        harness.controller.concurrency_limit() - limit_before
    };
    assert_eq!(growth_at(1.0), 0.0);
    assert_eq!(growth_at(0.95), 0.0, "0.4 of a core idle");
    assert!(
        growth_at(1.0 - 0.5 / CORES as f64) >= 1.0,
        "half a core idle"
    );
    assert_eq!(growth_at(1.0), 0.0, "busy again");
}

#[test]
fn large_cost_hint_is_rejected_if_others_wait_and_mean_request_starts() {
    let mut harness = server(Preemption::Restart);
    // Mean run times beyond the objective are bounded, so that a class always gets starts; the hint
    // multiplies the bounded value.
    complete_runs(&mut harness, 10, NON_IDEMPOTENT_LOAD, 3000);
    assert!(is_admitted(
        &mut harness,
        request(0, NON_IDEMPOTENT_LOAD),
        0
    ));
    assert!(!is_admitted(
        &mut harness,
        Request {
            cost_hint: Some(4.0),
            ..request(0, NON_IDEMPOTENT_LOAD)
        },
        1
    ));
    assert!(
        is_admitted(
            &mut harness,
            Request {
                cost_hint: Some(4.0),
                ..request(0, NON_IDEMPOTENT_LOAD)
            },
            0
        ),
        "rejected although no other request waits for the slot"
    );
    assert!(is_admitted(
        &mut harness,
        request(0, NON_IDEMPOTENT_LOAD),
        0
    ));
}

#[test]
fn cost_hint_counts_only_if_run_times_followed_hints() {
    // Runs with hints of 0.5 and 1.5 times the mean take the same time, or times in proportion.
    for (run_ms, follows_hints) in [([700, 700], false), ([350, 1050], true)] {
        let mut harness = server(Preemption::Restart);
        for i in 0..40 {
            let id = harness.now.0;
            harness.arrive(
                Request {
                    cost_hint: Some([0.5, 1.5][i % 2]),
                    ..request(id, TESTED)
                },
                id,
            );
            harness.advance(ms(run_ms[i % 2]));
            harness.complete_run(id, Outcome::Ok);
        }
        let large = Request {
            cost_hint: Some(4.0),
            ..request(0, TESTED)
        };
        assert_eq!(
            is_admitted(&mut harness, large, 1),
            !follows_hints,
            "{run_ms:?}"
        );
    }
}

#[test]
fn late_and_cancelled_runs_count_in_run_time_estimate() {
    let mut harness = server(Preemption::Restart);
    complete_runs(&mut harness, 2, TESTED, 100);
    assert!(is_admitted(&mut harness, request_with_800_ms_left(), 0));
    complete_runs(&mut harness, 10, TESTED, 2100);
    assert_eq!(
        harness
            .actions
            .iter()
            .filter(|action| matches!(action, Action::Stop(_)))
            .count(),
        10
    );
    assert!(!is_admitted(&mut harness, request_with_800_ms_left(), 0));
    // The length of a cancelled run is unknown, so it does not count as a short run.
    cancel_runs(&mut harness, 60, TESTED, 20);
    assert!(!is_admitted(&mut harness, request_with_800_ms_left(), 0));
}

#[test]
fn runs_completed_after_their_answer_count_without_preemption() {
    let mut harness = server(Preemption::None);
    complete_runs(&mut harness, 2, TESTED, 100);
    assert!(is_admitted(&mut harness, request_with_800_ms_left(), 0));
    complete_runs(&mut harness, 20, TESTED, 2500);
    assert!(!is_admitted(&mut harness, request_with_800_ms_left(), 0));
    // The late requests were rejected while they ran, so `Retry-After` follows a high rejection
    // rate.
    let retry_after = |action: &Action| {
        if let Action::Reject { retry_after, .. } = action {
            *retry_after
        } else {
            None
        }
    };
    assert!(
        harness
            .actions
            .iter()
            .rev()
            .find_map(retry_after)
            .expect("a rejection with Retry-After")
            > ms(800)
    );
}

#[test]
fn wasted_runs_lower_safety_factor_and_useful_runs_raise_it() {
    let wasted_runs: [fn(&mut Harness); 3] = [
        // Idempotent runs that are stopped because they are late.
        |harness| complete_runs(harness, 16, IDEMPOTENT_LOAD, 2100),
        // Non-idempotent runs that complete late.
        |harness| complete_runs(harness, 16, NON_IDEMPOTENT_LOAD, 2100),
        |harness| cancel_runs(harness, 16, IDEMPOTENT_LOAD, 100),
    ];
    for (kind, waste_runs) in wasted_runs.iter().enumerate() {
        let mut harness = server(Preemption::Restart);
        let queued_for_300_ms = Request {
            queueing_delay: ms(300),
            ..request(0, TESTED)
        };
        complete_runs(&mut harness, 20, TESTED, 500);
        assert!(
            is_admitted(&mut harness, request_with_800_ms_left(), 1)
                && is_admitted(&mut harness, queued_for_300_ms.clone(), 1)
        );
        waste_runs(&mut harness);
        assert!(
            !is_admitted(&mut harness, request_with_800_ms_left(), 1),
            "{kind}: admitted with little more time left than its mean run time"
        );
        assert!(
            !is_admitted(&mut harness, queued_for_300_ms.clone(), 1),
            "{kind}: admitted although queue and run may take most of the time left"
        );
        assert!(
            is_admitted(&mut harness, request_with_800_ms_left(), 0),
            "{kind}: rejected although no other request waits"
        );
        // On idle cores, alone or first of two. The timer in the same batch checks the requests
        // before they are started.
        for count in 1..=2 {
            let requests = [
                Request {
                    id: RequestId(1),
                    ..request_with_800_ms_left()
                },
                request(2, TESTED),
            ];
            requests[..count]
                .iter()
                .for_each(|request| harness.track(request, request.id.0));
            let mut events: Vec<_> = requests[..count]
                .iter()
                .cloned()
                .map(Event::Request)
                .collect();
            events.push(Event::Timer {
                token: Token(9),
                gauges: harness.gauges,
            });
            harness.decide(&events);
            assert_eq!(
                harness.running(),
                [1, 2][..count],
                "{kind}: not started on idle cores"
            );
            fail_all_runs(&mut harness);
        }
        complete_runs(&mut harness, 130, IDEMPOTENT_LOAD, 40);
        assert!(
            is_admitted(&mut harness, request_with_800_ms_left(), 1)
                && is_admitted(&mut harness, queued_for_300_ms, 1),
            "{kind}: useful runs did not raise the factor"
        );
    }
}

#[test]
fn stalled_runs_and_rejected_queued_requests_keep_safety_factor() {
    let mut harness = server(Preemption::Restart);
    complete_runs(&mut harness, 20, TESTED, 500);
    // No run makes progress, so the server counts as stalled and rejects the runs.
    occupy_cores(&mut harness, IDEMPOTENT_LOAD);
    harness.advance(ms(1700));
    assert_eq!(harness.rejected().len() as u64, CORES);
    assert!(is_admitted(&mut harness, request_with_800_ms_left(), 1));
    for _ in 0..10 {
        assert!(!is_admitted(
            &mut harness,
            Request {
                queueing_delay: ms(1800),
                ..request(0, TESTED)
            },
            0
        ));
    }
    assert!(is_admitted(&mut harness, request_with_800_ms_left(), 1));
}

/// Returns the time until a request is rejected, and whether the same batch stops its run.
fn time_until_rejection(harness: &mut Harness, id: u64) -> (Span, bool) {
    let since = harness.now;
    while harness.requests.contains_key(&RequestId(id)) {
        harness.advance(ms(20));
        let is_stopped = harness.last_actions.contains(&Action::Stop(RequestId(id)));
        if harness
            .last_actions
            .iter()
            .any(|action| matches!(action, Action::Reject { id: rejected, .. } if rejected.0 == id))
        {
            return (harness.now - since, is_stopped);
        }
        assert!(!is_stopped, "stopped without an answer");
    }
    panic!("ended without a rejection");
}

#[test]
fn rejection_is_sent_in_batch_that_ends_request() {
    let mut harness = server(Preemption::Restart);
    complete_runs(&mut harness, 20, TESTED, 700);
    let late = harness.now.0;
    harness.arrive(request(late, TESTED), late);
    let (after, is_stopped) = time_until_rejection(&mut harness, late);
    assert!(
        is_stopped && after <= ms(2020),
        "a late run: {after:?}, stopped: {is_stopped}"
    );
    cancel_runs(&mut harness, 16, IDEMPOTENT_LOAD, 100);
    let id = next_free_id(&harness);
    occupy_cores(&mut harness, NON_IDEMPOTENT_LOAD);
    harness.arrive(
        Request {
            cost_hint: Some(6.0),
            ..request(id, TESTED)
        },
        id,
    );
    harness.arrive(request(id + 1, TESTED), id + 1);
    assert_eq!(
        time_until_rejection(&mut harness, id),
        (ms(20), false),
        "run too long for the time left"
    );
    // After a tenth of its objective, queue and run must fit into a quarter of the 1.8 s left.
    assert_eq!(
        time_until_rejection(&mut harness, id + 1),
        (ms(200), false),
        "queue and run too long for the time left"
    );
    harness.advance(ms(6000));
    assert!([late, id, id + 1]
        .iter()
        .all(|id| harness.answer_counts[&RequestId(*id)] == 1));
}
