//! HTTP/2 as the process speaks it, against scripted stand-ins: the four rules, each limit, each abuse.

use heathspur_testkit::http2::*;
use heathspur_testkit::prelude::{
    request, Fields, Http1Client, MockInterpreter, ServerFixture, EVENT_TIMEOUT,
};
use serde_json::json;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn operator(name: &str, inner: &str) -> File {
    let file = std::env::temp_dir().join(format!(
        "heathspurd-http2-{}-{name}.xml",
        std::process::id()
    ));
    let text = format!(
        "<operator xmlns=\"urn:heathspur:operator:1\"><http2 listen=\"127.0.0.1:0\">{inner}</http2></operator>"
    );
    std::fs::write(&file, text).unwrap();
    File(file)
}

/// A server with the port on, and where that is.
fn start(name: &str, inner: &str) -> (ServerFixture, MockInterpreter, SocketAddr) {
    let file = operator(name, inner);
    let rig = ServerFixture::start_with_operator_file_and_config(&file.0, |c| {
        if name == "fair" {
            // Room for 600 bodies at once: what a full memory turns away is not what is tested there.
            c["settings"]["family-info"]["mem-limit-kb"] = 90_000.0.into();
        }
    });
    let address = rig.wait_for_listen_address();
    let vm = rig.accept_link();
    (rig, vm, address)
}

fn task(txn: u64) -> String {
    format!("{txn:016x}")
}

/// Requests of another connection are still answered.
fn serves(address: SocketAddr, vm: &mut MockInterpreter, txn: u64) {
    let mut caller = Http2Client::connect(address);
    let id = caller.send_request(txn, None, b"good");
    assert_eq!(vm.read_apply().0, task(txn));
    vm.send_value(&task(txn), "complete", b"fine");
    let (status, _, body) = caller.read_response(id);
    assert_eq!((status, &body[..]), (200, &b"fine"[..]));
}

#[test]
fn many_requests_of_one_connection_are_answered_in_any_order() {
    let (_rig, mut vm, address) = start("order", "");
    let mut caller = Http2Client::connect(address);
    let body: Vec<u8> = (0..=255).collect();
    let ids: Vec<u32> = (1..6)
        .map(|txn| caller.send_request(txn, None, &body))
        .collect();
    let mut applied: Vec<_> = (1..6).map(|_| vm.read_apply()).collect();
    applied.sort();
    assert!(applied
        .iter()
        .all(|(_, class, bytes)| class == "look" && *bytes == body));
    for txn in (1..6).rev() {
        vm.send_value(&task(txn), "complete", &body[txn as usize..]);
    }
    for (txn, id) in (1..6).zip(ids) {
        let (status, fields, result) = caller.read_response(id);
        assert_eq!((status, &result[..]), (200, &body[txn..]));
        assert_eq!(fields["content-length"], result.len().to_string());
    }
    assert!(caller.goaways.is_empty());
}

#[test]
fn every_byte_may_come_alone() {
    let (_rig, mut vm, address) = start("bytes", "");
    let mut caller = Http2Client::connect_without_preface(address);
    let (id, mut bytes) = (
        caller.allocate_stream_id(),
        [PREFACE, &settings_frame(&[])].concat(),
    );
    bytes.extend(caller.encode_request(id, 1, Some("k"), b"abc"));
    for byte in bytes {
        caller.send_raw(&[byte]);
    }
    assert_eq!(
        vm.read_apply(),
        (task(1), "pay".to_string(), b"abc".to_vec())
    );
    vm.send_value(&task(1), "complete", b"");
    assert_eq!(caller.read_response(id).0, 200);
}

