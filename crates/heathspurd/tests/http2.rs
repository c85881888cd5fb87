//! Tests of the server's HTTP/2 frontend against scripted mock peers: handling of requests, each limit and each kind of
//! abuse.

mod common;

use common::task_id;
use heathspur_testkit::http2::*;
use heathspur_testkit::prelude::{
    request, Fields, Http1Client, MockInterpreter, ServerFixture, EVENT_TIMEOUT,
};
use serde_json::json;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

/// A temporary file, removed on drop.
struct TempFile(PathBuf);

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Writes an operator's file that enables HTTP/2, with these elements inside `<http2>`.
fn write_operator_file(name: &str, http2_elements: &str) -> TempFile {
    let file = std::env::temp_dir().join(format!(
        "heathspurd-http2-{}-{name}.xml",
        std::process::id()
    ));
    let text = format!(
        "<operator xmlns=\"urn:heathspur:operator:1\"><http2 listen=\"127.0.0.1:0\">{http2_elements}</http2></operator>"
    );
    std::fs::write(&file, text).unwrap();
    TempFile(file)
}

/// Starts a server with HTTP/2 enabled; the address is that of its HTTP/2 listener.
fn start(name: &str, http2_elements: &str) -> (ServerFixture, MockInterpreter, SocketAddr) {
    let file = write_operator_file(name, http2_elements);
    let server = ServerFixture::start_with_operator_file_and_config(&file.0, |c| {
        if name == "fair" {
            // Enough memory for 600 bodies at once: rejections for lack of memory are not the subject of that test.
            c["settings"]["family-info"]["mem-limit-kb"] = 90_000.0.into();
        }
    });
    let address = server.wait_for_listen_address();
    let interpreter = server.accept_link();
    (server, interpreter, address)
}

/// Pseudo-header fields of a `look` request.
const LOOK_REQUEST_HEAD: [(&str, &str); 4] = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/svc/look"),
    (":authority", "b"),
];

/// Checks that a request on a new connection is served.
fn assert_request_is_served(address: SocketAddr, interpreter: &mut MockInterpreter, txn: u64) {
    let mut client = Http2Client::connect(address);
    let id = client.send_request(txn, None, b"good");
    assert_eq!(interpreter.read_apply().0, task_id(txn));
    interpreter.send_value(&task_id(txn), "complete", b"fine");
    let (status, _, body) = client.read_response(id);
    assert_eq!((status, &body[..]), (200, &b"fine"[..]));
}

#[test]
fn concurrent_streams_are_answered_in_any_order() {
    let (_server, mut interpreter, address) = start("order", "");
    let mut client = Http2Client::connect(address);
    let body: Vec<u8> = (0..=255).collect();
    let ids: Vec<u32> = (1..6)
        .map(|txn| client.send_request(txn, None, &body))
        .collect();
    let mut applied: Vec<_> = (1..6).map(|_| interpreter.read_apply()).collect();
    applied.sort();
    assert!(applied
        .iter()
        .all(|(_, class, bytes)| class == "look" && *bytes == body));
    for txn in (1..6).rev() {
        interpreter.send_value(&task_id(txn), "complete", &body[txn as usize..]);
    }
    for (txn, id) in (1..6).zip(ids) {
        let (status, fields, result) = client.read_response(id);
        assert_eq!((status, &result[..]), (200, &body[txn..]));
        assert_eq!(fields["content-length"], result.len().to_string());
    }
    assert!(client.goaways.is_empty());
}

#[test]
fn request_sent_byte_by_byte_is_accepted() {
    let (_server, mut interpreter, address) = start("bytes", "");
    let mut client = Http2Client::connect_without_preface(address);
    let (id, mut bytes) = (
        client.allocate_stream_id(),
        [PREFACE, &settings_frame(&[])].concat(),
    );
    bytes.extend(client.encode_request(id, 1, Some("k"), b"abc"));
    for byte in bytes {
        client.send_raw(&[byte]);
    }
    assert_eq!(
        interpreter.read_apply(),
        (task_id(1), "pay".to_string(), b"abc".to_vec())
    );
    interpreter.send_value(&task_id(1), "complete", b"");
    assert_eq!(client.read_response(id).0, 200);
}

