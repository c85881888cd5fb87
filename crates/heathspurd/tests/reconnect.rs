//! Tests of reconnecting to the interpreter. The link breaks, or a notice crosses a command, at a defined point; a run
//! must receive each command and reply exactly as often as it needs it. The script of the mock peers forces each order.

mod common;

use common::{
    answer_call, assert_delivers_reply, assert_no_command_is_resent, assert_starts_run,
    assert_stops_run, complete_run, make_call, reconnect, start_run, task_id,
};
use heathspur_testkit::prelude::*;

/// Starts a server and a run that was sent the reply to its first call.
fn start_run_with_reply(
    key: Option<&str>,
) -> (ServerFixture, MockInterpreter, Http1Client, MockStore) {
    let (server, mut interpreter, client) = start_run(key);
    let store = make_call(&server, &mut interpreter, b"one", "first");
    assert_delivers_reply(&interpreter.read_command(), "first");
    (server, interpreter, client, store)
}

// Guards against a second run of a keyed request: its start was sent again although the interpreter had received it, and
// the run ended before the repeated start arrived.
#[test]
fn confirmed_start_of_keyed_run_is_not_resent_after_reconnect() {
    let (server, mut interpreter, mut client) = start_run(Some("k"));
    // The answer to a later gauge query confirms that the interpreter has read the start.
    interpreter.answer_gauge_queries(1);
    let mut interpreter = reconnect(&server, interpreter);
    assert_no_command_is_resent(&mut interpreter);
    let mut other_client = server.connect_client();
    other_client.send(&request(2, None, b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(2));
    complete_run(&mut interpreter, &mut client);
}

#[test]
fn confirmed_call_reply_is_not_resent_after_reconnect() {
    let (server, mut interpreter, mut client, _store) = start_run_with_reply(Some("k"));
    // The answer to a later gauge query confirms that the interpreter has read the reply.
    interpreter.answer_gauge_queries(1);
    let mut interpreter = reconnect(&server, interpreter);
    assert_no_command_is_resent(&mut interpreter);
    // A reply resent now would be taken as the reply to the next call.
    let _store = make_call(&server, &mut interpreter, b"two", "second");
    assert_delivers_reply(&interpreter.read_command(), "second");
    complete_run(&mut interpreter, &mut client);
}

// Guards against a call that gets the reply to an earlier one: the reply was sent again although the run had it.
#[test]
fn unconfirmed_call_reply_is_not_resent_after_reconnect() {
    let (server, interpreter, mut client, _store) = start_run_with_reply(Some("k"));
    let mut interpreter = reconnect(&server, interpreter);
    // The run did read the reply on the first link, and reaches its next call only now.
    let _store = make_call(&server, &mut interpreter, b"two", "second");
    assert_delivers_reply(&interpreter.read_command_ignoring_gauges(), "second");
    complete_run(&mut interpreter, &mut client);
}

// Guards against a request without an answer, and against a run that occupies its slot for good: the reply was lost.
#[test]
fn run_whose_call_reply_was_lost_fails_and_is_not_run_again() {
    let (server, interpreter, mut client, _store) = start_run_with_reply(Some("k"));
    let mut interpreter = reconnect(&server, interpreter);
    assert_eq!(client.read_response().0, 500);
    assert_key_fails_and_slot_is_free(&server, &mut interpreter);
}

// Guards against a wrong reply, and against the failure of a request that only reads: the call is made again, so the reply that
// the run then gets belongs to the call that it waits for.
#[test]
fn idempotent_run_whose_call_reply_was_lost_makes_its_call_again() {
    let (server, interpreter, mut client, _store) = start_run_with_reply(None);
    let mut interpreter = reconnect(&server, interpreter);
    let _store = answer_call(&server, b"one", "second");
    assert_delivers_reply(&interpreter.read_command_ignoring_gauges(), "second");
    complete_run(&mut interpreter, &mut client);
}

// Guards against a wrong reply: the run did receive the reply, late, and is at its next call while the first is made again.
#[test]
fn next_call_replaces_repeated_call_and_gets_its_own_reply() {
    let (server, interpreter, mut client, _store) = start_run_with_reply(None);
    let mut interpreter = reconnect(&server, interpreter);
    let mut repeated = MockStore::accept(&server);
    assert_eq!(repeated.read_call().1, b"one");
    interpreter.send_await(&task_id(1), b"two");
    let mut next = MockStore::accept(&server);
    assert_eq!(next.read_call().1, b"two");
    repeated.assert_closed();
    next.send_ok(1, "second");
    assert_delivers_reply(&interpreter.read_command_ignoring_gauges(), "second");
    complete_run(&mut interpreter, &mut client);
}

// Guards against a second run of a keyed request: its start was sent just before the break, received, and sent again.
#[test]
fn unconfirmed_start_of_keyed_run_is_not_resent_after_reconnect() {
    let (server, interpreter, [mut first, mut second]) = start_two_runs();
    let mut interpreter = reconnect(&server, interpreter);
    // The first request only reads, so its start is sent again.
    assert_eq!(interpreter.read_apply().0, task_id(1));
    let mut other_client = server.connect_client();
    other_client.send(&request(3, None, b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(3));
    interpreter.send_value(&task_id(1), "complete", b"one");
    interpreter.send_value(&task_id(2), "complete", b"two");
    assert_eq!(
        (first.read_response().2, second.read_response().2),
        (b"one".to_vec(), b"two".to_vec())
    );
}

// Guards against a request without an answer, and against a run that occupies its slot for good: the start was lost.
#[test]
fn keyed_run_whose_start_was_lost_fails_and_is_not_run_again() {
    let (server, interpreter, mut client) = start_run(Some("k"));
    let mut interpreter = reconnect(&server, interpreter);
    assert_eq!(client.read_response().0, 500);
    assert_key_fails_and_slot_is_free(&server, &mut interpreter);
}

/// Checks that another attempt with the first request's key fails without a run, and that the next request runs.
fn assert_key_fails_and_slot_is_free(server: &ServerFixture, interpreter: &mut MockInterpreter) {
    let mut client = server.connect_client();
    client.send(&request(4, Some("k"), b"abc"));
    assert_eq!(client.read_response().0, 500);
    client.send(&request(5, None, b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(5));
}

#[test]
fn run_with_confirmed_reply_cancelled_while_link_is_down_receives_only_break() {
    let (server, mut interpreter, client) = start_run(None);
    let _store = make_call(&server, &mut interpreter, b"one", "first");
    assert_delivers_reply(&interpreter.read_command(), "first");
    interpreter.answer_gauge_queries(1);
    drop(interpreter);
    let mut interpreter = server.accept_link();
    drop(client);
    interpreter.answer_gauge_queries(1);
    assert_stops_run(&interpreter.read_command(), 1);
    interpreter.send_value(&task_id(1), "cancelled", b"");
    let mut client = server.connect_client();
    client.send(&request(2, None, b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(2));
}

#[test]
fn cancelled_run_that_ended_while_link_was_down_receives_no_command() {
    let (server, mut interpreter, client) = start_run(None);
    drop(client);
    assert_stops_run(&interpreter.read_command(), 1);
    drop(interpreter);
    let mut interpreter = server.accept_link();
    interpreter.send_value(&task_id(1), "cancelled", b"");
    interpreter.answer_gauge_queries(1);
    let mut client = server.connect_client();
    client.send(&request(2, None, b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(2));
}

#[test]
fn cancelled_run_whose_call_notice_crosses_break_frees_its_slot() {
    let (server, mut interpreter, client) = start_run(None);
    drop(client);
    assert_stops_run(&interpreter.read_command(), 1);
    // The interpreter sent this notice before it received `BREAK`.
    interpreter.send_await(&task_id(1), b"one");
    interpreter.send_value(&task_id(1), "cancelled", b"");
    // The next request gets the slot, and no call was sent to the store for the cancelled run.
    let mut client = server.connect_client();
    client.send(&request(2, None, b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(2));
    interpreter.send_value(&task_id(2), "complete", b"two");
    assert_eq!(client.read_response().2, b"two");
    server.store_listener.set_nonblocking(true).unwrap();
    assert!(server
        .store_listener
        .accept()
        .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
}

/// Starts a server and two runs: a `look` request without a key, then a `pay` request with one.
fn start_two_runs() -> (ServerFixture, MockInterpreter, [Http1Client; 2]) {
    let server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let mut clients = [server.connect_client(), server.connect_client()];
    for (client, (txn, key)) in clients.iter_mut().zip([(1, None), (2, Some("k"))]) {
        client.send(&request(txn, key, b"abc"));
        interpreter.read_apply();
    }
    (server, interpreter, clients)
}

#[test]
fn notice_with_too_high_index_does_not_hide_later_notices() {
    let (server, mut interpreter, [mut first, mut second]) = start_two_runs();
    interpreter.last_index = 900;
    interpreter.send_value(&task_id(1), "complete", b"one");
    let mut interpreter = server.accept_link();
    assert_eq!(interpreter.resume_index, 0);
    interpreter.send_value(&task_id(1), "complete", b"one");
    interpreter.send_value(&task_id(2), "complete", b"two");
    assert_eq!(
        (first.read_response().2, second.read_response().2),
        (b"one".to_vec(), b"two".to_vec())
    );
}

#[test]
fn gaps_in_notice_indexes_cost_one_reconnect() {
    let (server, mut interpreter, [mut first, mut second]) = start_two_runs();
    interpreter.last_index = 9;
    interpreter.send_value(&task_id(1), "complete", b"one");
    let mut interpreter = server.accept_link();
    assert_eq!(interpreter.resume_index, 0);
    interpreter.last_index = 9;
    interpreter.send_value(&task_id(1), "complete", b"one");
    interpreter.last_index = 19;
    interpreter.send_value(&task_id(2), "complete", b"two");
    assert_eq!(
        (first.read_response().2, second.read_response().2),
        (b"one".to_vec(), b"two".to_vec())
    );
}

#[test]
fn keyed_run_whose_final_notice_was_evicted_is_not_run_again() {
    let (server, interpreter, [mut first, mut second]) = start_two_runs();
    drop(interpreter);
    // More notices were missed than the interpreter retains, so each of two links begins with the same notice, whose
    // index is far above the last one received.
    let mut interpreter = server.accept_link();
    interpreter.last_index = 4_100;
    interpreter.send_value(&task_id(3), "complete", b"");
    let mut interpreter = server.accept_link();
    assert_eq!(interpreter.resume_index, 0);
    interpreter.last_index = 4_100;
    interpreter.send_value(&task_id(3), "complete", b"");
    interpreter.answer_gauge_queries(1);
    // The outcome of the second request is unknown, so it fails; the first only reads and is safe to run again.
    assert_eq!(second.read_response().0, 500);
    assert_starts_run(&interpreter.read_command_ignoring_gauges(), 1);
    interpreter.send_value(&task_id(1), "complete", b"one");
    assert_eq!(first.read_response().2, b"one");
    // A retry with the same idempotency key is not run either.
    second.send(&request(4, Some("k"), b"abc"));
    assert_eq!(second.read_response().0, 500);
    first.send(&request(5, None, b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(5));
}

// Guards against a run that never ends: its end was among the lost notices, and its confirmed start was not sent again.
#[test]
fn confirmed_idempotent_run_whose_final_notice_was_evicted_is_run_again() {
    let (server, mut interpreter, mut client) = start_run(None);
    interpreter.answer_gauge_queries(1);
    drop(interpreter);
    let mut interpreter = server.accept_link();
    interpreter.last_index = 4_100;
    interpreter.send_value(&task_id(3), "complete", b"");
    interpreter = server.accept_link();
    interpreter.last_index = 4_100;
    interpreter.send_value(&task_id(3), "complete", b"");
    interpreter.answer_gauge_queries(1);
    assert_eq!(interpreter.read_apply().0, task_id(1));
    interpreter.send_value(&task_id(1), "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

#[test]
fn interpreter_with_wrong_index_on_each_link_is_accepted_on_fourth_link() {
    let (server, mut interpreter, [mut first, _second]) = start_two_runs();
    for index in [90_000, 80_000, 70_000] {
        interpreter.last_index = index;
        interpreter.send_value(&task_id(1), "complete", b"one");
        interpreter = server.accept_link();
        assert_eq!(interpreter.resume_index, 0);
    }
    interpreter.last_index = 60_000;
    interpreter.send_value(&task_id(1), "complete", b"one");
    assert_eq!(first.read_response().2, b"one");
}
