//! How long idle client connections stay open.

mod common;
use common::*;
use heathspur::*;

/// Returns the idle times granted while `open` connections are open and four requests a second
/// arrive, which are served or left waiting.
fn granted_idle_times(
    harness: &mut Harness,
    from: u64,
    open: impl Fn(u64) -> f64,
    serve: bool,
) -> Vec<Span> {
    let before = harness.all.len();
    for n in 0..60 {
        let id = from + n;
        harness.gauges.connections = Some(open(n));
        harness.arrive(request(id, 0), id);
        harness.advance(ms(250));
        if serve {
            harness.complete_run(id, Outcome::Ok);
        }
    }
    let given = |a: &Action| {
        if let Action::CloseIdleConnections(span) = a {
            Some(*span)
        } else {
            None
        }
    };
    harness.all[before..].iter().filter_map(given).collect()
}

#[test]
fn idle_connections_that_serve_one_request_close_early() {
    let mut set = settings();
    set.callers = 500;
    let mut harness = Harness::new(set);
    let given = granted_idle_times(&mut harness, 0, |n| n as f64, true);
    assert!(given.last().is_some_and(|&t| t <= ms(4000)), "{given:?}");
    // Reused connections are kept longer.
    let given = granted_idle_times(&mut harness, 100, |_| 1.0, true);
    assert_eq!(given.last(), Some(&ms(30_000)), "{given:?}");
}

#[test]
fn few_connections_that_serve_many_requests_stay_open() {
    let mut set = settings();
    set.callers = 500;
    let mut harness = Harness::new(set);
    assert!(granted_idle_times(&mut harness, 0, |_| 5.0, true).is_empty());
    // Connections stay where there is one for most callers.
    let mut harness = Harness::new(settings());
    assert!(granted_idle_times(&mut harness, 0, |n| n as f64, true).is_empty());
}

#[test]
fn the_table_stays_full_while_most_requests_are_rejected() {
    let mut set = settings();
    set.callers = 500;
    let mut harness = Harness::new(set);
    granted_idle_times(&mut harness, 0, |n| n as f64, true);
    // No run ends any more, so arrivals are rejected.
    harness.arrive(request(99, 2), 99);
    let given = granted_idle_times(&mut harness, 100, |_| 60.0, false);
    assert!(
        given.windows(2).all(|w| w[0] < w[1]) && given.len() > 1,
        "{given:?}"
    );
}

/// Returns the idle time after each of `n` requests: four a second that waited unread for `waited`
/// and are served.
fn idle_times_under_unread_delay(
    harness: &mut Harness,
    from: u64,
    n: u64,
    waited: Span,
) -> Vec<Span> {
    let given = |a: &Action| {
        if let Action::CloseIdleConnections(span) = a {
            Some(*span)
        } else {
            None
        }
    };
    let mut idle_times = Vec::new();
    for id in from..from + n {
        harness.arrive(
            Request {
                queueing_delay: waited,
                ..request(id, 0)
            },
            id,
        );
        harness.advance(ms(250));
        harness.complete_run(id, Outcome::Ok);
        idle_times.push(
            harness
                .all
                .iter()
                .filter_map(given)
                .next_back()
                .unwrap_or(harness.settings.client_idle_timeout),
        );
    }
    idle_times
}

/// Returns a server that closes idle connections early, and the idle times it granted while requests
/// then waited unread for half of their objective.
fn idle_times_around_read_pressure(cpu: Option<f64>) -> (Harness, Vec<Span>) {
    let mut harness = Harness::new(Settings {
        callers: 500,
        client_idle_timeout: ms(10_000),
        ..settings()
    });
    harness.gauges = Gauges {
        connections: Some(100.0),
        cpu,
        ..Gauges::default()
    };
    idle_times_under_unread_delay(&mut harness, 0, 60, ms(0));
    let given = idle_times_under_unread_delay(&mut harness, 100, 8, ms(1000));
    (harness, given)
}

#[test]
fn unread_delay_keeps_the_table_full_for_one_idle_timeout() {
    for cpu in [None, Some(0.75)] {
        let (mut harness, given) = idle_times_around_read_pressure(cpu);
        let early = given[0];
        assert!(early < ms(2000), "not closed early: {early:?}");
        assert!(
            given
                .iter()
                .all(|&s| s == early || s == harness.settings.client_idle_timeout),
            "by steps: {given:?}"
        );
        assert_eq!(given.last(), Some(&harness.settings.client_idle_timeout));
        // The average delay takes some 10 requests to fall, and an idle timeout spans 40.
        let calm = idle_times_under_unread_delay(&mut harness, 200, 80, ms(0));
        let first = calm
            .iter()
            .position(|&s| s < harness.settings.client_idle_timeout);
        assert!(
            first.is_some_and(|n| (45..56).contains(&n)),
            "{cpu:?}: opened at {first:?}"
        );
        assert!(calm.last() < Some(&ms(2000)), "{calm:?}");
    }
}

#[test]
fn after_read_pressure_the_table_reopens_by_a_tenth_a_period_on_idle_cores() {
    let (mut harness, given) = idle_times_around_read_pressure(Some(0.65));
    assert_eq!(given.last(), Some(&harness.settings.client_idle_timeout));
    let mut calm = idle_times_under_unread_delay(&mut harness, 200, 40, ms(0));
    calm.dedup();
    let eases = |w: &[Span]| (w[1].secs() / w[0].secs() - 0.9).abs() < 0.001;
    assert!(calm.len() > 8 && calm.windows(2).all(eases), "{calm:?}");
}

#[test]
fn after_a_flood_idle_connections_close_early_on_idle_cores_only() {
    for (cpu, early) in [(Some(0.3), true), (Some(0.9), false), (None, false)] {
        let mut harness = Harness::new(Settings {
            callers: 500,
            ..settings()
        });
        harness.gauges.cpu = cpu.map(|_| 0.9);
        harness.arrive(request(99, 2), 99);
        // No run ends, so all further arrivals are rejected.
        let flood = granted_idle_times(&mut harness, 100, |_| 100.0, false);
        assert!(
            flood.is_empty() && harness.rejected().len() > 40,
            "{flood:?}"
        );
        let before = harness.all.len();
        harness.gauges.cpu = cpu;
        harness.advance(ms(8000));
        let closed = harness.all[before..]
            .iter()
            .any(|a| matches!(a, Action::CloseIdleConnections(s) if *s < ms(20_000)));
        assert_eq!(closed, early, "{cpu:?}");
    }
}
