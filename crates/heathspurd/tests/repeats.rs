//! Tests of repeated attempts of keyed requests: the deduplication window, lost links, failed runs and disconnected
//! clients. They wait for events; the timeouts expire only if an event never occurs.

mod common;

use common::task_id;
use heathspur_testkit::prelude::*;
use serde_json::json;

/// The longest deduplication window that these tests set, in milliseconds.
const DEDUP_WINDOW_MS: u128 = 50;

/// Starts a server with this deduplication window, in milliseconds.
fn start_with_dedup_window(window_ms: u128) -> ServerFixture {
    ServerFixture::start_with_config(|c| {
        c["settings"]["services"][1]["dedup-window-s"] = json!(window_ms as f64 / 1000.0)
    })
}

/// Returns a keyed request with this ingress time, in Unix milliseconds.
fn request_with_ingress_time(txn: u64, key: &str, ingress_ms: u128) -> Vec<u8> {
    let text = String::from_utf8(request(txn, Some(key), b"pay")).unwrap();
    let (before, after) = text.split_once("X-Ingress-Time: ").unwrap();
    let (_, after) = after.split_once("\r\n").unwrap();
    format!("{before}X-Ingress-Time: {ingress_ms}\r\n{after}").into_bytes()
}

/// Sends the first attempt of the key `k` and asserts that it runs and its result is returned.
fn assert_first_attempt_runs(
    interpreter: &mut MockInterpreter,
    client: &mut Http1Client,
    ingress_ms: u128,
) {
    client.send(&request_with_ingress_time(1, "k", ingress_ms));
    assert_eq!(interpreter.read_apply().0, task_id(1));
    interpreter.send_value(&task_id(1), "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn dedup_window_starts_at_ingress_time_of_first_attempt_even_if_in_future() {
    for window_ms in [0, 1, DEDUP_WINDOW_MS] {
        let server = start_with_dedup_window(window_ms);
        let mut interpreter = server.accept_link();
        let mut client = server.connect_client();
        let ingress_ms = unix_ms() + 30_000;
        assert_first_attempt_runs(&mut interpreter, &mut client, ingress_ms);
        for (txn, delay_ms) in [(2, 0), (3, window_ms)] {
            client.send(&request_with_ingress_time(txn, "k", ingress_ms + delay_ms));
            let (status, _, body) = client.read_response();
            assert_eq!(
                (status, &body[..]),
                (200, &b"done"[..]),
                "{delay_ms} ms after the first attempt, with a window of {window_ms} ms"
            );
        }
        client.send(&request_with_ingress_time(
            4,
            "k",
            ingress_ms + window_ms + 1,
        ));
        assert_eq!(
            interpreter.read_apply().0,
            task_id(4),
            "an attempt after the window is a new request"
        );
    }
}

#[test]
fn dedup_window_that_expires_during_run_lasts_until_run_ends() {
    let server = start_with_dedup_window(0);
    let mut interpreter = server.accept_link();
    let (mut first, mut second) = (server.connect_client(), server.connect_client());
    let ingress_ms = unix_ms();
    first.send(&request_with_ingress_time(1, "k", ingress_ms));
    assert_eq!(interpreter.read_apply().0, task_id(1));
    second.send(&request_with_ingress_time(2, "k", ingress_ms + 1000));
    // The run of a later request shows that the repeat was read and not run.
    let mut other = server.connect_client();
    other.send(&request_with_ingress_time(3, "other", ingress_ms));
    assert_eq!(interpreter.read_apply().0, task_id(3));
    interpreter.send_value(&task_id(1), "complete", b"done");
    assert_eq!(
        (first.read_response().2, second.read_response().2),
        (b"done".to_vec(), b"done".to_vec())
    );
}

// Guards against a second run: the interpreter has received the starts, and they were sent again after the reconnection.
#[test]
fn repeats_wait_across_link_failure_and_run_is_not_resent() {
    let server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let (mut first, mut second, mut third) = (
        server.connect_client(),
        server.connect_client(),
        server.connect_client(),
    );
    first.send(&request(1, Some("k"), b"pay"));
    assert_eq!(interpreter.read_apply().0, task_id(1));
    second.send(&request(2, Some("k"), b"pay"));
    let mut other = server.connect_client();
    other.send(&request(3, Some("other"), b"pay"));
    assert_eq!(interpreter.read_apply().0, task_id(3));
    // The first client disconnects and the link fails. Another attempt arrives while the link is down.
    drop(first);
    drop(interpreter);
    third.send(&request(4, Some("k"), b"pay"));
    let mut interpreter = server.accept_link();
    // Nothing is sent again between the query that ends the resumption and the next one.
    interpreter.answer_gauge_queries(2);
    interpreter.send_value(&task_id(1), "complete", b"done");
    assert_eq!(
        (second.read_response().2, third.read_response().2),
        (b"done".to_vec(), b"done".to_vec())
    );
    interpreter.send_value(&task_id(3), "complete", b"other");
    assert_eq!(other.read_response().2, b"other");
    // The next command belongs to a new request, so nothing else was run.
    second.send(&request(5, None, b"look"));
    assert_eq!(interpreter.read_apply().0, task_id(5));
}

#[test]
fn repeats_of_run_that_failed_to_start_fail_without_running() {
    for failure in ["VALUE", "ERROR"] {
        let server = ServerFixture::start();
        let mut interpreter = server.accept_link();
        let (mut first, mut second) = (server.connect_client(), server.connect_client());
        first.send(&request(1, Some("k"), b"pay"));
        assert_eq!(interpreter.read_apply().0, task_id(1));
        second.send(&request(2, Some("k"), b"pay"));
        let mut other = server.connect_client();
        other.send(&request(3, Some("other"), b"pay"));
        assert_eq!(interpreter.read_apply().0, task_id(3));
        match failure {
            "VALUE" => interpreter.send_value(&task_id(1), "unknown", b""),
            _ => interpreter.send(json!({"verb": "ERROR", "outcome": "APPLY", "task": task_id(1)})),
        }
        assert_eq!(
            (first.read_response().0, second.read_response().0),
            (500, 500)
        );
        first.send(&request(4, Some("k"), b"pay"));
        assert_eq!(first.read_response().0, 500);
        first.send(&request(5, None, b"look"));
        assert_eq!(interpreter.read_apply().0, task_id(5));
    }
}

#[test]
fn repeat_of_queued_attempt_with_disconnected_client_runs() {
    let server = ServerFixture::start();
    // The interpreter is not connected yet, so the request is queued.
    let mut first = server.connect_client();
    first.send(&request(1, Some("k"), b"pay"));
    let mut second = server.connect_client();
    second.send(&request(2, Some("k"), b"pay"));
    drop(first);
    let mut interpreter = server.accept_link();
    let running_id = interpreter.read_apply().0;
    interpreter.send_value(&running_id, "complete", b"done");
    assert_eq!(second.read_response().2, b"done");
    second.send(&request(3, Some("k"), b"pay"));
    assert_eq!(second.read_response().2, b"done");
    second.send(&request(4, None, b"look"));
    assert_eq!(interpreter.read_apply().0, task_id(4));
}

#[test]
fn duplicate_request_id_conflicts_in_flight_and_is_new_after_answer() {
    let server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let (mut first, mut second) = (server.connect_client(), server.connect_client());
    first.send(&request(1, None, b"abc"));
    assert_eq!(interpreter.read_apply().0, task_id(1));
    second.send(&request(1, None, b"abc"));
    assert_eq!(second.read_response().0, 409);
    interpreter.send_value(&task_id(1), "complete", b"one");
    assert_eq!(first.read_response().2, b"one");
    second.send(&request(1, None, b"abc"));
    assert_eq!(interpreter.read_apply().0, task_id(1));
    interpreter.send_value(&task_id(1), "complete", b"two");
    assert_eq!(second.read_response().2, b"two");
}
