//! Tests of the operators' requirements on the server process: it is a single process started by `exec`, linked
//! dynamically, and ready in time; it has one listener, writes no files, uses little processor time while idle, and
//! releases descriptors and memory. After SIGTERM it answers all requests; after the drain grace period it starts no
//! run.
//!
//! The environment variable `HEATHSPUR_PROGRAMS` contains the directory of the programs under test. By default they are
//! the ones that the test build has built.

mod common;

use common::{task_id, wait_for_not_accepting_report};
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

/// The maximum number of threads. The server uses one for the event loop and one for the I/O reactor; the others are
/// spare.
const MAX_THREADS: usize = 8;
/// How long the processor time of an idle server is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(2);
/// The maximum processor time of an idle server, as a fraction of elapsed time. A thread that spins uses all of it.
const MAX_IDLE_CPU_FRACTION: f64 = 0.5;
/// The platform regards a server that takes longer to become ready as crashed.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The tolerance of the platform's time limits on sockets.
const SOCKET_TIME_TOLERANCE: Duration = Duration::from_millis(50);
/// The memory that the allocator may retain after many connections have closed, in bytes.
const MAX_RETAINED_BYTES: u64 = 8 << 20;

/// A server started by the command of the deploy file, in empty directories of its own.
struct DeployedServer {
    process: ProcessGuard,
    address: SocketAddr,
    started_at: Instant,
    /// Contains the directories that the server could write files to: its working directory and its home directory.
    directories: PathBuf,
}

impl Drop for DeployedServer {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directories);
    }
}

/// Returns the command in the `run` field of the deploy file, with the path of the program under test.
fn deploy_command() -> String {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(deploy).unwrap();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .expect("the deploy file has no `run` field");
    let line = line.trim().trim_matches('"');
    line.replace(
        "target/release/heathspurd",
        program_path("heathspurd").to_str().unwrap(),
    )
}

impl DeployedServer {
    fn start(name: &str) -> DeployedServer {
        DeployedServer::start_with_config(name, |_| {})
    }

    fn start_with_config(name: &str, edit: impl FnOnce(&mut Value)) -> DeployedServer {
        let (interpreter, store, registration) =
            (bind_loopback(), bind_loopback(), bind_loopback());
        let address = |listener: &std::net::TcpListener| listener.local_addr().unwrap();
        let mut config = server_config(
            address(&interpreter),
            address(&registration),
            address(&store),
        );
        config["limits"]["sockets"] = 4096.into();
        edit(&mut config);
        auto_stubs::interpreter(interpreter);
        auto_stubs::registration(registration);
        let directories =
            std::env::temp_dir().join(format!("heathspur-terms-{}-{name}", std::process::id()));
        for directory in ["cwd", "home"] {
            std::fs::create_dir_all(directories.join(directory)).unwrap();
        }
        let file = directories.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let mut command = Command::new("sh");
        command
            .args(["-c", &deploy_command()])
            .current_dir(directories.join("cwd"))
            .env("HOME", directories.join("home"));
        // A process group of its own, so that processes that it starts are not hidden in the group of the test.
        command
            .env("NODE_CONFIG", &file)
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        let started_at = Instant::now();
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        let process = ProcessGuard(child);
        let (line_sender, log_lines) = mpsc::channel();
        // The log is read to its end, because the server could block on a full pipe.
        thread::spawn(move || lines.for_each(|line| drop(line_sender.send(line))));
        let address = loop {
            let remaining = READY_TIMEOUT.saturating_sub(started_at.elapsed());
            let line = log_lines
                .recv_timeout(remaining)
                .expect("the server did not log its listen address in time");
            if line.contains("listening on") {
                break line.rsplit(' ').next().unwrap().parse().unwrap();
            }
        };
        DeployedServer {
            process,
            address,
            started_at,
            directories,
        }
    }

    fn process_info(&self) -> Process {
        Process::new(self.process.0.id() as i32).unwrap()
    }

    /// Sends a request and asserts that it is answered.
    fn assert_answers_request(&self, txn: u64) {
        let mut client = Http1Client::connect(self.address);
        client.send(&request(txn, None, b"abc"));
        let status = client.read_response().0;
        assert!(
            status == 200 || status == 503,
            "status {status}, expected 200 or 503"
        );
    }

