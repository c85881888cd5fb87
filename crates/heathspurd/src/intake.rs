//! Requests of several fronts, taken by turns: what floods one front's queue starves no other's.

use async_channel::{Receiver, Recv};
use futures_lite::future;
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;

/// The queues, and whose turn it is.
pub(crate) struct Intake<T> {
    queues: Vec<Receiver<T>>,
    turn: usize,
}

impl<T> Intake<T> {
    pub fn new(queues: Vec<Receiver<T>>) -> Intake<T> {
        Intake { queues, turn: 0 }
    }

    /// The next one that is there, of the first queue that has one from the one on whose turn it is.
    pub fn try_next(&mut self) -> Option<T> {
        let count = self.queues.len();
        for step in 0..count {
            let at = (self.turn + step) % count;
            if let Ok(item) = self.queues[at].try_recv() {
                self.turn = (at + 1) % count;
                return Some(item);
            }
        }
        None
    }

    /// Waits for the next one.
    pub async fn next(&mut self) -> T {
        if let [only] = &self.queues[..] {
            return match only.recv().await {
                Ok(item) => item,
                Err(_) => future::pending().await,
            };
        }
        if let Some(item) = self.try_next() {
            return item;
        }
        let mut waits: Vec<Pin<Box<Recv<'_, T>>>> = self.queues.iter().map(|q| Box::pin(q.recv())).collect();
        let (at, item) = future::poll_fn(|cx| {
            for (at, wait) in waits.iter_mut().enumerate() {
                // A front that has ended brings nothing more.
                if let Poll::Ready(Ok(item)) = wait.as_mut().poll(cx) {
                    return Poll::Ready((at, item));
                }
            }
            Poll::Pending
        })
        .await;
        drop(waits);
        self.turn = (at + 1) % self.queues.len();
        item
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_queue_that_is_flooded_leaves_every_other_turn_to_the_others() {
        let ((flood, a), (few, b)) = (async_channel::bounded(256), async_channel::bounded(256));
        let mut intake = Intake::new(vec![a, b]);
        for n in 0..200 {
            flood.try_send(('a', n)).unwrap();
        }
        for n in 0..3 {
            few.try_send(('b', n)).unwrap();
        }
        let taken: Vec<_> = (0..64).filter_map(|_| intake.try_next()).collect();
        let places: Vec<_> = (0..64).filter(|&at| taken[at].0 == 'b').collect();
        assert_eq!(places, [1, 3, 5]);
        assert_eq!(taken.len(), 64);
        // Each queue keeps its own order.
        let firsts: Vec<_> = taken.iter().filter(|(of, _)| *of == 'a').map(|(_, n)| *n).collect();
        assert!(firsts.is_sorted());
    }

    #[test]
    fn whoever_comes_wakes_a_wait_over_all_queues() {
        let ((_a, first), (b, second)) = (async_channel::bounded::<u8>(4), async_channel::bounded(4));
        let mut intake = Intake::new(vec![first, second]);
        let got = async_io::block_on(future::zip(intake.next(), async {
            future::yield_now().await;
            b.send(7).await.unwrap();
        }));
        assert_eq!(got.0, 7);
        b.try_send(8).unwrap();
        assert_eq!((intake.try_next(), intake.try_next()), (Some(8), None));
    }
}
