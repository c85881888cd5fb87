//! Tests that a started process is ready within 10 s, that is, its health check succeeds and its report is accepted,
//! even if the registration service, its interpreter or the store initially refuses connections, is slow to accept
//! them, or does not respond.

mod common;

use common::{address_json, bind_refusing, start_listening, FullAcceptQueue};
use heathspur_testkit::prelude::*;
use serde_json::json;
use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a started process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections that a peer refuses before it becomes available.
const REFUSED_CONNECTIONS: usize = 6;

/// The initial state of a peer.
enum Peer {
    Available(TcpListener),
    Refusing(TcpListener),
    SlowToAccept(FullAcceptQueue),
    /// Accepts connections and sends nothing on them.
    Silent(TcpListener),
}

/// The peers of a process that are not available at first.
#[derive(Clone, Copy, Debug)]
enum Unavailable {
    Registration,
    SlowRegistration,
    SilentRegistration,
    Interpreter,
    SlowInterpreter,
    Store,
    All,
}

impl Peer {
    fn listener(&self) -> &TcpListener {
        match self {
            Peer::Available(listener) | Peer::Refusing(listener) | Peer::Silent(listener) => {
                listener
            }
            Peer::SlowToAccept(queue) => &queue.listener,
        }
    }

    /// Makes the peer available once the process has encountered its initial state. For a peer that refuses connections
    /// that is shown by log lines that contain `failure_log`.
    fn become_available(self, server: &ServerFixture, failure_log: &str) -> TcpListener {
        match self {
            Peer::Available(listener) => listener,
            Peer::Refusing(listener) => {
                let start = Instant::now();
                for _ in 0..REFUSED_CONNECTIONS {
                    server.wait_for_log(failure_log);
                    assert!(
                        start.elapsed() < READY_TIMEOUT,
                        "too few connect attempts within {READY_TIMEOUT:?}"
                    );
                }
                start_listening(listener)
            }
            Peer::SlowToAccept(queue) => queue.unblock_after_slow_connect(),
            Peer::Silent(listener) => {
                let mut connections = (accept(&listener), accept(&listener));
                // Waits until the process closes the first connection after its timeout.
                while matches!(connections.0.read(&mut [0; 512]), Ok(n) if n > 0) {}
                listener
            }
        }
    }
}

