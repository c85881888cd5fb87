//! The terms under which operators start the server, as the process itself shows them: one process by `exec`,
//! linked dynamically, ready in time, one listener, no file written, nothing that spins, everything given back; and a
//! notice to drain after which all that came is answered and nothing runs past the grace.
//!
//! `HEATHSPUR_PROGRAMS` names the folder of the programs under test; without it they are those just built.

use heathspur_testkit::auto_stubs;
use heathspur_testkit::prelude::*;
use object::read::elf::{Dyn, ElfFile64, FileHeader, ProgramHeader};
use object::{elf, Endianness};
use procfs::net::{TcpState, UnixState};
use procfs::process::{FDTarget, Process};
use procfs::ProcResult;
use serde_json::{json, Value};
use std::collections::{BTreeSet, HashSet};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Threads at most: the one that serves, the one that waits for the system, and the starter of calls.
const THREADS: usize = 8;
/// Of two seconds of waiting, so much processor time at most; a thread that spins takes them all.
const IDLE: Duration = Duration::from_secs(2);
const AWAKE: f64 = 0.5;
/// A server that takes longer to be ready has crashed.
const READY: Duration = Duration::from_secs(30);
/// The slack of the rules' times on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// Memory that may stay with the allocator after a crowd of connections, in bytes.
const KEPT: u64 = 8 << 20;

/// The server as the deploy file starts it, in empty folders of its own.
struct Started {
    process: ProcessGuard,
    address: SocketAddr,
    since: Instant,
    /// The folders that it could leave something in: where it runs, and the home of whoever runs it.
    folders: PathBuf,
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folders);
    }
}

/// The `run` line of the deploy file, with the program under test in the place of the one it names.
fn run_line() -> String {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(deploy).unwrap();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .expect("a line that starts it");
    let line = line.trim().trim_matches('"');
    line.replace(
        "target/release/heathspurd",
        program_path("heathspurd").to_str().unwrap(),
    )
}

impl Started {
    fn new(name: &str) -> Started {
        Started::with(name, |_| {})
    }

    fn with(name: &str, edit: impl FnOnce(&mut Value)) -> Started {
        let (vm, store, announce) = (bind_loopback(), bind_loopback(), bind_loopback());
        let at = |l: &std::net::TcpListener| l.local_addr().unwrap();
        let mut config = server_config(at(&vm), at(&announce), at(&store));
        config["limits"]["sockets"] = 4096.into();
        edit(&mut config);
        auto_stubs::interpreter(vm);
        auto_stubs::registration(announce);
        let folders =
            std::env::temp_dir().join(format!("heathspur-terms-{}-{name}", std::process::id()));
        for folder in ["here", "home"] {
            std::fs::create_dir_all(folders.join(folder)).unwrap();
        }
        let file = folders.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let mut command = Command::new("sh");
        command
            .args(["-c", &run_line()])
            .current_dir(folders.join("here"))
            .env("HOME", folders.join("home"));
        // A group of its own, so that nothing it may have started outlives the test unseen.
        command
            .env("NODE_CONFIG", &file)
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        let since = Instant::now();
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let process = ProcessGuard(child);
        let (say, said) = mpsc::channel();
        // Nobody who stops reading the log may stop the server.
        thread::spawn(move || lines.for_each(|line| drop(say.send(line))));
        let address = loop {
            let left = READY.saturating_sub(since.elapsed());
            let line = said
                .recv_timeout(left)
                .expect("it says in time where it listens");
            if line.contains("listening on") {
                break line.rsplit(' ').next().unwrap().parse().unwrap();
            }
        };
        Started {
            process,
            address,
            since,
            folders,
        }
    }

    fn proc(&self) -> Process {
        Process::new(self.process.0.id() as i32).unwrap()
    }

    /// Has one request answered.
    fn serve(&self, txn: u64) {
        let mut client = Http1Client::connect(self.address);
        client.send(&request(txn, None, b"abc"));
        let status = client.read_response().0;
        assert!(status == 200 || status == 503, "{status}");
    }

