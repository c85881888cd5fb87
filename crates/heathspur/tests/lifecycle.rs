//! Warm-up, stalls and graceful shutdown.

mod common;
use common::*;
use heathspur::*;

#[test]
fn late_arrivals_are_refused_in_a_drain_and_all_is_answered_before_the_stop() {
    let mut b = Bench::new(settings());
    for id in 1..=8 {
        b.arrive(request(id, 2), id);
    }
    b.leave(ms(3000));
    assert!(b.last.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    b.pass(ms(1500));
    let ran = b.ran().len();
    b.done(1, Outcome::Ok);
    b.arrive(request(50, 1), 50);
    assert!(b.refused().contains(&50));
    assert!(!b.ran()[ran..].contains(&50));
    b.pass(ms(2000));
    assert!(b.known.values().all(|k| k.answered));
}

#[test]
fn a_stall_turns_health_bad_sends_work_elsewhere_and_ends_with_progress() {
    let mut b = Bench::new(settings());
    for id in 1..=4 {
        b.arrive(request(id, 2), id);
    }
    b.arrive(request(9, 0), 9);
    b.pass(ms(1500));
    assert!(b.all.contains(&Action::Health {
        healthy: false,
        cached: true
    }));
    assert_eq!(b.refused(), [9]);
    b.arrive(request(10, 0), 10);
    let away = Action::Reject {
        id: RequestId(10),
        retry_after: Some(ms(1000)),
        no_retry: false,
    };
    assert!(b.last.contains(&away), "{:?}", b.last);
    b.done(1, Outcome::Ok);
    b.pass(ms(100));
    b.arrive(request(11, 0), 11);
    assert!(b.running().contains(&11));
    let health = b
        .all
        .iter()
        .filter(|a| matches!(a, Action::Health { .. }))
        .count();
    assert_eq!(health, 3, "flapped");
}

#[test]
fn a_cold_server_keeps_a_smaller_crowd() {
    let mut set = settings();
    set.cold_start = true;
    let mut b = Bench::new(set);
    for id in 1..=40 {
        b.arrive(request(id, 2), id);
    }
    // 4 cores x (1 + 4 x 0.2) = 7.2 survivable.
    assert!(b.running().len() <= 5, "{}", b.running().len());
}

#[test]
fn a_returning_call_finds_its_place_on_a_cold_core() {
    let mut set = settings();
    (
        set.cores,
        set.cold_start,
        set.cold_start_capacity,
        set.overload_concurrency,
    ) = (1, true, 0.15, 3.0);
    let mut b = Bench::new(set);
    b.arrive(request(1, 0), 1);
    b.needs_call(1);
    b.arrive(request(2, 2), 2);
    b.called(1, Outcome::Ok);
    // 1 core x (1 + 2 x 0.15) = 1.3 survivable.
    assert_eq!(b.running().len(), 1, "{:?}", b.running());
    b.done(1, Outcome::Ok);
    assert_eq!(b.running(), [2], "the next takes the place that is free");
}

/// Runs that share cores without slowing each other raise the cap to the crowd that the machine bears. Work that
/// calls must not wait for room at calls where nothing stands at one: nothing would ever free it.
#[test]
fn work_that_calls_goes_on_when_the_cap_has_grown_to_the_crowd() {
    let mut b = Bench::new(Settings {
        memory_kb: 1e6,
        ..settings()
    });
    let (mut next, mut ended) = (1, 0);
    for _ in 0..6_000 {
        // Always more than can run, and each run takes as long however many there are.
        while b.in_state(State::Held).len() < 8 {
            b.arrive(request(next, 0), next);
            next += 1;
        }
        b.pass(ms(4));
        let running = b.running();
        assert!(
            !running.is_empty(),
            "nothing runs of {} held, after {ended} ends",
            b.in_state(State::Held).len()
        );
        for id in running {
            b.done(id, Outcome::Ok);
            ended += 1;
        }
    }
}
