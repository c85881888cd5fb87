//! Connections of any front: accepted while there is room for them.

use crate::frontend::connection_pool::Permit;
use crate::frontend::FrontendContext;
use crate::recording::recorded_stream::Stream;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tracing::error;

/// Time to wait for room or descriptors before accepting again.
const BACK_OFF: Duration = Duration::from_millis(20);

/// Accepts connections while there are permits and has each served; ends with the socket once no new request is
/// taken.
pub(crate) async fn accept(
    listener: Async<TcpListener>,
    desk: Rc<FrontendContext>,
    serve: impl Fn(Stream, Permit),
) {
    while !desk.stop_accepting.is_closed() {
        let Some(permit) = permit(&desk).await else {
            continue;
        };
        let shut = async {
            desk.accepting_stopped().await;
            None
        };
        match future::or(async { Some(listener.accept().await) }, shut).await {
            None => {}
            Some(Ok((stream, _))) => {
                serve(Stream::accepted(stream, desk.recorder.as_ref()), permit)
            }
            Some(Err(e)) => {
                error!(error = %e, "cannot accept a connection: {e}");
                drop(permit);
                Timer::after(BACK_OFF).await;
            }
        }
    }
    // What the machine has accepted already is served still, as permits come back: the socket's end resets what it
    // finds there, and a request in it would be lost.
    while !desk.are_responses_abandoned() {
        let Some(permit) = permit(&desk).await else {
            continue;
        };
        match listener
            .get_ref()
            .accept()
            .and_then(|(stream, _)| Async::new(stream))
        {
            Ok(stream) => serve(Stream::accepted(stream, desk.recorder.as_ref()), permit),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => {
                error!(error = %e, "cannot accept a connection: {e}");
                Timer::after(BACK_OFF).await;
            }
        }
    }
}

/// A permit for the next connection; none when it has to be asked for again.
async fn permit(desk: &FrontendContext) -> Option<Permit> {
    if desk.connections.is_scarce() {
        // Those accepted last are known as idle once they had a turn; without it, older ones leave in their place.
        future::yield_now().await;
        desk.connections.make_room();
    }
    let permit = Permit::take(&desk.connections);
    if permit.is_none() {
        let pause = async {
            Timer::after(BACK_OFF).await;
        };
        future::or(desk.connections.freed(), pause).await;
    }
    permit
}
