//! Test of file descriptor exhaustion: idle clients fill the connection pool while the registration service is down.
//! Peer links, reports, calls and new requests must still get descriptors, idle clients must be evicted, and the server
//! must return to its baseline once they are gone.

mod common;

use common::{bind_refusing, descriptor_count, start_listening, task_id, wait_until};
use heathspur_testkit::prelude::*;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// File descriptor limit of the server.
const DESCRIPTOR_LIMIT: usize = 64;
/// Size of the connection pool that follows from `DESCRIPTOR_LIMIT`.
const POOL_SIZE: usize = 36;
/// Part of the pool that is reserved for new connections.
const RESERVED_CONNECTIONS: usize = 9;
/// Failed reports that are logged before the registration service becomes available.
const FAILED_REPORTS: usize = 6;

/// Opens `count` more idle connections: in turn without any bytes sent, after part of a request line, and after an
/// answered health check.
fn open_idle_connections(server: &ServerFixture, connections: &mut Vec<TcpStream>, count: usize) {
    let prefixes = [
        &b""[..],
        b"POST /svc/lo",
        b"GET /status/live HTTP/1.1\r\n\r\n",
    ];
    for bytes in prefixes.into_iter().cycle().take(count) {
        let mut stream = TcpStream::connect(server.address).unwrap();
        // The server may have evicted the connection already.
        let _ = stream.write_all(bytes);
        stream.set_nonblocking(true).unwrap();
        connections.push(stream);
    }
}

/// Returns the number of these connections that the server has closed.
fn closed_count(connections: &mut [TcpStream]) -> usize {
    let is_open = |stream: &mut TcpStream| loop {
        match stream.read(&mut [0; 512]) {
            Ok(n) if n > 0 => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
            Ok(_) => return false,
        }
    };
    connections
        .iter_mut()
        .filter_map(|stream| (!is_open(stream)).then_some(()))
        .count()
}

/// Checks that a request on a new connection is served, including its call to the store, and that the server stays
/// within its descriptor limit.
fn assert_served_within_descriptor_limit(
    server: &ServerFixture,
    interpreter: &mut MockInterpreter,
    txn: u64,
) {
    let (mut client, task_id) = (server.connect_client(), task_id(txn));
    client.send(&request(txn, Some(&task_id), b"abc"));
    assert_eq!(interpreter.read_apply().0, task_id);
    interpreter.send_await(&task_id, b"ask");
    let mut store = MockStore::accept(server);
    assert_eq!(store.read_call().0, task_id);
    store.send_ok(txn, "fine");
    assert_eq!(interpreter.read_command()["verb"], "RESOLVE");
    interpreter.send_value(&task_id, "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
    assert!(
        descriptor_count(server) <= DESCRIPTOR_LIMIT,
        "{} open descriptors, limit {DESCRIPTOR_LIMIT}",
        descriptor_count(server)
    );
}

#[test]
fn idle_connections_during_registration_outage_do_not_exhaust_descriptors() {
    let registration = bind_refusing();
    let server = ServerFixture::start_with_config(|config| {
        config["limits"]["sockets"] = json!(DESCRIPTOR_LIMIT);
        config["announce"] = json!(registration.local_addr().unwrap());
    });
    let mut interpreter = server.accept_link();
    assert_served_within_descriptor_limit(&server, &mut interpreter, 1);
    let (baseline, mut idle) = (descriptor_count(&server), Vec::new());
    // The first round opens as many connections as load balancers may keep open, half of the descriptor limit; the second
    // opens far more.
    for (count, txn) in [(DESCRIPTOR_LIMIT / 2, 2), (2 * DESCRIPTOR_LIMIT, 4)] {
        open_idle_connections(&server, &mut idle, count);
        wait_until("the connection pool is nearly full", || {
            descriptor_count(&server) >= baseline + POOL_SIZE - 2 * RESERVED_CONNECTIONS
        });
        assert_served_within_descriptor_limit(&server, &mut interpreter, txn);
        // The interpreter's link breaks and is re-established meanwhile.
        drop(interpreter);
        interpreter = server.accept_link();
        assert_served_within_descriptor_limit(&server, &mut interpreter, txn + 1);
    }
    wait_until("most idle connections are closed", || {
        closed_count(&mut idle) >= idle.len() - POOL_SIZE
    });
    // Only the failures that are logged from now on count.
    let _: Vec<_> = server.log_lines.try_iter().collect();
    for _ in 0..FAILED_REPORTS {
        server.wait_for_log("cannot report readiness to the registration service at ");
    }
    open_idle_connections(&server, &mut idle, DESCRIPTOR_LIMIT);
    let reports = mock_registration(start_listening(registration));
    assert_eq!(
        reports.recv_timeout(EVENT_TIMEOUT).unwrap(),
        json!({"accepting": "true"})
    );
    assert_served_within_descriptor_limit(&server, &mut interpreter, 6);
    drop(idle);
    // The reports now have a connection, which the baseline did not include.
    wait_until("the descriptor count is back at its baseline", || {
        descriptor_count(&server) <= baseline + 1
    });
    let mut clients: Vec<Http1Client> = (0..POOL_SIZE - RESERVED_CONNECTIONS)
        .map(|_| server.connect_client())
        .collect();
    for client in &mut clients {
        client.send(b"GET /status/live HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_response().0, 200);
    }
    assert_served_within_descriptor_limit(&server, &mut interpreter, 7);
    assert_eq!(
        reports.recv_timeout(EVENT_TIMEOUT).unwrap(),
        json!({"accepting": "true"})
    );
}
