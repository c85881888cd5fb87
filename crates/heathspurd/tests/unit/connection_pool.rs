//! Unit tests of `src/pool.rs`, which names this file as its module of tests.

use super::*;
use std::future::pending;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn polled<T>(future: std::pin::Pin<&mut impl Future<Output = T>>) -> Poll<T> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn one_that_has_just_come_stays_where_others_rest_for_longer() {
    let pool = Rc::new(Pool::new(8));
    let mut busy: Vec<Permit> = std::iter::from_fn(|| Permit::take(&pool)).collect();
    let (old, new) = (busy.pop().unwrap(), busy.pop().unwrap());
    old.heard();
    let mut resting = pin!(old.idle(pending::<()>()));
    assert!(polled(resting.as_mut()).is_pending());
    let mut fresh = pin!(new.idle(pending::<()>()));
    assert!(polled(fresh.as_mut()).is_pending());
    pool.make_room();
    assert_eq!(polled(resting.as_mut()), Poll::Ready(Err(Asked::Idle)));
    assert!(polled(fresh.as_mut()).is_pending());
    // The last one left is in the midst of a request, and leaves only if it has to.
    new.begun();
    drop(busy.pop());
    pool.make_room();
    assert!(polled(fresh.as_mut()).is_pending());
    busy.push(Permit::take(&pool).unwrap());
    pool.make_room();
    assert_eq!(
        polled(fresh.as_mut()),
        Poll::Ready(Err(Asked::ReadingRequest))
    );
}

#[test]
fn those_that_linger_count_as_leaving_and_end_where_no_permit_is_left() {
    let pool = Rc::new(Pool::new(8));
    let permits: Vec<Permit> = std::iter::from_fn(|| Permit::take(&pool)).collect();
    assert_eq!(permits.len(), 8);
    let mut first = pin!(permits[0].linger(pending()));
    let mut second = pin!(permits[1].linger(pending()));
    let mut idle = pin!(permits[2].idle(pending::<()>()));
    assert!(polled(first.as_mut()).is_pending() && polled(second.as_mut()).is_pending());
    assert!(polled(idle.as_mut()).is_pending());
    pool.make_room();
    assert!(polled(first.as_mut()).is_ready() && polled(second.as_mut()).is_pending());
    // One is about to leave where two are to be free: so one of the idle is asked too.
    assert!(polled(idle.as_mut()).is_ready());
}