#[test]
fn a_refusal_says_the_same_as_over_http1() {
    let file = operator("refusal", "");
    let rig = ServerFixture::start_with_operator_file_and_config(&file.0, |c| {
        c["settings"]["family-info"]["mem-limit-kb"] = json!(20.0)
    });
    let address = rig.wait_for_listen_address();
    let _vm = rig.accept_link();
    let mut caller = Http2Client::connect(address);
    let id = caller.send_request(1, None, b"abc");
    let (status, fields, _) = caller.read_response(id);
    let mut client = rig.connect_client();
    client.send(&request(2, None, b"abc"));
    let (other, its, _) = client.read_response();
    assert_eq!((status, other), (503, 503));
    let names = |fields: &Fields| {
        fields
            .keys()
            .filter(|n| n.starts_with("x-"))
            .cloned()
            .collect::<Vec<_>>()
    };
    assert_eq!(names(&fields), names(&its));
    assert!(fields["x-throttle-ms"].parse::<u64>().unwrap() > 0);
}

#[test]
fn a_capture_that_is_reset_runs_once_and_its_result_is_kept_for_any_protocol() {
    let (rig, mut vm, address) = start("reset", "");
    let mut caller = Http2Client::connect(address);
    let first = caller.send_request(1, Some("k1"), b"pay");
    assert_eq!(vm.read_apply().0, task(1));
    caller.send_reset(first, CANCEL);
    // Another stream, another connection, another protocol: all wait for the one run.
    let second = caller.send_request(2, Some("k1"), b"pay");
    let mut other = Http2Client::connect(address);
    let third = other.send_request(3, Some("k1"), b"pay");
    let mut client = rig.connect_client();
    client.send(&request(4, Some("k1"), b"pay"));
    let marker = other.send_request(5, Some("k2"), b"pay");
    assert_eq!(vm.read_apply().0, task(5), "no repeat runs");
    vm.send_value(&task(1), "complete", b"done");
    assert_eq!(caller.read_response(second).2, b"done");
    assert_eq!(other.read_response(third).2, b"done");
    assert_eq!(client.read_response().2, b"done");
    // And after it has ended.
    let late = other.send_request(6, Some("k1"), b"pay");
    assert_eq!(other.read_response(late).2, b"done");
    vm.send_value(&task(5), "complete", b"other");
    assert_eq!(other.read_response(marker).2, b"other");
    // The key goes with one body whatever the protocol.
    let wrong = other.send_request(7, Some("k1"), b"another");
    assert_eq!(other.read_response(wrong).0, 422);
}

#[test]
fn a_reset_counts_as_the_caller_having_gone_and_so_does_a_lost_connection() {
    let (_rig, mut vm, address) = start("gone", "");
    for txn in 1..40 {
        let mut caller = Http2Client::connect(address);
        let id = caller.send_request(txn, None, b"abc");
        assert_eq!(vm.read_apply().0, task(txn));
        match txn % 2 {
            0 => caller.send_reset(id, CANCEL),
            _ => drop(caller),
        }
        let stop = vm.read_command();
        assert_eq!(
            (&stop["verb"], &stop["task"]),
            (&json!("BREAK"), &json!(task(txn)))
        );
        vm.send_value(&task(txn), "cancelled", b"");
    }
}

#[test]
fn what_is_no_request_is_answered_and_the_connection_stays() {
    let (_rig, mut vm, address) = start("wrong", "");
    let mut caller = Http2Client::connect(address);
    let id = caller.send_get("/svc/look");
    assert_eq!(caller.read_response(id).0, 405);
    let id = caller.send_get("/nothing");
    assert_eq!(caller.read_response(id).0, 404);
    let head = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/svc/look"),
        (":authority", "b"),
    ];
    let id = caller.open_stream(&head, true);
    assert_eq!(caller.read_response(id).0, 400);
    let id = caller.open_stream(&head, false);
    caller.send_data(id, &[0; 1500], false);
    caller.send_data(id, &[0; 549], false);
    assert_eq!(caller.read_response(id).0, 413);
    let id = caller.send_get("/status/live");
    assert!(matches!(caller.read_response(id).0, 200 | 503));
    let id = caller.open_stream(
        &[
            (":method", "HEAD"),
            head[1],
            (":path", "/status/live"),
            head[3],
        ],
        true,
    );
    assert!(caller.read_response(id).2.is_empty());
    serves(address, &mut vm, 1);
    let id = caller.send_request(2, None, b"x");
    vm.read_apply();
    vm.send_value(&task(2), "complete", b"y");
    assert_eq!(caller.read_response(id).2, b"y");
}

