//! Warm-up, stalls and graceful shutdown.

mod common;
use common::*;
use heathspur::*;

#[test]
fn a_drain_rejects_late_arrivals_and_answers_all_before_the_stop() {
    let mut harness = Harness::new(settings());
    for id in 1..=8 {
        harness.arrive(request(id, 2), id);
    }
    harness.drain(ms(3000));
    assert!(harness.last.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    harness.advance(ms(1500));
    let ran = harness.started().len();
    harness.complete_run(1, Outcome::Ok);
    harness.arrive(request(50, 1), 50);
    assert!(harness.rejected().contains(&50));
    assert!(!harness.started()[ran..].contains(&50));
    harness.advance(ms(2000));
    assert!(harness.requests.values().all(|k| k.answered));
}

#[test]
fn a_stall_fails_health_checks_rejects_work_and_ends_with_progress() {
    let mut harness = Harness::new(settings());
    for id in 1..=4 {
        harness.arrive(request(id, 2), id);
    }
    harness.arrive(request(9, 0), 9);
    harness.advance(ms(1500));
    assert!(harness.all.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    assert_eq!(harness.rejected(), [9]);
    harness.arrive(request(10, 0), 10);
    let away = Action::Reject {
        id: RequestId(10),
        retry_after: Some(ms(1000)),
        no_retry: false,
    };
    assert!(harness.last.contains(&away), "{:?}", harness.last);
    harness.complete_run(1, Outcome::Ok);
    harness.advance(ms(100));
    harness.arrive(request(11, 0), 11);
    assert!(harness.running().contains(&11));
    let health = harness
        .all
        .iter()
        .filter(|a| matches!(a, Action::Health { .. }))
        .count();
    assert_eq!(health, 3, "flapped");
}

#[test]
fn a_cold_server_has_a_lower_overload_ceiling() {
    let mut set = settings();
    set.cold_start = true;
    let mut harness = Harness::new(set);
    for id in 1..=40 {
        harness.arrive(request(id, 2), id);
    }
    // The overload concurrency is 4 cores x (1 + 4 x 0.2) = 7.2.
    assert!(harness.running().len() <= 5, "{}", harness.running().len());
}

#[test]
fn a_completed_call_finds_its_slot_on_a_cold_server() {
    let mut set = settings();
    (
        set.cores,
        set.cold_start,
        set.cold_start_capacity,
        set.overload_concurrency,
    ) = (1, true, 0.15, 3.0);
    let mut harness = Harness::new(set);
    harness.arrive(request(1, 0), 1);
    harness.need_call(1);
    harness.arrive(request(2, 2), 2);
    harness.complete_call(1, Outcome::Ok);
    // The overload concurrency is 1 core x (1 + 2 x 0.15) = 1.3.
    assert_eq!(harness.running().len(), 1, "{:?}", harness.running());
    harness.complete_run(1, Outcome::Ok);
    assert_eq!(
        harness.running(),
        [2],
        "the next takes the place that is free"
    );
}

/// Runs that do not slow each other raise the limit to the overload ceiling. Requests that call must
/// not wait for capacity at calls while none is at a call, since nothing would ever free it.
#[test]
fn calling_work_continues_once_the_limit_has_reached_the_ceiling() {
    let mut harness = Harness::new(Settings {
        memory_kb: 1e6,
        ..settings()
    });
    let (mut next, mut ended) = (1, 0);
    for _ in 0..6_000 {
        // More requests than can run, and run times do not depend on concurrency.
        while harness.in_state(State::Queued).len() < 8 {
            harness.arrive(request(next, 0), next);
            next += 1;
        }
        harness.advance(ms(4));
        let running = harness.running();
        assert!(
            !running.is_empty(),
            "nothing runs of {} queued, after {ended} ends",
            harness.in_state(State::Queued).len()
        );
        for id in running {
            harness.complete_run(id, Outcome::Ok);
            ended += 1;
        }
    }
}
