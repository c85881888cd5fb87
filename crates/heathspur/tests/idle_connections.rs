//! The idle timeout after which the server closes client connections.

mod common;
use common::*;
use heathspur::*;

/// Returns a server with far more callers than it has connections in these tests.
fn server_with_500_callers() -> Harness {
    Harness::new(Settings {
        callers: 500,
        ..settings()
    })
}

/// Returns the changes of the idle timeout while 60 requests arrive, four a second. With
/// `serve` each completes before the next; otherwise none does. `open_connections` returns the
/// number of open connections at a request, by the request's index.
fn idle_timeout_changes(
    harness: &mut Harness,
    first_id: u64,
    open_connections: impl Fn(u64) -> f64,
    serve: bool,
) -> Vec<Span> {
    let actions_before = harness.actions.len();
    for index in 0..60 {
        let id = first_id + index;
        harness.gauges.connections = Some(open_connections(index));
        harness.arrive(request(id, IDEMPOTENT), id);
        harness.advance(ms(250));
        if serve {
            harness.complete_run(id, Outcome::Ok);
        }
    }
    harness.actions[actions_before..]
        .iter()
        .filter_map(new_idle_timeout)
        .collect()
}

/// Returns the idle timeout that an action sets.
fn new_idle_timeout(action: &Action) -> Option<Span> {
    if let Action::CloseIdleConnections(idle_timeout) = action {
        Some(*idle_timeout)
    } else {
        None
    }
}

#[test]
fn connections_that_serve_one_request_close_early() {
    let mut harness = server_with_500_callers();
    let changes = idle_timeout_changes(&mut harness, 0, |index| index as f64, true);
    assert!(
        changes
            .last()
            .is_some_and(|&idle_timeout| idle_timeout <= ms(4000)),
        "{changes:?}"
    );
    // Connections that are reused stay open for longer again.
    let changes = idle_timeout_changes(&mut harness, 100, |_| 1.0, true);
    assert_eq!(changes.last(), Some(&ms(30_000)), "{changes:?}");
}

#[test]
fn reused_or_spare_connections_stay_open() {
    let mut harness = server_with_500_callers();
    assert!(idle_timeout_changes(&mut harness, 0, |_| 5.0, true).is_empty());
    // With the two callers of the default settings, there is a connection for every other caller,
    // so no caller is prevented from connecting.
    let mut harness = Harness::new(settings());
    assert!(idle_timeout_changes(&mut harness, 0, |index| index as f64, true).is_empty());
}

/// In a flood of requests the connection table should stay full, since refused connections cost the
/// server nothing.
#[test]
fn idle_connections_stay_open_while_most_requests_are_rejected() {
    let mut harness = server_with_500_callers();
    idle_timeout_changes(&mut harness, 0, |index| index as f64, true);
    // The run of request 99 does not end and no further run completes, so arrivals are rejected.
    harness.arrive(request(99, NON_IDEMPOTENT), 99);
    let changes = idle_timeout_changes(&mut harness, 100, |_| 60.0, false);
    assert!(
        changes.windows(2).all(|w| w[0] < w[1]) && changes.len() > 1,
        "{changes:?}"
    );
}

/// Returns the idle timeout in force after each of `count` requests. Four requests a second arrive,
/// each with the given queueing delay, and are served.
fn idle_timeouts_under_unread_delay(
    harness: &mut Harness,
    first_id: u64,
    count: u64,
    queueing_delay: Span,
) -> Vec<Span> {
    let mut idle_timeouts = Vec::new();
    for id in first_id..first_id + count {
        harness.arrive(
            Request {
                queueing_delay,
                ..request(id, IDEMPOTENT)
            },
            id,
        );
        harness.advance(ms(250));
        harness.complete_run(id, Outcome::Ok);
        idle_timeouts.push(
            harness
                .actions
                .iter()
                .filter_map(new_idle_timeout)
                .next_back()
                .unwrap_or(harness.settings.client_idle_timeout),
        );
    }
    idle_timeouts
}

/// Returns a server that closes idle connections early, and the idle timeouts after each of eight
/// requests that then waited unread for half of their objective.
fn server_under_read_pressure(cpu: Option<f64>) -> (Harness, Vec<Span>) {
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
    idle_timeouts_under_unread_delay(&mut harness, 0, 60, ms(0));
    let idle_timeouts = idle_timeouts_under_unread_delay(&mut harness, 100, 8, ms(1000));
    (harness, idle_timeouts)
}

#[test]
fn unread_delay_keeps_connections_open_for_one_client_idle_timeout() {
    for cpu in [None, Some(0.75)] {
        let (mut harness, under_pressure) = server_under_read_pressure(cpu);
        let early = under_pressure[0];
        assert!(
            early < ms(2000),
            "connections did not close early: {early:?}"
        );
        assert!(
            under_pressure
                .iter()
                .all(|&idle_timeout| idle_timeout == early
                    || idle_timeout == harness.settings.client_idle_timeout),
            "not raised in one step: {under_pressure:?}"
        );
        assert_eq!(
            under_pressure.last(),
            Some(&harness.settings.client_idle_timeout)
        );
        // The average delay falls within about 10 requests, and the idle timeout of 10 s spans 40.
        let after_pressure = idle_timeouts_under_unread_delay(&mut harness, 200, 80, ms(0));
        let first_reduced = after_pressure
            .iter()
            .position(|&idle_timeout| idle_timeout < harness.settings.client_idle_timeout);
        assert!(
            first_reduced.is_some_and(|index| (45..56).contains(&index)),
            "{cpu:?}: reduced at request {first_reduced:?}"
        );
        assert!(
            after_pressure.last() < Some(&ms(2000)),
            "{after_pressure:?}"
        );
    }
}

#[test]
fn idle_time_falls_by_a_tenth_per_period_after_read_pressure_on_idle_cores() {
    let (mut harness, under_pressure) = server_under_read_pressure(Some(0.65));
    assert_eq!(
        under_pressure.last(),
        Some(&harness.settings.client_idle_timeout)
    );
    let mut idle_timeouts = idle_timeouts_under_unread_delay(&mut harness, 200, 40, ms(0));
    idle_timeouts.dedup();
    let falls_by_a_tenth = |pair: &[Span]| (pair[1].secs() / pair[0].secs() - 0.9).abs() < 0.001;
    assert!(
        idle_timeouts.len() > 8 && idle_timeouts.windows(2).all(falls_by_a_tenth),
        "{idle_timeouts:?}"
    );
}

#[test]
fn connections_close_early_after_flood_only_on_idle_cores() {
    for (cpu_after_flood, closes_early) in [(Some(0.3), true), (Some(0.9), false), (None, false)] {
        let mut harness = server_with_500_callers();
        harness.gauges.cpu = cpu_after_flood.map(|_| 0.9);
        harness.arrive(request(99, NON_IDEMPOTENT), 99);
        // No run completes, so all further arrivals are rejected.
        let changes_in_flood = idle_timeout_changes(&mut harness, 100, |_| 100.0, false);
        assert!(
            changes_in_flood.is_empty() && harness.rejected().len() > 40,
            "{changes_in_flood:?}"
        );
        let actions_before = harness.actions.len();
        harness.gauges.cpu = cpu_after_flood;
        harness.advance(ms(8000));
        let closed_early = harness.actions[actions_before..]
            .iter()
            .filter_map(new_idle_timeout)
            .any(|idle_timeout| idle_timeout < ms(20_000));
        assert_eq!(closed_early, closes_early, "{cpu_after_flood:?}");
    }
}