#[test]
fn a_request_that_stops_half_way_is_answered_in_time() {
    let (_rig, mut vm, address) = start("half", "<request whole=\"200 ms\"/>");
    let mut caller = Http2Client::connect(address);
    let head = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/svc/look"),
        (":authority", "b"),
    ];
    let id = caller.open_stream(&head, false);
    caller.send_data(id, b"abc", false);
    assert_eq!(caller.read_response(id).0, 408);
    // Trailers may end a request.
    let id = caller.allocate_stream_id();
    let bytes = caller.encode_request(id, 1, None, b"abc");
    let at = bytes.len() - 3 - 9 + 4;
    let mut open = bytes.clone();
    open[at] = 0;
    caller.send_raw(&open);
    let block = caller.encode_headers(&[("x-note", "end")]);
    caller.send_raw(&encode_frame(HEADERS, END_HEADERS | END_STREAM, id, &block));
    assert_eq!(vm.read_apply().2, b"abc");
    vm.send_value(&task(1), "complete", b"y");
    assert_eq!(caller.read_response(id).2, b"y");
}

#[test]
fn another_version_is_told_so_in_words_it_can_read_and_silence_is_ended() {
    let (_rig, mut vm, address) = start("version", "<request whole=\"200 ms\"/>");
    let mut client = Http1Client::connect(address);
    client.send(&request(1, None, b"abc"));
    let (status, fields, body) = client.read_response();
    assert_eq!((status, fields["connection"].as_str()), (505, "close"));
    assert!(String::from_utf8(body).unwrap().contains("HTTP/2"));
    client.assert_closed();
    let silent = Http2Client::connect_without_preface(address);
    assert_eq!(silent.socket().read(&mut [0; 9]).unwrap(), 0);
    let mut half = Http2Client::connect_without_preface(address);
    half.send_raw(&PREFACE[..12]);
    assert_eq!(half.socket().read(&mut [0; 9]).unwrap(), 0);
    half.auto_reply = false;
    serves(address, &mut vm, 2);
}

#[test]
fn streams_past_a_limit_are_refused_with_proof_that_nothing_ran() {
    let (_rig, mut vm, address) = start("limit", "<streams connection=\"2\" all=\"4\"/>");
    let mut caller = Http2Client::connect(address);
    let ids: Vec<u32> = (1..3)
        .map(|txn| caller.send_request(txn, None, b"abc"))
        .collect();
    (1..3).for_each(|_| drop(vm.read_apply()));
    // It was told so, and has acknowledged it.
    let id = caller.send_request(9, None, b"abc");
    assert_eq!(
        caller.wait_for_outcome(id),
        StreamOutcome::Reset(REFUSED_STREAM)
    );
    assert_eq!(caller.peer_settings[&3], 2);
    let mut second = Http2Client::connect(address);
    let more: Vec<u32> = (20..22)
        .map(|txn| second.send_request(txn, None, b"abc"))
        .collect();
    (20..22).for_each(|_| drop(vm.read_apply()));
    let mut third = Http2Client::connect(address);
    let id = third.send_request(30, None, b"abc");
    assert_eq!(
        third.wait_for_outcome(id),
        StreamOutcome::Reset(REFUSED_STREAM)
    );
    for (txn, id) in (1..3).zip(ids) {
        vm.send_value(&task(txn), "complete", b"x");
        assert_eq!(caller.read_response(id).0, 200);
    }
    let id = third.send_request(31, None, b"abc");
    assert_eq!(vm.read_apply().0, task(31));
    vm.send_value(&task(31), "complete", b"x");
    assert_eq!(third.read_response(id).0, 200);
    drop((second, more));
}

