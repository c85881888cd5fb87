//! Recording, as the process does it: what it writes is read back, and no trouble with the disk reaches callers.

use heathspur_capture::reassembly::Event;
use heathspur_capture::{Item, Leg, Options};
use heathspur_testkit::capture::{parse_capture, ParsedCapture};
use heathspur_testkit::prelude::*;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// A folder of its own, gone with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder =
            std::env::temp_dir().join(format!("heathspurd-record-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn operator(&self, attributes: &str, inner: &str) -> PathBuf {
        let file = self.0.with_extension("xml");
        let directory = self.0.display();
        let text = format!(
            "<operator xmlns=\"urn:heathspur:operator:1\"><record directory=\"{directory}\" {attributes}>{inner}</record></operator>"
        );
        std::fs::write(&file, text).unwrap();
        file
    }

    /// All that was recorded, the files one behind the other.
    fn bytes(&self) -> Vec<u8> {
        let mut names: Vec<_> = std::fs::read_dir(&self.0)
            .unwrap()
            .map(|e| e.unwrap().path())
            .collect();
        names.sort();
        names
            .iter()
            .flat_map(|name| std::fs::read(name).unwrap())
            .collect()
    }

    fn read(&self) -> ParsedCapture {
        parse_capture(
            &self.bytes(),
            Options {
                checksums: true,
                ..Options::default()
            },
            4096,
        )
    }

    /// Waits until as many requests are in the files.
    fn holds(&self, requests: usize) -> ParsedCapture {
        let start = Instant::now();
        loop {
            let read = self.read();
            if read.requests.len() >= requests {
                return read;
            }
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "{} of {requests} requests were recorded",
                read.requests.len()
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
        let _ = std::fs::remove_file(self.0.with_extension("xml"));
    }
}

fn recording(operator: &Path) -> (ServerFixture, MockInterpreter) {
    let rig = ServerFixture::start_with_operator_file(operator);
    let vm = rig.accept_link();
    (rig, vm)
}

/// Serves requests on one connection; what was sent.
fn serve(
    rig: &ServerFixture,
    vm: &mut MockInterpreter,
    txns: std::ops::Range<u64>,
) -> Vec<Vec<u8>> {
    let mut client = rig.connect_client();
    let mut sent = Vec::new();
    for txn in txns {
        let bytes = request(txn, Some(&format!("key-{txn}")), b"4929001234567890");
        client.send(&bytes);
        assert_eq!(vm.read_apply().2, b"4929001234567890");
        vm.send_value(&format!("{txn:016x}"), "complete", b"approved");
        assert_eq!(client.read_response().0, 200);
        sent.push(bytes);
    }
    sent
}

#[test]
fn what_callers_and_the_server_said_is_recorded_byte_for_byte_until_the_stop() {
    let folder = Folder::new("full");
    let (mut rig, mut vm) = recording(&folder.operator("contents=\"full\"", ""));
    let sent = [serve(&rig, &mut vm, 1..5), serve(&rig, &mut vm, 5..9)].concat();
    rig.process.terminate();
    assert_eq!(rig.process.wait().code(), Some(0));
    let read = folder.read();
    let got: Vec<_> = read
        .requests
        .iter()
        .map(|(_, _, message)| message.bytes.to_vec())
        .collect();
    assert_eq!(got, sent);
    assert!(read
        .responses
        .iter()
        .all(|(_, to, m)| to.is_some() && m.status() == Some(200) && m.body() == b"approved"));
    assert_eq!(
        (read.responses.len(), read.tally.holes, read.tally.damage),
        (8, 0, None)
    );
    let ends = read
        .connections
        .iter()
        .filter(|item| matches!(item, Item::Connection(Event::Closed { .. })));
    assert_eq!(ends.count(), 2);
    // Its clock is the wall's.
    let now = unix_ms() as u64 * 1_000_000;
    let first = read.requests[0].2.first.0;
    assert!(first <= now && now - first < 600_000_000_000);
}

#[test]
fn headers_alone_hold_no_body_and_no_masked_field() {
    let folder = Folder::new("headers");
    let (_rig, mut vm) = recording(&folder.operator("", "<mask header=\"X-Txn-Key\"/>"));
    serve(&_rig, &mut vm, 1..4);
    let read = folder.holds(3);
    let bytes = folder.bytes();
    for secret in [&b"492900"[..], b"approved", b"key-1", b"key-3"] {
        assert!(
            !bytes.windows(secret.len()).any(|part| part == secret),
            "{secret:?}"
        );
    }
    for (_, _, message) in &read.requests {
        assert_eq!(message.body(), b"xxxxxxxxxxxxxxxx");
        assert!(message
            .field("X-Merchant")
            .is_some_and(|tenant| tenant == b"north"));
    }
}

#[test]
fn the_links_are_recorded_beside_where_that_is_switched_on() {
    let folder = Folder::new("links");
    let (rig, mut vm) = recording(&folder.operator("contents=\"full\" links=\"true\"", ""));
    let mut client = rig.connect_client();
    client.send(&request(1, Some("k"), b"abc"));
    vm.read_apply();
    vm.send_await("0000000000000001", b"may I");
    let mut store = accept(&rig.store_listener);
    let mut call = [0; 4];
    std::io::Read::read_exact(&mut store, &mut call).unwrap();
    assert_eq!(&call, b"CALL");
    folder.holds(1);
    let start = Instant::now();
    // The interpreter's command and the call are on their interfaces.
    let has = |words: &[u8]| {
        folder
            .bytes()
            .windows(words.len())
            .any(|part| part == words)
    };
    while !(has(b"\"APPLY\"") && has(b"CALL 0000000000000001")) {
        assert!(start.elapsed() < EVENT_TIMEOUT);
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    // A reader knows them for what they are: no broken requests, but links that are told apart.
    let read = folder.read();
    let legs: Vec<_> = read.tally.links.keys().copied().collect();
    assert_eq!(legs, [Leg::Interpreter, Leg::Store]);
    assert!(read
        .tally
        .links
        .values()
        .all(|(packets, bytes)| *packets > 0 && *bytes > 0));
    assert_eq!(
        (
            read.skipped,
            read.requests.len(),
            read.tally.tcp.connections
        ),
        (Vec::new(), 1, 1)
    );
}

#[test]
fn a_folder_that_goes_and_comes_back_stops_recording_and_nothing_else() {
    let folder = Folder::new("gone");
    std::fs::remove_dir_all(&folder.0).unwrap();
    let (rig, mut vm) = recording(&folder.operator("contents=\"full\"", ""));
    serve(&rig, &mut vm, 1..20);
    rig.wait_for_log("recording has stopped");
    std::fs::create_dir_all(&folder.0).unwrap();
    let start = Instant::now();
    let mut txn = 100;
    while folder.read().requests.is_empty() {
        assert!(start.elapsed() < EVENT_TIMEOUT);
        serve(&rig, &mut vm, txn..txn + 1);
        txn += 1;
    }
    assert!(rig
        .wait_for_log("recording")
        .contains("recording goes on in n3-"));
}

#[test]
fn a_folder_that_goes_under_an_open_file_is_noticed() {
    let folder = Folder::new("under");
    let (rig, mut vm) = recording(&folder.operator("contents=\"full\"", ""));
    serve(&rig, &mut vm, 1..3);
    folder.holds(2);
    std::fs::remove_dir_all(&folder.0).unwrap();
    serve(&rig, &mut vm, 10..12);
    rig.wait_for_log("recording has stopped");
    std::fs::create_dir_all(&folder.0).unwrap();
    let start = Instant::now();
    let mut txn = 100;
    while folder.read().requests.is_empty() {
        assert!(start.elapsed() < EVENT_TIMEOUT);
        serve(&rig, &mut vm, txn..txn + 1);
        txn += 1;
    }
}

#[test]
fn a_process_that_is_killed_leaves_whole_blocks() {
    let folder = Folder::new("killed");
    let (mut rig, mut vm) = recording(&folder.operator("contents=\"full\"", ""));
    let sent = serve(&rig, &mut vm, 1..9);
    folder.holds(8);
    rig.process.signal("KILL");
    rig.process.wait();
    let read = folder.read();
    assert_eq!((read.tally.damage, read.requests.len()), (None, sent.len()));
    // The next life goes on in a file of its own.
    let (rig, mut vm) = recording(&folder.operator("contents=\"full\"", ""));
    serve(&rig, &mut vm, 20..22);
    folder.holds(10);
    assert_eq!(std::fs::read_dir(&folder.0).unwrap().count(), 2);
}

#[test]
fn files_change_while_requests_are_served_and_the_oldest_go() {
    let folder = Folder::new("rotate");
    let (rig, mut vm) =
        recording(&folder.operator("contents=\"full\"", "<files size=\"64 KiB\" keep=\"2\"/>"));
    let mut client = rig.connect_client();
    for txn in 1..120 {
        client.send(&request(txn, None, &[b'a'; 1900]));
        vm.read_apply();
        vm.send_value(&format!("{txn:016x}"), "complete", b"x");
        assert_eq!(client.read_response().0, 200);
        // Blocks are written together after a moment at the latest, and sizes are looked at then.
        if txn % 20 == 0 {
            std::thread::sleep(std::time::Duration::from_millis(250));
        }
    }
    let names: Vec<_> = std::fs::read_dir(&folder.0)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    assert_eq!(names.len(), 2, "{names:?}");
    let read = folder.read();
    assert!(
        read.requests.len() > 20 && read.requests.len() < 119,
        "{}",
        read.requests.len()
    );
}
