//! The terms under which operators start the server, as the process itself shows them: one process by `exec`,
//! linked dynamically, one listener, no file written, nothing that spins, everything given back.
//!
//! `HEATHSPUR_PROGRAMS` names the folder of the programs under test; without it they are those just built.

use heathspur_rig::scripted::*;
use heathspur_rig::swift;
use object::read::elf::{Dyn, ElfFile64, FileHeader, ProgramHeader};
use object::{elf, Endianness};
use procfs::net::{TcpState, UnixState};
use procfs::process::{FDTarget, Process};
use procfs::ProcResult;
use std::collections::{BTreeSet, HashSet};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Threads at most: the one that serves, the one that waits for the system, and the starter of calls.
const THREADS: usize = 8;
/// Of two seconds of waiting, so much processor time at most; a thread that spins takes them all.
const IDLE: Duration = Duration::from_secs(2);
const AWAKE: f64 = 0.5;
/// Memory that may stay with the allocator after a crowd of connections, in bytes.
const KEPT: u64 = 8 << 20;

/// The server as the deploy file starts it, in empty folders of its own.
struct Started {
    process: Running,
    address: SocketAddr,
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
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("a line that starts it");
    let line = line.trim().trim_matches('"');
    line.replace("target/release/heathspurd", built("heathspurd").to_str().unwrap())
}

impl Started {
    fn new(name: &str) -> Started {
        let (vm, store, announce) = (local(), local(), local());
        let at = |l: &std::net::TcpListener| l.local_addr().unwrap();
        let mut config = config(at(&vm), at(&announce), at(&store));
        config["limits"]["sockets"] = 4096.into();
        swift::interpreter(vm);
        swift::announce(announce);
        let folders = std::env::temp_dir().join(format!("heathspur-terms-{}-{name}", std::process::id()));
        for folder in ["here", "home"] {
            std::fs::create_dir_all(folders.join(folder)).unwrap();
        }
        let file = folders.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", &run_line()]).current_dir(folders.join("here")).env("HOME", folders.join("home"));
        // A group of its own, so that nothing it may have started outlives the test unseen.
        command.env("NODE_CONFIG", &file).process_group(0).stdin(Stdio::null()).stdout(Stdio::null());
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let process = Running(child);
        let said = lines.find(|line| line.contains("listening on")).expect("it says where it listens");
        let address = said.rsplit(' ').next().unwrap().parse().unwrap();
        // Nobody who stops reading the log may stop the server.
        thread::spawn(move || lines.for_each(drop));
        Started { process, address, folders }
    }

    fn proc(&self) -> Process {
        Process::new(self.process.0.id() as i32).unwrap()
    }

    /// Has one request answered.
    fn serve(&self, txn: u64) {
        let mut client = Client::to(self.address);
        client.send(&request(txn, None, b"abc"));
        let status = client.answer().0;
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
        assert_eq!(program, built("heathspurd").canonicalize().unwrap(), "{when}: `run` has to end by exec");
        let tasks: Vec<_> = process.tasks().unwrap().flatten().collect();
        assert!((1..=THREADS).contains(&tasks.len()), "{when}: {} threads", tasks.len());
        let children: Vec<_> = tasks.iter().flat_map(|task| task.children().unwrap_or_default()).collect();
        assert!(children.is_empty(), "{when}: child processes {children:?}");
        let (sockets, others) = self.open();
        let listening: Vec<_> = [process.tcp(), process.tcp6()]
            .into_iter()
            .flat_map(ProcResult::unwrap)
            .filter(|entry| entry.state == TcpState::Listen && sockets.contains(&entry.inode))
            .map(|entry| entry.local_address)
            .collect();
        assert_eq!(listening, [self.address], "{when}: it listens where it was told to, and nowhere else");
        let datagrams: Vec<_> = [process.udp(), process.udp6()]
            .into_iter()
            .flat_map(ProcResult::unwrap)
            .filter(|entry| sockets.contains(&entry.inode))
            .collect();
        assert!(datagrams.is_empty(), "{when}: {datagrams:?}");
        for entry in process.unix().unwrap().into_iter().filter(|entry| sockets.contains(&entry.inode)) {
            // A pair to wake itself has no name and is connected.
            assert!(entry.path.is_none() && entry.state == UnixState::CONNECTED, "{when}: {entry:?}");
        }
        for name in others {
            let waits = ["[eventpoll]", "[eventfd]", "[timerfd]"].iter().any(|kind| name.ends_with(kind));
            let known = name == "/dev/null" || waits;
            assert!(known, "{when}: it holds {name} open");
        }
    }