#[test]
fn a_stalled_readers_answers_are_dropped_in_time_and_what_ran_is_kept() {
    let (_rig, mut vm, address) = start("stall", "<patience stalled=\"300 ms\"/>");
    // Its window is shut from the start, and it never opens it.
    let mut caller =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let ids: Vec<u32> = (1..6)
        .map(|txn| caller.send_request(txn, Some(&format!("k{txn}")), b"pay"))
        .collect();
    for _ in 1..6 {
        let (task, ..) = vm.read_apply();
        vm.send_value(&task, "complete", b"receipt");
    }
    for id in ids {
        assert_eq!(
            caller.wait_for_outcome(id),
            StreamOutcome::Reset(ENHANCE_YOUR_CALM)
        );
    }
    let mut client = Http2Client::connect(address);
    let id = client.send_request(9, Some("k3"), b"pay");
    assert_eq!(client.read_response(id).2, b"receipt");
}

#[test]
fn what_nobody_reads_stays_within_its_budget_and_the_one_who_stalls_pays() {
    let memory = "<memory answers=\"64 KiB\" connection=\"64 KiB\"/><patience stalled=\"60 s\"/>";
    let (_rig, mut vm, address) = start("budget", memory);
    let mut stalled =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let answer = vec![7; 6000];
    let ids: Vec<u32> = (1..21)
        .map(|txn| stalled.send_request(txn, None, b"x"))
        .collect();
    for _ in 1..21 {
        let (task, ..) = vm.read_apply();
        vm.send_value(&task, "complete", &answer);
    }
    // 10 of 6,000 bytes have room; the oldest ten gave way.
    for id in &ids[..10] {
        assert_eq!(
            stalled.wait_for_outcome(*id),
            StreamOutcome::Reset(ENHANCE_YOUR_CALM)
        );
    }
    // Another one that is slow as well pays only once it holds more.
    let mut modest =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let id = modest.send_request(40, None, b"x");
    vm.read_apply();
    vm.send_value(&task(40), "complete", &answer);
    assert_eq!(
        stalled.wait_for_outcome(ids[10]),
        StreamOutcome::Reset(ENHANCE_YOUR_CALM)
    );
    modest.send_raw(&encode_frame(WINDOW_UPDATE, 0, id, &6000u32.to_be_bytes()));
    assert_eq!(modest.read_response(id).2.len(), 6000);
    // What has room is there once the window opens.
    stalled.send_raw(&encode_frame(
        WINDOW_UPDATE,
        0,
        ids[19],
        &6000u32.to_be_bytes(),
    ));
    assert_eq!(stalled.read_response(ids[19]).2.len(), 6000);
}

/// Sends until the connection ends; what GOAWAY said.
fn flood(
    address: SocketAddr,
    prepare: impl Fn(&mut Http2Client),
    mut each: impl FnMut(&mut Http2Client) -> Vec<u8>,
) -> u32 {
    let mut caller = Http2Client::connect(address);
    prepare(&mut caller);
    let start = Instant::now();
    // Another thread reads, so that nobody waits for a full socket.
    let mut reader = caller.split_reader();
    let said = std::thread::spawn(move || reader.read_until_closed());
    loop {
        let bytes = each(&mut caller);
        if !caller.try_send_raw(&bytes) || said.is_finished() {
            break;
        }
        assert!(start.elapsed() < EVENT_TIMEOUT, "it takes everything");
    }
    said.join().unwrap().map_or(NO_ERROR, |(_, reason)| reason)
}