#[test]
fn rejection_has_same_extension_headers_as_over_http1() {
    let file = write_operator_file("refusal", "");
    let server = ServerFixture::start_with_operator_file_and_config(&file.0, |c| {
        c["settings"]["family-info"]["mem-limit-kb"] = json!(20.0)
    });
    let address = server.wait_for_listen_address();
    let _interpreter = server.accept_link();
    let mut client = Http2Client::connect(address);
    let id = client.send_request(1, None, b"abc");
    let (status, fields, _) = client.read_response(id);
    let mut http1_client = server.connect_client();
    http1_client.send(&request(2, None, b"abc"));
    let (http1_status, http1_fields, _) = http1_client.read_response();
    assert_eq!((status, http1_status), (503, 503));
    let names = |fields: &Fields| {
        fields
            .keys()
            .filter(|n| n.starts_with("x-"))
            .cloned()
            .collect::<Vec<_>>()
    };
    assert_eq!(names(&fields), names(&http1_fields));
    assert!(fields["x-throttle-ms"].parse::<u64>().unwrap() > 0);
}

#[test]
fn reset_keyed_request_runs_once_and_retries_get_result_over_any_protocol() {
    let (server, mut interpreter, address) = start("reset", "");
    let mut client = Http2Client::connect(address);
    let first = client.send_request(1, Some("k1"), b"pay");
    assert_eq!(interpreter.read_apply().0, task_id(1));
    client.send_reset(first, CANCEL);
    // Retries on another stream, another connection and another protocol all wait for the same run.
    let second = client.send_request(2, Some("k1"), b"pay");
    let mut other = Http2Client::connect(address);
    let third = other.send_request(3, Some("k1"), b"pay");
    let mut http1_client = server.connect_client();
    http1_client.send(&request(4, Some("k1"), b"pay"));
    let marker = other.send_request(5, Some("k2"), b"pay");
    assert_eq!(
        interpreter.read_apply().0,
        task_id(5),
        "a retry was run again"
    );
    interpreter.send_value(&task_id(1), "complete", b"done");
    assert_eq!(client.read_response(second).2, b"done");
    assert_eq!(other.read_response(third).2, b"done");
    assert_eq!(http1_client.read_response().2, b"done");
    // A retry after the run has ended gets the retained result.
    let late_retry = other.send_request(6, Some("k1"), b"pay");
    assert_eq!(other.read_response(late_retry).2, b"done");
    interpreter.send_value(&task_id(5), "complete", b"other");
    assert_eq!(other.read_response(marker).2, b"other");
    // An idempotency key is bound to one body, whatever the protocol.
    let mismatched = other.send_request(7, Some("k1"), b"another");
    assert_eq!(other.read_response(mismatched).0, 422);
}

#[test]
fn stream_reset_and_lost_connection_cancel_run() {
    let (_server, mut interpreter, address) = start("gone", "");
    for txn in 1..40 {
        let mut client = Http2Client::connect(address);
        let id = client.send_request(txn, None, b"abc");
        assert_eq!(interpreter.read_apply().0, task_id(txn));
        match txn % 2 {
            0 => client.send_reset(id, CANCEL),
            _ => drop(client),
        }
        let cancellation = interpreter.read_command();
        assert_eq!(
            (&cancellation["verb"], &cancellation["task"]),
            (&json!("BREAK"), &json!(task_id(txn)))
        );
        interpreter.send_value(&task_id(txn), "cancelled", b"");
    }
}

#[test]
fn invalid_requests_are_answered_and_connection_stays_open() {
    let (_server, mut interpreter, address) = start("wrong", "");
    let mut client = Http2Client::connect(address);
    let id = client.send_get("/svc/look");
    assert_eq!(client.read_response(id).0, 405);
    let id = client.send_get("/nothing");
    assert_eq!(client.read_response(id).0, 404);
    let head = LOOK_REQUEST_HEAD;
    let id = client.open_stream(&head, true);
    assert_eq!(client.read_response(id).0, 400);
    let id = client.open_stream(&head, false);
    client.send_data(id, &[0; 1500], false);
    client.send_data(id, &[0; 549], false);
    assert_eq!(client.read_response(id).0, 413);
    let id = client.send_get("/status/live");
    assert!(matches!(client.read_response(id).0, 200 | 503));
    let id = client.open_stream(
        &[
            (":method", "HEAD"),
            head[1],
            (":path", "/status/live"),
            head[3],
        ],
        true,
    );
    assert!(client.read_response(id).2.is_empty());
    assert_request_is_served(address, &mut interpreter, 1);
    let id = client.send_request(2, None, b"x");
    interpreter.read_apply();
    interpreter.send_value(&task_id(2), "complete", b"y");
    assert_eq!(client.read_response(id).2, b"y");
}

