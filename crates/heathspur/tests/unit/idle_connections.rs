//! Tests of the idle timeout of client connections.

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

/// Returns the state of a server with 100 callers that reads ten requests in the first period.
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
fn rarely_reused_connections_halve_idle_timeout() {
    let mut connections = connections(49.0);
    let idle_timeout = connections.update(Time(0), PERIOD_S, &pressure());
    assert_eq!(idle_timeout, Some(Span(TIMEOUT.0 / 2)));
}

#[test]
fn connections_for_half_of_callers_leave_idle_timeout_unchanged() {
    let mut connections = connections(50.0);
    assert_eq!(connections.update(Time(0), PERIOD_S, &pressure()), None);
}

#[test]
fn flood_raises_idle_timeout_up_to_client_timeout() {
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
fn read_pressure_raises_idle_timeout_for_one_client_timeout() {
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
    let before_end = Time(TIMEOUT.0 - 1);
    assert_eq!(connections.update(before_end, PERIOD_S, &pressure()), None);
}
