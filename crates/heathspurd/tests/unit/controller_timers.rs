//! Unit tests of `src/event_loop/controller_timers.rs`, which includes this file as its module of tests.

use super::*;

fn timers() -> ControllerTimers {
    let mut timers = ControllerTimers::default();
    for (at, token) in [(30, 3), (10, 1), (20, 2)] {
        timers.schedule(Time(at), Token(token));
    }
    timers
}

#[test]
fn timers_become_due_in_the_order_of_their_times() {
    let mut timers = timers();
    assert_eq!(timers.next_due(), Some(Time(10)));
    assert_eq!(timers.pop_due(Time(9)), None);
    assert_eq!(timers.pop_due(Time(20)), Some(Token(1)));
    assert_eq!(timers.pop_due(Time(20)), Some(Token(2)));
    assert_eq!(timers.pop_due(Time(20)), None);
    assert_eq!(timers.next_due(), Some(Time(30)));
}

#[test]
fn a_due_timer_waits_for_its_own_query_and_no_longer_than_the_timeout() {
    let mut timers = ControllerTimers::default();
    timers.await_gauges(7, Token(1), Time(0));
    timers.await_gauges(8, Token(2), Time(5));
    assert_eq!(timers.next_due(), Some(Time(0) + GAUGE_TIMEOUT));
    assert_eq!(timers.take_answered(8), Some(Token(2)));
    assert_eq!(timers.take_answered(8), None);
    assert_eq!(timers.pop_unanswered(Time(GAUGE_TIMEOUT.0 - 1)), None);
    assert_eq!(timers.pop_unanswered(Time(GAUGE_TIMEOUT.0)), Some(Token(1)));
    assert_eq!(timers.next_due(), None);
}

#[test]
fn the_last_turn_gets_every_timer_once_waiting_ones_first() {
    let mut timers = timers();
    timers.await_gauges(7, Token(9), Time(0));
    let mut tokens: Vec<Token> = timers.drain_all().collect();
    assert_eq!(tokens.remove(0), Token(9));
    tokens.sort();
    assert_eq!(tokens, [Token(1), Token(2), Token(3)]);
    assert_eq!(timers.next_due(), None);
}
