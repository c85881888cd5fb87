//! Unit tests of `src/frontend/request_queue.rs`, which names this file as its module of tests.

use super::*;

#[test]
fn a_flooded_queue_leaves_every_other_turn_to_the_others() {
    let ((flood, a), (few, b)) = (async_channel::bounded(256), async_channel::bounded(256));
    let mut queues = RequestQueues::new(vec![a, b]);
    for n in 0..200 {
        flood.try_send(('a', n)).unwrap();
    }
    for n in 0..3 {
        few.try_send(('b', n)).unwrap();
    }
    let taken: Vec<_> = (0..64).filter_map(|_| queues.try_next()).collect();
    let places: Vec<_> = (0..64).filter(|&at| taken[at].0 == 'b').collect();
    assert_eq!(places, [1, 3, 5]);
    assert_eq!(taken.len(), 64);
    // Each queue keeps its own order.
    let firsts: Vec<_> = taken
        .iter()
        .filter(|(of, _)| *of == 'a')
        .map(|(_, n)| *n)
        .collect();
    assert!(firsts.is_sorted());
}

#[test]
fn an_item_in_any_queue_wakes_the_wait_over_all() {
    let ((_a, first), (b, second)) = (async_channel::bounded::<u8>(4), async_channel::bounded(4));
    let mut queues = RequestQueues::new(vec![first, second]);
    let got = async_io::block_on(future::zip(queues.next(), async {
        future::yield_now().await;
        b.send(7).await.unwrap();
    }));
    assert_eq!(got.0, 7);
    b.try_send(8).unwrap();
    assert_eq!((queues.try_next(), queues.try_next()), (Some(8), None));
}
