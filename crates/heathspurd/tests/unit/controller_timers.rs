//! Unit tests of `src/event_loop/controller_timers.rs`, which includes this file as its test module.

use super::*;

/// Timers that are due at 10, 20 and 30 µs, scheduled out of order.
fn scheduled_timers() -> ControllerTimers {
    let mut timers = ControllerTimers::default();
    for (at, token) in [(30, 3), (10, 1), (20, 2)] {
        timers.schedule(Time(at), Token(token));
    }
    timers
}

#[test]
fn timers_become_due_in_order_of_time() {
    let mut timers = scheduled_timers();
    assert_eq!(timers.next_deadline(), Some(Time(10)));
    assert_eq!(timers.pop_due(Time(9)), None);
    assert_eq!(timers.pop_due(Time(20)), Some(Token(1)));
    assert_eq!(timers.pop_due(Time(20)), Some(Token(2)));
    assert_eq!(timers.pop_due(Time(20)), None);
    assert_eq!(timers.next_deadline(), Some(Time(30)));
}

#[test]
fn due_timer_waits_for_its_query_until_timeout() {
    let mut timers = ControllerTimers::default();
    timers.await_gauges(7, Token(1), Time(0));
    timers.await_gauges(8, Token(2), Time(5));
    assert_eq!(timers.next_deadline(), Some(Time(0) + GAUGE_TIMEOUT));
    assert_eq!(timers.take_answered(8), Some(Token(2)));
    assert_eq!(timers.take_answered(8), None);
    assert_eq!(timers.pop_timed_out(Time(GAUGE_TIMEOUT.0 - 1)), None);
    assert_eq!(timers.pop_timed_out(Time(GAUGE_TIMEOUT.0)), Some(Token(1)));
    assert_eq!(timers.next_deadline(), None);
}

#[test]
fn drain_all_returns_each_timer_once_waiting_first() {
    let mut timers = scheduled_timers();
    timers.await_gauges(7, Token(9), Time(0));
    let mut tokens: Vec<Token> = timers.drain_all().collect();
    assert_eq!(tokens.remove(0), Token(9));
    tokens.sort();
    assert_eq!(tokens, [Token(1), Token(2), Token(3)]);
    assert_eq!(timers.next_deadline(), None);
}
