//! Tests against peers that are slow, silent, or respond out of order: the registration service, the interpreter and
//! the store are scripted mocks.

mod common;

use common::{
    address_json, assert_starts_run, complete_run, start_run, task_id, FullAcceptQueue,
    SLOW_CONNECT,
};
use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_millis(800);

/// The registration service's end of a connection.
struct RegistrationConnection(BufReader<TcpStream>);

impl RegistrationConnection {
    /// Accepts connections until one carries a report, and returns both.
    fn accept(listener: &TcpListener) -> (RegistrationConnection, String) {
        loop {
            let mut connection = RegistrationConnection(BufReader::new(accept(listener)));
            if let Some(report) = connection.next_report() {
                return (connection, report);
            }
        }
    }

    /// Returns the `accepting` value of the next report, or `None` once the server has closed the connection.
    fn next_report(&mut self) -> Option<String> {
        let mut line = String::new();
        let mut length = 0;
        while line != "\r\n" {
            line.clear();
            self.0.read_line(&mut line).ok().filter(|&n| n > 0)?;
            if let Some(text) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
                length = text.trim().parse().unwrap();
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        let body: Value = serde_json::from_slice(&body).unwrap();
        Some(body["accepting"].as_str().unwrap().to_string())
    }

    /// Sends an empty response with this status. Returns `None` if the connection is broken.
    fn respond(&mut self, status: &str) -> Option<()> {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        self.0.get_mut().write_all(text.as_bytes()).ok()
    }

    /// Accepts the last report. Returns `None` if the connection is broken.
    fn accept_report(&mut self) -> Option<()> {
        self.respond("204 No Content")
    }

    /// Checks that the connection is open and that the server has sent nothing more on it. Returns `None` otherwise.
    fn check_open(&mut self) -> Option<()> {
        self.0.get_ref().set_nonblocking(true).unwrap();
        let read = self.0.get_ref().peek(&mut [0]);
        self.0.get_ref().set_nonblocking(false).unwrap();
        matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock).then_some(())
    }
}

/// Starts a server that reports to this listener, and accepts its link to the interpreter.
fn start_reporting_to(listener: &TcpListener) -> (ServerFixture, MockInterpreter) {
    let server = ServerFixture::start_with_config(|c| {
        c["announce"] = address_json(listener);
        c["stop_ms"] = json!(30_000);
    });
    let interpreter = server.accept_link();
    (server, interpreter)
}

/// Runs a test up to five times, until it returns `Some`. The server measures its timeouts in real time, which a
/// machine that stalls for seconds uses up; such an attempt is repeated. A failure that needs no stall occurs in each
/// attempt.
fn assert_passes_in_five_attempts(attempt: impl Fn() -> Option<()>) {
    let attempts = (1..=5)
        .find(|_| attempt().is_some())
        .expect("each attempt failed");
    println!("attempts: {attempts}");
}

#[test]
fn registration_service_slow_to_accept_receives_report() {
    let service = FullAcceptQueue::new();
    let (_server, _interpreter) = start_reporting_to(&service.listener);
    assert_eq!(
        RegistrationConnection::accept(&service.unblock_after_slow_connect()).1,
        "true"
    );
}

#[test]
fn late_report_response_is_accepted_and_its_connection_stays_in_use() {
    assert_passes_in_five_attempts(|| {
        let service = bind_loopback();
        let (_server, _interpreter) = start_reporting_to(&service);
        let mut slow = RegistrationConnection::accept(&service).0;
        // Without a response to the first report, the server reports on another connection and keeps the first open.
        let (_other, _) = RegistrationConnection::accept(&service);
        slow.check_open()?;
        slow.accept_report()?;
        // The late response is accepted, and the connection stays in use.
        slow.next_report().map(|_| ())
    });
}

#[test]
fn drain_is_reported_again_after_older_report_completes() {
    assert_passes_in_five_attempts(|| {
        let service = bind_loopback();
        let (server, mut interpreter) = start_reporting_to(&service);
        let mut slow = RegistrationConnection::accept(&service).0;
        // A request in flight delays the exit of the server.
        let mut client = server.connect_client();
        client.send(&request(1, None, b"abc"));
        interpreter.read_apply();
        server.process.terminate();
        let (mut other, mut accepting) = RegistrationConnection::accept(&service);
        while accepting != "false" {
            other.accept_report()?;
            accepting = other.next_report()?;
        }
        // The service may have processed the later report first; the older one then determines its state.
        slow.check_open()?;
        other.accept_report()?;
        slow.accept_report()?;
        // The report may come on either connection; the other one is closed.
        let slow_report = thread::spawn(move || slow.next_report());
        let reports = [other.next_report(), slow_report.join().unwrap()];
        assert!(!reports.contains(&Some("true".to_string())), "{reports:?}");
        reports.contains(&Some("false".to_string())).then_some(())
    });
}

