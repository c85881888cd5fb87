//! Signals that come at a bad moment, and configurations that are not this server's. Tests wait for events; only
//! what never comes times out.

use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The server tries so often to read a configuration that can't be used.
const TRIES: usize = 10;
const STAYS: &str = "the configuration stays as it was";
const LEAVES: &str = "graceful shutdown started";

fn task(txn: u64) -> String {
    format!("{txn:016x}")
}

/// The server reports to the announce service that it takes nothing more.
fn reports_that_it_leaves(reports: &Receiver<Value>) {
    while reports.recv_timeout(EVENT_TIMEOUT).unwrap() != json!({"accepting": "false"}) {}
}

fn health(rig: &ServerFixture) -> u16 {
    let mut check = rig.connect_client();
    check.send(b"GET /status/live HTTP/1.1\r\n\r\n");
    check.read_response().0
}

fn address(listener: &TcpListener) -> Value {
    json!(listener.local_addr().unwrap())
}

/// Nobody connects there; what would have connected has had the time for it.
fn unvisited(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "somebody connected");
}

/// A request is served over that link to the interpreter.
fn serves(client: &mut Http1Client, vm: &mut MockInterpreter, txn: u64) {
    client.send(&request(txn, None, b"abc"));
    assert_eq!(vm.read_apply().0, task(txn));
    vm.send_value(&task(txn), "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

/// A server that leaves while a request runs.
fn leaving() -> (ServerFixture, MockInterpreter, Http1Client) {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, None, b"abc"));
    vm.read_apply();
    rig.process.terminate();
    rig.wait_for_log(LEAVES);
    (rig, vm, client)
}

#[test]
fn a_notice_to_leave_is_heard_while_a_bad_configuration_is_read_again_and_again() {
    // On a machine so busy that the notice is sent too late nothing is forced: then once more.
    loop {
        let rig = ServerFixture::start_with_config(|c| {
            // Long enough for all that is looked at.
            c["stop_ms"] = json!(20_000);
            c["settings"]["guarantees"]["drain-grace-s"] = json!(15.0);
        });
        let _vm = rig.accept_link();
        std::fs::write(&rig.config_file, "{\"name\":\"n3\",").unwrap();
        rig.process.signal("HUP");
        rig.wait_for_log(STAYS);
        let first = Instant::now();
        rig.process.terminate();
        // All tries take 0.9 s.
        if first.elapsed() > Duration::from_millis(500) {
            continue;
        }
        let mut tries = 1;
        loop {
            let line = rig.log_lines.recv_timeout(EVENT_TIMEOUT).expect(LEAVES);
            if line.contains(LEAVES) {
                break;
            }
            tries += usize::from(line.contains(STAYS));
        }
        assert!(tries < TRIES, "it left only after all {TRIES} tries");
        reports_that_it_leaves(&rig.registration_reports);
        assert_eq!(health(&rig), 503);
        return;
    }
}

#[test]
fn a_flood_of_notices_from_the_interpreter_does_not_keep_it_from_leaving() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    serves(&mut client, &mut vm, 1);
    let over = Arc::new(AtomicBool::new(false));
    let flood = {
        let over = over.clone();
        let line = format!(
            "{}\n",
            json!({"verb": "ERROR", "outcome": "STUB", "task": task(9)})
        );
        thread::spawn(move || {
            let lines = line.repeat(4096);
            while !over.load(Ordering::Relaxed) && vm.try_send_raw(lines.as_bytes()) {}
        })
    };
    rig.wait_for_log("did not carry out");
    rig.process.terminate();
    reports_that_it_leaves(&rig.registration_reports);
    over.store(true, Ordering::Relaxed);
    drop(rig);
    flood.join().unwrap();
}

