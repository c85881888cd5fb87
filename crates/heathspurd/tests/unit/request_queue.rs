//! Unit tests of `src/frontend/request_queue.rs`, which includes this file as its test module.

use super::*;

#[test]
fn flooded_queue_and_other_queue_alternate() {
    let ((flooded, flooded_items), (other, other_items)) =
        (async_channel::bounded(256), async_channel::bounded(256));
    let mut queues = RequestQueues::new(vec![flooded_items, other_items]);
    for n in 0..200 {
        flooded.try_send(("flooded", n)).unwrap();
    }
    for n in 0..3 {
        other.try_send(("other", n)).unwrap();
    }
    let taken: Vec<_> = (0..64).filter_map(|_| queues.try_next()).collect();
    let other_positions: Vec<_> = (0..64).filter(|&at| taken[at].0 == "other").collect();
    assert_eq!(other_positions, [1, 3, 5]);
    assert_eq!(taken.len(), 64);
    // Items of one queue stay in order.
    let flooded_order: Vec<_> = taken
        .iter()
        .filter(|(queue, _)| *queue == "flooded")
        .map(|(_, n)| *n)
        .collect();
    assert!(flooded_order.is_sorted());
}

#[test]
fn item_in_any_queue_wakes_waiting_consumer() {
    let ((_first_sender, first), (second_sender, second)) =
        (async_channel::bounded::<u8>(4), async_channel::bounded(4));
    let mut queues = RequestQueues::new(vec![first, second]);
    let received = async_io::block_on(future::zip(queues.next(), async {
        future::yield_now().await;
        second_sender.send(7).await.unwrap();
    }));
    assert_eq!(received.0, 7);
    second_sender.try_send(8).unwrap();
    assert_eq!((queues.try_next(), queues.try_next()), (Some(8), None));
}
