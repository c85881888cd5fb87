//! Tests of the slow start of a fleet of cold processes. Each has its own interpreter and all call one shared store,
//! whose total load must stay within the sum of the processes' call quotas. Each process is configured with its own
//! quota only; all become ready at the same moment, while clients wait.

use heathspur_testkit::prelude::*;
use serde_json::json;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: u64 = 24;
/// Clients per process, each of which sends one request after another.
const CLIENTS: u64 = 4;
/// Quota of one process: its mean number of calls in flight at the store.
const QUOTA_CALLS: f64 = 0.1;
/// Window over which that mean is taken, in seconds.
const QUOTA_WINDOW_S: f64 = 1.0;
/// Duration of a call, in seconds.
const CALL_S: f64 = 0.2;
/// Time for which an abandoned call occupies the store, in seconds.
const LINGER_S: f64 = 0.1;
/// Timeout for each condition that the tests wait for, such as a call of every process that the store accepts. The
/// quota of a process allows its first call, whose duration is unknown, far sooner.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(9);

/// Serializes the tests: two fleets at once overload a small machine.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// A call as received by the store.
struct ReceivedCall {
    at: Instant,
    /// The process that sent it, and the fleet generation of that process.
    process: u64,
    generation: u64,
    accepted: bool,
}

/// The store shared by all processes. Accepts every call or, while it is full, none.
struct SharedStore {
    calls: Mutex<Vec<ReceivedCall>>,
    full: AtomicBool,
}

impl SharedStore {
    fn start() -> (Arc<SharedStore>, SocketAddr) {
        let (listener, store) = (
            bind_loopback(),
            Arc::new(SharedStore {
                calls: Mutex::default(),
                full: false.into(),
            }),
        );
        let (address, listening_store) = (listener.local_addr().unwrap(), store.clone());
        thread::spawn(move || listening_store.listen(&listener));
        (store, address)
    }

