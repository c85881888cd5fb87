//! Unit tests of `src/recording/recorded_stream.rs`, which includes this file as its test module.

use super::*;
use crate::recording::handle::QueuedEvent;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::Arc;

fn connection() -> ConnectionInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    ConnectionInfo {
        id: 1,
        leg: Leg::Front,
        client: address,
        server: address,
    }
}

#[test]
fn stalled_recorder_drops_events_without_blocking() {
    let (events, recorder) = sync_channel(1000);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let handle = Rc::new(RecorderHandle::new(
        events,
        queued_bytes.clone(),
        10_000,
        false,
    ));
    let stream = StreamRecorder::new(handle.clone(), connection(), Side::Server);
    for _ in 0..100 {
        stream.record_bytes(Side::Client, &[b'a'; 500]);
    }
    let queued: Vec<QueuedEvent> = recorder.try_iter().collect();
    assert!((5..20).contains(&queued.len()), "{}", queued.len());
    assert!(queued_bytes.load(Ordering::Relaxed) <= 10_000);
    // The next event reports the number of dropped bytes and events.
    queued_bytes.store(0, Ordering::Relaxed);
    stream.record_bytes(Side::Client, b"next");
    let next = recorder.try_recv().unwrap();
    let dropped = 100 - queued.len() as u64;
    assert_eq!(next.dropped_events, [dropped, 0, 0]);
    let EventKind::Data { skipped, .. } = next.event.kind else {
        panic!("{:?}", next.event)
    };
    assert_eq!(skipped, dropped * 500);
    stream.record_bytes(Side::Server, b"response");
    let response = recorder.try_recv().unwrap();
    assert!(
        matches!(response.event.kind, EventKind::Data { skipped: 0, .. })
            && response.dropped_events == [0; 3]
    );
}
