//! Unit tests of `src/notify.rs`, which includes this file as its test module.

use super::*;
use async_executor::LocalExecutor;
use std::rc::Rc;

#[test]
fn notifications_without_waiting_task_are_merged() {
    let notify = Notify::new();
    notify.notify();
    notify.notify();
    assert!(future::block_on(future::poll_once(notify.notified())).is_some());
    assert!(future::block_on(future::poll_once(notify.notified())).is_none());
}

#[test]
fn task_that_stopped_waiting_does_not_consume_notification() {
    let (notify, executor) = (Rc::new(Notify::new()), LocalExecutor::new());
    let stopped = notify.clone();
    executor
        .spawn(async move { assert!(future::poll_once(stopped.notified()).await.is_none()) })
        .detach();
    let waiting = notify.clone();
    let waiting = executor.spawn(async move { waiting.notified().await });
    assert!(executor.try_tick() && executor.try_tick());
    notify.notify();
    while executor.try_tick() {}
    assert!(waiting.is_finished());
}

#[test]
fn each_notification_wakes_one_waiting_task() {
    let (notify, executor) = (Rc::new(Notify::new()), LocalExecutor::new());
    let notified_tasks = Rc::new(Cell::new(0));
    for _ in 0..2 {
        let (notify, notified_tasks) = (notify.clone(), notified_tasks.clone());
        let waiting = async move {
            notify.notified().await;
            notified_tasks.set(notified_tasks.get() + 1);
        };
        executor.spawn(waiting).detach();
    }
    for notifications in 0..=2 {
        while executor.try_tick() {}
        assert_eq!(notified_tasks.get(), notifications);
        notify.notify();
    }
}

#[test]
fn task_that_waits_repeatedly_has_one_waker() {
    let notify = Notify::new();
    let wait_repeatedly = async {
        for _ in 0..100 {
            assert!(future::poll_once(notify.notified()).await.is_none());
        }
    };
    future::block_on(wait_repeatedly);
    assert_eq!(notify.wakers.borrow().len(), 1);
}
