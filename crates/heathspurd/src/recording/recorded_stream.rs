//! Streams whose bytes are recorded where that is switched on. Off, it costs a look at an option for each read
//! and write.

use async_io::Async;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use heathspur_capture::{Side, Stamp};
use heathspur_record::recorder::{Ends, Event, Leg, Seen};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Deref;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// An event on its way to the recorder, and how many of each leg were left out before it.
pub(crate) struct Item {
    pub event: Event,
    pub missed: [u64; 3],
}

/// Where all recorded streams send what they see. It never waits: past the budget events are left out.
pub(crate) struct RecorderHandle {
    items: SyncSender<Item>,
    /// Bytes on their way; the recorder counts down.
    waiting: Arc<AtomicUsize>,
    budget: usize,
    links: bool,
    missed: Cell<[u64; 3]>,
    next: Cell<u64>,
    /// Wall clock and monotonic clock at the start: a jump of the first moves no time within a recording.
    started: (u64, Instant),
}

impl RecorderHandle {
    pub fn new(
        items: SyncSender<Item>,
        waiting: Arc<AtomicUsize>,
        budget: usize,
        links: bool,
    ) -> RecorderHandle {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        RecorderHandle {
            items,
            waiting,
            budget,
            links,
            missed: Cell::new([0; 3]),
            next: Cell::new(1),
            started: (unix.as_nanos() as u64, Instant::now()),
        }
    }

    /// False if it was left out.
    fn send(&self, ends: Ends, seen: Seen) -> bool {
        let (unix, start) = self.started;
        let time = Stamp(unix + start.elapsed().as_nanos() as u64);
        let event = Event { ends, time, seen };
        let (weight, mut missed) = (event.weight(), self.missed.get());
        let leg = ends.leg as usize;
        if self.waiting.load(Ordering::Relaxed) + weight <= self.budget {
            self.waiting.fetch_add(weight, Ordering::Relaxed);
            if self.items.try_send(Item { event, missed }).is_ok() {
                self.missed.set([0; 3]);
                return true;
            }
            self.waiting.fetch_sub(weight, Ordering::Relaxed);
        }
        missed[leg] += 1;
        self.missed.set(missed);
        false
    }
}

/// The recording of one stream.
struct Tape {
    tap: Rc<RecorderHandle>,
    ends: Ends,
    /// Which side we are.
    us: Side,
    /// Bytes of the client and of the server that were left out.
    missed: Cell<[u64; 2]>,
    /// Who ended it, and whether by a reset.
    ended: Cell<(Side, bool)>,
}

impl Tape {
    fn said(&self, side: Side, bytes: &[u8]) {
        let (at, mut missed) = (usize::from(side == Side::Server), self.missed.get());
        let seen = Seen::Said {
            side,
            bytes: Bytes::copy_from_slice(bytes),
            missed: missed[at],
        };
        missed[at] = if self.tap.send(self.ends, seen) {
            0
        } else {
            missed[at] + bytes.len() as u64
        };
        self.missed.set(missed);
    }
}

impl Drop for Tape {
    fn drop(&mut self) {
        let (by, reset) = self.ended.get();
        self.tap.send(self.ends, Seen::Closed { by, reset });
    }
}

/// A connection's stream.
pub(crate) struct Stream {
    inner: Async<TcpStream>,
    tape: Option<Tape>,
}

impl Stream {
    /// One that came to us.
    pub fn accepted(inner: Async<TcpStream>, tap: Option<&Rc<RecorderHandle>>) -> Stream {
        let tape = tap.and_then(|tap| tape(&inner, tap, Leg::Front, Side::Server));
        Stream { inner, tape }
    }

    /// One that we made.
    pub fn made(inner: Async<TcpStream>, recorded: Option<(&Rc<RecorderHandle>, Leg)>) -> Stream {
        let tape = recorded.filter(|(tap, _)| tap.links);
        let tape = tape.and_then(|(tap, leg)| self::tape(&inner, tap, leg, Side::Client));
        Stream { inner, tape }
    }

    fn ended(&self, result: &io::Result<usize>) {
        let Some(tape) = &self.tape else { return };
        match result {
            Ok(0) => tape.ended.set((tape.us.other(), false)),
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => {
                tape.ended.set((tape.us.other(), true))
            }
            _ => {}
        }
    }
}

fn tape(stream: &Async<TcpStream>, tap: &Rc<RecorderHandle>, leg: Leg, us: Side) -> Option<Tape> {
    let (ours, theirs): (SocketAddr, SocketAddr) = (
        stream.get_ref().local_addr().ok()?,
        stream.get_ref().peer_addr().ok()?,
    );
    let (client, server) = if us == Side::Client {
        (ours, theirs)
    } else {
        (theirs, ours)
    };
    let number = tap.next.get();
    tap.next.set(number + 1);
    let ends = Ends {
        number,
        leg,
        client,
        server,
    };
    tap.send(ends, Seen::Opened);
    Some(Tape {
        tap: tap.clone(),
        ends,
        us,
        missed: Cell::new([0; 2]),
        ended: Cell::new((us, false)),
    })
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
        let this = *self;
        let polled = Pin::new(&mut &this.inner).poll_read(cx, buffer);
        if let (Some(tape), Poll::Ready(result)) = (&this.tape, &polled) {
            this.ended(result);
            if let Ok(count @ 1..) = result {
                tape.said(tape.us.other(), &buffer[..*count]);
            }
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
        let this = *self;
        let polled = Pin::new(&mut &this.inner).poll_write(cx, bytes);
        if let (Some(tape), Poll::Ready(Ok(count))) = (&this.tape, &polled) {
            tape.said(tape.us, &bytes[..*count]);
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
