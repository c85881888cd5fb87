//! Repeats of keyed requests at bad moments. Tests wait for events; only what never comes times out.

use heathspur_testkit::prelude::*;
use serde_json::json;

fn task(txn: u64) -> String {
    format!("{txn:016x}")
}

/// The window of a key in these tests, in milliseconds.
const WINDOW: u128 = 50;

/// A server whose keys hold for so long.
fn with_window(ms: u128) -> ServerFixture {
    ServerFixture::start_with_config(|c| {
        c["settings"]["services"][1]["dedup-window-s"] = json!(ms as f64 / 1000.0)
    })
}

/// A keyed request stamped with that time.
fn stamped(txn: u64, key: &str, ingress: u128) -> Vec<u8> {
    let text = String::from_utf8(request(txn, Some(key), b"pay")).unwrap();
    let (before, after) = text.split_once("X-Ingress-Time: ").unwrap();
    let (_, after) = after.split_once("\r\n").unwrap();
    format!("{before}X-Ingress-Time: {ingress}\r\n{after}").into_bytes()
}

/// The first try of a key runs to its end.
fn first_try(vm: &mut MockInterpreter, client: &mut Http1Client, ingress: u128) {
    client.send(&stamped(1, "k", ingress));
    assert_eq!(vm.read_apply().0, task(1));
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn the_window_counts_from_the_stamp_of_the_try_that_ran_also_where_it_lies_ahead() {
    for window in [0, 1, WINDOW] {
        let rig = with_window(window);
        let mut vm = rig.accept_link();
        let mut client = rig.connect_client();
        let ahead = unix_ms() + 30_000;
        first_try(&mut vm, &mut client, ahead);
        for (txn, after) in [(2, 0), (3, window)] {
            client.send(&stamped(txn, "k", ahead + after));
            let (status, _, body) = client.read_response();
            assert_eq!(
                (status, &body[..]),
                (200, &b"done"[..]),
                "{after} of {window} ms after it"
            );
        }
        client.send(&stamped(4, "k", ahead + window + 1));
        assert_eq!(vm.read_apply().0, task(4), "past its window it is new");
    }
}

#[test]
fn a_window_that_passes_while_the_try_runs_ends_with_the_run() {
    let rig = with_window(0);
    let mut vm = rig.accept_link();
    let (mut first, mut second) = (rig.connect_client(), rig.connect_client());
    let stamp = unix_ms();
    first.send(&stamped(1, "k", stamp));
    assert_eq!(vm.read_apply().0, task(1));
    second.send(&stamped(2, "k", stamp + 1000));
    // What comes behind it runs: the repeat was taken in before, and did not.
    let mut other = rig.connect_client();
    other.send(&stamped(3, "other", stamp));
    assert_eq!(vm.read_apply().0, task(3));
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(
        (first.read_response().2, second.read_response().2),
        (b"done".to_vec(), b"done".to_vec())
    );
}

#[test]
fn a_repeat_waits_through_a_link_that_breaks_and_the_run_is_told_again_once() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let (mut first, mut second, mut third) = (
        rig.connect_client(),
        rig.connect_client(),
        rig.connect_client(),
    );
    first.send(&request(1, Some("k"), b"pay"));
    assert_eq!(vm.read_apply().0, task(1));
    second.send(&request(2, Some("k"), b"pay"));
    let mut other = rig.connect_client();
    other.send(&request(3, Some("other"), b"pay"));
    assert_eq!(vm.read_apply().0, task(3));
    // The first caller is gone and the link breaks; one more try comes while it is down.
    drop(first);
    drop(vm);
    third.send(&request(4, Some("k"), b"pay"));
    let mut vm = rig.accept_link();
    let mut told = [vm.read_apply().0, vm.read_apply().0];
    told.sort();
    assert_eq!(told, [task(1), task(3)]);
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(
        (second.read_response().2, third.read_response().2),
        (b"done".to_vec(), b"done".to_vec())
    );
    vm.send_value(&task(3), "complete", b"other");
    assert_eq!(other.read_response().2, b"other");
    // Nothing else was run.
    second.send(&request(5, None, b"look"));
    assert_eq!(vm.read_apply().0, task(5));
}

#[test]
fn repeats_of_a_run_that_was_never_begun_fail_and_do_not_run() {
    for end in ["VALUE", "ERROR"] {
        let rig = ServerFixture::start();
        let mut vm = rig.accept_link();
        let (mut first, mut second) = (rig.connect_client(), rig.connect_client());
        first.send(&request(1, Some("k"), b"pay"));
        assert_eq!(vm.read_apply().0, task(1));
        second.send(&request(2, Some("k"), b"pay"));
        let mut other = rig.connect_client();
        other.send(&request(3, Some("other"), b"pay"));
        assert_eq!(vm.read_apply().0, task(3));
        match end {
            "VALUE" => vm.send_value(&task(1), "unknown", b""),
            _ => vm.send(json!({"verb": "ERROR", "outcome": "APPLY", "task": task(1)})),
        }
        assert_eq!(
            (first.read_response().0, second.read_response().0),
            (500, 500)
        );
        first.send(&request(4, Some("k"), b"pay"));
        assert_eq!(first.read_response().0, 500);
        first.send(&request(5, None, b"look"));
        assert_eq!(vm.read_apply().0, task(5));
    }
}

#[test]
fn a_repeat_of_a_try_whose_caller_left_while_it_was_held_runs() {
    let rig = ServerFixture::start();
    // No interpreter yet: it is held.
    let mut first = rig.connect_client();
    first.send(&request(1, Some("k"), b"pay"));
    let mut second = rig.connect_client();
    second.send(&request(2, Some("k"), b"pay"));
    drop(first);
    let mut vm = rig.accept_link();
    let ran = vm.read_apply().0;
    vm.send_value(&ran, "complete", b"done");
    assert_eq!(second.read_response().2, b"done");
    second.send(&request(3, Some("k"), b"pay"));
    assert_eq!(second.read_response().2, b"done");
    second.send(&request(4, None, b"look"));
    assert_eq!(vm.read_apply().0, task(4));
}

#[test]
fn a_name_that_comes_twice_is_a_conflict_while_open_and_new_once_it_is_answered() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let (mut first, mut second) = (rig.connect_client(), rig.connect_client());
    first.send(&request(1, None, b"abc"));
    assert_eq!(vm.read_apply().0, task(1));
    second.send(&request(1, None, b"abc"));
    assert_eq!(second.read_response().0, 409);
    vm.send_value(&task(1), "complete", b"one");
    assert_eq!(first.read_response().2, b"one");
    second.send(&request(1, None, b"abc"));
    assert_eq!(vm.read_apply().0, task(1));
    vm.send_value(&task(1), "complete", b"two");
    assert_eq!(second.read_response().2, b"two");
}
