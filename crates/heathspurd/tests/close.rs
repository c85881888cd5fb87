//! How connections end: what came on them by then is answered, no answer goes with a reset, and whoever fills the
//! pool of connections keeps nobody else out. The bad order is made by holding bytes back, by a full pool, or by
//! stopping the process.

use heathspur_testkit::prelude::*;
use procfs::process::Process;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of a small server, and the connections that it then takes.
const SOCKETS: usize = 64;
const POOL: usize = 36;

fn task(txn: u64) -> String {
    format!("{txn:016x}")
}

fn small() -> ServerFixture {
    ServerFixture::start_with_config(|config| config["limits"]["sockets"] = json!(SOCKETS))
}

/// The same request, which says that it is the last.
fn last_request(txn: u64) -> Vec<u8> {
    let text = String::from_utf8(request(txn, None, b"abc")).unwrap();
    text.replacen("Host:", "Connection: close\r\nHost:", 1)
        .into_bytes()
}

/// Waits for what must come; what never comes fails the test.
fn until(what: &str, mut test: impl FnMut() -> bool) {
    let start = Instant::now();
    while !test() {
        assert!(start.elapsed() < EVENT_TIMEOUT, "never came: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn stopped(rig: &ServerFixture) {
    rig.process.signal("STOP");
    let process = Process::new(rig.process.0.id() as i32).unwrap();
    until("it stands still", || process.stat().unwrap().state == 'T');
}

fn descriptors(rig: &ServerFixture) -> usize {
    Process::new(rig.process.0.id() as i32)
        .unwrap()
        .fd_count()
        .unwrap()
}

/// Connections that send nothing, or the first words of a request.
fn flood(rig: &ServerFixture, count: usize, words: &[u8]) -> Vec<TcpStream> {
    let join = |_| {
        let mut stream = TcpStream::connect(rig.address).unwrap();
        stream.write_all(words).unwrap();
        stream
    };
    (0..count).map(join).collect()
}

#[test]
fn an_answer_that_is_the_last_reaches_a_caller_that_goes_on_sending() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    for txn in 1..4 {
        let mut client = rig.connect_client();
        client.send(&last_request(txn));
        assert_eq!(vm.read_apply().0, task(txn));
        // More than the server reads ahead lies unread when it closes: a close at once would be a reset.
        client.send(&[b'x'; 96 * 1024]);
        vm.send_value(&task(txn), "complete", b"done");
        let (status, _, body) = client.read_response();
        assert_eq!((status, &body[..]), (200, &b"done"[..]));
        client.assert_closed();
    }
}

#[test]
fn what_comes_behind_our_end_is_read_off_and_never_sent_on() {
    let rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    let mut client = rig.connect_client();
    client.send(&last_request(1));
    assert_eq!(vm.read_apply().0, task(1));
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(client.read_response().0, 200);
    client.assert_closed();
    // Our side is shut, theirs is open still.
    client.send(&request(2, None, b"abc"));
    let mut other = rig.connect_client();
    other.send(&request(3, None, b"abc"));
    assert_eq!(vm.read_apply().0, task(3));
}

#[test]
fn a_caller_that_never_closes_keeps_no_descriptor_and_no_drain() {
    let mut rig = ServerFixture::start();
    let mut vm = rig.accept_link();
    // From then on all links are up.
    rig.registration_reports
        .recv_timeout(EVENT_TIMEOUT)
        .unwrap();
    let before = descriptors(&rig);
    let mut stay: Vec<Http1Client> = Vec::new();
    for txn in 1..20 {
        let mut client = rig.connect_client();
        client.send(&last_request(txn));
        assert_eq!(vm.read_apply().0, task(txn));
        vm.send_value(&task(txn), "complete", b"done");
        assert_eq!(client.read_response().0, 200);
        stay.push(client);
    }
    until("descriptors as before", || descriptors(&rig) <= before);
    rig.process.terminate();
    assert_eq!(rig.process.wait().code(), Some(0));
}

/// A connection whose request is in the server's hands, and behind a health check so that it is known to be open.
fn asked(rig: &ServerFixture, txn: u64) -> Http1Client {
    let mut client = rig.connect_client();
    client.send(b"GET /status/live HTTP/1.1\r\n\r\n");
    client.read_response();
    client.send(&request(txn, None, b"abc"));
    client
}

/// It is answered, and its connection ends with that.
fn answered_and_closed(client: &mut Http1Client) {
    let (status, fields, _) = client.read_response();
    assert!(status == 200 || status == 503, "{status}");
    assert_eq!(fields["connection"], "close");
    client.assert_closed();
}

#[test]
fn connections_behind_a_full_pool_are_answered_though_the_grace_passes_meanwhile() {
    let grace = Duration::from_millis(300);
    let mut rig = ServerFixture::start_with_config(|config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["settings"]["guarantees"]["drain-grace-s"] = json!(grace.as_secs_f64());
        config["stop_ms"] = json!(10_000);
        // So many that all may run at once, and that what runs here is too little to count as stalled.
        config["settings"]["family-info"]["n-cores"] = json!(200);
    });
    let mut vm = rig.accept_link();
    let ask = |txn| {
        let mut client = rig.connect_client();
        client.send(&request(txn, None, b"abc"));
        client
    };
    // With the process standing still all are there with their requests at once, so that none of them is idle: the
    // server takes as many as it has permits for, and the machine has accepted the others.
    stopped(&rig);
    let mut clients: Vec<Http1Client> = (1..POOL as u64 + 6).map(ask).collect();
    rig.process.signal("CONT");
    let (first, ..) = vm.read_apply();
    rig.process.terminate();
    while rig
        .registration_reports
        .recv_timeout(EVENT_TIMEOUT)
        .unwrap()
        != json!({"accepting": "false"})
    {}
    // The front is shut when the grace is over, which nothing shows while all connections are busy.
    thread::sleep(grace + Duration::from_millis(200));
    clients.extend((201..204).map(ask));
    vm.send_value(&first, "complete", b"done");
    let vm = vm.complete_all_runs();
    clients.iter_mut().for_each(answered_and_closed);
    assert_eq!(rig.process.wait().code(), Some(0));
    let started = vm.join().unwrap();
    assert!(
        (201..204).all(|txn| !started.contains(&task(txn))),
        "past the grace: {started:?}"
    );
}

