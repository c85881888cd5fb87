//! Connections of any front: accepted while there is room for them.

use crate::front::Desk;
use crate::pool::Permit;
use crate::tape::Stream;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tracing::error;

/// Time to wait for room or descriptors before accepting again.
const BACK_OFF: Duration = Duration::from_millis(20);

/// Accepts connections while there is room for them and has each served; ends with the socket once no new
/// request is taken.
pub(crate) async fn accept(listener: Async<TcpListener>, desk: Rc<Desk>, serve: impl Fn(Stream, Permit)) {
    while !desk.shutting.is_closed() {
        desk.pool.make_room();
        let Some(permit) = Permit::take(&desk.pool) else {
            let pause = async {
                Timer::after(BACK_OFF).await;
            };
            future::or(desk.pool.room(), pause).await;
            continue;
        };
        let shut = async {
            desk.shut().await;
            None
        };
        match future::or(async { Some(listener.accept().await) }, shut).await {
            None => {}
            Some(Ok((stream, _))) => {
                let stream = Stream::accepted(stream, desk.tap.as_ref());
                serve(stream, permit);
            }
            Some(Err(e)) => {
                error!(error = %e, "cannot accept a connection: {e}");
                drop(permit);
                Timer::after(BACK_OFF).await;
            }
        }
    }
    // What the machine has accepted already is served still.
    while let (Some(permit), Ok((stream, _))) = (Permit::take(&desk.pool), listener.get_ref().accept()) {
        if let Ok(stream) = Async::new(stream) {
            let stream = Stream::accepted(stream, desk.tap.as_ref());
            serve(stream, permit);
        }
    }
}
