//! Requests are answered by their deadlines in every state, and late events are ignored.

mod common;
use common::*;
use heathspur::*;

#[test]
fn running_request_fails_by_its_deadline() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, KEYED), 1);
    harness.arrive(request(2, NON_IDEMPOTENT), 2);
    harness.advance(ms(8000));
    assert!(
        harness.actions.contains(&Action::Fail(RequestId(1)))
            && harness.actions.contains(&Action::Fail(RequestId(2)))
    );
}

#[test]
fn request_read_after_its_deadline_is_rejected_at_once() {
    let mut harness = Harness::new(settings());
    harness.arrive(
        Request {
            queueing_delay: ms(7000),
            ..request(1, IDEMPOTENT)
        },
        1,
    );
    assert_eq!(harness.rejected(), [1]);
}

#[test]
fn request_at_call_fails_by_its_deadline() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, KEYED), 1);
    harness.need_call(1);
    harness.advance(ms(8000));
    assert!(harness.actions.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn events_of_ended_requests_are_ignored() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, IDEMPOTENT), 1);
    harness.complete_run(1, Outcome::Ok);
    let id = RequestId(1);
    harness.decide(&[
        Event::RunCompleted {
            id,
            outcome: Outcome::Ok,
            latency: ms(1),
        },
        Event::CallNeeded(id),
        Event::CallCompleted {
            id,
            outcome: Outcome::Ok,
            latency: ms(1),
        },
        Event::ClientCancelled(id),
        Event::Timer {
            token: Token(99),
            gauges: Gauges::default(),
        },
    ]);
    harness.arrive(request(2, IDEMPOTENT), 2);
    assert_eq!(harness.running(), [2]);
}

#[test]
fn run_that_never_began_releases_slot_and_memory() {
    let mut harness = Harness::new(settings());
    for id in 1..200 {
        harness.arrive(request(id, IDEMPOTENT), id);
        assert_eq!(
            harness.running(),
            [id],
            "the slot of an earlier run is still occupied"
        );
        harness.complete_run(id, Outcome::NoLongerNeeded);
    }
}
