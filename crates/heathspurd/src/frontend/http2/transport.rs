//! A stream as the `h2` crate wants it: tokio's traits over ours, with the frames that come in counted and the
//! bytes that go out watched.

use crate::notify::Notify;
use crate::recording::recorded_stream::Stream;
use bytes::{Buf, Bytes};
use futures_lite::{AsyncRead as _, AsyncWrite as _};
use heathspur_streams::meter::Meter;
use heathspur_streams::Time;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of one connection that are taken in before others have their turn.
const TURN: usize = 16 * 1024;
/// Bytes of answers that may lie in the library's own buffers, for a connection.
const QUEUE: usize = 32 * 1024;

/// What is seen on a connection's wire.
pub(crate) struct Seen {
    start: Instant,
    pub meter: RefCell<Meter>,
    turn: Cell<usize>,
    behind: Cell<bool>,
    /// Since when the socket has taken nothing although there was something to be sent.
    stuck: Cell<Option<Instant>>,
    /// Bytes of answers handed to the library and not seen on the socket yet, as far as can be told: its own
    /// frames on the way are few and count as answers.
    queued: Cell<usize>,
    flowed: Notify,
    closed: Cell<bool>,
}

impl Seen {
    pub fn new() -> Rc<Seen> {
        Rc::new(Seen {
            start: Instant::now(),
            meter: RefCell::new(Meter::new(Time(0))),
            turn: Cell::new(0),
            behind: Cell::new(false),
            stuck: Cell::new(None),
            queued: Cell::new(0),
            flowed: Notify::new(),
            closed: Cell::new(false),
        })
    }

    /// Time since the connection began.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// A new turn of this connection. While streams that were read wait to be taken no more are read: the library
    /// would keep them all, whole heads at a time.
    pub fn begin_turn(&self) {
        self.turn.set(if self.behind.get() { TURN } else { 0 });
    }

    /// Whether a stream was there to be taken, so that there may be more of them.
    pub fn took_one(&self, took: bool) {
        self.behind.set(took);
    }

    /// Whether the socket takes nothing now.
    pub fn is_stuck(&self) -> bool {
        self.stuck.get().is_some()
    }

    /// How long the socket has taken nothing.
    pub fn stuck_for(&self) -> std::time::Duration {
        self.stuck
            .get()
            .map(|since| since.elapsed())
            .unwrap_or_default()
    }

    /// Bytes that may be handed to the library now.
    pub fn room(&self) -> usize {
        QUEUE.saturating_sub(self.queued.get())
    }

    pub fn queue(&self, bytes: usize) {
        self.queued.set(self.queued.get() + bytes);
    }

    /// Waits until the socket has taken something. Many may wait: each rings for the next one.
    pub async fn flowed(&self) {
        self.until(|seen| seen.room() > 0).await;
    }

    /// Waits while the socket takes nothing: the library holds what a stream has left behind until then.
    pub async fn settled(&self) {
        self.until(|seen| !seen.is_stuck()).await;
    }

    async fn until(&self, test: impl Fn(&Seen) -> bool) {
        if test(self) {
            return;
        }
        while !test(self) && !self.closed.get() {
            self.flowed.notified().await;
        }
        self.flowed.notify();
    }

    /// The connection has ended: nobody waits for it any more.
    pub fn close(&self) {
        self.closed.set(true);
        self.flowed.notify();
    }
}

/// The two directions of a connection.
pub(crate) struct Wire {
    stream: Rc<Stream>,
    /// What was read before the library was asked.
    head: Bytes,
    seen: Rc<Seen>,
}

impl Wire {
    /// `head` are the bytes that were read already, the preface first; `counted` of them are the preface.
    pub fn new(stream: Rc<Stream>, head: Bytes, counted: usize, seen: Rc<Seen>) -> Wire {
        seen.meter.borrow_mut().read(&head[counted..], seen.now());
        Wire { stream, head, seen }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.head.is_empty() {
            let count = self.head.len().min(buffer.remaining());
            buffer.put_slice(&self.head[..count]);
            self.head.advance(count);
            return Poll::Ready(Ok(()));
        }
        let seen = &self.seen;
        if seen.turn.get() >= TURN {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if seen.is_stuck() {
            // Who reads nothing is not read either: each frame of it may leave one of ours behind. The library is
            // polled again once the socket takes something.
            return Poll::Pending;
        }
        if seen.meter.borrow().is_used_up() {
            // Nothing more is read; the connection's task ends it.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut &*self.stream).poll_read(cx, buffer.initialize_unfilled());
        polled.map_ok(|count| {
            let start = buffer.filled().len();
            buffer.advance(count);
            seen.turn.set(seen.turn.get() + count);
            seen.meter
                .borrow_mut()
                .read(&buffer.filled()[start..], seen.now());
        })
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut &*self.stream).poll_write(cx, bytes);
        let seen = &self.seen;
        match &polled {
            Poll::Pending => drop(
                seen.stuck
                    .replace(Some(seen.stuck.get().unwrap_or_else(Instant::now))),
            ),
            Poll::Ready(Ok(count)) => {
                seen.stuck.set(None);
                seen.queued.set(seen.queued.get().saturating_sub(*count));
                seen.flowed.notify();
            }
            Poll::Ready(Err(_)) => {}
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // All that was written before is gone; frames of streams that were reset never come by here.
        self.seen.queued.set(0);
        self.seen.flowed.notify();
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}
