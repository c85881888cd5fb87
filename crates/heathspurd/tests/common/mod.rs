//! Helpers that several of the process tests share: identifiers, the stages of a run, waits, and listeners of peers that
//! are unavailable at first because they refuse connections or leave them unaccepted.
// Each test binary uses only some of these items.
#![allow(dead_code)]

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use heathspur_testkit::prelude::*;
use procfs::net::TcpState;
use procfs::process::Process;
use rustix::net::{AddressFamily, SocketType};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// The number of gauge queries, one each 20 ms, after which a run that is in doubt has failed (1 s).
const QUERIES_UNTIL_IN_DOUBT_RUNS_FAIL: usize = 75;

/// Returns the task ID of the request with this `X-Txn`. It identifies the run on the interpreter's link and the call on
/// the connection to the store.
pub fn task_id(txn: u64) -> String {
    format!("{txn:016x}")
}

/// Returns the address of the listener as a value of the configuration.
pub fn address_json(listener: &TcpListener) -> Value {
    json!(listener.local_addr().unwrap())
}

/// Starts a server and the run of its first request.
pub fn start_run(key: Option<&str>) -> (ServerFixture, MockInterpreter, Http1Client) {
    let server = ServerFixture::start();
    let mut interpreter = server.accept_link();
    let mut client = server.connect_client();
    client.send(&request(1, key, b"abc"));
    assert_eq!(interpreter.read_apply().0, task_id(1));
    (server, interpreter, client)
}

/// Has the first request's run make a call, and answers it.
pub fn make_call(
    server: &ServerFixture,
    interpreter: &mut MockInterpreter,
    call: &[u8],
    reply: &str,
) -> MockStore {
    interpreter.send_await(&task_id(1), call);
    answer_call(server, call, reply)
}

/// Accepts the connection of a call of the first request's run, and answers the call.
pub fn answer_call(server: &ServerFixture, call: &[u8], reply: &str) -> MockStore {
    let mut store = MockStore::accept(server);
    assert_eq!(store.read_call().1, call);
    store.send_ok(1, reply);
    store
}

/// Checks that the command delivers this reply to the first request's run.
pub fn assert_delivers_reply(command: &Value, reply: &str) {
    let expected = json!({"verb": "RESOLVE", "task": task_id(1), "bytes": STANDARD.encode(reply)});
    assert_eq!(command, &expected);
}

/// Checks that the command starts the run of the request with this `X-Txn`.
pub fn assert_starts_run(command: &Value, txn: u64) {
    assert_eq!(
        (&command["verb"], &command["task"]),
        (&json!("APPLY"), &json!(task_id(txn)))
    );
}

/// Checks that the command stops the run of the request with this `X-Txn`.
pub fn assert_stops_run(command: &Value, txn: u64) {
    assert_eq!(
        (&command["verb"], &command["task"]),
        (&json!("BREAK"), &json!(task_id(txn)))
    );
}

/// Breaks the link, accepts the next one, and answers the gauge query that shows that all missed notices have arrived.
pub fn reconnect(server: &ServerFixture, broken_link: MockInterpreter) -> MockInterpreter {
    drop(broken_link);
    let mut interpreter = server.accept_link();
    interpreter.answer_gauge_queries(1);
    interpreter
}

/// Checks that no command is resent on a new link for longer than a run may be in doubt.
pub fn assert_no_command_is_resent(interpreter: &mut MockInterpreter) {
    interpreter.answer_gauge_queries(QUERIES_UNTIL_IN_DOUBT_RUNS_FAIL);
}

/// Completes the first request's run, and checks that its client gets the result.
pub fn complete_run(interpreter: &mut MockInterpreter, client: &mut Http1Client) {
    interpreter.send_value(&task_id(1), "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

/// Waits until the condition is met.
///
/// # Panics
///
/// Panics if the condition is not met within `EVENT_TIMEOUT`.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "timed out waiting until {description}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until the server has reported to the registration service that it accepts no requests.
pub fn wait_for_not_accepting_report(reports: &Receiver<Value>) {
    while reports.recv_timeout(EVENT_TIMEOUT).unwrap() != json!({"accepting": "false"}) {}
}

/// Returns the number of open file descriptors of the server process.
pub fn descriptor_count(server: &ServerFixture) -> usize {
    Process::new(server.process.0.id() as i32)
        .unwrap()
        .fd_count()
        .unwrap()
}

/// Binds a loopback address that refuses connections until [`start_listening`] is called. The bound socket reserves
/// the address meanwhile.
pub fn bind_refusing() -> TcpListener {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    TcpListener::from(socket)
}

/// Makes a listener from [`bind_refusing`] accept connections.
pub fn start_listening(listener: TcpListener) -> TcpListener {
    rustix::net::listen(&listener, 64).unwrap();
    listener
}

/// Time for which a connect attempt is left pending. The kernel resends a dropped SYN about every second, so a server
/// with a shorter connect timeout, as it once had, abandons each attempt before it can succeed.
pub const SLOW_CONNECT: Duration = Duration::from_millis(1500);

/// A listener that accepts no connection for now: its accept queue is full, so the kernel drops the SYN packets of
/// connect attempts.
pub struct FullAcceptQueue {
    pub listener: TcpListener,
    _queued: TcpStream,
}

impl FullAcceptQueue {
    pub fn new() -> FullAcceptQueue {
        let listener = bind_loopback();
        rustix::net::listen(&listener, 0).unwrap();
        let _queued = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        FullAcceptQueue { listener, _queued }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits until one connect attempt has been pending for `SLOW_CONNECT`, then accepts the queued connection to free
    /// space for one more.
    ///
    /// # Panics
    ///
    /// Panics if no attempt stays pending that long within `EVENT_TIMEOUT`.
    pub fn unblock_after_slow_connect(self) -> TcpListener {
        let (start, mut attempts) = (Instant::now(), HashMap::new());
        loop {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "no connect attempt stayed pending for {SLOW_CONNECT:?}"
            );
            let sockets: Vec<_> = procfs::net::tcp().unwrap();
            let pending = sockets
                .iter()
                .filter(|s| s.state == TcpState::SynSent && s.remote_address == self.address());
            let pending: Vec<_> = pending.map(|s| s.inode).collect();
            attempts.retain(|inode, _| pending.contains(inode));
            for inode in pending {
                attempts.entry(inode).or_insert_with(Instant::now);
            }
            if attempts
                .values()
                .any(|since| since.elapsed() >= SLOW_CONNECT)
            {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        drop(accept(&self.listener));
        self.listener
    }
}