    /// Nothing lies where it ran.
    fn left_nothing(&self) {
        for folder in ["here", "home"] {
            let left: Vec<_> = std::fs::read_dir(self.folders.join(folder)).unwrap().flatten().collect();
            assert!(left.is_empty(), "it wrote {left:?}");
        }
    }
}

/// Waits for what must come; what never comes fails the test.
fn until(what: &str, mut test: impl FnMut() -> bool) {
    let start = Instant::now();
    while !test() {
        assert!(start.elapsed() < NEVER, "never came: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let bytes = std::fs::read(built("heathspurd")).unwrap();
    let file = ElfFile64::<Endianness>::parse(&*bytes).unwrap();
    let (endian, data) = (file.endian(), file.data());
    let headers = file.elf_header().program_headers(endian, data).unwrap();
    assert!(headers.iter().any(|h| h.p_type(endian) == elf::PT_INTERP), "no loader is asked for");
    let sections = file.elf_header().sections(endian, data).unwrap();
    let (entries, strings) = sections.dynamic(endian, data).unwrap().expect("a dynamic section");
    let strings = sections.strings(endian, data, strings).unwrap();
    let needed: Vec<_> = entries
        .iter()
        .filter(|entry| entry.tag(endian) == elf::DT_NEEDED)
        .map(|entry| String::from_utf8_lossy(entry.string(endian, strings).unwrap()).into_owned())
        .collect();
    assert!(needed.iter().any(|name| name.starts_with("libc.so")), "{needed:?}");
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
    let mut slow = Client::to(started.address);
    slow.send(b"POST /svc/look HTTP/1.1\r\n");
    started.process.terminate();
    let told = Instant::now();
    while started.process.0.try_wait().unwrap().is_none() {
        assert!(told.elapsed() < NEVER, "it does not leave");
        let process = started.proc();
        // Its last moments have nothing to look at.
        let Ok(tasks) = process.tasks() else { continue };
        let tasks: Vec<_> = tasks.flatten().collect();
        assert!(tasks.len() <= THREADS, "{} threads at the drain", tasks.len());
        let children: Vec<_> = tasks.iter().flat_map(|t| t.children().unwrap_or_default()).collect();
        assert!(children.is_empty(), "child processes at the drain: {children:?}");
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
    let spent = || started.proc().stat().map(|stat| (stat.utime + stat.stime) as f64 / per_second).unwrap();
    let before = spent();
    thread::sleep(IDLE);
    let awake = spent() - before;
    assert!(awake < AWAKE * IDLE.as_secs_f64(), "{awake} s of processor time while it waited");
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
            let mut client = Client::to(started.address);
            match n % 20 {
                0 => client.send(&request(10 + round * 1000 + n, None, b"abc")),
                _ => client.send(b"GET /status/live HTTP/1.1\r\n\r\n"),
            }
            client
        };
        let mut crowd: Vec<Client> = (0..1000).map(join).collect();
        for client in &mut crowd {
            let status = client.answer().0;
            assert!(status == 200 || status == 503, "{status}");
        }
        assert!(held() > 1000, "the crowd is there: {}", held());
        drop(crowd);
        until("descriptors as before", || held() <= before);
        rest.push(at_rest());
    }
    // What the first crowd made the allocator keep is enough for all later ones.
    assert!(rest[2] <= rest[0] + KEPT / 4, "memory at rest grows: {rest:?} bytes");
    assert!(rest[2] <= 64 << 20, "{rest:?} bytes");
    started.serve(9);
    started.holds_the_terms("after the crowds");
}
