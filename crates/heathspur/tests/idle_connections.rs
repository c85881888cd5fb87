//! How long idle client connections stay open.

mod common;
use common::*;
use heathspur::*;

/// The times that idle connections were given, while so many are open and requests come four a second and
/// are served or left waiting.
fn idle_times(b: &mut Bench, from: u64, open: impl Fn(u64) -> f64, serve: bool) -> Vec<Span> {
    let before = b.all.len();
    for n in 0..60 {
        let id = from + n;
        b.gauges.connections = Some(open(n));
        b.arrive(request(id, 0), id);
        b.pass(ms(250));
        if serve {
            b.done(id, Outcome::Ok);
        }
    }
    let given = |a: &Action| {
        if let Action::CloseIdleConnections(span) = a {
            Some(*span)
        } else {
            None
        }
    };
    b.all[before..].iter().filter_map(given).collect()
}

#[test]
fn idle_connections_that_serve_one_request_are_closed_early() {
    let mut set = settings();
    set.callers = 500;
    let mut b = Bench::new(set);
    let given = idle_times(&mut b, 0, |n| n as f64, true);
    assert!(given.last().is_some_and(|&t| t <= ms(4000)), "{given:?}");
    // Callers that come again keep theirs longer.
    let given = idle_times(&mut b, 100, |_| 1.0, true);
    assert_eq!(given.last(), Some(&ms(30_000)), "{given:?}");
}

#[test]
fn few_connections_that_serve_many_requests_stay_open() {
    let mut set = settings();
    set.callers = 500;
    let mut b = Bench::new(set);
    assert!(idle_times(&mut b, 0, |_| 5.0, true).is_empty());
    // Nor are they closed where there is one for most callers anyway.
    let mut b = Bench::new(settings());
    assert!(idle_times(&mut b, 0, |n| n as f64, true).is_empty());
}

#[test]
fn a_full_table_stays_while_most_work_is_turned_away() {
    let mut set = settings();
    set.callers = 500;
    let mut b = Bench::new(set);
    idle_times(&mut b, 0, |n| n as f64, true);
    // Nothing ends any more: what comes is turned away.
    b.arrive(request(99, 2), 99);
    let given = idle_times(&mut b, 100, |_| 60.0, false);
    assert!(
        given.windows(2).all(|w| w[0] < w[1]) && given.len() > 1,
        "{given:?}"
    );
}

/// The time that idle connections stay, after each of so many requests: four a second that waited unread so
/// long, and are served.
fn stays(b: &mut Bench, from: u64, n: u64, waited: Span) -> Vec<Span> {
    let given = |a: &Action| {
        if let Action::CloseIdleConnections(span) = a {
            Some(*span)
        } else {
            None
        }
    };
    let mut stays = Vec::new();
    for id in from..from + n {
        b.arrive(
            Request {
                queueing_delay: waited,
                ..request(id, 0)
            },
            id,
        );
        b.pass(ms(250));
        b.done(id, Outcome::Ok);
        stays.push(
            b.all
                .iter()
                .filter_map(given)
                .next_back()
                .unwrap_or(b.set.client_idle_timeout),
        );
    }
    stays
}

/// A server that closes idle connections early, and what it gave them as requests then waited unread for half
/// of their aim.
fn unread_waits(cpu: Option<f64>) -> (Bench, Vec<Span>) {
    let mut b = Bench::new(Settings {
        callers: 500,
        client_idle_timeout: ms(10_000),
        ..settings()
    });
    b.gauges = Gauges {
        connections: Some(100.0),
        cpu,
        ..Gauges::default()
    };
    stays(&mut b, 0, 60, ms(0));
    let given = stays(&mut b, 100, 8, ms(1000));
    (b, given)
}

#[test]
fn requests_that_wait_unread_fill_the_table_at_once_and_for_one_idle_time() {
    for cpu in [None, Some(0.75)] {
        let (mut b, given) = unread_waits(cpu);
        let early = given[0];
        assert!(early < ms(2000), "not closed early: {early:?}");
        assert!(
            given
                .iter()
                .all(|&s| s == early || s == b.set.client_idle_timeout),
            "by steps: {given:?}"
        );
        assert_eq!(given.last(), Some(&b.set.client_idle_timeout));
        // The mean of the waits takes some 10 requests to fall, and an idle time is 40.
        let calm = stays(&mut b, 200, 80, ms(0));
        let first = calm.iter().position(|&s| s < b.set.client_idle_timeout);
        assert!(
            first.is_some_and(|n| (45..56).contains(&n)),
            "{cpu:?}: opened at {first:?}"
        );
        assert!(calm.last() < Some(&ms(2000)), "{calm:?}");
    }
}

#[test]
fn a_table_filled_by_unread_waits_opens_by_a_tenth_a_period_on_idle_cores() {
    let (mut b, given) = unread_waits(Some(0.65));
    assert_eq!(given.last(), Some(&b.set.client_idle_timeout));
    let mut calm = stays(&mut b, 200, 40, ms(0));
    calm.dedup();
    let eases = |w: &[Span]| (w[1].secs() / w[0].secs() - 0.9).abs() < 0.001;
    assert!(calm.len() > 8 && calm.windows(2).all(eases), "{calm:?}");
}

#[test]
fn after_a_flood_idle_connections_are_closed_early_on_idle_cores_only() {
    for (cpu, early) in [(Some(0.3), true), (Some(0.9), false), (None, false)] {
        let mut b = Bench::new(Settings {
            callers: 500,
            ..settings()
        });
        b.gauges.cpu = cpu.map(|_| 0.9);
        b.arrive(request(99, 2), 99);
        // Nothing ends: what comes is turned away, to the last.
        let flood = idle_times(&mut b, 100, |_| 100.0, false);
        assert!(flood.is_empty() && b.refused().len() > 40, "{flood:?}");
        let before = b.all.len();
        b.gauges.cpu = cpu;
        b.pass(ms(8000));
        let closed = b.all[before..]
            .iter()
            .any(|a| matches!(a, Action::CloseIdleConnections(s) if *s < ms(20_000)));
        assert_eq!(closed, early, "{cpu:?}");
    }
}
