//! Tests that write recordings and read them back: bytes are recorded unchanged or redacted, and losses are marked.
//! Also tests the rotation of files.

use bytes::Bytes;
use heathspur_capture::reassembly::{End, Event as CaptureEvent, Start};
use heathspur_capture::{Item, Options, Side, Timestamp};
use heathspur_record::recorder::{ConnectionInfo, Event, EventKind, Leg, Recorder};
use heathspur_record::redaction::RedactionPolicy;
use heathspur_record::rotation::{FileAction, FileRotation, Limits, StatusChange};
use heathspur_testkit::capture::{
    parse_capture, request, response, CAPTURE_START_NANOS, NANOS_PER_MS,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn connection(number: u64) -> ConnectionInfo {
    let client = std::net::SocketAddr::from(([127, 0, 0, 1], 40_000 + number as u16));
    ConnectionInfo {
        id: number,
        leg: Leg::Front,
        client,
        server: "127.0.0.1:6565".parse().unwrap(),
    }
}

fn event(number: u64, ms: u64, kind: EventKind) -> Event {
    Event {
        connection: connection(number),
        time: Timestamp(CAPTURE_START_NANOS + ms * NANOS_PER_MS),
        kind,
    }
}

fn data(side: Side, bytes: &[u8]) -> EventKind {
    EventKind::Data {
        side,
        bytes: Bytes::copy_from_slice(bytes),
        skipped: 0,
    }
}

/// Returns a recording of the events.
fn record(policy: RedactionPolicy, events: &[Event]) -> Vec<u8> {
    let mut recorder = Recorder::new(policy);
    let mut file = recorder.file_header();
    for event in events {
        file.extend(recorder.encode(event));
    }
    file.extend(recorder.final_statistics(Timestamp(CAPTURE_START_NANOS)));
    file
}

/// Returns the events of a connection with a split request, its response, another request with its response, and a
/// close.
fn conversation() -> Vec<Event> {
    let (first, second) = (request(1, b"4929001234567890"), request(2, b""));
    vec![
        event(1, 0, EventKind::Opened),
        event(1, 5, data(Side::Client, &first[..30])),
        event(1, 9, data(Side::Client, &first[30..])),
        event(1, 20, data(Side::Server, &response(200, b"approved"))),
        event(1, 30, data(Side::Client, &second)),
        event(1, 31, data(Side::Server, &response(503, b""))),
        event(
            1,
            40,
            EventKind::Closed {
                by: Side::Client,
                reset: false,
            },
        ),
    ]
}

#[test]
fn unredacted_recording_reads_back_with_same_bytes_times_and_end() {
    let capture = parse_capture(
        &record(RedactionPolicy::default(), &conversation()),
        Options {
            checksums: true,
            ..Options::default()
        },
        97,
    );
    let requests: Vec<_> = capture
        .requests
        .iter()
        .map(|(_, _, message)| message.bytes.to_vec())
        .collect();
    assert_eq!(requests, [request(1, b"4929001234567890"), request(2, b"")]);
    let first = &capture.requests[0].2;
    assert_eq!(
        (
            first.first_byte_at.0 - CAPTURE_START_NANOS,
            first.last_byte_at.0 - CAPTURE_START_NANOS
        ),
        (5 * NANOS_PER_MS, 9 * NANOS_PER_MS)
    );
    let responses: Vec<_> = capture
        .responses
        .iter()
        .map(|(_, request_index, message)| {
            (*request_index, message.status(), message.body().to_vec())
        })
        .collect();
    assert_eq!(
        responses,
        [
            (Some(0), Some(200), b"approved".to_vec()),
            (Some(1), Some(503), Vec::new())
        ]
    );
    assert!(matches!(
        capture.connections[0],
        Item::Connection(CaptureEvent::Opened {
            start: Start::Handshake,
            ..
        })
    ));
    assert!(matches!(
        capture.connections.last(),
        Some(Item::Connection(CaptureEvent::Closed {
            end: End::Closed,
            ..
        }))
    ));
    assert_eq!(
        (
            capture.tally.holes,
            capture.tally.error,
            capture.tally.skipped_packets.len()
        ),
        (0, None, 0)
    );
}

#[test]
fn recorded_reset_reads_back_as_reset() {
    let mut events = conversation();
    *events.last_mut().unwrap() = event(
        1,
        40,
        EventKind::Closed {
            by: Side::Server,
            reset: true,
        },
    );
    let capture = parse_capture(
        &record(RedactionPolicy::default(), &events),
        Options::default(),
        1000,
    );
    assert!(matches!(
        capture.connections.last(),
        Some(Item::Connection(CaptureEvent::Closed {
            end: End::Reset,
            ..
        }))
    ));
    assert_eq!(capture.requests.len(), 2);
}

#[test]
fn bodies_and_named_fields_are_redacted_for_any_split() {
    let requests: Vec<u8> = (0..3)
        .flat_map(|number| request(number, b"4929001234567890"))
        .collect();
    let responses: Vec<u8> = (0..3)
        .flat_map(|_| response(200, b"4929001234567890"))
        .collect();
    let policy = RedactionPolicy {
        bodies: true,
        fields: vec!["x-TXN".into()],
    };
    for chunk_size in [1, 7, 60, 1000] {
        let mut events = vec![event(1, 0, EventKind::Opened)];
        for (position, part) in requests.chunks(chunk_size).enumerate() {
            events.push(event(1, 1 + position as u64, data(Side::Client, part)));
        }
        events.extend(
            responses
                .chunks(chunk_size)
                .map(|part| event(1, 900, data(Side::Server, part))),
        );
        events.push(event(
            1,
            901,
            EventKind::Closed {
                by: Side::Client,
                reset: false,
            },
        ));
        let file = record(policy.clone(), &events);
        assert!(
            !file.windows(4).any(|bytes| bytes == b"4929"),
            "{chunk_size}"
        );
        let capture = parse_capture(&file, Options::default(), 1000);
        assert_eq!(
            (capture.requests.len(), capture.responses.len()),
            (3, 3),
            "{chunk_size}"
        );
        for (_, _, message) in &capture.requests {
            assert_eq!(message.body(), b"xxxxxxxxxxxxxxxx");
            assert_eq!(message.field("X-Txn").unwrap(), b"xxxxxxxxxxxxxxxx");
            assert_eq!(message.bytes.len(), request(0, b"4929001234567890").len());
        }
        // A byte keeps its arrival time even if it was buffered.
        assert_eq!(
            capture.requests[0].2.first_byte_at.0,
            CAPTURE_START_NANOS + NANOS_PER_MS
        );
    }
}

#[test]
fn non_http_bytes_and_bytes_after_loss_are_all_redacted() {
    let policy = RedactionPolicy {
        bodies: true,
        fields: Vec::new(),
    };
    let secret = b"PAN=4929001234567890 and more of the like\r\n\r\n";
    let mut after_loss = event(2, 3, data(Side::Client, b"4929001234567890"));
    if let EventKind::Data { skipped, .. } = &mut after_loss.kind {
        *skipped = 70;
    }
    let events = [
        event(1, 0, EventKind::Opened),
        event(1, 1, data(Side::Client, secret)),
        event(
            1,
            2,
            EventKind::Closed {
                by: Side::Client,
                reset: false,
            },
        ),
        event(2, 0, EventKind::Opened),
        event(2, 1, data(Side::Client, &request(1, b"")[..40])),
        after_loss,
        event(
            2,
            4,
            EventKind::Closed {
                by: Side::Client,
                reset: false,
            },
        ),
        // The start of this connection was not recorded.
        event(3, 5, data(Side::Server, b"4929001234567890 HTTP/1.1")),
    ];
    let file = record(policy, &events);
    assert!(!file.windows(4).any(|bytes| bytes == b"4929"));
    assert!(file
        .windows(24)
        .any(|text| text == b"70 bytes before this pac"));
    let capture = parse_capture(&file, Options::default(), 1000);
    assert_eq!(
        (capture.requests.len(), capture.tally.missing_bytes),
        (0, 70)
    );
}

#[test]
fn dropped_events_are_reported_once_in_interface_statistics() {
    let mut recorder = Recorder::new(RedactionPolicy::default());
    let len_without_drops = recorder.encode(&event(1, 0, EventKind::Opened)).len();
    recorder.add_dropped(Leg::Front, 7);
    let after_drops = recorder.encode(&event(2, 1, EventKind::Opened));
    let statistics = heathspur_capture::write::pcapng_statistics(
        0,
        Timestamp(CAPTURE_START_NANOS + NANOS_PER_MS),
        3 + 7,
        7,
    );
    assert!(after_drops.starts_with(&statistics));
    assert_eq!(after_drops.len(), len_without_drops + statistics.len());
    assert_eq!(
        recorder.encode(&event(3, 2, EventKind::Opened)).len(),
        len_without_drops
    );
}

#[test]
fn random_bytes_read_back_unchanged_or_redacted_to_same_length() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    // The sender of a chunk, which is the client if true, and its bytes.
    let chunk = (any::<bool>(), prop::collection::vec(any::<u8>(), 1..80));
    let start = prop::sample::select(vec![
        request(1, b"abc"),
        response(200, b"abc"),
        b"GET / ".to_vec(),
        Vec::new(),
    ]);
    runner
        .run(
            &(start, prop::collection::vec(chunk, 0..30), any::<bool>()),
            |(start, chunks, redact_bodies)| {
                let mut events = vec![event(1, 0, EventKind::Opened)];
                if !start.is_empty() {
                    events.push(event(1, 0, data(Side::Client, &start)));
                }
                let mut sent = [start.clone(), Vec::new()];
                for (position, (from_client, bytes)) in chunks.iter().enumerate() {
                    let side = if *from_client {
                        Side::Client
                    } else {
                        Side::Server
                    };
                    sent[usize::from(!from_client)].extend(bytes);
                    events.push(event(1, position as u64, data(side, bytes)));
                }
                events.push(event(
                    1,
                    99,
                    EventKind::Closed {
                        by: Side::Server,
                        reset: false,
                    },
                ));
                let file = record(
                    RedactionPolicy {
                        bodies: redact_bodies,
                        fields: Vec::new(),
                    },
                    &events,
                );
                let mut reader = heathspur_capture::file::Reader::new();
                let mut frames = heathspur_capture::frame::Frames::new(true);
                let mut assembler =
                    heathspur_capture::reassembly::Assembler::new(Default::default());
                reader.feed(&file);
                while let Some(packet) = reader.next_packet().unwrap() {
                    assembler.process(&frames.segment(&packet).unwrap());
                }
                assembler.finish();
                let mut recorded = [Vec::new(), Vec::new()];
                while let Some(event) = assembler.next_event() {
                    prop_assert!(!matches!(event, CaptureEvent::Hole { .. }), "a hole");
                    if let CaptureEvent::Bytes { side, bytes, .. } = event {
                        recorded[usize::from(side == Side::Server)].extend_from_slice(&bytes);
                    }
                }
                for (recorded, sent) in recorded.iter().zip(&sent) {
                    prop_assert_eq!(recorded.len(), sent.len());
                    prop_assert!(redact_bodies || recorded == sent);
                    prop_assert!(recorded
                        .iter()
                        .zip(sent)
                        .all(|(recorded, sent)| recorded == sent || *recorded == b'x'));
                }
                Ok(())
            },
        )
        .unwrap();
}

