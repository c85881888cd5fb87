//! The one final answer of each request, back to the connection it came on.

use crate::clock::within;
use crate::frontend::lingering_close;
use crate::frontend::response::Response;
use crate::frontend::response_buffer::Room;
use crate::frontend::Desk;
use crate::recording::recorded_stream::Stream;
use futures_lite::{future, AsyncWriteExt};
use heathspur_wire::http::{self, ConnectionOption};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// A peer that takes none of its answer for so long is left.
const SLOW: Duration = Duration::from_secs(10);

/// Writes an answer; an error means that the connection is of no more use.
pub(crate) async fn write(
    stream: &Stream,
    desk: &Desk,
    response: &Response,
    last: ConnectionOption,
) -> io::Result<()> {
    let mut out = Vec::with_capacity(256 + response.body.len());
    http::write_response(
        &mut out,
        response.status,
        &response.fields,
        last,
        &response.body,
    );
    match &desk.room {
        None => write_all(stream, &out).await,
        Some(room) => write_within(stream, room, &out).await,
    }
}

/// Answers what is no request that can be taken, and ends its connection.
pub(crate) async fn reject(stream: &Stream, status: u16) {
    let mut out = Vec::new();
    http::write_response(&mut out, status, &[], ConnectionOption::Close, b"");
    // The connection ends either way.
    let _ = write_all(stream, &out).await;
    lingering_close::close(stream).await;
}

async fn write_all(mut stream: &Stream, out: &[u8]) -> io::Result<()> {
    within(SLOW, stream.write_all(out)).await
}

/// The same under a budget of memory that other fronts share: what a slow reader leaves lying is held in it, and
/// given up with the connection when others need the room.
async fn write_within(mut stream: &Stream, room: &Rc<Room>, out: &[u8]) -> io::Result<()> {
    let written = match future::poll_once(stream.write(out)).await {
        Some(written) => written?,
        None => 0,
    };
    if written == out.len() {
        return Ok(());
    }
    let held = room.hold(room.holder(), out.len() - written);
    let crowded = async {
        held.crowded().await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(write_all(stream, &out[written..]), crowded).await
}
