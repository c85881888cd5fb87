//! Requests are answered by their deadlines, whatever state they are in.

mod common;
use common::*;
use heathspur::*;

#[test]
fn running_work_is_failed_by_its_due_time() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 1), 1);
    b.arrive(request(2, 2), 2);
    b.pass(ms(8000));
    assert!(
        b.all.contains(&Action::Fail(RequestId(1))) && b.all.contains(&Action::Fail(RequestId(2)))
    );
}

#[test]
fn a_request_read_after_its_due_time_is_answered_at_once() {
    let mut b = Bench::new(settings());
    b.arrive(
        Request {
            queueing_delay: ms(7000),
            ..request(1, 0)
        },
        1,
    );
    assert_eq!(b.refused(), [1]);
}

#[test]
fn a_request_at_a_call_is_failed_by_its_due_time() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 1), 1);
    b.needs_call(1);
    b.pass(ms(8000));
    assert!(b.all.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn events_of_finished_requests_are_harmless() {
    let mut b = Bench::new(settings());
    b.arrive(request(1, 0), 1);
    b.done(1, Outcome::Ok);
    let id = RequestId(1);
    b.batch(&[
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
    b.arrive(request(2, 0), 2);
    assert_eq!(b.running(), [2]);
}

#[test]
fn a_run_that_never_began_leaves_its_slot_and_its_memory() {
    let mut b = Bench::new(settings());
    for id in 1..200 {
        b.arrive(request(id, 0), id);
        assert_eq!(
            b.running(),
            [id],
            "the slots of runs that never began are free"
        );
        b.done(id, Outcome::NoLongerNeeded);
    }
}
