//! Lingering close of a TCP connection.
//!
//! Closing a socket with unread input resets the connection, and an answer that is still in transit is lost. Therefore
//! only the write side is shut down at first, and remaining input is read and discarded until the client closes.

use crate::clock::within;
use crate::recording::recorded_stream::Stream;
use futures_lite::AsyncReadExt;
use std::io;
use std::net::Shutdown;
use std::time::Duration;

/// Maximum time for which the input of a closing connection is read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of bytes read from a closing connection.
const MAX_LINGER_BYTES: usize = 16 << 20;
/// Maximum number of bytes discarded by one read.
const DISCARD_BUFFER_BYTES: usize = 2 * 1024;

/// Shuts down the write side, then discards input until the client has closed its side or a limit is reached.
pub(crate) async fn close(stream: &Stream) {
    // A failure or timeout needs no handling: the connection is closed in any case.
    let _ = within(MAX_LINGER_TIME, discard_input(stream)).await;
}

async fn discard_input(mut stream: &Stream) -> io::Result<()> {
    stream.get_ref().shutdown(Shutdown::Write)?;
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut remaining = MAX_LINGER_BYTES;
    while remaining > 0 {
        match stream.read(&mut buffer).await? {
            0 => break,
            count => remaining = remaining.saturating_sub(count),
        }
    }
    Ok(())
}