const LIMITS: Limits = Limits {
    size: 1000,
    age_ms: 5000,
    keep: 3,
};

fn expect_rotation(action: FileAction) -> (String, Vec<String>) {
    match action {
        FileAction::Rotate { create, delete } => (create, delete),
        other => panic!("{other:?}"),
    }
}

#[test]
fn files_rotate_by_size_and_age_and_oldest_are_deleted() {
    let existing = [
        "n1-0000000000005-000000.pcapng",
        "n1-0000000000004-000000.pcapng",
        "n1-notes.txt",
        "n2-0000000000001-000000.pcapng",
    ];
    let mut files = FileRotation::new("n1", LIMITS, existing.map(String::from));
    let (first, delete) = expect_rotation(files.next_action(0, 100));
    assert_eq!(
        (&first[..], delete.len()),
        ("n1-0000000000100-000000.pcapng", 0)
    );
    assert_eq!(files.file_created(0, &first, 300), None);
    assert_eq!(files.next_action(10, 110), FileAction::Write);
    files.bytes_written(700);
    // The file has reached its size. With the new file there are four, so the oldest is deleted.
    let (second, delete) = expect_rotation(files.next_action(20, 120));
    assert_eq!(delete, ["n1-0000000000004-000000.pcapng"]);
    files.file_deleted(&delete[0]);
    files.file_created(20, &second, 300);
    assert_eq!(files.next_action(5019, 5119), FileAction::Write);
    // The file has reached its age. The wall clock was set back, but the new name still sorts last.
    let (third, delete) = expect_rotation(files.next_action(5020, 50));
    assert_eq!(delete, ["n1-0000000000005-000000.pcapng"]);
    assert!(third > second, "{third} {second}");
}

