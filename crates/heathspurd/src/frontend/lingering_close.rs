//! The lingering close of a connection. A close over unread bytes resets the connection, and an answer that is still
//! on its way goes with it: so our side is shut first, and what still comes is read off, never sent on.

use crate::clock::within;
use crate::recording::recorded_stream::Stream;
use futures_lite::AsyncReadExt;
use std::io;
use std::net::Shutdown;
use std::time::Duration;

/// It is read off for so long, and so far, before the connection is closed.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 16 << 20;
const CHUNK: usize = 2 * 1024;

/// Shuts our side and reads until the other side has closed its own, or the bounds are reached.
pub(crate) async fn close(stream: &Stream) {
    // It ends either way.
    let _ = within(LINGER, read_off(stream)).await;
}

async fn read_off(mut stream: &Stream) -> io::Result<()> {
    stream.get_ref().shutdown(Shutdown::Write)?;
    let (mut chunk, mut left) = (vec![0; CHUNK], LINGER_BYTES);
    while left > 0 {
        match stream.read(&mut chunk).await? {
            0 => break,
            count => left = left.saturating_sub(count),
        }
    }
    Ok(())
}
