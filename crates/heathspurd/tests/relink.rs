//! The interpreter's link breaks, or a notice crosses a command, at a named point; what runs is told neither too
//! much nor too little. Each order is forced by the stand-ins' script.

use heathspur_testkit::prelude::*;
use serde_json::{json, Value};

fn task(txn: u64) -> String {
    format!("{txn:016x}")
}

fn answer_top(vm: &mut MockInterpreter, nonce: &Value) {
    vm.send(json!({"verb": "TOPS", "nonce": nonce, "readings": [0.1, 0, 0.1, 2]}));
}

/// The next line, which asks for the gauges; it is answered.
fn top(vm: &mut MockInterpreter) {
    let line = vm.read_any_command();
    assert_eq!(line["verb"], "TOP", "{line}");
    answer_top(vm, &line["nonce"]);
}

/// A keyed run that has taken the reply to its first call.
fn resolved() -> (ServerFixture, MockInterpreter, Http1Client, MockStore) {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    vm.read_apply();
    vm.send_await(&task(1), b"one");
    let mut store = MockStore::accept(&rig);
    assert_eq!(store.read_call().1, b"one");
    store.send_ok(1, "first");
    let reply = vm.read_command();
    assert_eq!(
        (&reply["verb"], &reply["bytes"]),
        (&json!("RESOLVE"), &json!("Zmlyc3Q="))
    );
    (rig, vm, client, store)
}

#[test]
fn a_reply_that_the_interpreter_has_is_not_told_again() {
    let (rig, mut vm, mut client, _store) = resolved();
    // A question behind the reply is answered, so the reply was taken.
    top(&mut vm);
    drop(vm);
    let mut vm = rig.accept_link();
    top(&mut vm);
    // The next call's notice is on its way; a reply told now would be taken for this call's.
    vm.send_await(&task(1), b"two");
    let mut store = MockStore::accept(&rig);
    assert_eq!(store.read_call().1, b"two");
    store.send_ok(1, "second");
    let reply = vm.read_command();
    assert_eq!(
        (&reply["verb"], &reply["bytes"]),
        (&json!("RESOLVE"), &json!("c2Vjb25k"))
    );
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn a_reply_that_may_be_lost_is_told_again() {
    let (rig, vm, mut client, _store) = resolved();
    drop(vm);
    let mut vm = rig.accept_link();
    top(&mut vm);
    let reply = vm.read_command_ignoring_gauges();
    assert_eq!(
        (&reply["verb"], &reply["bytes"]),
        (&json!("RESOLVE"), &json!("Zmlyc3Q="))
    );
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn a_run_that_took_a_repeated_reply_for_its_next_call_gets_its_later_replies_right() {
    let (rig, vm, mut client, _store) = resolved();
    drop(vm);
    let mut vm = rig.accept_link();
    top(&mut vm);
    // The first link's reply was taken, and the run waits for its next call when the same comes again.
    vm.send_await(&task(1), b"two");
    let mut second = MockStore::accept(&rig);
    assert_eq!(second.read_call().1, b"two");
    assert_eq!(vm.read_command_ignoring_gauges()["verb"], "RESOLVE");
    vm.send_await(&task(1), b"three");
    let mut third = MockStore::accept(&rig);
    assert_eq!(third.read_call().1, b"three");
    second.assert_closed();
    third.send_ok(1, "third");
    let reply = vm.read_command();
    assert_eq!(
        (&reply["verb"], &reply["bytes"]),
        (&json!("RESOLVE"), &json!("dGhpcmQ="))
    );
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn a_run_that_has_its_reply_and_is_stopped_while_the_link_is_down_is_told_of_the_stop_alone() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, None, b"abc"));
    vm.read_apply();
    vm.send_await(&task(1), b"one");
    let mut store = MockStore::accept(&rig);
    store.read_call();
    store.send_ok(1, "first");
    assert_eq!(vm.read_command()["verb"], "RESOLVE");
    top(&mut vm);
    drop(vm);
    let mut vm = rig.accept_link();
    drop(client);
    top(&mut vm);
    assert_eq!(vm.read_command()["verb"], "BREAK");
    vm.send_value(&task(1), "cancelled", b"");
    let mut client = rig.connect_client();
    client.send(&request(2, None, b"def"));
    assert_eq!(vm.read_apply().0, task(2));
}

#[test]
fn a_stopped_run_that_ended_while_the_link_was_down_is_told_nothing() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, None, b"abc"));
    vm.read_apply();
    drop(client);
    assert_eq!(vm.read_command()["verb"], "BREAK");
    drop(vm);
    let mut vm = rig.accept_link();
    vm.send_value(&task(1), "cancelled", b"");
    top(&mut vm);
    let mut client = rig.connect_client();
    client.send(&request(2, None, b"def"));
    assert_eq!(vm.read_apply().0, task(2));
}

