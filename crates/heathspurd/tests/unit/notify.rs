//! Unit tests of `src/notify.rs`, which includes this file as its module of tests.

use super::*;
use async_executor::LocalExecutor;
use std::rc::Rc;

#[test]
fn notifications_without_a_waiting_task_count_as_one() {
    let notify = Notify::new();
    notify.notify();
    notify.notify();
    assert!(future::block_on(future::poll_once(notify.notified())).is_some());
    assert!(future::block_on(future::poll_once(notify.notified())).is_none());
}

#[test]
fn a_task_that_stopped_waiting_keeps_a_notification_from_no_other() {
    let (notify, executor) = (Rc::new(Notify::new()), LocalExecutor::new());
    let left = notify.clone();
    executor
        .spawn(async move { assert!(future::poll_once(left.notified()).await.is_none()) })
        .detach();
    let waits = notify.clone();
    let waits = executor.spawn(async move { waits.notified().await });
    assert!(executor.try_tick() && executor.try_tick());
    notify.notify();
    while executor.try_tick() {}
    assert!(waits.is_finished());
}

#[test]
fn each_notification_is_taken_by_one_waiting_task() {
    let (notify, executor) = (Rc::new(Notify::new()), LocalExecutor::new());
    let served = Rc::new(Cell::new(0));
    for _ in 0..2 {
        let (notify, served) = (notify.clone(), served.clone());
        let waits = async move {
            notify.notified().await;
            served.set(served.get() + 1);
        };
        executor.spawn(waits).detach();
    }
    for notifications in 0..=2 {
        while executor.try_tick() {}
        assert_eq!(served.get(), notifications);
        notify.notify();
    }
}

#[test]
fn a_task_that_waits_repeatedly_has_one_waker() {
    let notify = Notify::new();
    let again = async {
        for _ in 0..100 {
            assert!(future::poll_once(notify.notified()).await.is_none());
        }
    };
    future::block_on(again);
    assert_eq!(notify.wakers.borrow().len(), 1);
}