#[test]
fn disk_error_stops_recording_until_retry_succeeds_with_one_report_each() {
    let mut files = FileRotation::new("n1", LIMITS, []);
    expect_rotation(files.next_action(0, 0));
    assert_eq!(files.write_failed(0), Some(StatusChange::Stopped));
    let (mut now, mut retries, mut dropped) = (0, 0, 0);
    while now < 100_000 {
        now += 100;
        match files.next_action(now, now) {
            FileAction::Drop => dropped += 1,
            FileAction::Rotate { .. } => {
                retries += 1;
                assert_eq!(files.write_failed(now), None, "only the first is reported");
            }
            FileAction::Write => panic!("no file is open"),
        }
    }
    // The delays are 0.5, 1, 2, 4, 8 and 16 s, and 30 s from then on.
    assert!((7..=9).contains(&retries), "{retries}");
    let name = loop {
        now += 100;
        match files.next_action(now, now) {
            FileAction::Drop => dropped += 1,
            action => break expect_rotation(action).0,
        }
    };
    assert_eq!(
        files.file_created(now, &name, 10),
        Some(StatusChange::Resumed(dropped + retries + 1))
    );
    // A failed write closes the file, and the backoff starts again at its initial delay.
    assert_eq!(files.write_failed(now), Some(StatusChange::Stopped));
    assert!(matches!(
        files.next_action(now + 500, now),
        FileAction::Rotate { .. }
    ));
}
