//! What all peer connections share: the peer's address, connecting within a time limit, and a buffer of unread bytes.

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

/// Initial size of a read buffer, in bytes. It doubles whenever a message does not fit.
const INITIAL_BUFFER_BYTES: usize = 16 * 1024;

/// A peer's address, which a new configuration may change.
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

    pub fn get(&self) -> SocketAddr {
        self.address.get()
    }

    pub fn set(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.change.notify();
        }
    }

    /// Waits until the address differs from `from`. Only one task may wait for each peer.
    pub async fn changed(&self, from: SocketAddr) {
        while self.address.get() == from {
            self.change.notified().await;
        }
    }
}

/// Whether the connection is open and has no unread bytes.
pub(crate) fn is_idle(stream: &Stream) -> bool {
    matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Connects within `limit`; the connection is recorded where peer traffic is.
pub(crate) async fn connect(
    address: SocketAddr,
    limit: Duration,
    recorded: Option<(&Rc<RecorderHandle>, Leg)>,
) -> io::Result<Stream> {
    let stream = within(limit, Async::<TcpStream>::connect(address)).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Stream::made(stream, recorded))
}

/// Bytes that were received and not consumed yet.
pub(crate) struct ReadBuffer {
    buffer: Vec<u8>,
    filled: usize,
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

    /// Receives more bytes; the end of the stream is an error.
    pub async fn fill(&mut self, mut stream: &Stream) -> io::Result<()> {
        self.make_room();
        let count = stream.read(&mut self.buffer[self.filled..]).await?;
        if count == 0 {
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "closed by the other side",
            ));
        }
        self.filled += count;
        Ok(())
    }

    /// Moves the unread bytes to the front, and grows the buffer where they fill it.
    fn make_room(&mut self) {
        self.buffer.copy_within(self.consumed..self.filled, 0);
        self.filled -= self.consumed;
        self.consumed = 0;
        if self.filled == self.buffer.len() {
            self.buffer.resize(2 * self.filled, 0);
        }
    }

    /// Receives bytes until `parse` finds a message at the front of the unread ones.
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

    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.consumed..self.filled]
    }

    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.filled);
    }
}
