//! Unit tests of `src/tape.rs`, which names this file as its module of tests.

use super::*;
use std::sync::mpsc::sync_channel;

fn ends() -> Ends {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Ends {
        number: 1,
        leg: Leg::Front,
        client: address,
        server: address,
    }
}

#[test]
fn a_recorder_that_hangs_costs_events_and_never_a_wait() {
    let (items, recorder) = sync_channel(1000);
    let waiting = Arc::new(AtomicUsize::new(0));
    let tap = Rc::new(RecorderHandle::new(items, waiting.clone(), 10_000, false));
    let tape = Tape {
        tap: tap.clone(),
        ends: ends(),
        us: Side::Server,
        missed: Cell::new([0; 2]),
        ended: Cell::new((Side::Server, false)),
    };
    for _ in 0..100 {
        tape.said(Side::Client, &[b'a'; 500]);
    }
    let taken: Vec<Item> = recorder.try_iter().collect();
    assert!((5..20).contains(&taken.len()), "{}", taken.len());
    assert!(waiting.load(Ordering::Relaxed) <= 10_000);
    // It goes on: what was left out is told with the next event, in bytes and in number.
    waiting.store(0, Ordering::Relaxed);
    tape.said(Side::Client, b"next");
    let next = recorder.try_recv().unwrap();
    let left_out = 100 - taken.len() as u64;
    assert_eq!(next.missed, [left_out, 0, 0]);
    let Seen::Said { missed, .. } = next.event.seen else {
        panic!("{:?}", next.event)
    };
    assert_eq!(missed, left_out * 500);
    tape.said(Side::Server, b"answer");
    let answer = recorder.try_recv().unwrap();
    assert!(matches!(answer.event.seen, Seen::Said { missed: 0, .. }) && answer.missed == [0; 3]);
}

#[test]
fn a_full_queue_counts_as_a_hanging_recorder() {
    let (items, recorder) = sync_channel(2);
    let waiting = Arc::new(AtomicUsize::new(0));
    let tap = RecorderHandle::new(items, waiting.clone(), 1 << 20, false);
    let sent = (0..10).filter(|_| tap.send(ends(), Seen::Opened)).count();
    assert_eq!((sent, tap.missed.get()), (2, [8, 0, 0]));
    assert_eq!(
        recorder
            .try_iter()
            .map(|item| item.event.weight())
            .sum::<usize>(),
        waiting.load(Ordering::Relaxed)
    );
}