    fn listen(self: Arc<SharedStore>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            thread::spawn(move || store.serve(stream));
        }
    }

    /// Serves one connection until it is closed.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
            let fields: Vec<_> = line.split_whitespace().collect();
            assert_eq!(fields[0], "CALL", "{line}");
            let accepted = !self.full.load(Ordering::SeqCst);
            let txn = u64::from_str_radix(fields[1], 16).unwrap();
            self.calls.lock().unwrap().push(ReceivedCall {
                at: Instant::now(),
                process: txn >> 48,
                generation: txn >> 32 & 0xffff,
                accepted,
            });
            reader
                .read_exact(&mut vec![0; fields[3].parse::<usize>().unwrap() + 2])
                .ok()?;
            let reply = match accepted {
                true => {
                    thread::sleep(Duration::from_secs_f64(CALL_S));
                    format!("{} OK 2\r\nok\r\n", fields[1])
                }
                false => format!("{} BUSY\r\n", fields[1]),
            };
            reader.get_mut().write_all(reply.as_bytes()).ok()?;
        }
    }

    /// Waits until the condition holds for the calls received so far.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within `STARTUP_TIMEOUT`.
    fn wait_until(&self, description: &str, condition: impl Fn(&[ReceivedCall]) -> bool) {
        let start = Instant::now();
        while !condition(&self.calls.lock().unwrap()) {
            let calls = self.calls.lock().unwrap().len();
            assert!(
                start.elapsed() < STARTUP_TIMEOUT,
                "timed out after {STARTUP_TIMEOUT:?} waiting until {description}; {calls} calls received"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Checks that no window contains more calls than the sum of the quotas allows, with a margin for random variation.
    fn assert_within_total_quota(&self) {
        let mut times: Vec<_> = self
            .calls
            .lock()
            .unwrap()
            .iter()
            .map(|call| call.at)
            .collect();
        times.sort();
        let expected = QUOTA_CALLS * PROCESSES as f64 * QUOTA_WINDOW_S / CALL_S;
        let allowed = expected + 2.0 * expected.sqrt() + 2.0;
        let window = Duration::from_secs_f64(QUOTA_WINDOW_S);
        let calls_from = |i: usize| times[i..].partition_point(|&t| t < times[i] + window);
        let max_calls = (0..times.len()).map(calls_from).max().unwrap_or(0);
        println!(
            "{} calls, at most {max_calls} in a window, {allowed:.1} allowed",
            times.len()
        );
        assert!(
            max_calls as f64 <= allowed,
            "{max_calls} calls in a window of {QUOTA_WINDOW_S} s, {allowed:.1} allowed"
        );
    }
}

/// One generation of the fleet: processes that are linked to their interpreters and wait for their `BANNER`.
struct ColdFleet {
    generation: u64,
    servers: Vec<ServerFixture>,
    interpreters: Vec<MockInterpreter>,
    stopped: Arc<AtomicBool>,
}

impl ColdFleet {
    fn start(generation: u64, store_address: SocketAddr) -> ColdFleet {
        let start = |i| {
            ServerFixture::start_with_config(|config| {
                config["store"] = json!(store_address);
                config["seed"] = json!(format!(
                    "{:016x}",
                    0x9e37_79b9_7f4a_7c15u64.wrapping_mul(generation << 8 | i | 1 << 20)
                ));
                let info = &mut config["settings"]["family-info"];
                info["depends-on"] = json!("shared");
                info["calls-out"] = json!(QUOTA_CALLS);
                info["calls-over-s"] = json!(QUOTA_WINDOW_S);
                info["linger-s"] = json!(LINGER_S);
                info["cold"] = json!(true);
                config["settings"]["servers"] = json!(PROCESSES);
            })
        };
        let servers: Vec<ServerFixture> = (0..PROCESSES).map(start).collect();
        let interpreters = servers
            .iter()
            .map(ServerFixture::accept_link_before_banner)
            .collect();
        ColdFleet {
            generation,
            servers,
            interpreters,
            stopped: Arc::default(),
        }
    }

    /// Makes all interpreters ready at the same moment, cold, and starts the clients.
    fn start_serving(&mut self) {
        for interpreter in &mut self.interpreters {
            interpreter.send(json!({"verb": "BANNER", "outcome": "chilly", "spent": 0}));
        }
        self.interpreters
            .drain(..)
            .for_each(MockInterpreter::complete_all_runs_after_call);
        for (server, process) in self.servers.iter().zip(0..) {
            for client in 0..CLIENTS {
                let (address, generation, stopped) =
                    (server.address, self.generation, self.stopped.clone());
                // The number of a request is its `X-Txn`, from which the store reads the origin of the call.
                let first_txn = process << 48 | generation << 32 | client << 16;
                thread::spawn(move || send_requests(address, first_txn, &stopped));
            }
        }
    }

    /// Kills all processes at the same moment.
    fn kill(mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        for server in &mut self.servers {
            server.process.0.kill().unwrap();
        }
    }
}

/// Sends requests that must make their call, one after another, until the fleet is killed.
fn send_requests(address: SocketAddr, first_txn: u64, stopped: &AtomicBool) -> Option<()> {
    for txn in first_txn.. {
        let mut stream = TcpStream::connect(address).ok()?;
        stream
            .write_all(&request(txn, Some(&format!("{txn:032x}")), b"abc"))
            .ok()?;
        // Reads up to the end of the status code only: the request does not ask for a close and a rejection does not
        // cause one, so the stream would not end.
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line).ok()?;
        if stopped.load(Ordering::SeqCst) {
            return None;
        }
        // Waits after a rejection before the next request.
        if !status_line.ends_with(b"200") {
            thread::sleep(Duration::from_millis(200));
        }
    }
    None
}

/// Returns the number of processes of this generation that sent a call which the store accepted.
fn processes_with_accepted_call(calls: &[ReceivedCall], generation: u64) -> u64 {
    let accepted = calls
        .iter()
        .filter(|call| call.accepted && call.generation == generation);
    accepted
        .map(|call| call.process)
        .collect::<HashSet<_>>()
        .len() as u64
}

#[test]
fn restarted_cold_fleet_stays_within_total_quota_and_reaches_store() {
    let _lock = TEST_LOCK.lock().unwrap_or_else(|e| e.into_inner());
    let (store, store_address) = SharedStore::start();
    let mut fleet = ColdFleet::start(1, store_address);
    let mut restarted = ColdFleet::start(2, store_address);
    fleet.start_serving();
    store.wait_until("half of the fleet has reached the store", |calls| {
        processes_with_accepted_call(calls, 1) >= PROCESSES / 2
    });
    fleet.kill();
    restarted.start_serving();
    store.wait_until("all of the next fleet has reached the store", |calls| {
        processes_with_accepted_call(calls, 2) == PROCESSES
    });
    let calls_before = store.calls.lock().unwrap().len();
    store.wait_until("the store has received PROCESSES / 2 more calls", |calls| {
        calls.len() as u64 >= calls_before as u64 + PROCESSES / 2
    });
    store.assert_within_total_quota();
}

#[test]
fn cold_fleet_rejected_by_store_retries_within_total_quota() {
    let _lock = TEST_LOCK.lock().unwrap_or_else(|e| e.into_inner());
    let (store, store_address) = SharedStore::start();
    store.full.store(true, Ordering::SeqCst);
    let mut fleet = ColdFleet::start(1, store_address);
    fleet.start_serving();
    store.wait_until("all processes were rejected", |calls| {
        calls
            .iter()
            .map(|call| call.process)
            .collect::<HashSet<_>>()
            .len() as u64
            == PROCESSES
    });
    store.full.store(false, Ordering::SeqCst);
    store.wait_until("all processes have an accepted call", |calls| {
        processes_with_accepted_call(calls, 1) == PROCESSES
    });
    store.assert_within_total_quota();
}
