//! A notification from one task to another of the same thread.

use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};

/// One task notifies, another waits. Notifications count as one until a task waits for them.
///
/// A flag and wakers: a channel would allocate a listener for each wait, and the event loop waits at every turn.
#[derive(Default)]
pub(crate) struct Notify {
    notified: Cell<bool>,
    /// One waker for each task that waits or has stopped waiting since the last notification.
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// A notification that has not been given.
    pub fn new() -> Notify {
        Notify::default()
    }

    /// Notifies one of the tasks that wait, or the next one to do so.
    pub fn notify(&self) {
        self.notified.set(true);
        // All are woken, since a task that no longer waits would keep the notification from the others. The first one
        // takes it.
        self.wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Waits for a notification and takes it.
    pub async fn notified(&self) {
        let notified = future::poll_fn(|cx| {
            if self.notified.take() {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        });
        notified.await;
    }
}

#[cfg(test)]
#[path = "../tests/unit/notify.rs"]
mod tests;
