//! The transport that the `h2` crate reads and writes. It implements tokio's I/O traits over the server's stream,
//! counts the cost of incoming frames and tracks outgoing bytes.

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

/// Maximum number of bytes read from a connection in one poll, so that other connections are served too.
const MAX_BYTES_PER_POLL: usize = 16 * 1024;
/// Maximum number of bytes of answers in the library's buffers, per connection.
const MAX_QUEUED_BYTES: usize = 32 * 1024;

/// State of a connection's transport, shared between the transport, the connection's task and its streams' tasks.
pub(crate) struct TransportMonitor {
    /// Origin of the times that [`now`](Self::now) returns.
    start: Instant,
    /// Charges the connection for the frames that are received on it.
    pub meter: RefCell<FrameCostMeter>,
    bytes_read_this_poll: Cell<usize>,
    /// Whether the library may have received streams that wait to be accepted.
    has_waiting_streams: Cell<bool>,
    /// Since when there have been bytes to send that the socket does not accept.
    blocked_since: Cell<Option<Instant>>,
    /// Estimated bytes of answers that were passed to the library and not written to the socket yet. The library's own
    /// frames are not distinguished from answers; they are few.
    queued_bytes: Cell<usize>,
    /// Notified when bytes were written or the connection has ended.
    progress: Notify,
    closed: Cell<bool>,
}

impl TransportMonitor {
    /// Creates the state of a connection that begins now.
    pub fn new() -> Rc<TransportMonitor> {
        Rc::new(TransportMonitor {
            start: Instant::now(),
            meter: RefCell::new(FrameCostMeter::new(Time(0))),
            bytes_read_this_poll: Cell::new(0),
            has_waiting_streams: Cell::new(false),
            blocked_since: Cell::new(None),
            queued_bytes: Cell::new(0),
            progress: Notify::new(),
            closed: Cell::new(false),
        })
    }

    /// Returns the time since the connection began.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Begins a new poll of this connection. Nothing is read in it while received streams may wait to be accepted,
    /// because the library would buffer further streams with their complete heads.
    pub fn begin_poll(&self) {
        let bytes_read = match self.has_waiting_streams.get() {
            true => MAX_BYTES_PER_POLL,
            false => 0,
        };
        self.bytes_read_this_poll.set(bytes_read);
    }

    /// Records whether the library had a stream to accept. If so, more streams may be waiting.
    pub fn set_has_waiting_streams(&self, has_waiting_streams: bool) {
        self.has_waiting_streams.set(has_waiting_streams);
    }

    /// Returns whether there are bytes to send that the socket does not accept.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }

    /// Returns for how long the socket has accepted no bytes, or zero if it accepts them.
    pub fn blocked_for(&self) -> Duration {
        self.blocked_since
            .get()
            .map(|since| since.elapsed())
            .unwrap_or_default()
    }

    /// Returns the number of bytes that may be passed to the library now.
    pub fn send_capacity(&self) -> usize {
        MAX_QUEUED_BYTES.saturating_sub(self.queued_bytes.get())
    }

    /// Records that bytes were passed to the library.
    pub fn add_queued(&self, bytes: usize) {
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
    }

    /// Waits until bytes may be passed to the library, or the connection ends.
    pub async fn send_capacity_available(&self) {
        self.wait_until(|monitor| monitor.send_capacity() > 0).await;
    }

    /// Waits until the socket accepts bytes, or the connection ends. Until then, the library buffers the last frames of
    /// streams that have ended.
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

    /// Records that the connection has ended and wakes all waiting tasks.
    pub fn close(&self) {
        self.closed.set(true);
        self.progress.notify();
    }

    /// Returns whether reading has to wait although bytes may have arrived. Ensures that the connection's task is woken
    /// when needed.
    fn defers_reading(&self, cx: &Context<'_>) -> bool {
        if self.bytes_read_this_poll.get() >= MAX_BYTES_PER_POLL {
            cx.waker().wake_by_ref();
            return true;
        }
        if self.is_blocked() {
            // Frames of a client that does not read are not read either, since each may queue a reply. The library is
            // polled again once the socket accepts bytes.
            return true;
        }
        if self.meter.borrow().is_exhausted() {
            // The connection's task wakes and closes the connection.
            cx.waker().wake_by_ref();
            return true;
        }
        false
    }

    fn record_read(&self, bytes: &[u8]) {
        self.bytes_read_this_poll
            .set(self.bytes_read_this_poll.get() + bytes.len());
        self.meter.borrow_mut().record_bytes(bytes, self.now());
    }

    fn record_write_blocked(&self) {
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set(Some(since));
    }

    fn record_written(&self, count: usize) {
        self.blocked_since.set(None);
        self.queued_bytes
            .set(self.queued_bytes.get().saturating_sub(count));
        self.progress.notify();
    }

    /// Records that everything that was queued has been written. Frames of reset streams are never written, so the
    /// count would otherwise stay too high.
    fn record_all_written(&self) {
        self.queued_bytes.set(0);
        self.progress.notify();
    }
}

/// The transport of one connection.
pub(crate) struct Transport {
    stream: Rc<Stream>,
    /// Bytes that were read before the library was started and that it has not read yet.
    received: Bytes,
    monitor: Rc<TransportMonitor>,
}

impl Transport {
    /// Creates a transport. `received` has been read from `stream` already and starts with the connection preface of
    /// `preface_len` bytes.
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
            self.monitor.record_read(&buffer.filled()[start..]);
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
            Poll::Pending => self.monitor.record_write_blocked(),
            Poll::Ready(Ok(count)) => self.monitor.record_written(*count),
            Poll::Ready(Err(_)) => {}
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes only after it has written everything.
        self.monitor.record_all_written();
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}
