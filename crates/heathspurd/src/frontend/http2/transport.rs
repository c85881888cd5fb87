//! The transport that the `h2` crate reads and writes: tokio's I/O traits over the server's stream, with incoming
//! frames metered and outgoing bytes tracked.

use crate::notify::Notify;
use crate::recording::recorded_stream::Stream;
use bytes::{Buf, Bytes};
use futures_lite::{AsyncRead as _, AsyncWrite as _};
use heathspur_streams::frame_cost::FrameCostMeter;
use heathspur_streams::Time;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes read from one connection before other connections have their turn.
const MAX_BYTES_PER_TURN: usize = 16 * 1024;
/// Bytes of answers that may lie in the library's buffers, per connection.
const MAX_QUEUED_BYTES: usize = 32 * 1024;

/// What is known of a connection's transport, shared between the transport, the connection's task and its streams.
pub(crate) struct TransportMonitor {
    start: Instant,
    pub meter: RefCell<FrameCostMeter>,
    bytes_read_this_turn: Cell<usize>,
    /// Streams that were received may still wait to be accepted.
    has_waiting_streams: Cell<bool>,
    /// When the socket stopped accepting bytes, while there are some to send.
    blocked_since: Cell<Option<Instant>>,
    /// Bytes of answers passed to the library and not written to the socket yet. An estimate: the library's own frames
    /// are few and count as answers.
    queued_bytes: Cell<usize>,
    progress: Notify,
    closed: Cell<bool>,
}

impl TransportMonitor {
    pub fn new() -> Rc<TransportMonitor> {
        Rc::new(TransportMonitor {
            start: Instant::now(),
            meter: RefCell::new(FrameCostMeter::new(Time(0))),
            bytes_read_this_turn: Cell::new(0),
            has_waiting_streams: Cell::new(false),
            blocked_since: Cell::new(None),
            queued_bytes: Cell::new(0),
            progress: Notify::new(),
            closed: Cell::new(false),
        })
    }

    /// Time since the connection began.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Begins a new turn of this connection. Nothing is read in it while received streams wait to be accepted: the
    /// library would buffer all of them, with their complete heads.
    pub fn begin_turn(&self) {
        let bytes_read = match self.has_waiting_streams.get() {
            true => MAX_BYTES_PER_TURN,
            false => 0,
        };
        self.bytes_read_this_turn.set(bytes_read);
    }

    /// Notes whether the library had a stream to accept, since there may be more then.
    pub fn set_has_waiting_streams(&self, has_waiting_streams: bool) {
        self.has_waiting_streams.set(has_waiting_streams);
    }

    /// Whether the socket accepts no bytes at present.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }

    /// How long the socket has accepted no bytes.
    pub fn blocked_for(&self) -> Duration {
        self.blocked_since
            .get()
            .map(|since| since.elapsed())
            .unwrap_or_default()
    }

    /// Bytes that may be passed to the library now.
    pub fn send_capacity(&self) -> usize {
        MAX_QUEUED_BYTES.saturating_sub(self.queued_bytes.get())
    }

    /// Notes that bytes were passed to the library.
    pub fn add_queued(&self, bytes: usize) {
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
    }

    /// Waits until bytes may be passed to the library, or the connection ends.
    pub async fn send_capacity_available(&self) {
        self.wait_until(|monitor| monitor.send_capacity() > 0).await;
    }

    /// Waits until the socket accepts bytes, or the connection ends. The library keeps what a stream has left behind
    /// until then.
    pub async fn unblocked(&self) {
        self.wait_until(|monitor| !monitor.is_blocked()).await;
    }

    async fn wait_until(&self, condition: impl Fn(&TransportMonitor) -> bool) {
        if condition(self) {
            return;
        }
        while !condition(self) && !self.closed.get() {
            self.progress.notified().await;
        }
        // A notification wakes one waiter, so each waiter wakes the next one.
        self.progress.notify();
    }

    /// Notes that the connection has ended and wakes everything that waits for it.
    pub fn close(&self) {
        self.closed.set(true);
        self.progress.notify();
    }

    /// Whether nothing may be read now, although bytes may have arrived; the connection's task wakes as needed.
    fn defers_reading(&self, cx: &Context<'_>) -> bool {
        if self.bytes_read_this_turn.get() >= MAX_BYTES_PER_TURN {
            cx.waker().wake_by_ref();
            return true;
        }
        if self.is_blocked() {
            // A client that reads nothing is not read either, since each of its frames may queue a reply. The library
            // is polled again once the socket accepts bytes.
            return true;
        }
        if self.meter.borrow().is_exhausted() {
            // The connection's task wakes and closes the connection.
            cx.waker().wake_by_ref();
            return true;
        }
        false
    }

    fn bytes_read(&self, bytes: &[u8]) {
        self.bytes_read_this_turn
            .set(self.bytes_read_this_turn.get() + bytes.len());
        self.meter.borrow_mut().record_bytes(bytes, self.now());
    }

    fn write_blocked(&self) {
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set(Some(since));
    }

    fn bytes_written(&self, count: usize) {
        self.blocked_since.set(None);
        self.queued_bytes
            .set(self.queued_bytes.get().saturating_sub(count));
        self.progress.notify();
    }

    /// Notes that all that was queued has been written. Frames of streams that were reset never reach the socket, so
    /// the count alone would stay too high.
    fn all_written(&self) {
        self.queued_bytes.set(0);
        self.progress.notify();
    }
}

/// The two directions of a connection.
pub(crate) struct Transport {
    stream: Rc<Stream>,
    /// Bytes that were read before the library took over.
    received: Bytes,
    monitor: Rc<TransportMonitor>,
}

impl Transport {
    /// `received` was read already and starts with the connection preface of `preface_len` bytes.
    pub fn new(
        stream: Rc<Stream>,
        received: Bytes,
        preface_len: usize,
        monitor: Rc<TransportMonitor>,
    ) -> Transport {
        let frames = &received[preface_len..];
        monitor
            .meter
            .borrow_mut()
            .record_bytes(frames, monitor.now());
        Transport {
            stream,
            received,
            monitor,
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.received.is_empty() {
            let count = self.received.len().min(buffer.remaining());
            buffer.put_slice(&self.received[..count]);
            self.received.advance(count);
            return Poll::Ready(Ok(()));
        }
        if self.monitor.defers_reading(cx) {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut &*self.stream).poll_read(cx, buffer.initialize_unfilled());
        polled.map_ok(|count| {
            let start = buffer.filled().len();
            buffer.advance(count);
            self.monitor.bytes_read(&buffer.filled()[start..]);
        })
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut &*self.stream).poll_write(cx, bytes);
        match &polled {
            Poll::Pending => self.monitor.write_blocked(),
            Poll::Ready(Ok(count)) => self.monitor.bytes_written(*count),
            Poll::Ready(Err(_)) => {}
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes only once it has written everything.
        self.monitor.all_written();
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}
