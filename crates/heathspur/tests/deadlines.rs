//! Requests are answered by their deadlines, whatever state they are in.

mod common;
use common::*;
use heathspur::*;

#[test]
fn running_work_fails_by_its_deadline() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, 1), 1);
    harness.arrive(request(2, 2), 2);
    harness.advance(ms(8000));
    assert!(
        harness.all.contains(&Action::Fail(RequestId(1)))
            && harness.all.contains(&Action::Fail(RequestId(2)))
    );
}

#[test]
fn a_request_read_after_its_deadline_is_answered_at_once() {
    let mut harness = Harness::new(settings());
    harness.arrive(
        Request {
            queueing_delay: ms(7000),
            ..request(1, 0)
        },
        1,
    );
    assert_eq!(harness.rejected(), [1]);
}

#[test]
fn a_request_at_a_call_fails_by_its_deadline() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, 1), 1);
    harness.need_call(1);
    harness.advance(ms(8000));
    assert!(harness.all.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn events_of_finished_requests_are_ignored() {
    let mut harness = Harness::new(settings());
    harness.arrive(request(1, 0), 1);
    harness.complete_run(1, Outcome::Ok);
    let id = RequestId(1);
    harness.batch(&[
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
    harness.arrive(request(2, 0), 2);
    assert_eq!(harness.running(), [2]);
}

#[test]
fn a_run_that_never_began_releases_its_slot_and_memory() {
    let mut harness = Harness::new(settings());
    for id in 1..200 {
        harness.arrive(request(id, 0), id);
        assert_eq!(
            harness.running(),
            [id],
            "the slots of runs that never began are free"
        );
        harness.complete_run(id, Outcome::NoLongerNeeded);
    }
}
