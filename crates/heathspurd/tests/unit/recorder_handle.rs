//! Unit tests of `src/recording/handle.rs`, which includes this file as its test module.

use super::*;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;

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
fn full_queue_drops_and_counts_events() {
    let (events, recorder) = sync_channel(2);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let handle = RecorderHandle::new(events, queued_bytes.clone(), 1 << 20, false);
    let sent = (0..10)
        .filter(|_| handle.send(connection(), EventKind::Opened))
        .count();
    assert_eq!((sent, handle.dropped_events.get()), (2, [8, 0, 0]));
    assert_eq!(
        recorder
            .try_iter()
            .map(|queued| queued.event.weight())
            .sum::<usize>(),
        queued_bytes.load(Ordering::Relaxed)
    );
}
