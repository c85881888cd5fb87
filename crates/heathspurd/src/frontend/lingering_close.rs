//! The lingering close of a connection.
//!
//! Closing a socket with unread bytes resets the connection, and an answer that is still in transit is lost with it. So
//! only the sending side is shut down first, and what still arrives is read and discarded.

use crate::clock::within;
use crate::recording::recorded_stream::Stream;
use futures_lite::AsyncReadExt;
use std::io;
use std::net::Shutdown;
use std::time::Duration;

/// Bounds on the time and the bytes for which a closing connection is still read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 16 << 20;
/// Bytes discarded by one read.
const DISCARD_BUFFER_BYTES: usize = 2 * 1024;

/// Shuts down the sending side, then discards what arrives until the other side has closed too or a bound is reached.
pub(crate) async fn close(stream: &Stream) {
    // The connection ends either way.
    let _ = within(MAX_LINGER_TIME, discard_input(stream)).await;
}

async fn discard_input(mut stream: &Stream) -> io::Result<()> {
    stream.get_ref().shutdown(Shutdown::Write)?;
    let mut discarded = vec![0; DISCARD_BUFFER_BYTES];
    let mut remaining = MAX_LINGER_BYTES;
    while remaining > 0 {
        match stream.read(&mut discarded).await? {
            0 => break,
            count => remaining = remaining.saturating_sub(count),
        }
    }
    Ok(())
}