#[test]
fn incomplete_request_times_out_and_trailers_complete_request() {
    let (_server, mut interpreter, address) = start("half", "<request whole=\"200 ms\"/>");
    let mut client = Http2Client::connect(address);
    let head = LOOK_REQUEST_HEAD;
    let id = client.open_stream(&head, false);
    client.send_data(id, b"abc", false);
    assert_eq!(client.read_response(id).0, 408);
    // Trailers may end a request: the DATA frame is sent without END_STREAM.
    let id = client.allocate_stream_id();
    let bytes = client.encode_request(id, 1, None, b"abc");
    let flags_offset = bytes.len() - 3 - 9 + 4;
    let mut unfinished = bytes.clone();
    unfinished[flags_offset] = 0;
    client.send_raw(&unfinished);
    let block = client.encode_headers(&[("x-note", "end")]);
    client.send_raw(&encode_frame(HEADERS, END_HEADERS | END_STREAM, id, &block));
    assert_eq!(interpreter.read_apply().2, b"abc");
    interpreter.send_value(&task_id(1), "complete", b"y");
    assert_eq!(client.read_response(id).2, b"y");
}

#[test]
fn http1_request_gets_505_and_incomplete_preface_times_out() {
    let (_server, mut interpreter, address) = start("version", "<request whole=\"200 ms\"/>");
    let mut http1_client = Http1Client::connect(address);
    http1_client.send(&request(1, None, b"abc"));
    let (status, fields, body) = http1_client.read_response();
    assert_eq!((status, fields["connection"].as_str()), (505, "close"));
    assert!(String::from_utf8(body).unwrap().contains("HTTP/2"));
    http1_client.assert_closed();
    let silent = Http2Client::connect_without_preface(address);
    assert_eq!(silent.socket().read(&mut [0; 9]).unwrap(), 0);
    let mut partial = Http2Client::connect_without_preface(address);
    partial.send_raw(&PREFACE[..12]);
    assert_eq!(partial.socket().read(&mut [0; 9]).unwrap(), 0);
    partial.auto_reply = false;
    assert_request_is_served(address, &mut interpreter, 2);
}

#[test]
fn streams_beyond_limits_are_reset_with_refused_stream() {
    let (_server, mut interpreter, address) =
        start("limit", "<streams connection=\"2\" all=\"4\"/>");
    let mut client = Http2Client::connect(address);
    let ids: Vec<u32> = (1..3)
        .map(|txn| client.send_request(txn, None, b"abc"))
        .collect();
    (1..3).for_each(|_| drop(interpreter.read_apply()));
    // The client has received the limit in SETTINGS and acknowledged it.
    let id = client.send_request(9, None, b"abc");
    assert_eq!(
        client.wait_for_outcome(id),
        StreamOutcome::Reset(REFUSED_STREAM)
    );
    assert_eq!(client.peer_settings[&3], 2);
    let mut second = Http2Client::connect(address);
    let more: Vec<u32> = (20..22)
        .map(|txn| second.send_request(txn, None, b"abc"))
        .collect();
    (20..22).for_each(|_| drop(interpreter.read_apply()));
    let mut third = Http2Client::connect(address);
    let id = third.send_request(30, None, b"abc");
    assert_eq!(
        third.wait_for_outcome(id),
        StreamOutcome::Reset(REFUSED_STREAM)
    );
    for (txn, id) in (1..3).zip(ids) {
        interpreter.send_value(&task_id(txn), "complete", b"x");
        assert_eq!(client.read_response(id).0, 200);
    }
    let id = third.send_request(31, None, b"abc");
    assert_eq!(interpreter.read_apply().0, task_id(31));
    interpreter.send_value(&task_id(31), "complete", b"x");
    assert_eq!(third.read_response(id).0, 200);
    drop((second, more));
}