#[test]
fn a_server_that_got_no_time_until_its_end_answers_before_it_leaves() {
    let mut rig = ServerFixture::start_with_config(|config| config["stop_ms"] = json!(3000));
    let mut vm = rig.accept_link();
    let mut clients: Vec<Http1Client> = (1..=8).map(|txn| asked(&rig, txn)).collect();
    assert_eq!(vm.read_apply().0, task(1));
    rig.process.terminate();
    while rig
        .registration_reports
        .recv_timeout(EVENT_TIMEOUT)
        .unwrap()
        != json!({"accepting": "false"})
    {}
    stopped(&rig);
    thread::sleep(Duration::from_millis(3100));
    rig.process.signal("CONT");
    for client in &mut clients {
        let (status, _, _) = client.read_response();
        assert!(status >= 500, "{status}");
    }
    assert_eq!(rig.process.wait().code(), Some(0));
}

#[test]
fn a_request_that_has_begun_stays_when_idle_connections_fill_the_pool() {
    for _ in 0..10 {
        let rig = small();
        let mut vm = rig.accept_link();
        let whole = request(1, None, b"abc");
        let mut begun = rig.connect_client();
        begun.send(b"GET /status/live HTTP/1.1\r\n\r\n");
        begun.read_response();
        begun.send(&whole[..40]);
        let since = Instant::now();
        // All of these were heard as well, and rest for less long.
        let _idle = flood(&rig, POOL + 4, b"GET /status/live HTTP/1.1\r\n\r\n");
        // One that comes last is heard, so all before it were looked at.
        let _last = asked(&rig, 2);
        assert_eq!(vm.read_apply().0, task(2));
        begun.send(&whole[40..]);
        // A request has two seconds to be whole; only a machine without time for this test takes so long.
        if since.elapsed() < Duration::from_millis(1500) {
            assert_eq!(vm.read_apply().0, task(1));
            vm.send_value(&task(1), "complete", b"done");
            assert_eq!(begun.read_response().0, 200);
            return;
        }
    }
    panic!("this machine gives the test no time");
}

