//! Requests of several fronts, taken by turns: what floods one front's queue starves no other's.

use async_channel::{Receiver, Recv};
use futures_lite::future;
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;

/// The queues, and whose turn it is.
pub(crate) struct RequestQueues<T> {
    queues: Vec<Receiver<T>>,
    turn: usize,
}

impl<T> RequestQueues<T> {
    pub fn new(queues: Vec<Receiver<T>>) -> RequestQueues<T> {
        RequestQueues { queues, turn: 0 }
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
        let mut waits: Vec<Pin<Box<Recv<'_, T>>>> =
            self.queues.iter().map(|q| Box::pin(q.recv())).collect();
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
#[path = "../../tests/unit/request_queue.rs"]
mod tests;
