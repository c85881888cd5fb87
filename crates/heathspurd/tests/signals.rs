//! Tests of signals that arrive during other work, and of reloads of invalid or changed configurations. They wait for
//! events; the timeouts expire only if an event never occurs.

mod common;

use common::{address_json, task_id, wait_for_not_accepting_report};
use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How many times the server attempts to read an invalid configuration before it abandons the reload.
const READ_ATTEMPTS: usize = 10;
/// Text that the server logs for each failed attempt.
const RELOAD_FAILED: &str = "configuration reload failed, keeping the current configuration";
/// Text that the server logs when a drain begins.
const DRAIN_STARTED: &str = "graceful shutdown started";

/// Sends a health check and returns the status of the response.
fn health_status(server: &ServerFixture) -> u16 {
    let mut client = server.connect_client();
    client.send(b"GET /status/live HTTP/1.1\r\n\r\n");
    client.read_response().0
}

/// Asserts that there was no connection to this listener. The caller has given the server enough time to connect.
fn assert_no_connection(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "unexpected connection");
}

/// Asserts that a request is served over this link to the interpreter.
fn assert_request_is_served(client: &mut Http1Client, interpreter: &mut MockInterpreter, txn: u64) {
    client.send(&request(txn, None, b"abc"));
    assert_eq!(interpreter.read_apply().0, task_id(txn));
    interpreter.send_value(&task_id(txn), "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

/// Starts a server that drains while a request is running.
fn start_draining_with_running_request() -> (ServerFixture, MockInterpreter, Http1Client) {
    let server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    client.send(&request(1, None, b"abc"));
    interpreter.read_apply();
    server.process.terminate();
    server.wait_for_log(DRAIN_STARTED);
    (server, interpreter, client)
}

#[test]
fn termination_during_repeated_reload_attempts_starts_drain() {
    // On a busy machine the signal may be sent too late to arrive between the attempts; the test then starts over.
    loop {
        let server = ServerFixture::start_with_config(|c| {
            // Long enough for everything that the test checks.
            c["stop_ms"] = json!(20_000);
            c["settings"]["guarantees"]["drain-grace-s"] = json!(15.0);
        });
        let _interpreter = server.accept_link();
        std::fs::write(&server.config_file, "{\"name\":\"n3\",").unwrap();
        server.process.signal("HUP");
        server.wait_for_log(RELOAD_FAILED);
        let first_attempt_failed_at = Instant::now();
        server.process.terminate();
        // All attempts together take 0.9 s.
        if first_attempt_failed_at.elapsed() > Duration::from_millis(500) {
            continue;
        }
        let mut attempts = 1;
        loop {
            let line = server
                .log_lines
                .recv_timeout(EVENT_TIMEOUT)
                .expect(DRAIN_STARTED);
            if line.contains(DRAIN_STARTED) {
                break;
            }
            attempts += usize::from(line.contains(RELOAD_FAILED));
        }
        assert!(
            attempts < READ_ATTEMPTS,
            "the drain started only after all {READ_ATTEMPTS} attempts"
        );
        wait_for_not_accepting_report(&server.registration_reports);
        assert_eq!(health_status(&server), 503);
        return;
    }
}

#[test]
fn flood_of_interpreter_messages_does_not_prevent_drain() {
    let server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    assert_request_is_served(&mut client, &mut interpreter, 1);
    let stopped = Arc::new(AtomicBool::new(false));
    let flood = {
        let stopped = stopped.clone();
        let line = format!(
            "{}\n",
            json!({"verb": "ERROR", "outcome": "STUB", "task": task_id(9)})
        );
        thread::spawn(move || {
            let lines = line.repeat(4096);
            while !stopped.load(Ordering::Relaxed) && interpreter.try_send_raw(lines.as_bytes()) {}
        })
    };
    server.wait_for_log("the interpreter rejected the command");
    server.process.terminate();
    wait_for_not_accepting_report(&server.registration_reports);
    stopped.store(true, Ordering::Relaxed);
    drop(server);
    flood.join().unwrap();
}

#[test]
fn repeated_termination_signals_change_nothing() {
    let (mut server, mut interpreter, mut client) = start_draining_with_running_request();
    server.process.terminate();
    server.process.signal("INT");
    wait_for_not_accepting_report(&server.registration_reports);
    interpreter.send_value(&task_id(1), "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
    assert_eq!(server.process.wait().code(), Some(0));
    assert_eq!(
        server
            .log_lines
            .iter()
            .filter(|line| line.contains(DRAIN_STARTED))
            .count(),
        0
    );
}

#[test]
fn drain_before_interpreter_is_up_answers_requests_and_exits() {
    for (is_connected, has_request) in [(false, false), (false, true), (true, true)] {
        let mut server = ServerFixture::start();
        // The interpreter accepts the link but sends no `BANNER`, as before it is up.
        let _interpreter = is_connected.then(|| server.accept_link_before_banner());
        let mut client = server.connect_client();
        if has_request {
            client.send(&request(1, Some("k"), b"abc"));
        }
        server.process.terminate();
        server.wait_for_log(DRAIN_STARTED);
        wait_for_not_accepting_report(&server.registration_reports);
        if has_request {
            assert!([503, 504].contains(&client.read_response().0));
        }
        assert_eq!(server.process.wait().code(), Some(0));
    }
}

#[test]
fn reload_during_drain_moves_links() {
    let (mut server, _old_link, mut client) = start_draining_with_running_request();
    let reports = server.replace_peer_addresses();
    wait_for_not_accepting_report(&reports);
    let mut interpreter = server.accept_link();
    assert_eq!(interpreter.read_apply().0, task_id(1));
    interpreter.send_value(&task_id(1), "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
    assert_eq!(server.process.wait().code(), Some(0));
}

#[test]
fn last_of_many_reloads_takes_effect() {
    let mut server = ServerFixture::start();
    let _interpreter = server.accept_link();
    // No more than three, because the log limits its lines per second.
    for _ in 0..3 {
        server.replace_peer_addresses();
    }
    // The last reload is requested while the server repeats the attempts to read an invalid file.
    std::fs::write(&server.config_file, "").unwrap();
    server.process.signal("HUP");
    server.wait_for_log(RELOAD_FAILED);
    server.process.signal("HUP");
    let _reports = server.replace_peer_addresses();
    let mut interpreter = server.accept_link();
    assert_request_is_served(&mut server.connect_client(), &mut interpreter, 1);
}

#[test]
fn reload_signal_during_startup_read_takes_effect() {
    let [interpreter, new_interpreter, registration, store] = [(); 4].map(|()| bind_loopback());
    let socket_address = |listener: &TcpListener| listener.local_addr().unwrap();
    let mut settings = server_config(
        socket_address(&interpreter),
        socket_address(&registration),
        socket_address(&store),
    );
    let file = std::env::temp_dir().join(format!("heathspurd-{}-fifo", std::process::id()));
    assert!(Command::new("mkfifo")
        .arg(&file)
        .status()
        .unwrap()
        .success());
    let mut process = ProcessGuard(server_command(&file).spawn().unwrap());
    // Opening the FIFO blocks until the server has opened it too. The server then blocks until the test writes to it.
    let mut fifo = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    let first = settings.to_string();
    settings["vm"] = address_json(&new_interpreter);
    let next: PathBuf = file.with_extension("next");
    std::fs::write(&next, settings.to_string()).unwrap();
    std::fs::rename(&next, &file).unwrap();
    process.signal("HUP");
    fifo.write_all(first.as_bytes()).unwrap();
    drop(fifo);
    let _link = accept(&new_interpreter);
    process.terminate();
    let log_lines: Vec<_> = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok)
        .collect();
    assert_eq!(process.wait().code(), Some(0), "{log_lines:?}");
    std::fs::remove_file(file).unwrap();
}

/// Asserts that a reload of this text, or of a missing file if it is `None`, is logged with this message and changes
/// nothing.
fn assert_reload_changes_nothing(text: impl FnOnce(&mut Value) -> Option<String>, message: &str) {
    let mut server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    assert_request_is_served(&mut client, &mut interpreter, 1);
    let [interpreter_listener, registration, store] = [(); 3].map(|()| bind_loopback());
    for (field, listener) in [
        ("vm", &interpreter_listener),
        ("announce", &registration),
        ("store", &store),
    ] {
        server.config[field] = address_json(listener);
    }
    match text(&mut server.config) {
        Some(text) => std::fs::write(&server.config_file, text).unwrap(),
        None => std::fs::remove_file(&server.config_file).unwrap(),
    }
    server.process.signal("HUP");
    for _ in 0..READ_ATTEMPTS {
        let line = server.wait_for_log(RELOAD_FAILED);
        assert!(
            line.contains(message),
            "expected {message:?} in the log line: {line}"
        );
    }
    assert_request_is_served(&mut client, &mut interpreter, 2);
    client.send(&request(3, None, b"abc"));
    interpreter.read_apply();
    interpreter.send_await(&task_id(3), b"ask");
    let mut call = String::new();
    BufReader::new(accept(&server.store_listener))
        .read_line(&mut call)
        .unwrap();
    assert!(
        call.starts_with(&format!("CALL {} ", task_id(3))),
        "expected the call of task {}: {call}",
        task_id(3)
    );
    [interpreter_listener, registration, store]
        .iter()
        .for_each(assert_no_connection);
}

#[test]
fn reload_of_other_servers_or_customers_configuration_changes_nothing() {
    let to_text = |config: &mut Value| Some(config.to_string());
    assert_reload_changes_nothing(
        |c| {
            c["name"] = json!("n4");
            to_text(c)
        },
        ": name: belongs to another server or customer: \"n4\", expected \"n3\"",
    );
    assert_reload_changes_nothing(
        |c| {
            c["settings"]["services"][1]["name"] = json!("book");
            to_text(c)
        },
        ": settings.services[1].name: belongs to another server or customer: \"book\", expected \"pay\"",
    );
}

#[test]
fn reload_of_missing_empty_or_partially_written_configuration_changes_nothing() {
    assert_reload_changes_nothing(|_| None, "No such file");
    assert_reload_changes_nothing(|_| Some(String::new()), "EOF");
    assert_reload_changes_nothing(
        |config| {
            let text = config.to_string();
            Some(text[..text.len() - 1].to_string())
        },
        "EOF",
    );
    // A shorter configuration that was written over the start of a longer one.
    assert_reload_changes_nothing(|config| Some(format!("{config}}}")), "trailing characters");
}

// Fields that have another value for each start of a server don't count as changed.
#[test]
fn reload_with_per_start_fields_changed_moves_links_without_warning() {
    let mut server = ServerFixture::start();
    let _old_link = server.accept_link();
    server.config["seed"] = json!("1");
    server.config["settings"]["servers"] = json!(7);
    server.config["settings"]["me"] = json!(3);
    server.config["settings"]["family-info"]["cold"] = json!(true);
    server.config["settings"]["family-info"]["upstreams"] = json!(9);
    let _reports = server.replace_peer_addresses();
    let mut interpreter = server.accept_link();
    assert_request_is_served(&mut server.connect_client(), &mut interpreter, 1);
    assert!(server
        .log_lines
        .try_iter()
        .all(|line| !line.contains("require a restart") && !line.contains(RELOAD_FAILED)));
}

#[test]
fn reload_names_changed_fields_that_require_restart() {
    let mut server = ServerFixture::start();
    let _old_link = server.accept_link();
    server.config["stop_ms"] = json!(9000);
    server.config["limits"]["memory_mb"] = json!(64);
    server.config["settings"]["realms"][0]["quota-per-s"] = json!(7.0);
    let _reports = server.replace_peer_addresses();
    let line = server.wait_for_log("other changed fields require a restart");
    assert!(
        line.ends_with(": stop_ms, limits.memory_mb, settings"),
        "expected the names of the three changed fields: {line}"
    );
    let mut interpreter = server.accept_link();
    assert_request_is_served(&mut server.connect_client(), &mut interpreter, 1);
}
