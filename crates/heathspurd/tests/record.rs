//! Tests of traffic recording by the server process. They read back the recorded files, and check that disk errors do
//! not affect clients.

mod common;

use common::task_id;
use heathspur_capture::reassembly::Event;
use heathspur_capture::{Item, Leg, Options};
use heathspur_testkit::capture::{parse_capture, ParsedCapture};
use heathspur_testkit::prelude::*;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// A directory for recorded files. Removed when dropped.
struct RecordingDirectory(PathBuf);

impl RecordingDirectory {
    fn new(name: &str) -> RecordingDirectory {
        let path =
            std::env::temp_dir().join(format!("heathspurd-record-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        RecordingDirectory(path)
    }

    /// Writes an operator's file that enables recording to this directory. Returns its path.
    fn write_operator_file(&self, attributes: &str, elements: &str) -> PathBuf {
        let file = self.0.with_extension("xml");
        let directory = self.0.display();
        let text = format!(
            "<operator xmlns=\"urn:heathspur:operator:1\"><record directory=\"{directory}\" {attributes}>{elements}</record></operator>"
        );
        std::fs::write(&file, text).unwrap();
        file
    }

    /// Returns the contents of all recorded files, concatenated in the order of their names.
    fn read_bytes(&self) -> Vec<u8> {
        let mut paths: Vec<_> = std::fs::read_dir(&self.0)
            .unwrap()
            .map(|entry| entry.unwrap().path())
            .collect();
        paths.sort();
        paths
            .iter()
            .flat_map(|path| std::fs::read(path).unwrap())
            .collect()
    }

    /// Parses all recorded files.
    fn parse(&self) -> ParsedCapture {
        parse_capture(
            &self.read_bytes(),
            Options {
                checksums: true,
                ..Options::default()
            },
            4096,
        )
    }

    /// Waits until at least `count` requests are recorded. Returns the parsed files.
    fn wait_for_requests(&self, count: usize) -> ParsedCapture {
        let start = Instant::now();
        loop {
            let capture = self.parse();
            if capture.requests.len() >= count {
                return capture;
            }
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "{} of {count} requests were recorded",
                capture.requests.len()
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
}

impl Drop for RecordingDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
        let _ = std::fs::remove_file(self.0.with_extension("xml"));
    }
}

/// Starts a server with this operator's file, with its link to the interpreter up.
fn start_server(operator_file: &Path) -> (ServerFixture, MockInterpreter) {
    let server = ServerFixture::start_with_operator_file(operator_file);
    let interpreter = server.accept_link();
    (server, interpreter)
}

/// Sends requests on one connection and completes their runs. Returns the bytes sent for each request.
fn serve_requests(
    server: &ServerFixture,
    interpreter: &mut MockInterpreter,
    txns: std::ops::Range<u64>,
) -> Vec<Vec<u8>> {
    let mut client = server.connect_client();
    let mut sent = Vec::new();
    for txn in txns {
        let bytes = request(txn, Some(&format!("key-{txn}")), b"4929001234567890");
        client.send(&bytes);
        assert_eq!(interpreter.read_apply().2, b"4929001234567890");
        interpreter.send_value(&task_id(txn), "complete", b"approved");
        assert_eq!(client.read_response().0, 200);
        sent.push(bytes);
    }
    sent
}

#[test]
fn full_recording_contains_exact_bytes_up_to_shutdown() {
    let directory = RecordingDirectory::new("full");
    let (mut server, mut interpreter) =
        start_server(&directory.write_operator_file("contents=\"full\"", ""));
    let sent = [
        serve_requests(&server, &mut interpreter, 1..5),
        serve_requests(&server, &mut interpreter, 5..9),
    ]
    .concat();
    server.process.terminate();
    assert_eq!(server.process.wait().code(), Some(0));
    let capture = directory.parse();
    let recorded: Vec<_> = capture
        .requests
        .iter()
        .map(|(_, _, message)| message.bytes.to_vec())
        .collect();
    assert_eq!(recorded, sent);
    assert!(capture
        .responses
        .iter()
        .all(|(_, to, m)| to.is_some() && m.status() == Some(200) && m.body() == b"approved"));
    assert_eq!(
        (
            capture.responses.len(),
            capture.tally.holes,
            capture.tally.error
        ),
        (8, 0, None)
    );
    let closed_connections = capture
        .connections
        .iter()
        .filter(|item| matches!(item, Item::Connection(Event::Closed { .. })));
    assert_eq!(closed_connections.count(), 2);
    // Timestamps are wall-clock times.
    let now = unix_ms() as u64 * 1_000_000;
    let first = capture.requests[0].2.first_byte_at.0;
    assert!(
        first <= now && now - first < 600_000_000_000,
        "the first request is recorded at {first} ns, and it is {now} ns now"
    );
}

#[test]
fn header_recording_contains_no_body_and_no_masked_field() {
    let directory = RecordingDirectory::new("headers");
    let (server, mut interpreter) =
        start_server(&directory.write_operator_file("", "<mask header=\"X-Txn-Key\"/>"));
    serve_requests(&server, &mut interpreter, 1..4);
    let capture = directory.wait_for_requests(3);
    let bytes = directory.read_bytes();
    for secret in [&b"492900"[..], b"approved", b"key-1", b"key-3"] {
        assert!(
            !bytes.windows(secret.len()).any(|part| part == secret),
            "{secret:?} was recorded"
        );
    }
    for (_, _, message) in &capture.requests {
        assert_eq!(message.body(), b"xxxxxxxxxxxxxxxx");
        assert!(message
            .field("X-Merchant")
            .is_some_and(|tenant| tenant == b"north"));
    }
}

#[test]
fn links_are_recorded_if_enabled() {
    let directory = RecordingDirectory::new("links");
    let (server, mut interpreter) =
        start_server(&directory.write_operator_file("contents=\"full\" links=\"true\"", ""));
    let mut client = server.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    interpreter.read_apply();
    interpreter.send_await("0000000000000001", b"may I");
    let mut store = accept(&server.store_listener);
    let mut call = [0; 4];
    std::io::Read::read_exact(&mut store, &mut call).unwrap();
    assert_eq!(&call, b"CALL");
    directory.wait_for_requests(1);
    let start = Instant::now();
    // Both the command to the interpreter and the call to the store must be recorded.
    let is_recorded = |text: &[u8]| {
        directory
            .read_bytes()
            .windows(text.len())
            .any(|part| part == text)
    };
    while !(is_recorded(b"\"APPLY\"") && is_recorded(b"CALL 0000000000000001")) {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the command or the call was not recorded"
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    // The parser must attribute the packets to their links rather than treat them as invalid requests.
    let capture = directory.parse();
    let links: Vec<_> = capture.tally.links.keys().copied().collect();
    assert_eq!(links, [Leg::Interpreter, Leg::Store]);
    assert!(capture
        .tally
        .links
        .values()
        .all(|(packets, bytes)| *packets > 0 && *bytes > 0));
    assert_eq!(
        (
            capture.skipped,
            capture.requests.len(),
            capture.tally.tcp.connections
        ),
        (Vec::new(), 1, 1)
    );
}

#[test]
fn recording_resumes_after_missing_directory_is_created() {
    let directory = RecordingDirectory::new("gone");
    std::fs::remove_dir_all(&directory.0).unwrap();
    let (server, mut interpreter) =
        start_server(&directory.write_operator_file("contents=\"full\"", ""));
    serve_requests(&server, &mut interpreter, 1..20);
    server.wait_for_log("recording stopped: cannot write to ");
    std::fs::create_dir_all(&directory.0).unwrap();
    let start = Instant::now();
    let mut txn = 100;
    while directory.parse().requests.is_empty() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "no request was recorded after the directory was created"
        );
        serve_requests(&server, &mut interpreter, txn..txn + 1);
        txn += 1;
    }
    assert!(server
        .wait_for_log("recording")
        .contains("recording resumed in n3-"));
}

#[test]
fn recording_resumes_after_removed_directory_is_recreated() {
    let directory = RecordingDirectory::new("under");
    let (server, mut interpreter) =
        start_server(&directory.write_operator_file("contents=\"full\"", ""));
    serve_requests(&server, &mut interpreter, 1..3);
    directory.wait_for_requests(2);
    std::fs::remove_dir_all(&directory.0).unwrap();
    serve_requests(&server, &mut interpreter, 10..12);
    server.wait_for_log("recording stopped: cannot write to ");
    std::fs::create_dir_all(&directory.0).unwrap();
    let start = Instant::now();
    let mut txn = 100;
    while directory.parse().requests.is_empty() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "no request was recorded after the directory was created"
        );
        serve_requests(&server, &mut interpreter, txn..txn + 1);
        txn += 1;
    }
}