#[test]
fn floods_are_ended_and_others_unharmed() {
    let (_rig, mut vm, address) = start("floods", "");
    let head = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/svc/look"),
        (":authority", "b"),
    ];
    let none = |_: &mut Http2Client| {};
    let reasons = [
        (
            "settings",
            flood(address, none, |_| settings_frame(&[]).repeat(50)),
        ),
        (
            "pings",
            flood(address, none, |_| {
                encode_frame(PING, 0, 0, &[0; 8]).repeat(50)
            }),
        ),
        (
            "priorities",
            flood(address, none, |_| {
                encode_frame(PRIORITY, 0, 1, &[0, 0, 0, 3, 1]).repeat(50)
            }),
        ),
        (
            "windows",
            flood(address, none, |_| {
                encode_frame(WINDOW_UPDATE, 0, 0, &[0, 0, 0, 1]).repeat(50)
            }),
        ),
        (
            "empty data",
            flood(
                address,
                |c| assert_eq!(c.open_stream(&head, false), 1),
                |_| encode_frame(DATA, 0, 1, &[]).repeat(50),
            ),
        ),
        (
            "continuations",
            flood(
                address,
                |c| {
                    let block = c.encode_headers(&head);
                    c.send_raw(&encode_frame(HEADERS, 0, 1, &block));
                },
                |_| encode_frame(CONTINUATION, 0, 1, &[]).repeat(50),
            ),
        ),
        (
            "tables up and down",
            flood(address, none, |_| {
                [settings_frame(&[(1, 0)]), settings_frame(&[(1, 65_536)])]
                    .concat()
                    .repeat(20)
            }),
        ),
    ];
    for (name, reason) in reasons {
        assert_eq!(reason, ENHANCE_YOUR_CALM, "{name}");
    }
    serves(address, &mut vm, 1);
    // Rapid reset: each stream is opened and given up at once.
    let mut txn = 100;
    let reason = flood(address, none, |caller| {
        txn += 1;
        let id = caller.allocate_stream_id();
        let asked = caller.encode_request(id, txn, None, b"x");
        [
            asked,
            encode_frame(RST_STREAM, 0, id, &CANCEL.to_be_bytes()),
        ]
        .concat()
    });
    assert_eq!(reason, ENHANCE_YOUR_CALM, "rapid reset");
}

#[test]
fn header_bombs_and_broken_frames_end_their_stream_or_connection_alone() {
    let (_rig, mut vm, address) = start("broken", "");
    let mut caller = Http2Client::connect(address);
    let large = "x".repeat(9000);
    let head = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/svc/look"),
        (":authority", "b"),
    ];
    let id = caller.open_stream(&[&head[..], &[("x-large", &large)]].concat(), true);
    assert!(matches!(
        caller.wait_for_outcome(id),
        StreamOutcome::Response(431, ..) | StreamOutcome::Reset(_)
    ));
    let id = caller.send_request(1, None, b"x");
    vm.read_apply();
    vm.send_value(&task(1), "complete", b"y");
    assert_eq!(caller.read_response(id).0, 200, "the connection stays");
    let broken: [Vec<u8>; 5] = [
        // A window that overflows.
        encode_frame(WINDOW_UPDATE, 0, 0, &0x7fff_ffffu32.to_be_bytes()),
        // A frame that is too long, a header block that makes no sense, data of no stream, a window of nothing.
        encode_frame(DATA, 0, 1, &vec![0; 20_000]),
        encode_frame(HEADERS, END_HEADERS, 1, &[0xff; 40]),
        encode_frame(DATA, 0, 99, b"abc"),
        encode_frame(WINDOW_UPDATE, 0, 0, &[0; 4]),
    ];
    for bytes in broken {
        let mut caller = Http2Client::connect(address);
        caller.send_raw(&bytes);
        let (_, reason) = caller.read_until_closed().expect("a GOAWAY");
        assert_ne!(reason, NO_ERROR, "{bytes:?}");
    }
    serves(address, &mut vm, 2);
}

#[test]
fn a_drain_names_the_highest_id_then_the_last_one_and_answers_all_that_was_read() {
    let (mut rig, mut vm, address) = start("drain", "");
    let mut caller = Http2Client::connect(address);
    let first = caller.send_request(1, Some("k1"), b"pay");
    vm.read_apply();
    caller.auto_reply = false;
    rig.process.terminate();
    assert_eq!(caller.wait_for_goaway(), Some((0x7fff_ffff, NO_ERROR)));
    // What was on its way is read still, until the round trip is over.
    let second = caller.send_request(2, Some("k2"), b"pay");
    assert_eq!(vm.read_apply().0, task(2));
    caller.auto_reply = true;
    let ping = caller.read_frame().expect("a PING");
    assert_eq!((ping.kind, ping.flags), (PING, 0));
    caller.send_raw(&encode_frame(PING, ACK, 0, &ping.payload));
    assert_eq!(caller.wait_for_goaway(), Some((second, NO_ERROR)));
    // Whoever ignores that gets nothing run.
    let third = caller.send_request(3, Some("k3"), b"pay");
    vm.send_value(&task(1), "complete", b"one");
    vm.send_value(&task(2), "complete", b"two");
    assert_eq!(
        (
            caller.read_response(first).2,
            caller.read_response(second).2
        ),
        (b"one".to_vec(), b"two".to_vec())
    );
    assert_eq!(
        caller.wait_for_outcome(third),
        StreamOutcome::ConnectionClosed
    );
    assert_eq!(rig.process.wait().code(), Some(0));
}

