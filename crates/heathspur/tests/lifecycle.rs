//! Graceful shutdown, stalls, warm-up and the overload ceiling.

mod common;
use common::*;
use heathspur::*;

#[test]
fn drain_rejects_late_arrivals_and_answers_all_before_stop() {
    let mut harness = Harness::new(settings());
    for id in 1..=8 {
        harness.arrive(request(id, NON_IDEMPOTENT), id);
    }
    harness.begin_drain(ms(3000));
    assert!(harness.last_actions.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    harness.advance(ms(1500));
    let started_before = harness.started().len();
    harness.complete_run(1, Outcome::Ok);
    harness.arrive(request(50, KEYED), 50);
    assert!(harness.rejected().contains(&50));
    assert!(!harness.started()[started_before..].contains(&50));
    harness.advance(ms(2000));
    assert!(harness.requests.values().all(|request| request.answered));
}

#[test]
fn stall_fails_health_checks_and_rejects_requests_until_progress() {
    let mut harness = Harness::new(settings());
    for id in 1..=4 {
        harness.arrive(request(id, NON_IDEMPOTENT), id);
    }
    harness.arrive(request(9, IDEMPOTENT), 9);
    harness.advance(ms(1500));
    assert!(harness.actions.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    assert_eq!(harness.rejected(), [9]);
    harness.arrive(request(10, IDEMPOTENT), 10);
    let rejection = Action::Reject {
        id: RequestId(10),
        retry_after: Some(ms(1000)),
        no_retry: false,
    };
    assert!(
        harness.last_actions.contains(&rejection),
        "{:?}",
        harness.last_actions
    );
    harness.complete_run(1, Outcome::Ok);
    harness.advance(ms(100));
    harness.arrive(request(11, IDEMPOTENT), 11);
    assert!(harness.running().contains(&11));
    let health_changes = harness
        .actions
        .iter()
        .filter(|action| matches!(action, Action::Health { .. }))
        .count();
    // Healthy at the start, unhealthy in the stall, healthy again.
    assert_eq!(health_changes, 3, "health flapped");
}

#[test]
fn cold_server_has_lower_overload_ceiling() {
    let mut settings = settings();
    settings.cold_start = true;
    let mut harness = Harness::new(settings);
    for id in 1..=40 {
        harness.arrive(request(id, NON_IDEMPOTENT), id);
    }
    // The overload concurrency is 4 cores x (1 + 4 x 0.2) = 7.2, of which 0.8 is used.
    assert!(harness.running().len() <= 5, "{}", harness.running().len());
}

#[test]
fn completed_call_returns_to_free_slot_on_cold_server() {
    let mut settings = settings();
    (
        settings.cores,
        settings.cold_start,
        settings.cold_start_capacity,
        settings.overload_concurrency,
    ) = (1, true, 0.15, 3.0);
    let mut harness = Harness::new(settings);
    harness.arrive(request(1, IDEMPOTENT), 1);
    harness.need_call(1);
    harness.arrive(request(2, NON_IDEMPOTENT), 2);
    harness.complete_call(1, Outcome::Ok);
    // The overload concurrency is 1 core x (1 + 2 x 0.15) = 1.3.
    assert_eq!(harness.running().len(), 1, "{:?}", harness.running());
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(
        harness.running(),
        [2],
        "the next request takes the free slot"
    );
}

/// Runs that do not slow each other raise the concurrency limit to the overload ceiling. Requests
/// of a class that may call must then not wait for call capacity while no request is blocked on a
/// call: nothing would free that capacity, and the server would start no request any more.
#[test]
fn requests_that_call_still_start_when_limit_reaches_ceiling() {
    let mut harness = Harness::new(Settings {
        memory_kb: 1e6,
        ..settings()
    });
    let (mut next_id, mut completed) = (1, 0);
    for _ in 0..6_000 {
        // More requests are queued than can run, and run times do not depend on concurrency.
        while harness.in_state(State::Queued).len() < 8 {
            harness.arrive(request(next_id, IDEMPOTENT), next_id);
            next_id += 1;
        }
        harness.advance(ms(4));
        let running = harness.running();
        assert!(
            !running.is_empty(),
            "no request runs with {} queued, after {completed} completions",
            harness.in_state(State::Queued).len()
        );
        for id in running {
            harness.complete_run(id, Outcome::Ok);
            completed += 1;
        }
    }
}
