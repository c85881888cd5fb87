//! Unit tests of `src/frontend/connection_pool.rs`, which names this file as its module of tests.

use super::*;
use std::future::pending;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn polled<T>(future: std::pin::Pin<&mut impl Future<Output = T>>) -> Poll<T> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn a_new_connection_stays_where_others_have_been_idle_for_longer() {
    let pool = Rc::new(ConnectionPool::new(8));
    let mut busy: Vec<Permit> = std::iter::from_fn(|| Permit::acquire(&pool)).collect();
    let (old, new) = (busy.pop().unwrap(), busy.pop().unwrap());
    old.request_received();
    let mut idle_for_long = pin!(old.idle(pending::<()>()));
    assert!(polled(idle_for_long.as_mut()).is_pending());
    let mut fresh = pin!(new.idle(pending::<()>()));
    assert!(polled(fresh.as_mut()).is_pending());
    pool.reclaim_permits();
    assert_eq!(
        polled(idle_for_long.as_mut()),
        Poll::Ready(Err(LeaveRequest::Idle))
    );
    assert!(polled(fresh.as_mut()).is_pending());
    // The one left has begun a request, and leaves only where no permit is left.
    new.request_begun();
    drop(busy.pop());
    pool.reclaim_permits();
    assert!(polled(fresh.as_mut()).is_pending());
    busy.push(Permit::acquire(&pool).unwrap());
    pool.reclaim_permits();
    assert_eq!(
        polled(fresh.as_mut()),
        Poll::Ready(Err(LeaveRequest::ReadingRequest))
    );
}

#[test]
fn lingering_connections_count_as_leaving_and_end_where_no_permit_is_left() {
    let pool = Rc::new(ConnectionPool::new(8));
    let permits: Vec<Permit> = std::iter::from_fn(|| Permit::acquire(&pool)).collect();
    assert_eq!(permits.len(), 8);
    let mut first = pin!(permits[0].linger(pending()));
    let mut second = pin!(permits[1].linger(pending()));
    let mut idle = pin!(permits[2].idle(pending::<()>()));
    assert!(polled(first.as_mut()).is_pending() && polled(second.as_mut()).is_pending());
    assert!(polled(idle.as_mut()).is_pending());
    pool.reclaim_permits();
    assert!(polled(first.as_mut()).is_ready() && polled(second.as_mut()).is_pending());
    // One is about to leave where two are to be free: so one of the idle is asked too.
    assert!(polled(idle.as_mut()).is_ready());
}