#[test]
fn a_request_that_is_whole_when_its_connection_has_to_leave_is_answered() {
    let rig = small();
    let vm = rig.accept_link();
    let mut first: Vec<Http1Client> = (0..POOL as u64 / 2).map(|_| rig.connect_client()).collect();
    // Nothing of them is read while the process stands still, and room for all who come is asked of them then.
    stopped(&rig);
    for (client, txn) in first.iter_mut().zip(1..) {
        client.send(&request(txn, None, b"abc"));
    }
    let _idle = flood(&rig, 2 * POOL, b"");
    rig.process.signal("CONT");
    let _vm = vm.complete_all_runs();
    for client in &mut first {
        let status = client.read_response().0;
        assert!(status == 200 || status == 503, "{status}");
    }
}

/// Work on a new connection is served, with its call below, whoever else holds connections.
fn serves_with_a_call(rig: &ServerFixture, vm: &mut MockInterpreter, txn: u64) {
    let mut client = rig.connect_client();
    // Of a class whose call is neither left out nor made again, however slow this machine is.
    client.send(&request(txn, Some(&task(txn)), b"abc"));
    assert_eq!(vm.read_apply().0, task(txn));
    vm.send_await(&task(txn), b"ask");
    let mut store = MockStore::accept(rig);
    assert_eq!(store.read_call().0, task(txn));
    store.send_ok(txn, "fine");
    assert_eq!(vm.read_command()["verb"], "RESOLVE");
    vm.send_value(&task(txn), "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn floods_of_silent_and_slow_callers_leave_links_and_new_work_their_descriptors() {
    // Nobody listens where a listener was dropped: no report gets through meanwhile.
    let rig = ServerFixture::start_with_config(|config| {
        config["limits"]["sockets"] = json!(SOCKETS);
        config["announce"] = json!(bind_loopback().local_addr().unwrap());
    });
    let mut vm = rig.accept_link();
    serves_with_a_call(&rig, &mut vm, 1);
    let before = descriptors(&rig);
    for (words, txn) in [
        (&b""[..], 2),
        (b"POST /svc/look HTTP/1.1\r\n", 3),
        (b"GET /status/live HTTP/1.1\r\n\r\n", 4),
    ] {
        let crowd = flood(&rig, 3 * POOL, words);
        serves_with_a_call(&rig, &mut vm, txn);
        // The interpreter's link can break and come back in it.
        drop(vm);
        vm = rig.accept_link();
        serves_with_a_call(&rig, &mut vm, 10 + txn);
        assert!(
            descriptors(&rig) <= SOCKETS,
            "{} descriptors",
            descriptors(&rig)
        );
        drop(crowd);
        until("descriptors as before", || descriptors(&rig) <= before);
    }
    serves_with_a_call(&rig, &mut vm, 20);
}

#[test]
fn a_connection_that_idles_out_ends_without_a_reset_whatever_was_sent_of_a_next_request() {
    let rig = ServerFixture::start_with_config(|config| {
        config["settings"]["family-info"]["idle-s"] = json!(0.5)
    });
    let mut vm = rig.accept_link();
    for txn in 1..10 {
        let mut client = asked(&rig, txn);
        assert_eq!(vm.read_apply().0, task(txn));
        vm.send_value(&task(txn), "complete", b"done");
        assert_eq!(client.read_response().0, 200);
        // It is told of our end first, and sends half a line across it.
        assert_eq!(client.peek(&mut [0; 1]), 0);
        let told = Instant::now();
        client.send(b"POST /svc/lo");
        // Had that met a closed socket, this would meet the reset that it brought.
        let mut check = rig.connect_client();
        check.send(b"GET /status/live HTTP/1.1\r\n\r\n");
        check.read_response();
        client.send(b"ok HTTP/1.1\r\n");
        // What comes later than that is read off no more; only a machine without time for this test sends it so late.
        if told.elapsed() < Duration::from_millis(500) {
            return client.assert_closed();
        }
    }
    panic!("this machine gives the test no time");
}
