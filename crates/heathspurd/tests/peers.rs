//! Peers that are slow, silent, or answer out of order: the announce service, the interpreter and the store
//! as scripted stand-ins.

mod common;

use common::{Full, SLOW};
use heathspur_testkit::prelude::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time between reports.
const PERIOD: Duration = Duration::from_millis(800);

/// The announce service's end of a connection.
struct Announce(BufReader<TcpStream>);

impl Announce {
    /// The next connection that a report comes on, and the report.
    fn accept(listener: &TcpListener) -> (Announce, String) {
        loop {
            let mut connection = Announce(BufReader::new(accept(listener)));
            if let Some(report) = connection.next() {
                return (connection, report);
            }
        }
    }

    /// The next report on it; none once the server has closed it.
    fn next(&mut self) -> Option<String> {
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

    /// Nothing if the server has gone meanwhile.
    fn answer(&mut self, status: &str) -> Option<()> {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        self.0.get_mut().write_all(text.as_bytes()).ok()
    }

    fn taken(&mut self) -> Option<()> {
        self.answer("204 No Content")
    }

    /// Something if the server still holds it, with nothing written.
    fn is_open(&mut self) -> Option<()> {
        self.0.get_ref().set_nonblocking(true).unwrap();
        let read = self.0.get_ref().peek(&mut [0]);
        self.0.get_ref().set_nonblocking(false).unwrap();
        matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock).then_some(())
    }
}

fn at(listener: &TcpListener) -> Value {
    json!(listener.local_addr().unwrap())
}

/// A server that reports to this listener, linked to its interpreter.
fn reporting_to(listener: &TcpListener) -> (ServerFixture, MockInterpreter) {
    let rig = ServerFixture::start_with_config(|c| {
        c["announce"] = at(listener);
        c["stop_ms"] = json!(30_000);
    });
    let vm = rig.accept_link();
    (rig, vm)
}

/// The server waits by its own clock, which a machine that stands still for seconds uses up; a try that this
/// spoilt is made again. What fails without a standstill fails each time.
fn in_one_of_five(attempt: impl Fn() -> Option<()>) {
    let tries = (1..=5)
        .find(|_| attempt().is_some())
        .expect("it failed each time");
    println!("tries: {tries}");
}

#[test]
fn a_service_that_is_slow_to_take_connections_is_reported_to() {
    let service = Full::new();
    let (_rig, _vm) = reporting_to(&service.listener);
    assert_eq!(Announce::accept(&service.let_in()).1, "true");
}

#[test]
fn a_report_that_is_answered_late_keeps_its_connection_while_another_one_is_tried() {
    in_one_of_five(|| {
        let service = bind_loopback();
        let (_rig, _vm) = reporting_to(&service);
        let mut slow = Announce::accept(&service).0;
        // Nothing is heard of the first, so another connection tells; the first is not broken off for it.
        let (_other, _) = Announce::accept(&service);
        slow.is_open()?;
        slow.taken()?;
        // It counts, and the connection is kept.
        slow.next().map(|_| ())
    });
}

#[test]
fn a_drain_is_told_again_after_an_older_report_has_ended() {
    in_one_of_five(|| {
        let service = bind_loopback();
        let (rig, mut vm) = reporting_to(&service);
        let mut slow = Announce::accept(&service).0;
        // What runs keeps the server from leaving at once.
        let mut client = rig.connect_client();
        client.send(&request(1, None, b"abc"));
        vm.read_apply();
        rig.process.terminate();
        let (mut other, mut told) = Announce::accept(&service);
        while told != "false" {
            other.taken()?;
            told = other.next()?;
        }
        // The service may have taken the later report first: then the older one has the last word.
        slow.is_open()?;
        other.taken()?;
        slow.taken()?;
        // Whichever connection it comes on, the other one is closed.
        let again = thread::spawn(move || slow.next());
        let heard = [other.next(), again.join().unwrap()];
        assert!(!heard.contains(&Some("true".to_string())), "{heard:?}");
        heard.contains(&Some("false".to_string())).then_some(())
    });
}

