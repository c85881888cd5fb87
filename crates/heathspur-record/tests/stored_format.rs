//! Guards the stored format of recordings: tools also read files of earlier versions, so a fixed conversation must
//! always be encoded as the same bytes.

use bytes::Bytes;
use heathspur_capture::{Side, Timestamp};
use heathspur_record::recorder::{ConnectionInfo, Event, EventKind, Leg, Recorder};
use heathspur_record::redaction::RedactionPolicy;
use heathspur_testkit::capture::{request, response, CAPTURE_START_NANOS, NANOS_PER_MS};

/// Returns the 64-bit FNV-1a hash, which is short to implement and the same on all platforms.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn event(number: u64, leg: Leg, ms: u64, kind: EventKind) -> Event {
    let (client, server) = match leg {
        Leg::Store => ("[::1]:40009", "[::1]:7001"),
        _ => ("127.0.0.1:40001", "127.0.0.1:6565"),
    };
    Event {
        connection: ConnectionInfo {
            id: number,
            leg,
            client: client.parse().unwrap(),
            server: server.parse().unwrap(),
        },
        time: Timestamp(CAPTURE_START_NANOS + ms * NANOS_PER_MS),
        kind,
    }
}

fn data(side: Side, bytes: &[u8], skipped: u64) -> EventKind {
    EventKind::Data {
        side,
        bytes: Bytes::copy_from_slice(bytes),
        skipped,
    }
}

/// Returns events of three connections: split messages, a long body, lost bytes, a close, a reset, and a connection
/// whose start was not recorded.
fn conversation() -> Vec<Event> {
    let (first, long) = (request(1, b"4929001234567890"), request(2, &[b'7'; 40_000]));
    let closed = |by, reset| EventKind::Closed { by, reset };
    vec![
        event(1, Leg::Front, 0, EventKind::Opened),
        event(1, Leg::Front, 1, data(Side::Client, &first[..30], 0)),
        event(1, Leg::Front, 2, data(Side::Client, &first[30..], 0)),
        event(
            1,
            Leg::Front,
            3,
            data(Side::Server, &response(200, b"ok"), 0),
        ),
        event(2, Leg::Store, 4, EventKind::Opened),
        event(2, Leg::Store, 5, data(Side::Client, b"GET 4929\n", 0)),
        event(1, Leg::Front, 6, data(Side::Client, &long, 0)),
        event(1, Leg::Front, 7, data(Side::Client, &first[..20], 0)),
        event(1, Leg::Front, 8, data(Side::Client, b"after a loss", 70)),
        event(2, Leg::Store, 9, closed(Side::Server, true)),
        event(3, Leg::Interpreter, 10, data(Side::Server, b"{}\n", 0)),
        event(1, Leg::Front, 11, closed(Side::Client, false)),
    ]
}

fn recording(policy: RedactionPolicy) -> Vec<u8> {
    let mut recorder = Recorder::new(policy);
    let mut file = recorder.file_header();
    for (position, event) in conversation().iter().enumerate() {
        if position == 5 {
            recorder.add_dropped(Leg::Store, 3);
        }
        file.extend(recorder.encode(event));
    }
    file.extend(recorder.final_statistics(Timestamp(CAPTURE_START_NANOS + 12 * NANOS_PER_MS)));
    file
}

#[test]
fn recording_without_redaction_has_unchanged_bytes() {
    let file = recording(RedactionPolicy::default());
    assert_eq!(
        (file.len(), fnv1a(&file)),
        (42_184, 9_655_017_946_235_061_806)
    );
}

#[test]
fn redacted_recording_has_unchanged_bytes() {
    let file = recording(RedactionPolicy {
        bodies: true,
        fields: vec!["x-TXN".into()],
    });
    assert_eq!(
        (file.len(), fnv1a(&file)),
        (42_404, 11_795_698_995_447_286_374)
    );
}