/// Returns the status of a health check.
fn health_status(server: &ServerFixture) -> u16 {
    let mut client = server.connect_client();
    client.send(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n");
    client.read_response().0
}

/// A started process and its peers.
struct StartedServer {
    server: ServerFixture,
    registration: Peer,
    interpreter: Peer,
    store: TcpListener,
}

impl StartedServer {
    fn new(unavailable: Unavailable) -> StartedServer {
        let registration = match unavailable {
            Unavailable::Registration | Unavailable::All => Peer::Refusing(bind_refusing()),
            Unavailable::SlowRegistration => Peer::SlowToAccept(FullAcceptQueue::new()),
            Unavailable::SilentRegistration => Peer::Silent(bind_loopback()),
            _ => Peer::Available(bind_loopback()),
        };
        let interpreter = match unavailable {
            Unavailable::Interpreter | Unavailable::All => Peer::Refusing(bind_refusing()),
            Unavailable::SlowInterpreter => Peer::SlowToAccept(FullAcceptQueue::new()),
            _ => Peer::Available(bind_loopback()),
        };
        let store = if matches!(unavailable, Unavailable::Store | Unavailable::All) {
            bind_refusing()
        } else {
            bind_loopback()
        };
        let server = ServerFixture::start_with_config(|config| {
            config["announce"] = address_json(registration.listener());
            config["vm"] = address_json(interpreter.listener());
            config["store"] = address_json(&store);
        });
        StartedServer {
            server,
            registration,
            interpreter,
            store,
        }
    }

    /// Waits until the process is ready and returns the interpreter's end of its link. Unavailable peers become
    /// available meanwhile, except the store.
    fn wait_until_ready(self) -> (ServerFixture, MockInterpreter) {
        let StartedServer {
            mut server,
            registration,
            interpreter: interpreter_peer,
            store,
        } = self;
        assert_eq!(health_status(&server), 503);
        server.interpreter_listener =
            interpreter_peer.become_available(&server, "cannot connect to the interpreter at ");
        let interpreter = server.accept_link();
        let reports = mock_registration(registration.become_available(
            &server,
            "cannot report readiness to the registration service at ",
        ));
        assert_eq!(
            reports.recv_timeout(EVENT_TIMEOUT).unwrap(),
            json!({"accepting": "true"})
        );
        assert_eq!(health_status(&server), 200);
        server.store_listener = store;
        (server, interpreter)
    }
}

/// Starts a process and checks that it is ready within the limit.
fn assert_ready_in_time(unavailable: Unavailable) -> (ServerFixture, MockInterpreter) {
    let start = Instant::now();
    let ready = StartedServer::new(unavailable).wait_until_ready();
    assert!(
        start.elapsed() < READY_TIMEOUT,
        "{unavailable:?}: ready after {:?}, limit {READY_TIMEOUT:?}",
        start.elapsed()
    );
    ready
}

#[test]
fn server_is_ready_in_time_when_registration_service_initially_refuses_connections() {
    assert_ready_in_time(Unavailable::Registration);
}

#[test]
fn server_is_ready_in_time_when_registration_service_initially_does_not_respond() {
    assert_ready_in_time(Unavailable::SilentRegistration);
}

#[test]
fn server_is_ready_in_time_when_interpreter_initially_refuses_connections() {
    assert_ready_in_time(Unavailable::Interpreter);
}

#[test]
fn server_is_ready_in_time_without_store_and_calls_store_once_available() {
    let (server, mut interpreter) = assert_ready_in_time(Unavailable::Store);
    let start_call = |interpreter: &mut MockInterpreter, txn: u64| {
        let mut client = server.connect_client();
        client.send(&request(txn, Some(&format!("{txn:032x}")), b"abc"));
        let (task_id, ..) = interpreter.read_apply();
        interpreter.send_await(&task_id, b"ask");
        (client, task_id)
    };
    let (mut client, task_id) = start_call(&mut interpreter, 1);
    // The call fails, and the client still receives a response.
    assert_ne!(client.read_response().0, 200);
    interpreter.send_value(&task_id, "cancelled", b"");
    rustix::net::listen(&server.store_listener, 64).unwrap();
    let (mut client, task_id) = start_call(&mut interpreter, 2);
    let mut store = MockStore::accept(&server);
    store.read_call();
    store.send_ok(2, "fine");
    assert_eq!(interpreter.read_command()["verb"], "RESOLVE");
    interpreter.send_value(&task_id, "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn at_least_nine_of_ten_servers_restarted_together_are_ready_in_time() {
    let previous: Vec<_> = (0..10).map(|_| ServerFixture::start()).collect();
    for server in &previous {
        drop(server.accept_link());
    }
    for mut server in previous {
        server.process.0.kill().unwrap();
    }
    let cases = [
        Unavailable::Registration,
        Unavailable::SlowRegistration,
        Unavailable::SilentRegistration,
        Unavailable::Interpreter,
        Unavailable::SlowInterpreter,
        Unavailable::Store,
        Unavailable::All,
    ];
    let start = Instant::now();
    let started: Vec<_> = cases
        .into_iter()
        .cycle()
        .take(10)
        .map(StartedServer::new)
        .collect();
    let spawn_wait = |started: StartedServer| {
        thread::spawn(move || {
            let _ready = started.wait_until_ready();
            start.elapsed()
        })
    };
    let waits: Vec<_> = started.into_iter().map(spawn_wait).collect();
    let durations: Vec<_> = waits
        .into_iter()
        .filter_map(|wait| wait.join().ok())
        .collect();
    println!("{durations:?}");
    assert!(
        durations
            .iter()
            .filter(|&&duration| duration < READY_TIMEOUT)
            .count()
            >= 9,
        "fewer than nine of ten servers were ready within {READY_TIMEOUT:?}: {durations:?}"
    );
}