#[test]
fn a_change_there_and_back_is_told_once_an_older_report_has_ended() {
    in_one_of_five(|| {
        let service = bind_loopback();
        let rig = ServerFixture::start_with_config(|c| {
            c["announce"] = at(&service);
            // So few that one request counts as stalled when it doesn't end.
            c["settings"]["family-info"]["n-cores"] = json!(2);
        });
        let mut vm = rig.accept_link();
        let mut slow = Announce::accept(&service).0;
        let mut client = rig.connect_client();
        client.send(&request(1, None, b"abc"));
        let (task, _, _) = vm.read_apply();
        slow.taken()?;
        (slow.next()? == "true").then_some(())?;
        // It is held while the server is not ready, and is again.
        rig.wait_for_log("work has stalled");
        vm.send_value(&task, "complete", b"one");
        rig.wait_for_log("work has resumed");
        // However the request fared.
        client.read_response();
        // The reports hear of the change in a turn of their own: before this answer at the latest.
        client.send(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(client.read_response().0, 200);
        slow.is_open()?;
        let answered = Instant::now();
        slow.taken()?;
        // It was sent before the changes: what holds is told at once, not with the next period.
        (slow.next()? == "true" && answered.elapsed() < PERIOD / 2).then_some(())
    });
}

#[test]
fn a_report_that_was_not_taken_is_made_again_on_its_connection() {
    in_one_of_five(|| {
        let service = bind_loopback();
        let (_rig, _vm) = reporting_to(&service);
        let mut connection = Announce::accept(&service).0;
        for _ in 0..3 {
            connection.answer("500 Internal Server Error")?;
            connection.next()?;
        }
        Some(())
    });
}

#[test]
fn a_second_answer_to_one_report_does_not_count_for_the_next() {
    let service = bind_loopback();
    let (_rig, _vm) = reporting_to(&service);
    let (mut connection, _) = Announce::accept(&service);
    let twice = b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let _ = connection.0.get_mut().write_all(twice);
    // It can't be told whose answers come on it, so the next report has a connection of its own.
    assert_eq!(connection.next(), None);
    assert_eq!(Announce::accept(&service).1, "true");
}

#[test]
fn a_service_that_closes_each_connection_at_once_is_not_stormed() {
    let service = bind_loopback();
    let (_rig, _vm) = reporting_to(&service);
    let began = Instant::now();
    for _ in 0..11 {
        drop(accept(&service));
    }
    // A tenth of a second lies between one failure and the next dial.
    assert!(
        began.elapsed() > Duration::from_millis(500),
        "{:?}",
        began.elapsed()
    );
}

/// The call that comes next: its id and the milliseconds it is waited for.
fn call(stream: &mut BufReader<TcpStream>) -> (String, u64) {
    let mut line = String::new();
    stream.read_line(&mut line).unwrap();
    let words: Vec<_> = line.split_whitespace().collect();
    assert_eq!(words[0], "CALL", "{line}");
    let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
    stream.read_exact(&mut body).unwrap();
    (words[1].to_string(), words[2].parse().unwrap())
}

#[test]
fn a_store_that_is_slow_to_take_connections_is_called() {
    let store = Full::new();
    let mut rig = ServerFixture::start_with_config(|c| c["store"] = at(&store.listener));
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    let (task, _, _) = vm.read_apply();
    let asked = Instant::now();
    vm.send_await(&task, b"ask");
    rig.store_listener = store.let_in();
    let mut stream = BufReader::new(accept(&rig.store_listener));
    let (id, limit) = call(&mut stream);
    // The longest patience is 15 s, and what the dial took is gone of it.
    assert!(
        Duration::from_millis(limit) + SLOW <= Duration::from_secs(15),
        "{limit}"
    );
    assert!(asked.elapsed() > SLOW);
    stream
        .get_mut()
        .write_all(format!("{id} OK 2\r\nok\r\n").as_bytes())
        .unwrap();
    assert_eq!(vm.read_command()["verb"], "RESOLVE");
    vm.send_value(&task, "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

#[test]
fn an_interpreter_that_is_slow_to_take_connections_is_linked_to() {
    let interpreter = Full::new();
    let mut rig = ServerFixture::start_with_config(|c| c["vm"] = at(&interpreter.listener));
    rig.interpreter_listener = interpreter.let_in();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, None, b"abc"));
    assert_eq!(vm.read_apply().2, b"abc");
}

#[test]
fn it_is_ready_in_time_with_slow_peers_and_no_store() {
    in_one_of_five(|| {
        let (interpreter, service) = (Full::new(), Full::new());
        let nobody = bind_loopback().local_addr().unwrap();
        let began = Instant::now();
        let mut rig = ServerFixture::start_with_config(|c| {
            c["vm"] = at(&interpreter.listener);
            c["announce"] = at(&service.listener);
            c["store"] = json!(nobody);
        });
        rig.interpreter_listener = interpreter.let_in();
        let _vm = rig.accept_link();
        let (mut connection, told) = Announce::accept(&service.let_in());
        assert_eq!(told, "true");
        connection.taken()?;
        let mut check = rig.connect_client();
        check.send(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(check.read_response().0, 200);
        (began.elapsed() < Duration::from_secs(10)).then_some(())
    });
}

#[test]
fn a_notice_whose_request_cannot_be_read_comes_again_on_the_next_link() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    let (task, _, _) = vm.read_apply();
    vm.send_value("9b1f", "complete", b"one");
    let mut vm = rig.accept_link();
    assert_eq!(vm.resume_index, 0);
    vm.send_value(&task, "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

/// A server whose one keyed request was told on a link that broke. The interpreter is slow: on the new link
/// its gauges do not come in the time that they are waited for, nor does what was missed before them.
fn late_link() -> (ServerFixture, MockInterpreter, Http1Client, Value) {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    vm.read_apply();
    drop(vm);
    let mut vm = rig.accept_link();
    assert_eq!(vm.read_any_command()["verb"], "TOP");
    // Timers ask again once the first question is no longer waited for.
    let next = vm.read_any_command();
    assert_eq!(next["verb"], "TOP", "{next}");
    (rig, vm, client, next["nonce"].clone())
}

#[test]
fn a_run_that_may_have_ended_is_not_told_again_while_missed_notices_may_come() {
    let (_rig, mut vm, mut client, _) = late_link();
    vm.send_value("0000000000000001", "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}

#[test]
fn a_run_is_told_again_once_late_gauges_show_that_no_notice_was_missed() {
    let (_rig, mut vm, mut client, nonce) = late_link();
    vm.send(json!({"verb": "TOPS", "nonce": nonce, "readings": [0.1, 0, 0.1, 2]}));
    let again = vm.read_command_ignoring_gauges();
    assert_eq!(
        (again["verb"].as_str(), again["task"].as_str()),
        (Some("APPLY"), Some("0000000000000001"))
    );
    vm.send_value("0000000000000001", "complete", b"one");
    assert_eq!(client.read_response().2, b"one");
}