#[test]
fn a_second_notice_to_leave_changes_nothing() {
    let (mut rig, mut vm, mut client) = leaving();
    rig.process.terminate();
    rig.process.signal("INT");
    reports_that_it_leaves(&rig.registration_reports);
    vm.send_value(&task(1), "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
    assert_eq!(rig.process.wait().code(), Some(0));
    assert_eq!(
        rig.log_lines
            .iter()
            .filter(|line| line.contains(LEAVES))
            .count(),
        0
    );
}

#[test]
fn it_leaves_before_the_interpreter_is_up_and_answers_what_it_read() {
    for (linked, asked) in [(false, false), (false, true), (true, true)] {
        let mut rig = ServerFixture::start();
        // The link is there, but `BANNER` waits until the interpreter is up.
        let _vm = linked.then(|| rig.accept_link_before_banner());
        let mut client = rig.connect_client();
        if asked {
            client.send(&request(1, Some("k"), b"abc"));
        }
        rig.process.terminate();
        rig.wait_for_log(LEAVES);
        reports_that_it_leaves(&rig.registration_reports);
        if asked {
            assert!([503, 504].contains(&client.read_response().0));
        }
        assert_eq!(rig.process.wait().code(), Some(0));
    }
}

#[test]
fn a_new_configuration_holds_while_it_leaves() {
    let (mut rig, _old, mut client) = leaving();
    let reports = rig.replace_peer_addresses();
    reports_that_it_leaves(&reports);
    let mut vm = rig.accept_link();
    assert_eq!(vm.read_apply().0, task(1));
    vm.send_value(&task(1), "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
    assert_eq!(rig.process.wait().code(), Some(0));
}

#[test]
fn of_many_new_configurations_the_last_one_holds() {
    let mut rig = ServerFixture::start();
    let _vm = rig.accept_link();
    // Not more: the log has a bound.
    for _ in 0..3 {
        rig.replace_peer_addresses();
    }
    // The last is asked for while one that can't be used is read again.
    std::fs::write(&rig.config_file, "").unwrap();
    rig.process.signal("HUP");
    rig.wait_for_log(STAYS);
    rig.process.signal("HUP");
    let _reports = rig.replace_peer_addresses();
    let mut vm = rig.accept_link();
    serves(&mut rig.connect_client(), &mut vm, 1);
}

#[test]
fn a_new_configuration_told_of_while_the_first_is_read_holds() {
    let [vm, moved, announce, store] = [(); 4].map(|()| bind_loopback());
    let at = |l: &TcpListener| l.local_addr().unwrap();
    let mut settings = server_config(at(&vm), at(&announce), at(&store));
    let file = std::env::temp_dir().join(format!("heathspurd-{}-fifo", std::process::id()));
    assert!(Command::new("mkfifo")
        .arg(&file)
        .status()
        .unwrap()
        .success());
    let mut process = ProcessGuard(server_command(&file).spawn().unwrap());
    // Opening it waits until the server has opened it, and the server waits for what is written.
    let mut fifo = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    let first = settings.to_string();
    settings["vm"] = address(&moved);
    let next: PathBuf = file.with_extension("next");
    std::fs::write(&next, settings.to_string()).unwrap();
    std::fs::rename(&next, &file).unwrap();
    process.signal("HUP");
    fifo.write_all(first.as_bytes()).unwrap();
    drop(fifo);
    let _link = accept(&moved);
    process.terminate();
    let said: Vec<_> = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok)
        .collect();
    assert_eq!(process.wait().code(), Some(0), "{said:?}");
    std::fs::remove_file(file).unwrap();
}

/// A file that is none of this server's is told of with these words, and nothing of it holds.
fn holds_nothing_of(text: impl FnOnce(&mut Value) -> Option<String>, words: &str) {
    let mut rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    serves(&mut client, &mut vm, 1);
    let [other, announce, store] = [(); 3].map(|()| bind_loopback());
    for (field, listener) in [("vm", &other), ("announce", &announce), ("store", &store)] {
        rig.config[field] = address(listener);
    }
    match text(&mut rig.config) {
        Some(text) => std::fs::write(&rig.config_file, text).unwrap(),
        None => std::fs::remove_file(&rig.config_file).unwrap(),
    }
    rig.process.signal("HUP");
    for _ in 0..TRIES {
        let line = rig.wait_for_log(STAYS);
        assert!(line.contains(words), "{line}");
    }
    serves(&mut client, &mut vm, 2);
    client.send(&request(3, None, b"abc"));
    vm.read_apply();
    vm.send_await(&task(3), b"ask");
    let mut call = String::new();
    BufReader::new(accept(&rig.store_listener))
        .read_line(&mut call)
        .unwrap();
    assert!(call.starts_with(&format!("CALL {} ", task(3))), "{call}");
    [other, announce, store].iter().for_each(unvisited);
}

#[test]
fn nothing_holds_of_another_servers_or_customers_configuration() {
    let whole = |config: &mut Value| Some(config.to_string());
    holds_nothing_of(
        |c| {
            c["name"] = json!("n4");
            whole(c)
        },
        ": name: it is of another server or customer: \"n4\", not \"n3\"",
    );
    holds_nothing_of(
        |c| {
            c["settings"]["services"][1]["name"] = json!("book");
            whole(c)
        },
        ": settings.services[1].name: it is of another server or customer: \"book\", not \"pay\"",
    );
}

#[test]
fn nothing_holds_of_a_configuration_that_is_missing_empty_or_half_written() {
    holds_nothing_of(|_| None, "No such file");
    holds_nothing_of(|_| Some(String::new()), "EOF");
    holds_nothing_of(
        |config| {
            let whole = config.to_string();
            Some(whole[..whole.len() - 1].to_string())
        },
        "EOF",
    );
    // A shorter one written over a longer one.
    holds_nothing_of(|config| Some(format!("{config}}}")), "trailing characters");
}

#[test]
fn a_configuration_that_another_start_would_get_moves_the_links_without_a_word() {
    let mut rig = ServerFixture::start();
    let _old = rig.accept_link();
    rig.config["seed"] = json!("1");
    rig.config["settings"]["servers"] = json!(7);
    rig.config["settings"]["me"] = json!(3);
    rig.config["settings"]["family-info"]["cold"] = json!(true);
    rig.config["settings"]["family-info"]["upstreams"] = json!(9);
    let _reports = rig.replace_peer_addresses();
    let mut vm = rig.accept_link();
    serves(&mut rig.connect_client(), &mut vm, 1);
    assert!(rig
        .log_lines
        .try_iter()
        .all(|line| !line.contains("differs") && !line.contains(STAYS)));
}

#[test]
fn a_configuration_that_differs_in_what_a_start_is_needed_for_says_where() {
    let mut rig = ServerFixture::start();
    let _old = rig.accept_link();
    rig.config["stop_ms"] = json!(9000);
    rig.config["limits"]["memory_mb"] = json!(64);
    rig.config["settings"]["realms"][0]["quota-per-s"] = json!(7.0);
    let _reports = rig.replace_peer_addresses();
    let line = rig.wait_for_log("it differs in more");
    assert!(
        line.ends_with(": stop_ms, limits.memory_mb, settings"),
        "{line}"
    );
    let mut vm = rig.accept_link();
    serves(&mut rig.connect_client(), &mut vm, 1);
}