#[test]
fn a_stopped_run_whose_call_crosses_the_stop_leaves_its_place() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, None, b"abc"));
    vm.read_apply();
    drop(client);
    let stop = vm.read_command();
    assert_eq!(
        (&stop["verb"], &stop["task"]),
        (&json!("BREAK"), &json!(task(1)))
    );
    // The notice was made before the stop arrived.
    vm.send_await(&task(1), b"one");
    vm.send_value(&task(1), "cancelled", b"");
    // The next request has its place, and no call was made for it.
    let mut client = rig.connect_client();
    client.send(&request(2, None, b"def"));
    assert_eq!(vm.read_apply().0, task(2));
    vm.send_value(&task(2), "complete", b"two");
    assert_eq!(client.read_response().2, b"two");
    rig.store_listener.set_nonblocking(true).unwrap();
    assert!(rig
        .store_listener
        .accept()
        .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
}

/// Two requests that run, `look` and then `pay`.
fn two_running() -> (ServerFixture, MockInterpreter, [Http1Client; 2]) {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut clients = [rig.connect_client(), rig.connect_client()];
    for (client, key) in clients.iter_mut().zip([None, Some("k")]) {
        client.send(&request(1 + u64::from(key.is_some()), key, b"abc"));
        vm.read_apply();
    }
    (rig, vm, clients)
}

#[test]
fn a_notice_whose_number_is_spoilt_upwards_hides_none_behind_it() {
    let (rig, mut vm, [mut first, mut second]) = two_running();
    vm.last_index = 900;
    vm.send_value(&task(1), "complete", b"one");
    let mut vm = rig.accept_link();
    assert_eq!(vm.resume_index, 0);
    vm.send_value(&task(1), "complete", b"one");
    vm.send_value(&task(2), "complete", b"two");
    assert_eq!(
        (first.read_response().2, second.read_response().2),
        (b"one".to_vec(), b"two".to_vec())
    );
}

#[test]
fn a_peer_that_leaves_numbers_out_costs_one_link() {
    let (rig, mut vm, [mut first, mut second]) = two_running();
    vm.last_index = 9;
    vm.send_value(&task(1), "complete", b"one");
    let mut vm = rig.accept_link();
    assert_eq!(vm.resume_index, 0);
    vm.last_index = 9;
    vm.send_value(&task(1), "complete", b"one");
    vm.last_index = 19;
    vm.send_value(&task(2), "complete", b"two");
    assert_eq!(
        (first.read_response().2, second.read_response().2),
        (b"one".to_vec(), b"two".to_vec())
    );
}

#[test]
fn a_keyed_run_whose_end_is_kept_no_longer_is_not_run_again() {
    let (rig, vm, [mut first, mut second]) = two_running();
    drop(vm);
    // More was missed than is kept: two links begin with the same notice far ahead.
    let mut vm = rig.accept_link();
    vm.last_index = 4_100;
    vm.send_value(&task(3), "complete", b"");
    let mut vm = rig.accept_link();
    assert_eq!(vm.resume_index, 0);
    vm.last_index = 4_100;
    vm.send_value(&task(3), "complete", b"");
    top(&mut vm);
    // Nothing is told of the second, and a read does no harm.
    assert_eq!(second.read_response().0, 500);
    let again = vm.read_command_ignoring_gauges();
    assert_eq!(
        (&again["verb"], &again["task"]),
        (&json!("APPLY"), &json!(task(1)))
    );
    vm.send_value(&task(1), "complete", b"one");
    assert_eq!(first.read_response().2, b"one");
    // Repeats are not run either.
    second.send(&request(4, Some("k"), b"abc"));
    assert_eq!(second.read_response().0, 500);
    first.send(&request(5, None, b"def"));
    assert_eq!(vm.read_apply().0, task(5));
}

#[test]
fn a_peer_whose_numbers_are_never_right_is_served_on_the_fourth_link() {
    let (rig, mut vm, [mut first, _second]) = two_running();
    for index in [90_000, 80_000, 70_000] {
        vm.last_index = index;
        vm.send_value(&task(1), "complete", b"one");
        vm = rig.accept_link();
        assert_eq!(vm.resume_index, 0);
    }
    vm.last_index = 60_000;
    vm.send_value(&task(1), "complete", b"one");
    assert_eq!(first.read_response().2, b"one");
}