    /// What the process holds open: its sockets by inode, and everything else by name.
    fn open(&self) -> (HashSet<u64>, BTreeSet<String>) {
        let (mut sockets, mut others) = (HashSet::new(), BTreeSet::new());
        for fd in self.proc().fd().unwrap().flatten() {
            match fd.target {
                FDTarget::Socket(inode) => drop(sockets.insert(inode)),
                FDTarget::Path(path) => drop(others.insert(path.display().to_string())),
                FDTarget::AnonInode(name) => drop(others.insert(format!("anonymous {name}"))),
                _ => {}
            }
        }
        (sockets, others)
    }

    /// One process, few threads, one listener, no Unix socket that others could reach, no ring.
    fn holds_the_terms(&self, when: &str) {
        let process = self.proc();
        let program = process.exe().unwrap();
        assert_eq!(
            program,
            program_path("heathspurd").canonicalize().unwrap(),
            "{when}: `run` has to end by exec"
        );
        let tasks: Vec<_> = process.tasks().unwrap().flatten().collect();
        assert!(
            (1..=THREADS).contains(&tasks.len()),
            "{when}: {} threads",
            tasks.len()
        );
        let children: Vec<_> = tasks
            .iter()
            .flat_map(|task| task.children().unwrap_or_default())
            .collect();
        assert!(children.is_empty(), "{when}: child processes {children:?}");
        let (sockets, others) = self.open();
        let listening: Vec<_> = [process.tcp(), process.tcp6()]
            .into_iter()
            .flat_map(ProcResult::unwrap)
            .filter(|entry| entry.state == TcpState::Listen && sockets.contains(&entry.inode))
            .map(|entry| entry.local_address)
            .collect();
        assert_eq!(
            listening,
            [self.address],
            "{when}: it listens where it was told to, and nowhere else"
        );
        let datagrams: Vec<_> = [process.udp(), process.udp6()]
            .into_iter()
            .flat_map(ProcResult::unwrap)
            .filter(|entry| sockets.contains(&entry.inode))
            .collect();
        assert!(datagrams.is_empty(), "{when}: {datagrams:?}");
        for entry in process
            .unix()
            .unwrap()
            .into_iter()
            .filter(|entry| sockets.contains(&entry.inode))
        {
            // A pair to wake itself has no name and is connected.
            assert!(
                entry.path.is_none() && entry.state == UnixState::CONNECTED,
                "{when}: {entry:?}"
            );
        }
        for name in others {
            let waits = ["[eventpoll]", "[eventfd]", "[timerfd]"]
                .iter()
                .any(|kind| name.ends_with(kind));
            let known = name == "/dev/null" || waits;
            assert!(known, "{when}: it holds {name} open");
        }
    }

    /// Nothing lies where it ran.
    fn left_nothing(&self) {
        for folder in ["here", "home"] {
            let left: Vec<_> = std::fs::read_dir(self.folders.join(folder))
                .unwrap()
                .flatten()
                .collect();
            assert!(left.is_empty(), "it wrote {left:?}");
        }
    }
}

