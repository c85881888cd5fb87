//! Unit tests of `src/notify.rs`, which names this file as its module of tests.

use super::*;
use async_executor::LocalExecutor;
use std::rc::Rc;

#[test]
fn notifications_that_nobody_waited_for_count_as_one() {
    let notify = Notify::new();
    notify.notify();
    notify.notify();
    assert!(future::block_on(future::poll_once(notify.notified())).is_some());
    assert!(future::block_on(future::poll_once(notify.notified())).is_none());
}

#[test]
fn one_that_gave_up_waiting_keeps_a_notification_from_nobody() {
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
fn each_notification_wakes_one_of_those_that_wait() {
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
    for told in 0..=2 {
        while executor.try_tick() {}
        assert_eq!(served.get(), told);
        notify.notify();
    }
}

#[test]
fn a_task_that_waits_again_and_again_is_remembered_once() {
    let notify = Notify::new();
    let again = async {
        for _ in 0..100 {
            assert!(future::poll_once(notify.notified()).await.is_none());
        }
    };
    future::block_on(again);
    assert_eq!(notify.waiting.borrow().len(), 1);
}
