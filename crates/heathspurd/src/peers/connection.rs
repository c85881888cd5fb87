//! What the links have in common: connections that come up in time, bytes read.

use crate::clock::within;
use crate::notify::Notify;
use crate::recording::recorded_stream::{RecorderHandle, Stream};
use async_io::Async;
use futures_lite::AsyncReadExt;
use heathspur_record::recorder::Leg;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const CHUNK: usize = 16 * 1024;

/// Where a peer is found; a new configuration may move it.
pub(crate) struct PeerAddress {
    address: Cell<SocketAddr>,
    moved: Notify,
}

impl PeerAddress {
    pub fn new(address: SocketAddr) -> PeerAddress {
        PeerAddress {
            address: Cell::new(address),
            moved: Notify::new(),
        }
    }

    pub fn get(&self) -> SocketAddr {
        self.address.get()
    }

    pub fn set(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify();
        }
    }

    /// Waits until it is no longer at this address. One link waits for each target.
    pub async fn changed(&self, from: SocketAddr) {
        while self.address.get() == from {
            self.moved.notified().await;
        }
    }
}

/// Open, and nothing came that was not asked for.
pub(crate) fn is_quiet(stream: &Stream) -> bool {
    matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// A new connection that comes up within the limit, recorded where links are.
pub(crate) async fn connect(
    address: SocketAddr,
    limit: Duration,
    recorded: Option<(&Rc<RecorderHandle>, Leg)>,
) -> io::Result<Stream> {
    let stream = within(limit, Async::<TcpStream>::connect(address)).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Stream::made(stream, recorded))
}

/// Bytes that were read and not used yet.
pub(crate) struct ReadBuffer {
    buffer: Vec<u8>,
    filled: usize,
    used: usize,
}

impl ReadBuffer {
    pub fn new() -> ReadBuffer {
        ReadBuffer {
            buffer: vec![0; CHUNK],
            filled: 0,
            used: 0,
        }
    }

    /// Reads more; the end of the stream is an error.
    pub async fn fill(&mut self, mut stream: &Stream) -> io::Result<()> {
        self.buffer.copy_within(self.used..self.filled, 0);
        (self.filled, self.used) = (self.filled - self.used, 0);
        if self.filled == self.buffer.len() {
            self.buffer.resize(2 * self.filled, 0);
        }
        match stream.read(&mut self.buffer[self.filled..]).await? {
            0 => Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "closed by the other side",
            )),
            n => {
                self.filled += n;
                Ok(())
            }
        }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.buffer[self.used..self.filled]
    }

    pub fn use_up(&mut self, count: usize) {
        self.used = (self.used + count).min(self.filled);
    }
}
