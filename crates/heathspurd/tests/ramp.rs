//! A fleet of cold processes, each with an interpreter of its own, and one shared store below all of them: what the
//! store gets from all together stays within the sum of their parts. Each process knows its own part and nothing of
//! the others; all become ready in the same moment, with callers that wait.

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
/// Callers of each, which ask one request after the other.
const CALLERS: u64 = 4;
/// Each one's part of the store, the time of its mean, a call, and an abandoned call, in seconds.
const PART: f64 = 0.1;
const OVER: f64 = 1.0;
const CALL: f64 = 0.2;
const LINGER: f64 = 0.1;
/// Past this a server has not got going: its part pays for a first call of unknown length far sooner.
const GOING: Duration = Duration::from_secs(9);

/// Two fleets at once are more than a small machine bears.
static ALONE: Mutex<()> = Mutex::new(());

/// A call as it reached the store.
struct Called {
    at: Instant,
    /// The process and life that it came from.
    from: (u64, u64),
    taken: bool,
}

/// The one store, which takes every call or, while it is full, none.
struct Shared {
    calls: Mutex<Vec<Called>>,
    full: AtomicBool,
}

impl Shared {
    fn start() -> (Arc<Shared>, SocketAddr) {
        let (listener, shared) = (
            bind_loopback(),
            Arc::new(Shared {
                calls: Mutex::default(),
                full: false.into(),
            }),
        );
        let (address, store) = (listener.local_addr().unwrap(), shared.clone());
        thread::spawn(move || store.listen(&listener));
        (shared, address)
    }