#[test]
fn killed_process_leaves_complete_blocks() {
    let directory = RecordingDirectory::new("killed");
    let (mut server, mut interpreter) =
        start_server(&directory.write_operator_file("contents=\"full\"", ""));
    let sent = serve_requests(&server, &mut interpreter, 1..9);
    directory.wait_for_requests(8);
    server.process.signal("KILL");
    server.process.wait();
    let capture = directory.parse();
    assert_eq!(
        (capture.tally.error, capture.requests.len()),
        (None, sent.len())
    );
    // After a restart, the server records to a new file.
    let (server, mut interpreter) =
        start_server(&directory.write_operator_file("contents=\"full\"", ""));
    serve_requests(&server, &mut interpreter, 20..22);
    directory.wait_for_requests(10);
    assert_eq!(std::fs::read_dir(&directory.0).unwrap().count(), 2);
}

#[test]
fn files_rotate_under_load_and_oldest_are_deleted() {
    let directory = RecordingDirectory::new("rotate");
    let (server, mut interpreter) = start_server(
        &directory.write_operator_file("contents=\"full\"", "<files size=\"64 KiB\" keep=\"2\"/>"),
    );
    let mut client = server.connect_client();
    for txn in 1..120 {
        client.send(&request(txn, None, &[b'a'; 1900]));
        interpreter.read_apply();
        interpreter.send_value(&task_id(txn), "complete", b"x");
        assert_eq!(client.read_response().0, 200);
        // Blocks are buffered for a short time, and file sizes are checked when the blocks are written.
        if txn % 20 == 0 {
            std::thread::sleep(std::time::Duration::from_millis(250));
        }
    }
    let paths: Vec<_> = std::fs::read_dir(&directory.0)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    assert_eq!(paths.len(), 2, "{paths:?}");
    let capture = directory.parse();
    assert!(
        capture.requests.len() > 20 && capture.requests.len() < 119,
        "{} requests are left, expected some but not all of 119",
        capture.requests.len()
    );
}