#[test]
fn stalled_responses_are_reset_after_timeout_and_results_are_retained() {
    let (_server, mut interpreter, address) = start("stall", "<patience stalled=\"300 ms\"/>");
    // The initial window of this client is 0, and it never sends WINDOW_UPDATE.
    let mut client =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let ids: Vec<u32> = (1..6)
        .map(|txn| client.send_request(txn, Some(&format!("k{txn}")), b"pay"))
        .collect();
    for _ in 1..6 {
        let (task_id, ..) = interpreter.read_apply();
        interpreter.send_value(&task_id, "complete", b"receipt");
    }
    for id in ids {
        assert_eq!(
            client.wait_for_outcome(id),
            StreamOutcome::Reset(ENHANCE_YOUR_CALM)
        );
    }
    let mut other = Http2Client::connect(address);
    let id = other.send_request(9, Some("k3"), b"pay");
    assert_eq!(other.read_response(id).2, b"receipt");
}

#[test]
fn unread_responses_stay_within_budget_at_cost_of_largest_connection() {
    let memory = "<memory answers=\"64 KiB\" connection=\"64 KiB\"/><patience stalled=\"60 s\"/>";
    let (_server, mut interpreter, address) = start("budget", memory);
    let mut stalled =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let response_body = vec![7; 6000];
    let ids: Vec<u32> = (1..21)
        .map(|txn| stalled.send_request(txn, None, b"x"))
        .collect();
    for _ in 1..21 {
        let (task_id, ..) = interpreter.read_apply();
        interpreter.send_value(&task_id, "complete", &response_body);
    }
    // The budget is enough for 10 responses of 6,000 bytes; the oldest ten were evicted.
    for id in &ids[..10] {
        assert_eq!(
            stalled.wait_for_outcome(*id),
            StreamOutcome::Reset(ENHANCE_YOUR_CALM)
        );
    }
    // Another slow connection that buffers less is spared: its response evicts one of the first connection's.
    let mut modest =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let id = modest.send_request(40, None, b"x");
    interpreter.read_apply();
    interpreter.send_value(&task_id(40), "complete", &response_body);
    assert_eq!(
        stalled.wait_for_outcome(ids[10]),
        StreamOutcome::Reset(ENHANCE_YOUR_CALM)
    );
    modest.send_raw(&encode_frame(WINDOW_UPDATE, 0, id, &6000u32.to_be_bytes()));
    assert_eq!(modest.read_response(id).2.len(), 6000);
    // A response that stayed within the budget is sent once the window opens.
    stalled.send_raw(&encode_frame(
        WINDOW_UPDATE,
        0,
        ids[19],
        &6000u32.to_be_bytes(),
    ));
    assert_eq!(stalled.read_response(ids[19]).2.len(), 6000);
}

/// Sends frames until the connection ends and returns the error code of its GOAWAY, or `NO_ERROR` without one.
fn flood(
    address: SocketAddr,
    setup: impl Fn(&mut Http2Client),
    mut next_bytes: impl FnMut(&mut Http2Client) -> Vec<u8>,
) -> u32 {
    let mut client = Http2Client::connect(address);
    setup(&mut client);
    let start = Instant::now();
    // Reads on another thread, so that neither side blocks on a full socket buffer.
    let mut reader = client.split_reader();
    let goaway = std::thread::spawn(move || reader.read_until_closed());
    loop {
        let bytes = next_bytes(&mut client);
        if !client.try_send_raw(&bytes) || goaway.is_finished() {
            break;
        }
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the server did not end the flood"
        );
    }
    goaway
        .join()
        .unwrap()
        .map_or(NO_ERROR, |(_, reason)| reason)
}

