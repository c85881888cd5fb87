//! Tests of a reload that gives the interpreter a new address: every command must be received exactly once, on the old
//! connection or on the new one.

mod common;

use common::{
    assert_delivers_reply, assert_no_command_is_resent, assert_stops_run, complete_run, make_call,
    start_run, task_id,
};
use heathspur_testkit::prelude::*;

/// Answers the gauge queries on the old link until the server closes it, and checks that it carries no other command.
fn answer_queries_until_closed(old_link: MockInterpreter) {
    let commands = old_link.answer_gauge_queries_until_closed();
    assert!(commands.is_empty(), "{commands:?}");
}

// Guards against a wrong reply: the server closed a sound link just after it had sent the reply to a call, and sent the same
// reply again on the new one, where the run already waited for its next call.
#[test]
fn call_reply_sent_before_move_is_received_before_link_closes() {
    let (mut server, mut interpreter, mut client) = start_run(Some("k"));
    let _store = make_call(&server, &mut interpreter, b"one", "first");
    assert_delivers_reply(&interpreter.read_command(), "first");
    let _reports = server.replace_peer_addresses();
    answer_queries_until_closed(interpreter);
    let mut interpreter = server.accept_link();
    assert_no_command_is_resent(&mut interpreter);
    // The run reaches its next call only now, and that call gets its own reply.
    let _store = make_call(&server, &mut interpreter, b"two", "second");
    assert_delivers_reply(&interpreter.read_command(), "second");
    complete_run(&mut interpreter, &mut client);
}

// Guards against a second run of a keyed request, and against its failure, when the link moves just after its start.
#[test]
fn keyed_start_sent_before_move_is_received_before_link_closes() {
    let (mut server, interpreter, mut client) = start_run(Some("k"));
    let _reports = server.replace_peer_addresses();
    answer_queries_until_closed(interpreter);
    let mut interpreter = server.accept_link();
    assert_no_command_is_resent(&mut interpreter);
    complete_run(&mut interpreter, &mut client);
}

// Guards against a lost or repeated command: it was due while the server waited for the old link's last answer.
#[test]
fn request_that_arrives_during_move_starts_once_on_new_link() {
    let (mut server, mut interpreter, _client) = start_run(Some("k"));
    let _reports = server.replace_peer_addresses();
    server.wait_for_log("peer addresses reloaded");
    let mut client = server.connect_client();
    client.send(&request(2, Some("other"), b"def"));
    // The old link is answered only once the request has been read.
    let mut second_client = server.connect_client();
    second_client.send(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(second_client.read_response().0, 200);
    interpreter.send_value(&task_id(1), "complete", b"done");
    answer_queries_until_closed(interpreter);
    let mut interpreter = server.accept_link();
    assert_eq!(interpreter.read_apply().0, task_id(2));
    assert_no_command_is_resent(&mut interpreter);
    interpreter.send_value(&task_id(2), "complete", b"two");
    assert_eq!(client.read_response().2, b"two");
}

#[test]
fn link_moves_although_old_interpreter_answers_nothing() {
    let (mut server, old_link, mut client) = start_run(Some("k"));
    let _reports = server.replace_peer_addresses();
    let mut interpreter = server.accept_link();
    let commands = old_link.read_remaining_commands();
    assert!(commands.is_empty(), "{commands:?}");
    // It is unknown whether the start was received, so it is not sent again, and a notice shows that it was.
    interpreter.answer_gauge_queries(2);
    complete_run(&mut interpreter, &mut client);
}

/// Moves all peers to new addresses and back, before the old link has answered anything.
fn reload_there_and_back(server: &mut ServerFixture, during_move: impl FnOnce()) {
    let current = (server.config["vm"].clone(), server.config["store"].clone());
    let _reports = server.replace_peer_addresses();
    server.wait_for_log("peer addresses reloaded");
    during_move();
    (server.config["vm"], server.config["store"]) = current;
    server.reload_config();
    server.wait_for_log("peer addresses reloaded");
}

#[test]
fn reload_back_to_current_address_keeps_link() {
    let (mut server, mut interpreter, mut client) = start_run(Some("k"));
    reload_there_and_back(&mut server, || {});
    assert_no_command_is_resent(&mut interpreter);
    complete_run(&mut interpreter, &mut client);
    client.send(&request(2, Some("other"), b"def"));
    assert_eq!(interpreter.read_apply().0, task_id(2));
}

// Guards against a run that nobody waits for and nobody stops: the stop was due while the link was about to move.
#[test]
fn run_cancelled_during_move_back_to_current_address_receives_break() {
    let (mut server, mut interpreter, client) = start_run(None);
    reload_there_and_back(&mut server, || drop(client));
    assert_stops_run(&interpreter.read_command(), 1);
}