#[test]
fn reverted_readiness_change_is_reported_once_older_report_completes() {
    assert_passes_in_five_attempts(|| {
        let service = bind_loopback();
        let server = ServerFixture::start_with_config(|c| {
            c["announce"] = address_json(&service);
            // So few that a single request that does not end counts as stalled.
            c["settings"]["family-info"]["n-cores"] = json!(2);
        });
        let mut interpreter = server.accept_link();
        let mut slow = RegistrationConnection::accept(&service).0;
        let mut client = server.connect_client();
        client.send(&request(1, None, b"abc"));
        let (task_id, _, _) = interpreter.read_apply();
        slow.accept_report()?;
        (slow.next_report()? == "true").then_some(())?;
        // This report stays unanswered while the server becomes not ready and then ready again.
        server.wait_for_log("work has stalled");
        interpreter.send_value(&task_id, "complete", b"one");
        server.wait_for_log("work has resumed");
        // The outcome of the request does not matter.
        client.read_response();
        // The reporting task processes the change asynchronously, at the latest before this response.
        client.send(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(client.read_response().0, 200);
        slow.check_open()?;
        let responded_at = Instant::now();
        slow.accept_report()?;
        // The report predates the changes, so the current state is reported at once, not after the next period.
        (slow.next_report()? == "true" && responded_at.elapsed() < REPORT_PERIOD / 2).then_some(())
    });
}

#[test]
fn failed_report_is_retried_on_same_connection() {
    assert_passes_in_five_attempts(|| {
        let service = bind_loopback();
        let (_server, _interpreter) = start_reporting_to(&service);
        let mut connection = RegistrationConnection::accept(&service).0;
        for _ in 0..3 {
            connection.respond("500 Internal Server Error")?;
            connection.next_report()?;
        }
        Some(())
    });
}

#[test]
fn extra_response_is_not_matched_to_next_report() {
    let service = bind_loopback();
    let (_server, _interpreter) = start_reporting_to(&service);
    let (mut connection, _) = RegistrationConnection::accept(&service);
    let two_responses = b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let _ = connection.0.get_mut().write_all(two_responses);
    // Responses on this connection can no longer be matched to reports, so the next report uses a new one.
    assert_eq!(connection.next_report(), None);
    assert_eq!(RegistrationConnection::accept(&service).1, "true");
}

#[test]
fn reconnects_are_delayed_when_registration_service_closes_each_connection() {
    let service = bind_loopback();
    let (_server, _interpreter) = start_reporting_to(&service);
    let start = Instant::now();
    for _ in 0..11 {
        drop(accept(&service));
    }
    // The server waits a tenth of a second between a failure and the next connect attempt.
    assert!(
        start.elapsed() > Duration::from_millis(500),
        "11 connections within {:?}, expected more than 500 ms",
        start.elapsed()
    );
}

/// Reads the next call and returns its id and its timeout in milliseconds.
fn read_call(stream: &mut BufReader<TcpStream>) -> (String, u64) {
    let mut line = String::new();
    stream.read_line(&mut line).unwrap();
    let fields: Vec<_> = line.split_whitespace().collect();
    assert_eq!(fields[0], "CALL", "{line}");
    let mut body = vec![0; fields[3].parse::<usize>().unwrap() + 2];
    stream.read_exact(&mut body).unwrap();
    (fields[1].to_string(), fields[2].parse().unwrap())
}

#[test]
fn store_slow_to_accept_is_called_with_remaining_timeout() {
    let store = FullAcceptQueue::new();
    let mut server =
        ServerFixture::start_with_config(|c| c["store"] = address_json(&store.listener));
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    let (task_id, _, _) = interpreter.read_apply();
    let call_requested_at = Instant::now();
    interpreter.send_await(&task_id, b"ask");
    server.store_listener = store.unblock_after_slow_connect();
    let mut stream = BufReader::new(accept(&server.store_listener));
    let (id, timeout_ms) = read_call(&mut stream);
    // The longest call timeout is 15 s, and the time spent connecting is deducted from it.
    assert!(
        Duration::from_millis(timeout_ms) + SLOW_CONNECT <= Duration::from_secs(15),
        "the call's timeout of {timeout_ms} ms includes the time spent connecting"
    );
    assert!(call_requested_at.elapsed() > SLOW_CONNECT);
    stream
        .get_mut()
        .write_all(format!("{id} OK 2\r\nok\r\n").as_bytes())
        .unwrap();
    assert_eq!(interpreter.read_command()["verb"], "RESOLVE");
    interpreter.send_value(&task_id, "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

#[test]
fn interpreter_slow_to_accept_is_linked() {
    let interpreter_queue = FullAcceptQueue::new();
    let mut server =
        ServerFixture::start_with_config(|c| c["vm"] = address_json(&interpreter_queue.listener));
    server.interpreter_listener = interpreter_queue.unblock_after_slow_connect();
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    client.send(&request(1, None, b"abc"));
    assert_eq!(interpreter.read_apply().2, b"abc");
}

#[test]
fn server_is_ready_in_time_with_slow_peers_and_no_store() {
    assert_passes_in_five_attempts(|| {
        let (interpreter_queue, service) = (FullAcceptQueue::new(), FullAcceptQueue::new());
        let refused_address = bind_loopback().local_addr().unwrap();
        let start = Instant::now();
        let mut server = ServerFixture::start_with_config(|c| {
            c["vm"] = address_json(&interpreter_queue.listener);
            c["announce"] = address_json(&service.listener);
            c["store"] = json!(refused_address);
        });
        server.interpreter_listener = interpreter_queue.unblock_after_slow_connect();
        let _interpreter = server.accept_link();
        let (mut connection, accepting) =
            RegistrationConnection::accept(&service.unblock_after_slow_connect());
        assert_eq!(accepting, "true");
        connection.accept_report()?;
        let mut health_client = server.connect_client();
        health_client.send(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(health_client.read_response().0, 200);
        (start.elapsed() < Duration::from_secs(10)).then_some(())
    });
}

#[test]
fn notice_with_invalid_task_id_is_resent_on_next_link() {
    let server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    let (task_id, _, _) = interpreter.read_apply();
    interpreter.send_value("9b1f", "complete", b"one");
    let mut interpreter = server.accept_link();
    assert_eq!(interpreter.resume_index, 0);
    interpreter.send_value(&task_id, "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

/// Starts a server whose only request was sent on a link that broke. The interpreter is slow: on the new link neither the
/// missed notices nor the gauges that follow them arrive within the server's timeout.
fn start_with_late_gauges(
    key: Option<&str>,
) -> (ServerFixture, MockInterpreter, Http1Client, Value) {
    let (server, interpreter, client) = start_run(key);
    drop(interpreter);
    let mut interpreter = server.accept_link();
    assert_eq!(interpreter.read_any_command()["verb"], "TOP");
    // The server queries again by its timer once the first query has timed out.
    let second_query = interpreter.read_any_command();
    assert_eq!(second_query["verb"], "TOP", "{second_query}");
    (server, interpreter, client, second_query["nonce"].clone())
}

#[test]
fn run_is_not_restarted_while_missed_notices_may_arrive() {
    let (_server, mut interpreter, mut client, _) = start_with_late_gauges(Some("k"));
    complete_run(&mut interpreter, &mut client);
}

#[test]
fn idempotent_run_is_restarted_when_late_gauges_show_no_missed_notice() {
    let (_server, mut interpreter, mut client, nonce) = start_with_late_gauges(None);
    interpreter.send(json!({"verb": "TOPS", "nonce": nonce, "readings": [0.1, 0, 0.1, 2]}));
    assert_starts_run(&interpreter.read_command_ignoring_gauges(), 1);
    complete_run(&mut interpreter, &mut client);
}

// Guards against a second run of a keyed request whose start may have been received before the break.
#[test]
fn keyed_run_is_not_restarted_when_late_gauges_show_no_missed_notice() {
    let (_server, mut interpreter, mut client, nonce) = start_with_late_gauges(Some("k"));
    interpreter.send(json!({"verb": "TOPS", "nonce": nonce, "readings": [0.1, 0, 0.1, 2]}));
    assert_eq!(client.read_response().0, 500);
    client.send(&request(2, None, b"def"));
    assert_starts_run(&interpreter.read_command_ignoring_gauges(), 2);
    interpreter.send_value(&task_id(2), "complete", b"two");
    assert_eq!(client.read_response().2, b"two");
}
