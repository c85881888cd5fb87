//! Common parts of all peer connections: the peer's address, connecting with a timeout, and the read buffer.

use crate::clock::within;
use crate::notify::Notify;
use crate::recording::recorded_stream::Stream;
use crate::recording::RecorderHandle;
use async_io::Async;
use futures_lite::AsyncReadExt;
use heathspur_record::recorder::Leg;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Initial size of a read buffer, in bytes. The buffer doubles whenever a message does not fit.
const INITIAL_BUFFER_BYTES: usize = 16 * 1024;

/// The address of a peer. It changes when a new configuration is loaded.
pub(crate) struct PeerAddress {
    address: Cell<SocketAddr>,
    change: Notify,
}

impl PeerAddress {
    pub fn new(address: SocketAddr) -> PeerAddress {
        PeerAddress {
            address: Cell::new(address),
            change: Notify::new(),
        }
    }

    /// Returns the current address.
    pub fn get(&self) -> SocketAddr {
        self.address.get()
    }

    /// Sets the address and wakes the task that waits for a change.
    pub fn set(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.change.notify();
        }
    }

    /// Waits until the address differs from `current`. At most one task may wait at a time.
    pub async fn changed(&self, current: SocketAddr) {
        while self.address.get() == current {
            self.change.notified().await;
        }
    }
}

/// Returns whether the connection is open and has no unread bytes.
pub(crate) fn is_idle(stream: &Stream) -> bool {
    matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Connects to a peer, or fails with [`io::ErrorKind::TimedOut`] after `timeout`. With a recorder, the traffic is
/// recorded as the given leg if the recording includes peer connections.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
    recorder: Option<(&Rc<RecorderHandle>, Leg)>,
) -> io::Result<Stream> {
    let stream = within(timeout, Async::<TcpStream>::connect(address)).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Stream::outgoing(stream, recorder))
}

/// A buffer of received bytes that have not been consumed yet.
pub(crate) struct ReadBuffer {
    buffer: Vec<u8>,
    /// Number of bytes in `buffer` that were received.
    filled: usize,
    /// Number of received bytes that were consumed.
    consumed: usize,
}

impl ReadBuffer {
    pub fn new() -> ReadBuffer {
        ReadBuffer {
            buffer: vec![0; INITIAL_BUFFER_BYTES],
            filled: 0,
            consumed: 0,
        }
    }

    /// Receives more bytes. Fails with [`io::ErrorKind::UnexpectedEof`] at the end of the stream.
    pub async fn fill(&mut self, mut stream: &Stream) -> io::Result<()> {
        self.reserve_space();
        let count = stream.read(&mut self.buffer[self.filled..]).await?;
        if count == 0 {
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the peer closed the connection",
            ));
        }
        self.filled += count;
        Ok(())
    }

    /// Moves the unconsumed bytes to the front of the buffer, and doubles the buffer if they fill it.
    fn reserve_space(&mut self) {
        self.buffer.copy_within(self.consumed..self.filled, 0);
        self.filled -= self.consumed;
        self.consumed = 0;
        if self.filled == self.buffer.len() {
            self.buffer.resize(2 * self.filled, 0);
        }
    }

    /// Receives bytes until `parse` finds a message at the start of the unconsumed bytes. The message is not consumed.
    pub async fn read_message<T, E>(
        &mut self,
        stream: &Stream,
        mut parse: impl FnMut(&[u8]) -> Result<Option<T>, E>,
    ) -> Result<T, E>
    where
        E: From<io::Error>,
    {
        loop {
            if let Some(message) = parse(self.bytes())? {
                return Ok(message);
            }
            self.fill(stream).await?;
        }
    }

    /// Returns the unconsumed bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.consumed..self.filled]
    }

    /// Discards the first `count` unconsumed bytes.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.filled);
    }
}