    /// Returns the open descriptors of the process: the sockets by inode, and all others by name.
    fn open_descriptors(&self) -> (HashSet<u64>, BTreeSet<String>) {
        let (mut sockets, mut others) = (HashSet::new(), BTreeSet::new());
        for fd in self.process_info().fd().unwrap().flatten() {
            match fd.target {
                FDTarget::Socket(inode) => drop(sockets.insert(inode)),
                FDTarget::Path(path) => drop(others.insert(path.display().to_string())),
                FDTarget::AnonInode(name) => drop(others.insert(format!("anonymous {name}"))),
                _ => {}
            }
        }
        (sockets, others)
    }

    /// Asserts that there is one process with few threads and one listener, and that it has no Unix socket that other
    /// processes can reach, and no open file or `io_uring` instance.
    fn assert_meets_requirements(&self, when: &str) {
        let process = self.process_info();
        let program = process.exe().unwrap();
        assert_eq!(
            program,
            program_path("heathspurd").canonicalize().unwrap(),
            "{when}: the `run` command must replace the shell by exec"
        );
        let tasks: Vec<_> = process.tasks().unwrap().flatten().collect();
        assert!(
            (1..=MAX_THREADS).contains(&tasks.len()),
            "{when}: {} threads",
            tasks.len()
        );
        let children: Vec<_> = tasks
            .iter()
            .flat_map(|task| task.children().unwrap_or_default())
            .collect();
        assert!(children.is_empty(), "{when}: child processes {children:?}");
        let (sockets, others) = self.open_descriptors();
        let listening: Vec<_> = [process.tcp(), process.tcp6()]
            .into_iter()
            .flat_map(ProcResult::unwrap)
            .filter(|entry| entry.state == TcpState::Listen && sockets.contains(&entry.inode))
            .map(|entry| entry.local_address)
            .collect();
        assert_eq!(
            listening,
            [self.address],
            "{when}: the server must listen only on its configured address"
        );
        let udp_sockets: Vec<_> = [process.udp(), process.udp6()]
            .into_iter()
            .flat_map(ProcResult::unwrap)
            .filter(|entry| sockets.contains(&entry.inode))
            .collect();
        assert!(
            udp_sockets.is_empty(),
            "{when}: UDP sockets {udp_sockets:?}"
        );
        for entry in process
            .unix()
            .unwrap()
            .into_iter()
            .filter(|entry| sockets.contains(&entry.inode))
        {
            // The only Unix sockets allowed are unnamed connected pairs, which the server uses to wake itself.
            assert!(
                entry.path.is_none() && entry.state == UnixState::CONNECTED,
                "{when}: Unix socket {entry:?}"
            );
        }
        for name in others {
            let is_polling = ["[eventpoll]", "[eventfd]", "[timerfd]"]
                .iter()
                .any(|kind| name.ends_with(kind));
            let is_allowed = name == "/dev/null" || is_polling;
            assert!(is_allowed, "{when}: unexpected open descriptor {name}");
        }
    }

    /// Asserts that the server wrote no files.
    fn assert_wrote_no_files(&self) {
        for directory in ["cwd", "home"] {
            let files: Vec<_> = std::fs::read_dir(self.directories.join(directory))
                .unwrap()
                .flatten()
                .collect();
            assert!(files.is_empty(), "the server wrote {files:?}");
        }
    }
}

/// Waits until the condition holds, and checks it every 10 ms.
///
/// # Panics
///
/// Panics if the condition does not hold within `EVENT_TIMEOUT`.
fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "timed out waiting until {description}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn program_is_dynamically_linked_against_libc() {
    let bytes = std::fs::read(program_path("heathspurd")).unwrap();
    let file = ElfFile64::<Endianness>::parse(&*bytes).unwrap();
    let (endian, data) = (file.endian(), file.data());
    let headers = file.elf_header().program_headers(endian, data).unwrap();
    assert!(
        headers.iter().any(|h| h.p_type(endian) == elf::PT_INTERP),
        "the program requests no dynamic loader"
    );
    let sections = file.elf_header().sections(endian, data).unwrap();
    let (entries, strings) = sections
        .dynamic(endian, data)
        .unwrap()
        .expect("the program has no dynamic section");
    let strings = sections.strings(endian, data, strings).unwrap();
    let needed: Vec<_> = entries
        .iter()
        .filter(|entry| entry.tag(endian) == elf::DT_NEEDED)
        .map(|entry| String::from_utf8_lossy(entry.string(endian, strings).unwrap()).into_owned())
        .collect();
    assert!(
        needed.iter().any(|name| name.starts_with("libc.so")),
        "the program does not need libc, only {needed:?}"
    );
}

