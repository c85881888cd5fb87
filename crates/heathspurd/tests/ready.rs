//! A process that starts is ready within 10 s, that is, answers its health check well and has its report taken, though
//! the registry, its interpreter or the store refuses connections at first, is slow to take them, or says nothing.

mod common;

use common::{refusing, up, Full};
use heathspur_testkit::prelude::*;
use serde_json::json;
use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

const READY: Duration = Duration::from_secs(10);
/// Connections that a peer refuses before it comes up.
const FAILURES: usize = 6;

/// How a peer is at first.
enum Peer {
    Up(TcpListener),
    Refusing(TcpListener),
    Slow(Full),
    /// Takes connections, with no answer on them.
    Silent(TcpListener),
}

/// Which of a process's peers are not up at first.
#[derive(Clone, Copy, Debug)]
enum At {
    Registry,
    SlowRegistry,
    SilentRegistry,
    Interpreter,
    SlowInterpreter,
    Store,
    All,
}

impl Peer {
    fn listener(&self) -> &TcpListener {
        match self {
            Peer::Up(listener) | Peer::Refusing(listener) | Peer::Silent(listener) => listener,
            Peer::Slow(full) => &full.listener,
        }
    }

    /// Comes up once the process has met it as it is, which its log says in these words where it is refused.
    fn comes_up(self, rig: &ServerFixture, words: &str) -> TcpListener {
        match self {
            Peer::Up(listener) => listener,
            Peer::Refusing(listener) => {
                let since = Instant::now();
                for _ in 0..FAILURES {
                    rig.wait_for_log(words);
                    assert!(since.elapsed() < READY, "it is seldom tried");
                }
                up(listener)
            }
            Peer::Slow(full) => full.let_in(),
            Peer::Silent(listener) => {
                let mut held = (accept(&listener), accept(&listener));
                // Until the first was given up.
                while matches!(held.0.read(&mut [0; 512]), Ok(n) if n > 0) {}
                listener
            }
        }
    }
}

fn health(rig: &ServerFixture) -> u16 {
    let mut client = rig.connect_client();
    client.send(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n");
    client.read_response().0
}

/// A started process, and its peers.
struct Started {
    rig: ServerFixture,
    registry: Peer,
    interpreter: Peer,
    store: TcpListener,
}

impl Started {
    fn new(at: At) -> Started {
        let registry = match at {
            At::Registry | At::All => Peer::Refusing(refusing()),
            At::SlowRegistry => Peer::Slow(Full::new()),
            At::SilentRegistry => Peer::Silent(bind_loopback()),
            _ => Peer::Up(bind_loopback()),
        };
        let interpreter = match at {
            At::Interpreter | At::All => Peer::Refusing(refusing()),
            At::SlowInterpreter => Peer::Slow(Full::new()),
            _ => Peer::Up(bind_loopback()),
        };
        let store = if matches!(at, At::Store | At::All) {
            refusing()
        } else {
            bind_loopback()
        };
        let address = |l: &TcpListener| json!(l.local_addr().unwrap());
        let rig = ServerFixture::start_with_config(|config| {
            config["announce"] = address(registry.listener());
            config["vm"] = address(interpreter.listener());
            config["store"] = address(&store);
        });
        Started {
            rig,
            registry,
            interpreter,
            store,
        }
    }

    /// Waits until the process is ready; what is down comes up meanwhile, but for the store. Gives its interpreter's
    /// end of the link.
    fn gets_ready(self) -> (ServerFixture, MockInterpreter) {
        let Started {
            mut rig,
            registry,
            interpreter,
            store,
        } = self;
        assert_eq!(health(&rig), 503);
        rig.interpreter_listener = interpreter.comes_up(&rig, "no link to the interpreter");
        let vm = rig.accept_link();
        let reports = mock_registration(
            registry.comes_up(&rig, "the announce service did not take a report"),
        );
        assert_eq!(
            reports.recv_timeout(EVENT_TIMEOUT).unwrap(),
            json!({"accepting": "true"})
        );
        assert_eq!(health(&rig), 200);
        rig.store_listener = store;
        (rig, vm)
    }
}

fn is_ready_in_time(at: At) -> (ServerFixture, MockInterpreter) {
    let since = Instant::now();
    let ready = Started::new(at).gets_ready();
    assert!(since.elapsed() < READY, "{at:?}: {:?}", since.elapsed());
    ready
}

#[test]
fn it_is_ready_in_time_though_the_registry_refuses_connections_at_first() {
    is_ready_in_time(At::Registry);
}

#[test]
fn it_is_ready_in_time_though_the_registry_says_nothing_at_first() {
    is_ready_in_time(At::SilentRegistry);
}

#[test]
fn it_is_ready_in_time_though_the_interpreter_refuses_connections_at_first() {
    is_ready_in_time(At::Interpreter);
}

#[test]
fn it_is_ready_in_time_without_the_store_and_calls_it_once_it_is_up() {
    let (rig, mut vm) = is_ready_in_time(At::Store);
    let asks = |vm: &mut MockInterpreter, txn: u64| {
        let mut client = rig.connect_client();
        client.send(&request(txn, Some(&format!("{txn:032x}")), b"abc"));
        let (task, ..) = vm.read_apply();
        vm.send_await(&task, b"ask");
        (client, task)
    };
    let (mut client, task) = asks(&mut vm, 1);
    // Its call gets nowhere, and the caller has an answer.
    assert_ne!(client.read_response().0, 200);
    vm.send_value(&task, "cancelled", b"");
    rustix::net::listen(&rig.store_listener, 64).unwrap();
    let (mut client, task) = asks(&mut vm, 2);
    let mut store = MockStore::accept(&rig);
    store.read_call();
    store.send_ok(2, "fine");
    assert_eq!(vm.read_command()["verb"], "RESOLVE");
    vm.send_value(&task, "complete", b"done");
    assert_eq!(client.read_response().2, b"done");
}

#[test]
fn of_ten_processes_that_start_again_together_nine_are_ready_in_time() {
    let first: Vec<_> = (0..10).map(|_| ServerFixture::start()).collect();
    for rig in &first {
        drop(rig.accept_link());
    }
    for mut rig in first {
        rig.process.0.kill().unwrap();
    }
    let kinds = [
        At::Registry,
        At::SlowRegistry,
        At::SilentRegistry,
        At::Interpreter,
        At::SlowInterpreter,
        At::Store,
        At::All,
    ];
    let since = Instant::now();
    let started: Vec<_> = kinds
        .into_iter()
        .cycle()
        .take(10)
        .map(Started::new)
        .collect();
    let ready = |started: Started| {
        thread::spawn(move || {
            let _ready = started.gets_ready();
            since.elapsed()
        })
    };
    let all: Vec<_> = started.into_iter().map(ready).collect();
    let took: Vec<_> = all
        .into_iter()
        .filter_map(|process| process.join().ok())
        .collect();
    println!("{took:?}");
    assert!(
        took.iter().filter(|&&took| took < READY).count() >= 9,
        "{took:?}"
    );
}