#[test]
fn a_drain_whose_round_trip_never_ends_is_bounded_and_refuses_what_follows() {
    let (mut rig, mut vm, address) = start("no-pong", "<patience round-trip=\"100 ms\"/>");
    let mut caller = Http2Client::connect(address);
    let first = caller.send_request(1, None, b"x");
    vm.read_apply();
    caller.auto_reply = false;
    rig.process.terminate();
    assert_eq!(caller.wait_for_goaway(), Some((0x7fff_ffff, NO_ERROR)));
    std::thread::sleep(std::time::Duration::from_millis(700));
    let second = caller.send_request(2, None, b"x");
    assert_eq!(
        caller.wait_for_outcome(second),
        StreamOutcome::Reset(REFUSED_STREAM)
    );
    vm.send_value(&task(1), "complete", b"one");
    assert_eq!(caller.read_response(first).2, b"one");
    // The last stream is told before the end.
    assert_eq!(
        caller.read_until_closed().map(|(_, reason)| reason),
        Some(NO_ERROR)
    );
    assert_eq!(rig.process.wait().code(), Some(0));
}

#[test]
fn a_thousand_stalled_streams_do_not_hold_the_stop_up() {
    let bounds = "<streams connection=\"1000\" all=\"1000\"/><patience stalled=\"60 s\"/>";
    let (mut rig, mut vm, address) = start("stalled-stop", bounds);
    let mut caller =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let ids: Vec<u32> = (1..200)
        .map(|txn| caller.send_request(txn, None, b"x"))
        .collect();
    // It serves for as long as there is a link.
    std::thread::spawn(move || loop {
        let command = vm.read_command();
        if command["verb"] == "APPLY" {
            vm.send_value(command["task"].as_str().unwrap(), "complete", b"answer");
        }
    });
    while caller.started_response_count() < ids.len() {
        assert!(caller.process_frame(), "the connection ended");
    }
    rig.process.terminate();
    // Their deadline lies far behind the stop; whoever waited for it would never end here.
    let told = Instant::now();
    while rig.process.0.try_wait().unwrap().is_none() {
        assert!(told.elapsed() < EVENT_TIMEOUT, "it does not leave");
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(rig.process.wait().code(), Some(0));
    // They were let go of before the end: whoever still listens is told so on each stream.
    assert!(ids
        .iter()
        .all(|id| caller.wait_for_outcome(*id) != StreamOutcome::ConnectionClosed));
}

#[test]
fn a_flood_on_one_front_starves_no_other() {
    let (rig, mut vm, address) = start("fair", "<streams connection=\"1000\" all=\"1000\"/>");
    let mut caller = Http2Client::connect(address);
    let mut bytes = Vec::new();
    for txn in 1000..1600 {
        let id = caller.allocate_stream_id();
        bytes.extend(caller.encode_request(id, txn, None, b"flood"));
    }
    caller.send_raw(&bytes);
    let mut client = rig.connect_client();
    client.send(&request(1, Some("k1"), b"pay"));
    // The capture is worth more and is taken in among the first, so it runs long before the flood has.
    let mut before = 0;
    loop {
        let command = vm.read_command();
        if command["verb"] != "APPLY" {
            continue;
        }
        let name = command["task"].as_str().unwrap().to_string();
        if name == task(1) {
            vm.send_value(&name, "complete", b"done");
            break;
        }
        before += 1;
        vm.send_value(&name, "complete", b"x");
    }
    assert!(before < 300, "{before} of the flood ran first");
    assert_eq!(client.read_response().2, b"done");
}