#[test]
fn serving_reload_and_drain_keep_one_process_and_one_listener() {
    let mut server = DeployedServer::start("process");
    server.assert_meets_requirements("after the start");
    server.assert_answers_request(1);
    server.assert_meets_requirements("after a request");
    server.process.signal("HUP");
    server.assert_answers_request(2);
    server.assert_meets_requirements("after a reload");
    // An incomplete request keeps the drain from ending immediately.
    let mut slow = Http1Client::connect(server.address);
    slow.send(b"POST /svc/look HTTP/1.1\r\n");
    server.process.terminate();
    let drain_started = Instant::now();
    while server.process.0.try_wait().unwrap().is_none() {
        assert!(
            drain_started.elapsed() < EVENT_TIMEOUT,
            "the server does not exit"
        );
        let process = server.process_info();
        // A process that is just exiting has no readable threads.
        let Ok(tasks) = process.tasks() else { continue };
        let tasks: Vec<_> = tasks.flatten().collect();
        assert!(
            tasks.len() <= MAX_THREADS,
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
    assert_eq!(server.process.wait().code(), Some(0));
    server.assert_wrote_no_files();
}

#[test]
fn idle_server_uses_little_processor_time() {
    let server = DeployedServer::start("idle");
    server.assert_answers_request(1);
    let per_second = procfs::ticks_per_second() as f64;
    let processor_seconds = || {
        server
            .process_info()
            .stat()
            .map(|stat| (stat.utime + stat.stime) as f64 / per_second)
            .unwrap()
    };
    let before = processor_seconds();
    thread::sleep(IDLE_PERIOD);
    let used = processor_seconds() - before;
    assert!(
        used < MAX_IDLE_CPU_FRACTION * IDLE_PERIOD.as_secs_f64(),
        "an idle server used {used} s of processor time"
    );
}

#[test]
fn descriptors_and_memory_are_released_after_thousand_connections() {
    let server = DeployedServer::start("connections");
    server.assert_answers_request(1);
    let open_sockets = || server.open_descriptors().0.len();
    let resident_bytes = || server.process_info().status().unwrap().vmrss.unwrap() * 1024;
    // The server may notice only later that the connection of `assert_answers_request` is closed, so one more socket is
    // allowed.
    let before = open_sockets() + 1;
    let mut resident = Vec::new();
    for round in 0..3u64 {
        // Each connection sends a request immediately, because silent connections are closed after a while. Some of the
        // requests cause runs.
        let open_connection = |n: u64| {
            let mut client = Http1Client::connect(server.address);
            match n % 20 {
                0 => client.send(&request(10 + round * 1000 + n, None, b"abc")),
                _ => client.send(b"GET /status/live HTTP/1.1\r\n\r\n"),
            }
            client
        };
        let mut clients: Vec<Http1Client> = (0..1000).map(open_connection).collect();
        for client in &mut clients {
            let status = client.read_response().0;
            assert!(
                status == 200 || status == 503,
                "status {status}, expected 200 or 503"
            );
        }
        assert!(
            open_sockets() > 1000,
            "connections are missing: {} open sockets",
            open_sockets()
        );
        drop(clients);
        wait_until("descriptors are released", || open_sockets() <= before);
        resident.push(resident_bytes());
    }
    // The memory that the allocator retains after the first round is sufficient for all later rounds.
    assert!(
        resident[2] <= resident[0] + MAX_RETAINED_BYTES / 4,
        "resident memory by round grows: {resident:?} bytes"
    );
    assert!(
        resident[2] <= 64 << 20,
        "resident memory by round, expected at most 64 MiB: {resident:?} bytes"
    );
    server.assert_answers_request(9);
    server.assert_meets_requirements("after many connections");
}

#[test]
fn server_is_ready_in_time_without_registration_service_and_store() {
    // Connections to the address of a dropped listener are refused.
    let refusing_address = || json!(bind_loopback().local_addr().unwrap());
    let server = DeployedServer::start_with_config("ready", |config| {
        config["announce"] = refusing_address();
        config["store"] = refusing_address();
    });
    let mut client = Http1Client::connect(server.address);
    loop {
        client.send(b"GET /status/live HTTP/1.1\r\n\r\n");
        if client.read_response().0 == 200 {
            break;
        }
        assert!(
            server.started_at.elapsed() < READY_TIMEOUT,
            "the server is not ready"
        );
        thread::sleep(Duration::from_millis(10));
    }
    server.assert_answers_request(1);
    assert!(
        server.started_at.elapsed() < READY_TIMEOUT,
        "the server was ready after {:?}",
        server.started_at.elapsed()
    );
}

/// A test of the drain of one server. The test completes the runs itself.
struct DrainTest {
    server: ServerFixture,
    interpreter: MockInterpreter,
    /// The time from SIGTERM until the platform kills the process.
    stop_timeout: Duration,
    /// When SIGTERM was sent.
    terminated_at: Option<Instant>,
}

impl DrainTest {
    /// Starts a server with this drain grace period.
    fn start(grace: Duration) -> DrainTest {
        let stop_timeout = grace + Duration::from_secs(3);
        let server = ServerFixture::start_with_config(|config| {
            config["settings"]["guarantees"]["drain-grace-s"] = json!(grace.as_secs_f64());
            config["stop_ms"] = json!(stop_timeout.as_millis() as u64);
        });
        let interpreter = server.accept_link();
        DrainTest {
            server,
            interpreter,
            stop_timeout,
            terminated_at: None,
        }
    }

    /// Opens a connection that is idle after one response.
    fn open_idle_connection(&mut self, txn: u64) -> Http1Client {
        let mut client = self.open_running_connection(txn);
        self.complete_run(txn);
        let (status, fields, _) = client.read_response();
        assert_eq!((status, fields.get("connection")), (200, None));
        client
    }

    /// Opens a connection whose request is running.
    fn open_running_connection(&mut self, txn: u64) -> Http1Client {
        let mut client = self.server.connect_client();
        client.send(&request(txn, None, b"abc"));
        self.assert_run_starts(txn);
        client
    }

    /// Asserts that the next command starts the run of this request.
    fn assert_run_starts(&mut self, txn: u64) {
        assert_eq!(self.interpreter.read_apply().0, task_id(txn));
    }

    /// Completes the run of this request.
    fn complete_run(&mut self, txn: u64) {
        self.interpreter
            .send_value(&task_id(txn), "complete", b"done");
    }

    /// Sends SIGTERM and waits until the server reports that it accepts no requests.
    fn begin_drain(&mut self) {
        self.server.process.terminate();
        self.terminated_at = Some(Instant::now());
        wait_for_not_accepting_report(&self.server.registration_reports);
    }

    /// Asserts that the server exits successfully before the platform would kill it, and starts no run that the
    /// test has not read.
    fn assert_exits_in_time(self) {
        let DrainTest {
            mut server,
            interpreter,
            stop_timeout,
            terminated_at,
        } = self;
        let remaining_commands = interpreter.read_remaining_commands();
        assert_eq!(server.process.wait().code(), Some(0));
        let elapsed = terminated_at.unwrap().elapsed();
        assert!(
            elapsed < stop_timeout,
            "the exit took {elapsed:?} of {stop_timeout:?}"
        );
        assert!(
            remaining_commands
                .iter()
                .all(|command| command["verb"] != "APPLY"),
            "a run was started: {remaining_commands:?}"
        );
    }
}

/// Reads a response. Returns its status and whether it closes the connection.
fn read_status_and_close(client: &mut Http1Client) -> (u16, bool) {
    let (status, fields, _) = client.read_response();
    (
        status,
        fields
            .get("connection")
            .is_some_and(|value| value == "close"),
    )
}

#[test]
fn requests_on_idle_connections_within_drain_grace_are_answered() {
    let mut test = DrainTest::start(Duration::from_secs(2));
    let (mut first, mut second) = (test.open_idle_connection(1), test.open_idle_connection(2));
    test.begin_drain();
    // The first request arrives immediately, the second only in part.
    second.send(b"POST /svc/look ");
    first.send(&request(3, None, b"abc"));
    test.assert_run_starts(3);
    test.complete_run(3);
    assert_eq!(read_status_and_close(&mut first), (200, true));
    first.assert_closed();
    second.send(&request(4, None, b"abc")[b"POST /svc/look ".len()..]);
    test.assert_run_starts(4);
    test.complete_run(4);
    assert_eq!(read_status_and_close(&mut second), (200, true));
    second.assert_closed();
    // A request that admission control rejects, here because of its memory requirement, is answered as well.
    let mut large = test.server.connect_client();
    let text = String::from_utf8(request(5, None, b"abc")).unwrap();
    large.send(text.replace("Set-Kb: 24.5", "Set-Kb: 1999").as_bytes());
    assert_eq!(read_status_and_close(&mut large), (503, true));
    test.assert_exits_in_time();
}

#[test]
fn requests_after_drain_grace_are_rejected_and_never_run() {
    let mut test = DrainTest::start(Duration::from_millis(500));
    let (mut idle, mut partial) = (test.open_idle_connection(1), test.open_idle_connection(2));
    let mut busy = test.open_running_connection(3);
    test.begin_drain();
    partial.send(b"POST /svc/look ");
    // The server closes the idle connection once it accepts no requests any more.
    idle.assert_closed();
    thread::sleep(SOCKET_TIME_TOLERANCE);
    partial.send(&request(4, None, b"abc")[b"POST /svc/look ".len()..]);
    assert_eq!(read_status_and_close(&mut partial), (503, true));
    partial.assert_closed();
    busy.send(&request(5, None, b"abc"));
    test.complete_run(3);
    assert_eq!(read_status_and_close(&mut busy).0, 200);
    assert_eq!(read_status_and_close(&mut busy), (503, true));
    busy.assert_closed();
    test.assert_exits_in_time();
}

// The process gets no processor time until the grace period is over, so at its next iteration it stops accepting while
// requests wait in the sockets. They must be answered rather than reset.
#[test]
fn requests_received_while_suspended_past_drain_grace_are_rejected() {
    let grace = Duration::from_secs(1);
    let mut test = DrainTest::start(grace);
    let mut idle = test.open_idle_connection(1);
    test.begin_drain();
    test.server.process.signal("STOP");
    let process = Process::new(test.server.process.0.id() as i32).unwrap();
    wait_until("the process is stopped", || {
        process.stat().unwrap().state == 'T'
    });
    wait_until("the drain grace period is over", || {
        test.terminated_at.unwrap().elapsed() > grace * 5 / 4
    });
    idle.send(&request(2, None, b"abc"));
    let mut new_clients: Vec<Http1Client> = (3..8).map(|_| test.server.connect_client()).collect();
    for (client, txn) in new_clients.iter_mut().zip(3..) {
        client.send(&request(txn, None, b"abc"));
    }
    test.server.process.signal("CONT");
    for client in [&mut idle].into_iter().chain(&mut new_clients) {
        assert_eq!(read_status_and_close(client), (503, true));
        client.assert_closed();
    }
    test.assert_exits_in_time();
}

// The first request of the connection is running when the drain begins, and the second arrives just before or after.
#[test]
fn pipelined_requests_across_drain_start_are_answered_and_only_last_closes() {
    for sent_before_drain in [false, true] {
        let mut test = DrainTest::start(Duration::from_secs(2));
        let mut client = test.open_running_connection(1);
        if sent_before_drain {
            client.send(&request(2, None, b"def"));
        }
        test.begin_drain();
        if !sent_before_drain {
            client.send(&request(2, None, b"def"));
        }
        test.complete_run(1);
        // Requests that follow a response with `Connection: close` are not read, so the second request would be lost.
        assert_eq!(read_status_and_close(&mut client), (200, false));
        test.assert_run_starts(2);
        test.complete_run(2);
        assert_eq!(read_status_and_close(&mut client), (200, true));
        client.assert_closed();
        test.assert_exits_in_time();
    }
}

#[test]
fn drain_closes_idle_connections_without_reset_and_exits_in_time() {
    let mut test = DrainTest::start(Duration::from_millis(500));
    let mut idle_clients: Vec<Http1Client> =
        (1..5).map(|txn| test.open_idle_connection(txn)).collect();
    let mut silent = test.server.connect_client();
    test.begin_drain();
    // A health check is still answered, on an idle connection that stays open for it.
    idle_clients[0].send(b"GET /status/live HTTP/1.1\r\n\r\n");
    assert_eq!(read_status_and_close(&mut idle_clients[0]).0, 503);
    // The server must close these without data or a reset, because load balancers do not close idle connections.
    for client in idle_clients.iter_mut().chain([&mut silent]) {
        client.assert_closed();
    }
    test.assert_exits_in_time();
}