/// Waits for what must come; what never comes fails the test.
fn until(what: &str, mut test: impl FnMut() -> bool) {
    let start = Instant::now();
    while !test() {
        assert!(start.elapsed() < EVENT_TIMEOUT, "never came: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let bytes = std::fs::read(program_path("heathspurd")).unwrap();
    let file = ElfFile64::<Endianness>::parse(&*bytes).unwrap();
    let (endian, data) = (file.endian(), file.data());
    let headers = file.elf_header().program_headers(endian, data).unwrap();
    assert!(
        headers.iter().any(|h| h.p_type(endian) == elf::PT_INTERP),
        "no loader is asked for"
    );
    let sections = file.elf_header().sections(endian, data).unwrap();
    let (entries, strings) = sections
        .dynamic(endian, data)
        .unwrap()
        .expect("a dynamic section");
    let strings = sections.strings(endian, data, strings).unwrap();
    let needed: Vec<_> = entries
        .iter()
        .filter(|entry| entry.tag(endian) == elf::DT_NEEDED)
        .map(|entry| String::from_utf8_lossy(entry.string(endian, strings).unwrap()).into_owned())
        .collect();
    assert!(
        needed.iter().any(|name| name.starts_with("libc.so")),
        "{needed:?}"
    );
}

#[test]
fn it_stays_one_process_with_one_listener_while_it_serves_reloads_and_drains() {
    let mut started = Started::new("process");
    started.holds_the_terms("at the start");
    started.serve(1);
    started.holds_the_terms("after a request");
    started.process.signal("HUP");
    started.serve(2);
    started.holds_the_terms("after a reload");
    // One that stands in the middle of a request keeps the drain from ending at once.
    let mut slow = Http1Client::connect(started.address);
    slow.send(b"POST /svc/look HTTP/1.1\r\n");
    started.process.terminate();
    let told = Instant::now();
    while started.process.0.try_wait().unwrap().is_none() {
        assert!(told.elapsed() < EVENT_TIMEOUT, "it does not leave");
        let process = started.proc();
        // Its last moments have nothing to look at.
        let Ok(tasks) = process.tasks() else { continue };
        let tasks: Vec<_> = tasks.flatten().collect();
        assert!(
            tasks.len() <= THREADS,
            "{} threads at the drain",
            tasks.len()
        );
        let children: Vec<_> = tasks
            .iter()
            .flat_map(|t| t.children().unwrap_or_default())
            .collect();
        assert!(
            children.is_empty(),
            "child processes at the drain: {children:?}"
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(started.process.wait().code(), Some(0));
    started.left_nothing();
}

#[test]
fn no_thread_of_it_spins_while_nothing_is_to_do() {
    let started = Started::new("idle");
    started.serve(1);
    let per_second = procfs::ticks_per_second() as f64;
    let spent = || {
        started
            .proc()
            .stat()
            .map(|stat| (stat.utime + stat.stime) as f64 / per_second)
            .unwrap()
    };
    let before = spent();
    thread::sleep(IDLE);
    let awake = spent() - before;
    assert!(
        awake < AWAKE * IDLE.as_secs_f64(),
        "{awake} s of processor time while it waited"
    );
}

#[test]
fn descriptors_and_memory_come_back_after_a_thousand_connections() {
    let started = Started::new("crowd");
    started.serve(1);
    let held = || started.open().0.len();
    let at_rest = || started.proc().status().unwrap().vmrss.unwrap() * 1024;
    // The one connection of `serve` is told closed a moment later.
    let before = held() + 1;
    let mut rest = Vec::new();
    for round in 0..3u64 {
        // Each speaks as soon as it is there: silent ones are closed in time. A few have work done.
        let join = |n: u64| {
            let mut client = Http1Client::connect(started.address);
            match n % 20 {
                0 => client.send(&request(10 + round * 1000 + n, None, b"abc")),
                _ => client.send(b"GET /status/live HTTP/1.1\r\n\r\n"),
            }
            client
        };
        let mut crowd: Vec<Http1Client> = (0..1000).map(join).collect();
        for client in &mut crowd {
            let status = client.read_response().0;
            assert!(status == 200 || status == 503, "{status}");
        }
        assert!(held() > 1000, "the crowd is there: {}", held());
        drop(crowd);
        until("descriptors as before", || held() <= before);
        rest.push(at_rest());
    }
    // What the first crowd made the allocator keep is enough for all later ones.
    assert!(
        rest[2] <= rest[0] + KEPT / 4,
        "memory at rest grows: {rest:?} bytes"
    );
    assert!(rest[2] <= 64 << 20, "{rest:?} bytes");
    started.serve(9);
    started.holds_the_terms("after the crowds");
}

#[test]
fn it_is_ready_in_time_whoever_else_is_down() {
    // Nobody listens where a listener was dropped.
    let nobody = || json!(bind_loopback().local_addr().unwrap());
    let started = Started::with("ready", |config| {
        config["announce"] = nobody();
        config["store"] = nobody();
    });
    let mut client = Http1Client::connect(started.address);
    loop {
        client.send(b"GET /status/live HTTP/1.1\r\n\r\n");
        if client.read_response().0 == 200 {
            break;
        }
        assert!(started.since.elapsed() < READY, "it is not ready");
        thread::sleep(Duration::from_millis(10));
    }
    started.serve(1);
    assert!(
        started.since.elapsed() < READY,
        "it was ready after {:?}",
        started.since.elapsed()
    );
}

/// A drain of a server whose runs the test ends, with that grace; the process has this long from the notice.
struct Drain {
    rig: ServerFixture,
    vm: MockInterpreter,
    stop: Duration,
    told: Option<Instant>,
}

impl Drain {
    fn with_grace(grace: Duration) -> Drain {
        let stop = grace + Duration::from_secs(3);
        let rig = ServerFixture::start_with_config(|config| {
            config["settings"]["guarantees"]["drain-grace-s"] = json!(grace.as_secs_f64());
            config["stop_ms"] = json!(stop.as_millis() as u64);
        });
        let vm = rig.accept_link();
        Drain {
            rig,
            vm,
            stop,
            told: None,
        }
    }

    /// A kept connection that had an answer.
    fn kept(&mut self, txn: u64) -> Http1Client {
        let mut client = self.running(txn);
        self.ends(txn);
        let (status, fields, _) = client.read_response();
        assert_eq!((status, fields.get("connection")), (200, None));
        client
    }

    /// A connection whose request runs.
    fn running(&mut self, txn: u64) -> Http1Client {
        let mut client = self.rig.connect_client();
        client.send(&request(txn, None, b"abc"));
        self.runs(txn);
        client
    }

    /// The next command starts the run of that request.
    fn runs(&mut self, txn: u64) {
        assert_eq!(self.vm.read_apply().0, format!("{txn:016x}"));
    }

    fn ends(&mut self, txn: u64) {
        self.vm
            .send_value(&format!("{txn:016x}"), "complete", b"done");
    }

    /// Tells it to drain; it has heard so when its report says so.
    fn tell(&mut self) {
        self.rig.process.terminate();
        self.told = Some(Instant::now());
        while self
            .rig
            .registration_reports
            .recv_timeout(EVENT_TIMEOUT)
            .unwrap()
            != json!({"accepting": "false"})
        {}
    }

    /// It leaves by itself with nothing wrong, before it would be killed, and starts no run that the test has not
    /// seen.
    fn leaves(self) {
        let Drain {
            mut rig,
            vm,
            stop,
            told,
        } = self;
        let rest = vm.read_remaining_commands();
        assert_eq!(rig.process.wait().code(), Some(0));
        let took = told.unwrap().elapsed();
        assert!(took < stop, "it took {took:?} of {stop:?}");
        assert!(
            rest.iter().all(|command| command["verb"] != "APPLY"),
            "{rest:?}"
        );
    }
}

/// An answer, and whether it is the last on its connection.
fn answered(client: &mut Http1Client) -> (u16, bool) {
    let (status, fields, _) = client.read_response();
    (
        status,
        fields.get("connection").is_some_and(|word| word == "close"),
    )
}

#[test]
fn what_comes_on_kept_connections_within_the_grace_is_answered() {
    let mut drain = Drain::with_grace(Duration::from_secs(2));
    let (mut one, mut two) = (drain.kept(1), drain.kept(2));
    drain.tell();
    // One comes at once, of the other the first word.
    two.send(b"POST /svc/look ");
    one.send(&request(3, None, b"abc"));
    drain.runs(3);
    drain.ends(3);
    assert_eq!(answered(&mut one), (200, true));
    one.assert_closed();
    two.send(&request(4, None, b"abc")[b"POST /svc/look ".len()..]);
    drain.runs(4);
    drain.ends(4);
    assert_eq!(answered(&mut two), (200, true));
    two.assert_closed();
    // What its rules refuse is answered as well: no memory holds this one.
    let mut large = drain.rig.connect_client();
    let text = String::from_utf8(request(5, None, b"abc")).unwrap();
    large.send(text.replace("Set-Kb: 24.5", "Set-Kb: 1999").as_bytes());
    assert_eq!(answered(&mut large), (503, true));
    drain.leaves();
}

#[test]
fn what_comes_on_kept_connections_past_the_grace_is_answered_and_never_run() {
    let mut drain = Drain::with_grace(Duration::from_millis(500));
    let (mut idle, mut begun) = (drain.kept(1), drain.kept(2));
    let mut busy = drain.running(3);
    drain.tell();
    begun.send(b"POST /svc/look ");
    // That nothing new is taken shows in the end of what has nothing open.
    idle.assert_closed();
    thread::sleep(SLACK);
    begun.send(&request(4, None, b"abc")[b"POST /svc/look ".len()..]);
    assert_eq!(answered(&mut begun), (503, true));
    begun.assert_closed();
    busy.send(&request(5, None, b"abc"));
    drain.ends(3);
    assert_eq!(answered(&mut busy).0, 200);
    assert_eq!(answered(&mut busy), (503, true));
    busy.assert_closed();
    drain.leaves();
}

#[test]
fn what_came_while_the_machine_gave_no_time_is_answered_past_the_grace() {
    let grace = Duration::from_secs(1);
    let mut drain = Drain::with_grace(grace);
    let mut kept = drain.kept(1);
    drain.tell();
    drain.rig.process.signal("STOP");
    let process = Process::new(drain.rig.process.0.id() as i32).unwrap();
    until("it stands still", || process.stat().unwrap().state == 'T');
    until("the grace is over", || {
        drain.told.unwrap().elapsed() > grace * 5 / 4
    });
    kept.send(&request(2, None, b"abc"));
    let mut crowd: Vec<Http1Client> = (3..8).map(|_| drain.rig.connect_client()).collect();
    for (client, txn) in crowd.iter_mut().zip(3..) {
        client.send(&request(txn, None, b"abc"));
    }
    drain.rig.process.signal("CONT");
    for client in [&mut kept].into_iter().chain(&mut crowd) {
        assert_eq!(answered(client), (503, true));
        client.assert_closed();
    }
    drain.leaves();
}

#[test]
fn of_a_pair_across_the_notice_both_are_answered_and_the_first_says_no_close() {
    for before in [false, true] {
        let mut drain = Drain::with_grace(Duration::from_secs(2));
        let mut client = drain.running(1);
        if before {
            client.send(&request(2, None, b"def"));
        }
        drain.tell();
        if !before {
            client.send(&request(2, None, b"def"));
        }
        drain.ends(1);
        // Nothing is taken from a connection behind an answer that is its last, so the second would be lost.
        assert_eq!(answered(&mut client), (200, false));
        drain.runs(2);
        drain.ends(2);
        assert_eq!(answered(&mut client), (200, true));
        client.assert_closed();
        drain.leaves();
    }
}

#[test]
fn idle_connections_are_closed_cleanly_in_a_drain_and_it_leaves_in_time() {
    let mut drain = Drain::with_grace(Duration::from_millis(500));
    let mut kept: Vec<Http1Client> = (1..5).map(|txn| drain.kept(txn)).collect();
    let mut silent = drain.rig.connect_client();
    drain.tell();
    // A check still has its answer, on a connection that stays open for it.
    kept[0].send(b"GET /status/live HTTP/1.1\r\n\r\n");
    assert_eq!(answered(&mut kept[0]).0, 503);
    // An end without a byte and without a reset; the balancers close nothing themselves.
    for client in kept.iter_mut().chain([&mut silent]) {
        client.assert_closed();
    }
    drain.leaves();
}
