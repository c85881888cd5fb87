//! Unit tests of `src/event_loop/drain.rs`, which includes this file as its test module.

use super::*;
use async_channel::Receiver;

const NOW: Time = Time(1_000_000);

/// Returns a drain that has not begun, and the channel that it closes to stop accepting.
fn new_drain(stop_timeout: Duration) -> (Drain, Receiver<()>) {
    let (stop_accepting, accepting_stopped) = async_channel::bounded(1);
    (Drain::new(stop_timeout, stop_accepting), accepting_stopped)
}

#[test]
fn accepting_stops_before_controller_limit_and_exit_follows_it() {
    let (mut drain, accepting_stopped) = new_drain(Duration::from_secs(3));
    assert_eq!((drain.has_begun(), drain.next_deadline()), (false, None));
    let plan = drain.begin(NOW, Span(60_000_000));
    assert!(drain.has_begun());
    assert_eq!(plan.controller_limit, Span(2_900_000));
    assert_eq!(plan.abandon_responses, NOW + Span(2_600_000));

    let stop = NOW + Span(2_600_000);
    assert_eq!(drain.next_deadline(), Some(stop));
    drain.stop_accepting_if_due(Time(stop.0 - 1));
    assert!(!accepting_stopped.is_closed());
    drain.stop_accepting_if_due(stop);
    assert!(drain.has_stopped_accepting() && accepting_stopped.is_closed());

    let exit = NOW + Span(2_950_000);
    assert_eq!(drain.next_deadline(), Some(exit));
    assert!(!drain.is_exit_due(Time(exit.0 - 1)));
    assert!(drain.is_exit_due(exit));
}

#[test]
fn accepting_stops_at_end_of_grace_period() {
    let (mut drain, _accepting_stopped) = new_drain(Duration::from_secs(3));
    let plan = drain.begin(NOW, Span(500_000));
    assert_eq!(drain.next_deadline(), Some(NOW + Span(500_000)));
    assert_eq!(plan.abandon_responses, NOW + Span(2_600_000));
}

#[test]
fn stop_timeout_below_margins_stops_accepting_at_once() {
    let (mut drain, accepting_stopped) = new_drain(Duration::from_millis(50));
    assert_eq!(drain.begin(NOW, Span(500_000)).controller_limit, Span(0));
    drain.stop_accepting_if_due(NOW);
    assert!(accepting_stopped.is_closed());
    assert_eq!(drain.next_deadline(), Some(NOW + Span(50_000)));
}
