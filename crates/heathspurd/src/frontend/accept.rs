//! Accepts connections for a frontend, within the permits of its connection pool.

use crate::frontend::connection_pool::{ConnectionPool, Permit};
use crate::frontend::FrontendContext;
use crate::recording::recorded_stream::Stream;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tracing::error;

/// Delay before the next attempt if no permit is free or the last attempt failed, for example because file descriptors
/// have run out.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and passes each to `serve`, until no new requests are accepted and the listener's backlog is
/// empty. Then closes the listener.
pub(crate) async fn accept(
    listener: Async<TcpListener>,
    context: Rc<FrontendContext>,
    connections: Rc<ConnectionPool>,
    serve: impl Fn(Stream, Permit),
) {
    accept_until_stopped(&listener, &context, &connections, &serve).await;
    accept_backlog(&listener, &context, &connections, &serve).await;
}

async fn accept_until_stopped(
    listener: &Async<TcpListener>,
    context: &FrontendContext,
    connections: &Rc<ConnectionPool>,
    serve: &impl Fn(Stream, Permit),
) {
    while !context.stop_accepting.is_closed() {
        let Some(permit) = acquire_permit(connections).await else {
            continue;
        };
        let stopped = async {
            context.accepting_stopped().await;
            None
        };
        match future::or(async { Some(listener.accept().await) }, stopped).await {
            None => {}
            Some(Ok((stream, _))) => {
                serve(Stream::accepted(stream, context.recorder.as_ref()), permit)
            }
            Some(Err(e)) => {
                error!(error = %e, "cannot accept a connection: {e}");
                drop(permit);
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that the kernel has already established, as permits become free. Closing the listener would
/// reset them, and requests that have arrived on them would be lost.
async fn accept_backlog(
    listener: &Async<TcpListener>,
    context: &FrontendContext,
    connections: &Rc<ConnectionPool>,
    serve: &impl Fn(Stream, Permit),
) {
    while !context.are_responses_abandoned() {
        let Some(permit) = acquire_permit(connections).await else {
            continue;
        };
        let accepted = listener.get_ref().accept();
        match accepted.and_then(|(stream, _)| Async::new(stream)) {
            Ok(stream) => serve(Stream::accepted(stream, context.recorder.as_ref()), permit),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => {
                error!(error = %e, "cannot accept a connection: {e}");
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Acquires a permit for the next connection. Returns `None` after a wait if none was free; the caller has to retry.
async fn acquire_permit(connections: &Rc<ConnectionPool>) -> Option<Permit> {
    if connections.is_scarce() {
        // Lets the tasks of the latest connections run, so that these count as idle too. Otherwise only older
        // connections could be evicted.
        future::yield_now().await;
        connections.reclaim_permits();
    }
    let permit = Permit::acquire(connections);
    if permit.is_none() {
        let delay = async {
            Timer::after(RETRY_DELAY).await;
        };
        future::or(connections.permit_freed(), delay).await;
    }
    permit
}
