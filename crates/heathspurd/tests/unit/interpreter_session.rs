//! Unit tests of `src/event_loop/interpreter_session.rs`, which includes this file as its test module.

use super::*;

const EVERY_DELIVERY: [CommandDelivery; 4] = [
    CommandDelivery::Unsent,
    CommandDelivery::CurrentConnection { number: 1 },
    CommandDelivery::Uncertain { since: Time(1) },
    CommandDelivery::Confirmed,
];

/// Returns for each of [`EVERY_DELIVERY`] whether `resend` covers it.
fn covered(resend: Resend) -> [bool; 4] {
    EVERY_DELIVERY.map(|delivery| resend.covers(delivery))
}

#[test]
fn link_is_up_once_missed_notices_have_arrived() {
    let mut session = InterpreterSession::new(Link::new());
    assert!(!session.is_up());
    session.begin_resume(Time(5));
    assert!(session.is_resuming() && !session.is_up());
    assert_eq!(session.resume_deadline(), Some(Time(5) + RESUME_TIMEOUT));
    assert!(session.resumes_with(1) && !session.resumes_with(2));
    assert_eq!(covered(session.finish_resume()), [true, false, true, true]);
    assert!(session.is_up() && !session.is_resuming());
    assert_eq!(session.resume_deadline(), None);
    session.disconnect();
    assert!(!session.is_up());
}

#[test]
fn each_command_is_sent_once_before_or_after_overdue_answer() {
    let mut session = InterpreterSession::new(Link::new());
    session.begin_resume(Time(5));
    assert_eq!(
        covered(session.time_out_resume()),
        [true, false, false, false]
    );
    assert!(session.is_up() && session.is_answer_overdue());
    assert_eq!(covered(session.finish_resume()), [false, false, true, true]);
    assert!(!session.is_answer_overdue());
}

#[test]
fn answers_to_unsent_queries_are_ignored() {
    let mut session = InterpreterSession::new(Link::new());
    assert_eq!(session.query_gauges(), 1);
    assert_eq!(session.query_gauges(), 2);
    session.record_answer(3);
    assert_eq!(session.last_answered(), 0);
    session.record_answer(2);
    session.record_answer(1);
    assert_eq!(session.last_answered(), 2);
    assert_eq!(session.delivery(), CommandDelivery::Unsent);
    session.begin_resume(Time(0));
    session.finish_resume();
    assert_eq!(
        session.delivery(),
        CommandDelivery::CurrentConnection { number: 4 }
    );
}

#[test]
fn in_doubt_deadline_counts_until_the_link_breaks() {
    let mut session = InterpreterSession::new(Link::new());
    let deadline = InterpreterSession::in_doubt_deadline(Time(5));
    assert_eq!(deadline, Time(5) + IN_DOUBT_TIMEOUT);
    session.begin_resume(Time(0));
    session.finish_resume();
    session.set_in_doubt_deadline(Some(deadline));
    assert_eq!(session.next_deadline(), Some(deadline));
    assert!(!session.is_in_doubt_deadline_due(Time(deadline.0 - 1)));
    assert!(session.is_in_doubt_deadline_due(deadline));
    session.disconnect();
    assert_eq!(session.next_deadline(), None);
    assert!(!session.is_in_doubt_deadline_due(deadline));
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn commands_wait_from_the_start_of_a_move_until_the_link_is_up_again() {
    let mut session = InterpreterSession::new(Link::new());
    session.begin_resume(Time(0));
    session.finish_resume();
    assert!(session.begin_flush(address(1), Time(5)));
    assert_eq!(session.next_deadline(), Some(Time(5) + FLUSH_TIMEOUT));
    assert!(session.flushes_with(2) && !session.flushes_with(1));
    assert!(!session.is_up());
    assert_eq!(session.delivery(), CommandDelivery::Unsent);
    session.begin_move(address(1));
    assert!(!session.is_up());
    assert_eq!(session.next_deadline(), None);
    session.disconnect();
    assert_eq!(session.next_address(), None);
}

#[test]
fn last_of_many_addresses_is_the_next_one() {
    let mut session = InterpreterSession::new(Link::new());
    // Nothing was sent on this connection, so it can be replaced at once.
    assert!(!session.begin_flush(address(1), Time(5)));
    session.begin_resume(Time(0));
    assert!(!session.begin_flush(address(1), Time(5)));
    session.finish_resume();
    assert!(session.begin_flush(address(2), Time(5)));
    assert!(session.begin_flush(address(3), Time(6)));
    assert_eq!(session.next_address(), Some(address(3)));
    assert!(!session.is_flush_deadline_due(Time(4) + FLUSH_TIMEOUT));
    assert!(session.is_flush_deadline_due(Time(5) + FLUSH_TIMEOUT));
    session.begin_move(address(3));
    assert!(session.begin_flush(address(4), Time(7)));
    assert_eq!(session.next_address(), Some(address(4)));
}
