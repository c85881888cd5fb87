//! Unit tests of `src/frontend/connection_pool.rs`, which includes this file as its test module.

use super::*;
use std::future::pending;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

/// Polls a future once.
fn poll_once<T>(future: std::pin::Pin<&mut impl Future<Output = T>>) -> Poll<T> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn longest_idle_connection_is_evicted_before_new_one() {
    let pool = Rc::new(ConnectionPool::new(8));
    let mut permits: Vec<Permit> = std::iter::from_fn(|| Permit::acquire(&pool)).collect();
    let (old, new) = (permits.pop().unwrap(), permits.pop().unwrap());
    old.request_received();
    let mut longest_idle = pin!(old.idle(pending::<()>()));
    assert!(poll_once(longest_idle.as_mut()).is_pending());
    let mut new_idle = pin!(new.idle(pending::<()>()));
    assert!(poll_once(new_idle.as_mut()).is_pending());
    pool.reclaim_permits();
    assert_eq!(
        poll_once(longest_idle.as_mut()),
        Poll::Ready(Err(ConnectionPhase::Idle))
    );
    assert!(poll_once(new_idle.as_mut()).is_pending());
    // The remaining idle connection has received a part of a request, and is evicted only if no permit is free.
    new.request_begun();
    drop(permits.pop());
    pool.reclaim_permits();
    assert!(poll_once(new_idle.as_mut()).is_pending());
    permits.push(Permit::acquire(&pool).unwrap());
    pool.reclaim_permits();
    assert_eq!(
        poll_once(new_idle.as_mut()),
        Poll::Ready(Err(ConnectionPhase::ReadingRequest))
    );
}

#[test]
fn lingering_and_idle_connections_are_evicted_if_no_permit_is_free() {
    let pool = Rc::new(ConnectionPool::new(8));
    let permits: Vec<Permit> = std::iter::from_fn(|| Permit::acquire(&pool)).collect();
    assert_eq!(permits.len(), 8);
    let mut first = pin!(permits[0].linger(pending()));
    let mut second = pin!(permits[1].linger(pending()));
    let mut idle = pin!(permits[2].idle(pending::<()>()));
    assert!(poll_once(first.as_mut()).is_pending() && poll_once(second.as_mut()).is_pending());
    assert!(poll_once(idle.as_mut()).is_pending());
    pool.reclaim_permits();
    assert!(poll_once(first.as_mut()).is_ready() && poll_once(second.as_mut()).is_pending());
    // The second lingering connection frees one permit soon, but two are reserved: the idle connection is evicted too.
    assert!(poll_once(idle.as_mut()).is_ready());
}
