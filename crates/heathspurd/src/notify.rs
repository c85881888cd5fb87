//! A notification from one task to another of the same thread.

use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};

/// One task notifies, another waits. Notifications that nobody has waited for yet count as one.
///
/// A flag and wakers, since a channel makes a listener for each wait, and the owner waits at every turn.
#[derive(Default)]
pub(crate) struct Notify {
    told: Cell<bool>,
    /// Of the tasks that wait, and of those that gave up waiting since the last notification: one for each.
    waiting: RefCell<Vec<Waker>>,
}

impl Notify {
    pub fn new() -> Notify {
        Notify::default()
    }

    pub fn notify(&self) {
        self.told.set(true);
        // All of them: one that no longer waits would keep it from the others. Who comes first takes it.
        self.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }

    pub async fn notified(&self) {
        let taken = future::poll_fn(|cx| {
            if self.told.take() {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
                waiting.push(cx.waker().clone());
            }
            Poll::Pending
        });
        taken.await;
    }
}

#[cfg(test)]
#[path = "../tests/unit/notify.rs"]
mod tests;