    fn listen(self: Arc<Shared>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            thread::spawn(move || store.serve(stream));
        }
    }

    /// Ends with the connection.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
            let words: Vec<_> = line.split_whitespace().collect();
            assert_eq!(words[0], "CALL", "{line}");
            let taken = !self.full.load(Ordering::SeqCst);
            let txn = u64::from_str_radix(words[1], 16).unwrap();
            self.calls.lock().unwrap().push(Called {
                at: Instant::now(),
                from: (txn >> 48, txn >> 32 & 0xffff),
                taken,
            });
            reader
                .read_exact(&mut vec![0; words[3].parse::<usize>().unwrap() + 2])
                .ok()?;
            let reply = match taken {
                true => {
                    thread::sleep(Duration::from_secs_f64(CALL));
                    format!("{} OK 2\r\nok\r\n", words[1])
                }
                false => format!("{} BUSY\r\n", words[1]),
            };
            reader.get_mut().write_all(reply.as_bytes()).ok()?;
        }
    }

    /// Waits for that of all calls so far; fails the test once it takes longer than any server may to get going.
    fn until(&self, what: &str, done: impl Fn(&[Called]) -> bool) {
        let start = Instant::now();
        while !done(&self.calls.lock().unwrap()) {
            let calls = self.calls.lock().unwrap().len();
            assert!(
                start.elapsed() < GOING,
                "not in {GOING:?}: {what}; {calls} calls so far"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// In no window did more calls come than the sum of the parts allows, but for chance.
    fn kept_to_its_sum(&self) {
        let mut at: Vec<_> = self
            .calls
            .lock()
            .unwrap()
            .iter()
            .map(|call| call.at)
            .collect();
        at.sort();
        let n = PART * PROCESSES as f64 * OVER / CALL;
        let allowed = n + 2.0 * n.sqrt() + 2.0;
        let over = Duration::from_secs_f64(OVER);
        let within = |i: usize| at[i..].partition_point(|&t| t < at[i] + over);
        let most = (0..at.len()).map(within).max().unwrap_or(0);
        println!(
            "{} calls, {most} in a window, {allowed:.1} allowed",
            at.len()
        );
        assert!(
            most as f64 <= allowed,
            "{most} calls in a window of {OVER} s, {allowed:.1} allowed"
        );
    }
}

/// One life of the fleet: processes that are linked, and wait for their interpreters to come up.
struct Fleet {
    life: u64,
    rigs: Vec<ServerFixture>,
    links: Vec<MockInterpreter>,
    over: Arc<AtomicBool>,
}

impl Fleet {
    fn start(life: u64, store: SocketAddr) -> Fleet {
        let rig = |i| {
            ServerFixture::start_with_config(|config| {
                config["store"] = json!(store);
                config["seed"] = json!(format!(
                    "{:016x}",
                    0x9e37_79b9_7f4a_7c15u64.wrapping_mul(life << 8 | i | 1 << 20)
                ));
                let info = &mut config["settings"]["family-info"];
                info["depends-on"] = json!("shared");
                info["calls-out"] = json!(PART);
                info["calls-over-s"] = json!(OVER);
                info["linger-s"] = json!(LINGER);
                info["cold"] = json!(true);
                config["settings"]["servers"] = json!(PROCESSES);
            })
        };
        let rigs: Vec<ServerFixture> = (0..PROCESSES).map(rig).collect();
        let links = rigs
            .iter()
            .map(ServerFixture::accept_link_before_banner)
            .collect();
        Fleet {
            life,
            rigs,
            links,
            over: Arc::default(),
        }
    }

    /// All interpreters are up in the same moment, cold, and callers come.
    fn up(&mut self) {
        for vm in &mut self.links {
            vm.send(json!({"verb": "BANNER", "outcome": "chilly", "spent": 0}));
        }
        self.links
            .drain(..)
            .for_each(MockInterpreter::complete_all_runs_after_call);
        for (rig, process) in self.rigs.iter().zip(0..) {
            for caller in 0..CALLERS {
                let (address, life, over) = (rig.address, self.life, self.over.clone());
                let first = process << 48 | life << 32 | caller << 16;
                thread::spawn(move || ask_on(address, first, &over));
            }
        }
    }

    /// All die in the same moment.
    fn die(mut self) {
        self.over.store(true, Ordering::SeqCst);
        for rig in &mut self.rigs {
            rig.process.0.kill().unwrap();
        }
    }
}

/// Asks for work that has to make its call, again and again until the fleet's life is over.
fn ask_on(address: SocketAddr, first: u64, over: &AtomicBool) -> Option<()> {
    for txn in first.. {
        let mut stream = TcpStream::connect(address).ok()?;
        stream
            .write_all(&request(txn, Some(&format!("{txn:032x}")), b"abc"))
            .ok()?;
        // To its end: the request says no more, and a refusal closes nothing.
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).ok()?;
        if over.load(Ordering::SeqCst) {
            return None;
        }
        // Who was refused comes back later.
        if !answer.ends_with(b"200") {
            thread::sleep(Duration::from_millis(200));
        }
    }
    None
}

/// How many processes of that life reached the store, with a call that it took.
fn going(calls: &[Called], life: u64) -> u64 {
    let taken = calls
        .iter()
        .filter(|call| call.taken && call.from.1 == life);
    taken.map(|call| call.from.0).collect::<HashSet<_>>().len() as u64
}

#[test]
fn a_cold_fleet_that_starts_again_at_once_keeps_to_the_sum_of_its_parts_and_gets_going() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let (shared, store) = Shared::start();
    let mut fleet = Fleet::start(1, store);
    let mut next = Fleet::start(2, store);
    fleet.up();
    shared.until("half of the fleet calls", |calls| {
        going(calls, 1) >= PROCESSES / 2
    });
    fleet.die();
    next.up();
    shared.until("all of the next fleet call", |calls| {
        going(calls, 2) == PROCESSES
    });
    let first = shared.calls.lock().unwrap().len();
    shared.until("half of them call again", |calls| {
        calls.len() as u64 >= first as u64 + PROCESSES / 2
    });
    shared.kept_to_its_sum();
}

#[test]
fn a_cold_fleet_whose_store_turns_all_away_does_not_come_back_in_step() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let (shared, store) = Shared::start();
    shared.full.store(true, Ordering::SeqCst);
    let mut fleet = Fleet::start(1, store);
    fleet.up();
    shared.until("all were turned away", |calls| {
        calls
            .iter()
            .map(|call| call.from.0)
            .collect::<HashSet<_>>()
            .len() as u64
            == PROCESSES
    });
    shared.full.store(false, Ordering::SeqCst);
    shared.until("all come back", |calls| going(calls, 1) == PROCESSES);
    shared.kept_to_its_sum();
}