#[test]
fn frame_floods_are_ended_and_other_connections_are_served() {
    let (_server, mut interpreter, address) = start("floods", "");
    let head = LOOK_REQUEST_HEAD;
    let no_setup = |_: &mut Http2Client| {};
    let reasons = [
        (
            "settings",
            flood(address, no_setup, |_| settings_frame(&[]).repeat(50)),
        ),
        (
            "pings",
            flood(address, no_setup, |_| {
                encode_frame(PING, 0, 0, &[0; 8]).repeat(50)
            }),
        ),
        (
            "priorities",
            flood(address, no_setup, |_| {
                encode_frame(PRIORITY, 0, 1, &[0, 0, 0, 3, 1]).repeat(50)
            }),
        ),
        (
            "windows",
            flood(address, no_setup, |_| {
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
            "header table resizes",
            flood(address, no_setup, |_| {
                [settings_frame(&[(1, 0)]), settings_frame(&[(1, 65_536)])]
                    .concat()
                    .repeat(20)
            }),
        ),
    ];
    for (name, reason) in reasons {
        assert_eq!(reason, ENHANCE_YOUR_CALM, "{name}");
    }
    assert_request_is_served(address, &mut interpreter, 1);
    // Rapid reset: each stream is reset as soon as it is opened.
    let mut txn = 100;
    let reason = flood(address, no_setup, |client| {
        txn += 1;
        let id = client.allocate_stream_id();
        let headers_and_data = client.encode_request(id, txn, None, b"x");
        [
            headers_and_data,
            encode_frame(RST_STREAM, 0, id, &CANCEL.to_be_bytes()),
        ]
        .concat()
    });
    assert_eq!(reason, ENHANCE_YOUR_CALM, "rapid reset");
}

#[test]
fn oversized_headers_and_malformed_frames_end_only_their_stream_or_connection() {
    let (_server, mut interpreter, address) = start("broken", "");
    let mut client = Http2Client::connect(address);
    let large = "x".repeat(9000);
    let head = LOOK_REQUEST_HEAD;
    let id = client.open_stream(&[&head[..], &[("x-large", &large)]].concat(), true);
    assert!(matches!(
        client.wait_for_outcome(id),
        StreamOutcome::Response(431, ..) | StreamOutcome::Reset(_)
    ));
    let id = client.send_request(1, None, b"x");
    interpreter.read_apply();
    interpreter.send_value(&task_id(1), "complete", b"y");
    assert_eq!(
        client.read_response(id).0,
        200,
        "the connection did not stay open"
    );
    let malformed = [
        (
            "window overflow",
            encode_frame(WINDOW_UPDATE, 0, 0, &0x7fff_ffffu32.to_be_bytes()),
        ),
        (
            "frame beyond the maximum size",
            encode_frame(DATA, 0, 1, &vec![0; 20_000]),
        ),
        (
            "invalid header block",
            encode_frame(HEADERS, END_HEADERS, 1, &[0xff; 40]),
        ),
        ("DATA on an idle stream", encode_frame(DATA, 0, 99, b"abc")),
        (
            "window increment of 0",
            encode_frame(WINDOW_UPDATE, 0, 0, &[0; 4]),
        ),
    ];
    for (name, bytes) in malformed {
        let mut client = Http2Client::connect(address);
        client.send_raw(&bytes);
        let (_, reason) = client.read_until_closed().expect("a GOAWAY");
        assert_ne!(reason, NO_ERROR, "{name}");
    }
    assert_request_is_served(address, &mut interpreter, 2);
}

#[test]
fn drain_sends_goaway_with_highest_then_last_stream_id_and_answers_requests_read() {
    let (mut server, mut interpreter, address) = start("drain", "");
    let mut client = Http2Client::connect(address);
    let first = client.send_request(1, Some("k1"), b"pay");
    interpreter.read_apply();
    client.auto_reply = false;
    server.process.terminate();
    assert_eq!(client.wait_for_goaway(), Some((0x7fff_ffff, NO_ERROR)));
    // Requests already on their way are still accepted until the PING round trip is complete.
    let second = client.send_request(2, Some("k2"), b"pay");
    assert_eq!(interpreter.read_apply().0, task_id(2));
    client.auto_reply = true;
    let ping = client.read_frame().expect("a PING");
    assert_eq!((ping.kind, ping.flags), (PING, 0));
    client.send_raw(&encode_frame(PING, ACK, 0, &ping.payload));
    assert_eq!(client.wait_for_goaway(), Some((second, NO_ERROR)));
    // A request sent after the second GOAWAY is not run.
    let third = client.send_request(3, Some("k3"), b"pay");
    interpreter.send_value(&task_id(1), "complete", b"one");
    interpreter.send_value(&task_id(2), "complete", b"two");
    assert_eq!(
        (
            client.read_response(first).2,
            client.read_response(second).2
        ),
        (b"one".to_vec(), b"two".to_vec())
    );
    assert_eq!(
        client.wait_for_outcome(third),
        StreamOutcome::ConnectionClosed
    );
    assert_eq!(server.process.wait().code(), Some(0));
}

#[test]
fn drain_without_ping_ack_times_out_and_refuses_later_streams() {
    let (mut server, mut interpreter, address) =
        start("no-pong", "<patience round-trip=\"100 ms\"/>");
    let mut client = Http2Client::connect(address);
    let first = client.send_request(1, None, b"x");
    interpreter.read_apply();
    client.auto_reply = false;
    server.process.terminate();
    assert_eq!(client.wait_for_goaway(), Some((0x7fff_ffff, NO_ERROR)));
    std::thread::sleep(std::time::Duration::from_millis(700));
    let second = client.send_request(2, None, b"x");
    assert_eq!(
        client.wait_for_outcome(second),
        StreamOutcome::Reset(REFUSED_STREAM)
    );
    interpreter.send_value(&task_id(1), "complete", b"one");
    assert_eq!(client.read_response(first).2, b"one");
    // The server sends the final GOAWAY before it closes the connection.
    assert_eq!(
        client.read_until_closed().map(|(_, reason)| reason),
        Some(NO_ERROR)
    );
    assert_eq!(server.process.wait().code(), Some(0));
}

#[test]
fn stalled_streams_do_not_delay_shutdown() {
    let bounds = "<streams connection=\"1000\" all=\"1000\"/><patience stalled=\"60 s\"/>";
    let (mut server, mut interpreter, address) = start("stalled-stop", bounds);
    let mut client =
        Http2Client::connect_with_settings(address, &[(SETTINGS_INITIAL_WINDOW_SIZE, 0)]);
    let ids: Vec<u32> = (1..200)
        .map(|txn| client.send_request(txn, None, b"x"))
        .collect();
    // Completes each run at once for as long as the link is open.
    std::thread::spawn(move || loop {
        let command = interpreter.read_command();
        if command["verb"] == "APPLY" {
            interpreter.send_value(command["task"].as_str().unwrap(), "complete", b"answer");
        }
    });
    while client.started_response_count() < ids.len() {
        assert!(client.process_frame(), "the connection ended");
    }
    server.process.terminate();
    // The stall timeout of the streams is much longer than `EVENT_TIMEOUT`, so a server that waits for it fails here.
    let terminated_at = Instant::now();
    while server.process.0.try_wait().unwrap().is_none() {
        assert!(
            terminated_at.elapsed() < EVENT_TIMEOUT,
            "the server does not exit"
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(server.process.wait().code(), Some(0));
    // The streams were ended before the connection: a client that still reads receives the outcome of each.
    assert!(ids
        .iter()
        .all(|id| client.wait_for_outcome(*id) != StreamOutcome::ConnectionClosed));
}

#[test]
fn http2_flood_does_not_starve_http1_requests() {
    let (server, mut interpreter, address) =
        start("fair", "<streams connection=\"1000\" all=\"1000\"/>");
    let mut client = Http2Client::connect(address);
    let mut bytes = Vec::new();
    for txn in 1000..1600 {
        let id = client.allocate_stream_id();
        bytes.extend(client.encode_request(id, txn, None, b"flood"));
    }
    client.send_raw(&bytes);
    let mut http1_client = server.connect_client();
    http1_client.send(&request(1, Some("k1"), b"pay"));
    // The `pay` request has a higher value and is among the first to be accepted, so it runs long before the flood is
    // complete.
    let mut started_before = 0;
    loop {
        let command = interpreter.read_command();
        if command["verb"] != "APPLY" {
            continue;
        }
        let started = command["task"].as_str().unwrap().to_string();
        if started == task_id(1) {
            interpreter.send_value(&started, "complete", b"done");
            break;
        }
        started_before += 1;
        interpreter.send_value(&started, "complete", b"x");
    }
    assert!(
        started_before < 300,
        "{started_before} requests of the flood ran first"
    );
    assert_eq!(http1_client.read_response().2, b"done");
}
