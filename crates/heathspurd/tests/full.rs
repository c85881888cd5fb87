//! Clients that rest fill the descriptors while the announce service is down: links, reports, calls and new work get
//! theirs all the same, whoever rests leaves, and all comes back once they are gone.

mod common;

use common::{refusing, up};
use heathspur_testkit::prelude::*;
use procfs::process::Process;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of the server, and the connections that it then takes and keeps free.
const SOCKETS: usize = 64;
const POOL: usize = 36;
const FREE: usize = 9;
/// Failures to report that are logged before the service comes up.
const FAILURES: usize = 6;

/// Waits for what must come; what never comes fails the test.
fn until(what: &str, mut test: impl FnMut() -> bool) {
    let start = Instant::now();
    while !test() {
        assert!(start.elapsed() < EVENT_TIMEOUT, "never came: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn descriptors(rig: &ServerFixture) -> usize {
    Process::new(rig.process.0.id() as i32)
        .unwrap()
        .fd_count()
        .unwrap()
}

/// So many more that rest: with nothing said, with half a line, or behind an answer.
fn rest(rig: &ServerFixture, crowd: &mut Vec<TcpStream>, count: usize) {
    let words = [
        &b""[..],
        b"POST /svc/lo",
        b"GET /status/live HTTP/1.1\r\n\r\n",
    ];
    for words in words.into_iter().cycle().take(count) {
        let mut stream = TcpStream::connect(rig.address).unwrap();
        // It may have been asked to leave already.
        let _ = stream.write_all(words);
        stream.set_nonblocking(true).unwrap();
        crowd.push(stream);
    }
}

/// How many of them the server has ended.
fn left(crowd: &mut [TcpStream]) -> usize {
    let rests = |stream: &mut TcpStream| loop {
        match stream.read(&mut [0; 512]) {
            Ok(n) if n > 0 => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
            Ok(_) => return false,
        }
    };
    crowd
        .iter_mut()
        .filter_map(|stream| (!rests(stream)).then_some(()))
        .count()
}

/// Work on a new connection is served, with its call below, and no descriptor too many is held.
fn serves_with_a_call(rig: &ServerFixture, vm: &mut MockInterpreter, txn: u64) {
    let (mut client, task) = (rig.connect_client(), format!("{txn:016x}"));
    client.send(&request(txn, Some(&task), b"abc"));
    assert_eq!(vm.read_apply().0, task);
    vm.send_await(&task, b"ask");
    let mut store = MockStore::accept(rig);
    assert_eq!(store.read_call().0, task);
    store.send_ok(txn, "fine");
    assert_eq!(vm.read_command()["verb"], "RESOLVE");
    vm.send_value(&task, "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
    assert!(
        descriptors(rig) <= SOCKETS,
        "{} descriptors",
        descriptors(rig)
    );
}

#[test]
fn who_rests_while_discovery_is_down_keeps_no_descriptor_from_links_reports_calls_and_new_work() {
    let service = refusing();
    let rig = ServerFixture::start_with_config(|config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["announce"] = json!(service.local_addr().unwrap());
    });
    let mut vm = rig.accept_link();
    serves_with_a_call(&rig, &mut vm, 1);
    let (before, mut crowd) = (descriptors(&rig), Vec::new());
    // To half of the limit, which balancers may take, and far beyond.
    for (count, txn) in [(SOCKETS / 2, 2), (2 * SOCKETS, 4)] {
        rest(&rig, &mut crowd, count);
        until("the table is full", || {
            descriptors(&rig) >= before + POOL - 2 * FREE
        });
        serves_with_a_call(&rig, &mut vm, txn);
        // The interpreter's link breaks and is made again meanwhile.
        drop(vm);
        vm = rig.accept_link();
        serves_with_a_call(&rig, &mut vm, txn + 1);
    }
    until("most of the crowd have left", || {
        left(&mut crowd) >= crowd.len() - POOL
    });
    let _: Vec<_> = rig.log_lines.try_iter().collect();
    for _ in 0..FAILURES {
        rig.wait_for_log("the announce service did not take a report");
    }
    rest(&rig, &mut crowd, SOCKETS);
    let reports = mock_registration(up(service));
    assert_eq!(
        reports.recv_timeout(EVENT_TIMEOUT).unwrap(),
        json!({"accepting": "true"})
    );
    serves_with_a_call(&rig, &mut vm, 6);
    drop(crowd);
    // One more than before: reports have a connection now.
    until("descriptors as before", || descriptors(&rig) <= before + 1);
    let mut fresh: Vec<Http1Client> = (0..POOL - FREE).map(|_| rig.connect_client()).collect();
    for client in &mut fresh {
        client.send(b"GET /status/live HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_response().0, 200);
    }
    serves_with_a_call(&rig, &mut vm, 7);
    assert_eq!(
        reports.recv_timeout(EVENT_TIMEOUT).unwrap(),
        json!({"accepting": "true"})
    );
}
