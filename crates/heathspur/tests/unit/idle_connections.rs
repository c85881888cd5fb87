//! Idle times of client connections.

use super::*;

const TIMEOUT: Span = Span(8_000_000);
const PERIOD_S: f64 = 1.0;

fn pressure() -> ServerPressure {
    ServerPressure {
        requests: 0,
        age_s: 100.0,
        unread_delay: 0.0,
        cpu_utilization: Some(0.9),
        rejection_rate: 0.0,
    }
}

/// A server with 100 callers that reads ten requests in the first period.
fn connections(open: f64) -> IdleConnections {
    let mut connections = IdleConnections::new(&Settings {
        client_idle_timeout: TIMEOUT,
        callers: 100,
        ..Settings::default()
    });
    connections.set_open(open);
    for _ in 0..10 {
        connections.record_read();
    }
    connections
}

#[test]
fn connections_that_serve_one_request_are_closed_early() {
    let mut connections = connections(49.0);
    let idle_time = connections.update(Time(0), PERIOD_S, &pressure());
    assert_eq!(idle_time, Some(Span(TIMEOUT.0 / 2)));
}

#[test]
fn connections_stay_where_there_is_one_for_every_other_caller() {
    let mut connections = connections(50.0);
    assert_eq!(connections.update(Time(0), PERIOD_S, &pressure()), None);
}

#[test]
fn the_idle_time_grows_back_to_the_clients_timeout_and_no_further() {
    let mut connections = connections(49.0);
    connections.update(Time(0), PERIOD_S, &pressure());
    connections.set_open(1.0);
    let flood = ServerPressure {
        rejection_rate: 0.8,
        ..pressure()
    };
    assert_eq!(connections.update(Time(0), PERIOD_S, &flood), Some(TIMEOUT));
    assert_eq!(connections.update(Time(0), PERIOD_S, &flood), None);
}

#[test]
fn read_pressure_keeps_the_table_full_for_one_idle_timeout() {
    let mut connections = connections(49.0);
    connections.update(Time(0), PERIOD_S, &pressure());
    let unread = ServerPressure {
        unread_delay: 0.2,
        ..pressure()
    };
    assert_eq!(
        connections.update(Time(0), PERIOD_S, &unread),
        Some(TIMEOUT)
    );
    let before_its_end = Time(TIMEOUT.0 - 1);
    assert_eq!(
        connections.update(before_its_end, PERIOD_S, &pressure()),
        None
    );
}
