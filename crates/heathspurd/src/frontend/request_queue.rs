//! The request queues of all frontends, served round-robin so that a flood on one frontend cannot starve another.

use async_channel::{Receiver, Recv};
use futures_lite::future;
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;

/// One queue per frontend, served round-robin.
pub(crate) struct RequestQueues<T> {
    queues: Vec<Receiver<T>>,
    /// Index of the queue to receive from first.
    next_queue: usize,
}

impl<T> RequestQueues<T> {
    /// Creates a round-robin consumer of these queues that starts with the first one.
    pub fn new(queues: Vec<Receiver<T>>) -> RequestQueues<T> {
        RequestQueues {
            queues,
            next_queue: 0,
        }
    }

    /// Returns the next queued item, if there is one.
    pub fn try_next(&mut self) -> Option<T> {
        let count = self.queues.len();
        for offset in 0..count {
            let index = (self.next_queue + offset) % count;
            if let Ok(item) = self.queues[index].try_recv() {
                self.next_queue = (index + 1) % count;
                return Some(item);
            }
        }
        None
    }

    /// Waits for the next item. Never returns once all queues are closed.
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
        let (index, item) = self.first_received().await;
        self.next_queue = (index + 1) % self.queues.len();
        item
    }

    /// Waits for an item from any queue and returns it with the index of its queue.
    async fn first_received(&self) -> (usize, T) {
        let mut receives: Vec<Pin<Box<Recv<'_, T>>>> = self
            .queues
            .iter()
            .map(|queue| Box::pin(queue.recv()))
            .collect();
        future::poll_fn(|cx| {
            for (index, receive) in receives.iter_mut().enumerate() {
                // A queue is closed once its frontend has ended; it is ignored.
                if let Poll::Ready(Ok(item)) = receive.as_mut().poll(cx) {
                    return Poll::Ready((index, item));
                }
            }
            Poll::Pending
        })
        .await
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_queue.rs"]
mod tests;
