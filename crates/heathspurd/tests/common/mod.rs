//! Helpers that several of the process tests share: identifiers, waits, and listeners of peers that are unavailable at
//! first because they refuse connections or leave them unaccepted.
// Each test binary uses only some of these items.
#![allow(dead_code)]

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

/// Returns the task ID of the request with this `X-Txn`. It identifies the run on the interpreter's link and the call on
/// the connection to the store.
pub fn task_id(txn: u64) -> String {
    format!("{txn:016x}")
}

/// Returns the address of the listener as a value of the configuration.
pub fn address_json(listener: &TcpListener) -> Value {
    json!(listener.local_addr().unwrap())
}

/// Waits until the condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within `EVENT_TIMEOUT`.
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
