//! TCP streams whose traffic is recorded if recording is enabled. If it is disabled, the only cost is one check of an
//! `Option` per read and write.

use crate::recording::RecorderHandle;
use async_io::Async;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use heathspur_capture::Side;
use heathspur_record::recorder::{ConnectionInfo, EventKind, Leg};
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::ops::Deref;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The TCP stream of a connection, with its optional recorder.
pub(crate) struct Stream {
    inner: Async<TcpStream>,
    recorder: Option<StreamRecorder>,
}

impl Stream {
    /// Creates the stream of a connection that a client opened.
    pub fn accepted(inner: Async<TcpStream>, handle: Option<&Rc<RecorderHandle>>) -> Stream {
        let recorder = handle
            .and_then(|handle| StreamRecorder::start(&inner, handle, Leg::Front, Side::Server));
        Stream { inner, recorder }
    }

    /// Creates the stream of a connection that this process opened to a peer. It is recorded only if the recording
    /// includes connections to peers.
    pub fn outgoing(
        inner: Async<TcpStream>,
        recorder: Option<(&Rc<RecorderHandle>, Leg)>,
    ) -> Stream {
        let recorder = recorder
            .filter(|(handle, _)| handle.records_peer_links())
            .and_then(|(handle, leg)| StreamRecorder::start(&inner, handle, leg, Side::Client));
        Stream { inner, recorder }
    }
}

/// The recorder of one stream. Dropping it records the end of the stream.
struct StreamRecorder {
    handle: Rc<RecorderHandle>,
    connection: ConnectionInfo,
    /// The side of the connection that this process takes.
    local_side: Side,
    dropped_bytes: Cell<DroppedBytes>,
    end: Cell<StreamEnd>,
}

/// Per sending side, the number of bytes that were not recorded since the last recorded ones.
#[derive(Clone, Copy, Default)]
struct DroppedBytes {
    client: u64,
    server: u64,
}

impl DroppedBytes {
    /// Returns the count for the bytes that `side` sent.
    fn count_mut(&mut self, side: Side) -> &mut u64 {
        match side {
            Side::Client => &mut self.client,
            Side::Server => &mut self.server,
        }
    }
}

/// The end of a stream: the side that ended it, and whether it did so by a reset.
#[derive(Clone, Copy)]
struct StreamEnd {
    by: Side,
    is_reset: bool,
}

impl StreamRecorder {
    /// Records the start of a stream. Returns `None` if its addresses are unknown because the connection has already
    /// ended.
    fn start(
        stream: &Async<TcpStream>,
        handle: &Rc<RecorderHandle>,
        leg: Leg,
        local_side: Side,
    ) -> Option<StreamRecorder> {
        let local = stream.get_ref().local_addr().ok()?;
        let remote = stream.get_ref().peer_addr().ok()?;
        let (client, server) = match local_side {
            Side::Client => (local, remote),
            Side::Server => (remote, local),
        };
        let connection = ConnectionInfo {
            id: handle.next_connection(),
            leg,
            client,
            server,
        };
        handle.send(connection, EventKind::Opened);
        Some(StreamRecorder::new(handle.clone(), connection, local_side))
    }

    /// Creates a recorder that assumes the local side will end the stream, until a read shows otherwise.
    fn new(
        handle: Rc<RecorderHandle>,
        connection: ConnectionInfo,
        local_side: Side,
    ) -> StreamRecorder {
        StreamRecorder {
            handle,
            connection,
            local_side,
            dropped_bytes: Cell::default(),
            end: Cell::new(StreamEnd {
                by: local_side,
                is_reset: false,
            }),
        }
    }

    /// Records bytes that `side` has sent.
    fn record_bytes(&self, side: Side, bytes: &[u8]) {
        let mut dropped_bytes = self.dropped_bytes.get();
        let dropped = dropped_bytes.count_mut(side);
        let kind = EventKind::Data {
            side,
            bytes: Bytes::copy_from_slice(bytes),
            skipped: *dropped,
        };
        *dropped = match self.handle.send(self.connection, kind) {
            true => 0,
            false => *dropped + bytes.len() as u64,
        };
        self.dropped_bytes.set(dropped_bytes);
    }

    /// Records the result of a read into `buffer`: the bytes, or the end of the stream.
    fn record_read(&self, result: &io::Result<usize>, buffer: &[u8]) {
        let remote_side = self.local_side.other();
        match result {
            Ok(0) => self.end.set(StreamEnd {
                by: remote_side,
                is_reset: false,
            }),
            Ok(count) => self.record_bytes(remote_side, &buffer[..*count]),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => self.end.set(StreamEnd {
                by: remote_side,
                is_reset: true,
            }),
            Err(_) => {}
        }
    }
}

impl Drop for StreamRecorder {
    fn drop(&mut self) {
        let StreamEnd { by, is_reset } = self.end.get();
        let closed = EventKind::Closed {
            by,
            reset: is_reset,
        };
        self.handle.send(self.connection, closed);
    }
}

impl Deref for Stream {
    type Target = Async<TcpStream>;

    fn deref(&self) -> &Async<TcpStream> {
        &self.inner
    }
}

impl AsyncRead for &Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let stream = *self;
        let polled = Pin::new(&mut &stream.inner).poll_read(cx, buffer);
        if let (Some(recorder), Poll::Ready(result)) = (&stream.recorder, &polled) {
            recorder.record_read(result, buffer);
        }
        polled
    }
}

impl AsyncWrite for &Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = *self;
        let polled = Pin::new(&mut &stream.inner).poll_write(cx, bytes);
        if let (Some(recorder), Poll::Ready(Ok(count))) = (&stream.recorder, &polled) {
            recorder.record_bytes(recorder.local_side, &bytes[..*count]);
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.inner).poll_close(cx)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/recorded_stream.rs"]
mod tests;
