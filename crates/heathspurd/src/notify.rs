//! Notifications between tasks of one thread.

use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::task::{Poll, Waker};

/// A notification between tasks of one thread. Notifications that no task has received yet are merged into one.
///
/// It consists of a flag and wakers rather than a channel: a channel would allocate a listener for each wait, and the
/// event loop waits once per iteration.
#[derive(Default)]
pub(crate) struct Notify {
    notified: Cell<bool>,
    /// One waker for each task that has waited since the last notification, including those that no longer wait.
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Creates a `Notify` without a pending notification.
    pub fn new() -> Notify {
        Notify::default()
    }

    /// Notifies one of the waiting tasks, or the next task to wait.
    pub fn notify(&self) {
        self.notified.set(true);
        // Wakes all of them, because a waker may belong to a task that no longer waits. The first task to run receives
        // the notification.
        self.wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Waits for a notification and consumes it.
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
