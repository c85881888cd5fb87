//! Recordings read back: what was said comes out as it was said, or overwritten, and losses are marked.

use bytes::Bytes;
use heathspur_capture::reassembly::{End, Event as Read, Start};
use heathspur_capture::{Item, Options, Side, Stamp};
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
        time: Stamp(CAPTURE_START_NANOS + ms * NANOS_PER_MS),
        kind,
    }
}

fn said(side: Side, bytes: &[u8]) -> EventKind {
    EventKind::Data {
        side,
        bytes: Bytes::copy_from_slice(bytes),
        skipped: 0,
    }
}

fn recorded(policy: RedactionPolicy, events: &[Event]) -> Vec<u8> {
    let mut recorder = Recorder::new(policy);
    let mut file = recorder.file_header();
    for event in events {
        file.extend(recorder.encode(event));
    }
    file.extend(recorder.final_statistics(Stamp(CAPTURE_START_NANOS)));
    file
}

/// A connection with a request in pieces, its answer, another request, and its end.
fn conversation() -> Vec<Event> {
    let (first, second) = (request(1, b"4929001234567890"), request(2, b""));
    vec![
        event(1, 0, EventKind::Opened),
        event(1, 5, said(Side::Client, &first[..30])),
        event(1, 9, said(Side::Client, &first[30..])),
        event(1, 20, said(Side::Server, &response(200, b"approved"))),
        event(1, 30, said(Side::Client, &second)),
        event(1, 31, said(Side::Server, &response(503, b""))),
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
fn what_was_said_comes_back_byte_for_byte_with_its_times_and_its_end() {
    let read = parse_capture(
        &recorded(RedactionPolicy::default(), &conversation()),
        Options {
            checksums: true,
            ..Options::default()
        },
        97,
    );
    let requests: Vec<_> = read
        .requests
        .iter()
        .map(|(_, _, m)| m.bytes.to_vec())
        .collect();
    assert_eq!(requests, [request(1, b"4929001234567890"), request(2, b"")]);
    let first = &read.requests[0].2;
    assert_eq!(
        (
            first.first.0 - CAPTURE_START_NANOS,
            first.last.0 - CAPTURE_START_NANOS
        ),
        (5 * NANOS_PER_MS, 9 * NANOS_PER_MS)
    );
    let answers: Vec<_> = read
        .responses
        .iter()
        .map(|(_, to, m)| (*to, m.status(), m.body().to_vec()))
        .collect();
    assert_eq!(
        answers,
        [
            (Some(0), Some(200), b"approved".to_vec()),
            (Some(1), Some(503), Vec::new())
        ]
    );
    assert!(matches!(
        read.connections[0],
        Item::Connection(Read::Opened {
            start: Start::Handshake,
            ..
        })
    ));
    assert!(matches!(
        read.connections.last(),
        Some(Item::Connection(Read::Closed {
            end: End::Closed,
            ..
        }))
    ));
    assert_eq!(
        (read.tally.holes, read.tally.damage, read.tally.passed.len()),
        (0, None, 0)
    );
}

#[test]
fn a_reset_comes_back_as_one() {
    let mut events = conversation();
    *events.last_mut().unwrap() = event(
        1,
        40,
        EventKind::Closed {
            by: Side::Server,
            reset: true,
        },
    );
    let read = parse_capture(
        &recorded(RedactionPolicy::default(), &events),
        Options::default(),
        1000,
    );
    assert!(matches!(
        read.connections.last(),
        Some(Item::Connection(Read::Closed {
            end: End::Reset,
            ..
        }))
    ));
    assert_eq!(read.requests.len(), 2);
}

#[test]
fn bodies_and_named_fields_are_overwritten_however_the_bytes_came() {
    let whole: Vec<u8> = (0..3)
        .flat_map(|n| request(n, b"4929001234567890"))
        .collect();
    let reply: Vec<u8> = (0..3)
        .flat_map(|_| response(200, b"4929001234567890"))
        .collect();
    let policy = RedactionPolicy {
        bodies: true,
        fields: vec!["x-TXN".into()],
    };
    for piece in [1, 7, 60, 1000] {
        let mut events = vec![event(1, 0, EventKind::Opened)];
        for (n, part) in whole.chunks(piece).enumerate() {
            events.push(event(1, 1 + n as u64, said(Side::Client, part)));
        }
        events.extend(
            reply
                .chunks(piece)
                .map(|part| event(1, 900, said(Side::Server, part))),
        );
        events.push(event(
            1,
            901,
            EventKind::Closed {
                by: Side::Client,
                reset: false,
            },
        ));
        let file = recorded(policy.clone(), &events);
        assert!(!file.windows(4).any(|four| four == b"4929"), "{piece}");
        let read = parse_capture(&file, Options::default(), 1000);
        assert_eq!(
            (read.requests.len(), read.responses.len()),
            (3, 3),
            "{piece}"
        );
        for (_, _, message) in &read.requests {
            assert_eq!(message.body(), b"xxxxxxxxxxxxxxxx");
            assert_eq!(message.field("X-Txn").unwrap(), b"xxxxxxxxxxxxxxxx");
            assert_eq!(message.bytes.len(), request(0, b"4929001234567890").len());
        }
        // Held back or not, a byte keeps the time at which it came.
        assert_eq!(
            read.requests[0].2.first.0,
            CAPTURE_START_NANOS + NANOS_PER_MS
        );
    }
}

#[test]
fn what_is_no_http_is_overwritten_whole_and_so_is_what_follows_a_loss() {
    let policy = RedactionPolicy {
        bodies: true,
        fields: Vec::new(),
    };
    let secret = b"PAN=4929001234567890 and more of the like\r\n\r\n";
    let mut after = event(2, 3, said(Side::Client, b"4929001234567890"));
    if let EventKind::Data { skipped, .. } = &mut after.kind {
        *skipped = 70;
    }
    let events = [
        event(1, 0, EventKind::Opened),
        event(1, 1, said(Side::Client, secret)),
        event(
            1,
            2,
            EventKind::Closed {
                by: Side::Client,
                reset: false,
            },
        ),
        event(2, 0, EventKind::Opened),
        event(2, 1, said(Side::Client, &request(1, b"")[..40])),
        after,
        event(
            2,
            4,
            EventKind::Closed {
                by: Side::Client,
                reset: false,
            },
        ),
        // The start of this one was left out.
        event(3, 5, said(Side::Server, b"4929001234567890 HTTP/1.1")),
    ];
    let file = recorded(policy, &events);
    assert!(!file.windows(4).any(|four| four == b"4929"));
    assert!(file
        .windows(24)
        .any(|text| text == b"70 bytes before this pac"));
    let read = parse_capture(&file, Options::default(), 1000);
    assert_eq!((read.requests.len(), read.tally.missing_bytes), (0, 70));
}

#[test]
fn losses_stand_in_the_statistics_of_their_interface() {
    let mut recorder = Recorder::new(RedactionPolicy::default());
    let quiet = recorder.encode(&event(1, 0, EventKind::Opened)).len();
    recorder.add_dropped(Leg::Front, 7);
    let marked = recorder.encode(&event(2, 1, EventKind::Opened));
    let statistics = heathspur_capture::write::ng_statistics(
        0,
        Stamp(CAPTURE_START_NANOS + NANOS_PER_MS),
        3 + 7,
        7,
    );
    assert!(marked.starts_with(&statistics));
    assert_eq!(marked.len(), quiet + statistics.len());
    assert_eq!(
        recorder.encode(&event(3, 2, EventKind::Opened)).len(),
        quiet
    );
}

#[test]
fn any_bytes_in_any_pieces_come_back_as_they_went_in_or_as_long() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let mut cases =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    let piece = (any::<bool>(), prop::collection::vec(any::<u8>(), 1..80));
    let start = prop::sample::select(vec![
        request(1, b"abc"),
        response(200, b"abc"),
        b"GET / ".to_vec(),
        Vec::new(),
    ]);
    cases
        .run(
            &(start, prop::collection::vec(piece, 0..30), any::<bool>()),
            |(start, pieces, bodies)| {
                let mut events = vec![event(1, 0, EventKind::Opened)];
                if !start.is_empty() {
                    events.push(event(1, 0, said(Side::Client, &start)));
                }
                let mut sent = [start.clone(), Vec::new()];
                for (n, (client, bytes)) in pieces.iter().enumerate() {
                    let side = if *client { Side::Client } else { Side::Server };
                    sent[usize::from(!client)].extend(bytes);
                    events.push(event(1, n as u64, said(side, bytes)));
                }
                events.push(event(
                    1,
                    99,
                    EventKind::Closed {
                        by: Side::Server,
                        reset: false,
                    },
                ));
                let file = recorded(
                    RedactionPolicy {
                        bodies,
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
                    assembler.segment(&frames.segment(&packet).unwrap());
                }
                assembler.finish();
                let mut got = [Vec::new(), Vec::new()];
                while let Some(found) = assembler.take() {
                    prop_assert!(!matches!(found, Read::Hole { .. }), "a hole");
                    if let Read::Bytes { side, bytes, .. } = found {
                        got[usize::from(side == Side::Server)].extend_from_slice(&bytes);
                    }
                }
                for (got, sent) in got.iter().zip(&sent) {
                    prop_assert_eq!(got.len(), sent.len());
                    prop_assert!(bodies || got == sent);
                    prop_assert!(got
                        .iter()
                        .zip(sent)
                        .all(|(got, sent)| got == sent || *got == b'x'));
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

fn make(step: FileAction) -> (String, Vec<String>) {
    match step {
        FileAction::Rotate { create, delete } => (create, delete),
        other => panic!("{other:?}"),
    }
}

#[test]
fn files_change_by_size_and_by_age_and_the_oldest_go() {
    let there = [
        "n1-0000000000005-000000.pcapng",
        "n1-0000000000004-000000.pcapng",
        "n1-notes.txt",
        "n2-0000000000001-000000.pcapng",
    ];
    let mut files = FileRotation::new("n1", LIMITS, there.map(String::from));
    let (first, delete) = make(files.next_action(0, 100));
    assert_eq!(
        (&first[..], delete.len()),
        ("n1-0000000000100-000000.pcapng", 0)
    );
    assert_eq!(files.file_created(0, &first, 300), None);
    assert_eq!(files.next_action(10, 110), FileAction::Write);
    files.bytes_written(700);
    // Full by size: the oldest of three others goes.
    let (second, delete) = make(files.next_action(20, 120));
    assert_eq!(delete, ["n1-0000000000004-000000.pcapng"]);
    files.file_deleted(&delete[0]);
    files.file_created(20, &second, 300);
    assert_eq!(files.next_action(5019, 5119), FileAction::Write);
    // Old; and the wall clock went back an hour, which makes the new one no older.
    let (third, delete) = make(files.next_action(5020, 50));
    assert_eq!(delete, ["n1-0000000000005-000000.pcapng"]);
    assert!(third > second, "{third} {second}");
}

#[test]
fn a_failing_disk_stops_recording_and_it_resumes_by_itself_with_one_line_each() {
    let mut files = FileRotation::new("n1", LIMITS, []);
    make(files.next_action(0, 0));
    assert_eq!(files.write_failed(0), Some(StatusChange::Stopped));
    let (mut now, mut retries, mut left_out) = (0, 0, 0);
    while now < 100_000 {
        now += 100;
        match files.next_action(now, now) {
            FileAction::Drop => left_out += 1,
            FileAction::Rotate { .. } => {
                retries += 1;
                assert_eq!(files.write_failed(now), None, "only the first is reported");
            }
            FileAction::Write => panic!("nothing is open"),
        }
    }
    // 0.5, 1, 2, 4, 8, 16 and then every 30 s.
    assert!((7..=9).contains(&retries), "{retries}");
    let name = loop {
        now += 100;
        match files.next_action(now, now) {
            FileAction::Drop => left_out += 1,
            step => break make(step).0,
        }
    };
    assert_eq!(
        files.file_created(now, &name, 10),
        Some(StatusChange::Resumed(left_out + retries + 1))
    );
    // A write that fails in the middle closes the file; the next retry is soon again.
    assert_eq!(files.write_failed(now), Some(StatusChange::Stopped));
    assert!(matches!(
        files.next_action(now + 500, now),
        FileAction::Rotate { .. }
    ));
}
