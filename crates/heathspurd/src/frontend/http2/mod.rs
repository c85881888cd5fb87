//! The front for HTTP/2 without TLS, by prior knowledge (RFC 9113, section 3.3), on a port of its own. Frames and
//! header compression are the `h2` crate's; which streams are read, how each goes on, what is too much and how a
//! connection ends is decided by `heathspur-streams`. Here these meet sockets and clocks.
//!
//! A task for each connection, and one for each stream of it, which ends with the stream.

mod stream;
mod wire;

use crate::clock::within;
use crate::frontend::connection_pool::Permit;
use crate::frontend::lingering_close;
use crate::frontend::response_buffer::Room;
use crate::frontend::Front;
use crate::recording::recorded_stream::Stream;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use h2::server::{Builder, Connection, SendResponse};
use h2::{Reason, RecvStream};
use heathspur_config::Http2;
use heathspur_streams::drain::{Drain, Step};
use heathspur_streams::ledger::Holder;
use heathspur_streams::share::{Bounds, Share};
use heathspur_wire::http::{write_response, ConnectionOption};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};
use wire::{Seen, Wire};

/// What a client says first (RFC 9113, section 3.4).
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// The longest sleep of a connection before it looks at settings and clocks again.
const LOOK: Duration = Duration::from_millis(500);
/// A GOAWAY that ends a connection is waited for so long.
const FAREWELL: Duration = Duration::from_millis(200);

/// What all connections of this front share.
struct Shared {
    executor: Rc<LocalExecutor<'static>>,
    front: Front,
    bounds: Http2,
    share: RefCell<Share>,
    room: Rc<Room>,
    start: Instant,
}

impl Shared {
    fn now(&self) -> heathspur_streams::Time {
        heathspur_streams::Time(self.start.elapsed().as_micros() as u64)
    }
}

/// One connection, as its streams see it.
struct Conn {
    shared: Rc<Shared>,
    seen: Rc<Seen>,
    holder: Holder,
    /// Streams that have a task.
    open: Cell<u32>,
    idle_since: Cell<Instant>,
}

/// A stream's place among all; given back when it is dropped.
struct Taken(Rc<Conn>);

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.idle_since.set(Instant::now());
        self.0.shared.share.borrow_mut().give_back();
    }
}

/// A connection's part in what all share; given back when it is dropped.
struct Joined(Rc<Shared>);

impl Drop for Joined {
    fn drop(&mut self) {
        self.0.share.borrow_mut().left();
    }
}

/// What serves a connection of this front.
pub(crate) fn serve(
    executor: Rc<LocalExecutor<'static>>,
    front: Front,
    bounds: Http2,
    room: Rc<Room>,
) -> impl Fn(Stream, Permit) {
    let share = Share::new(Bounds {
        connection: bounds.streams.connection,
        all: bounds.streams.all,
        receive: bounds.memory.receive.0,
    });
    let shared = Rc::new(Shared {
        executor: executor.clone(),
        front,
        bounds,
        share: RefCell::new(share),
        room,
        start: Instant::now(),
    });
    move |stream, permit| {
        executor
            .spawn(connection(stream, shared.clone(), permit))
            .detach()
    }
}

/// Serves one connection to its end.
async fn connection(stream: Stream, shared: Rc<Shared>, permit: Permit) {
    // It fails on a connection that is gone, which the first read tells.
    let _ = stream.get_ref().set_nodelay(true);
    let whole = shared.bounds.request.receive_timeout.0;
    let head = match permit.idle(within(whole, preface(&stream))).await {
        Ok(Ok(head)) => head,
        Ok(Err(e)) if e.kind() == io::ErrorKind::InvalidData => {
            // Whoever speaks another version is told so in words that it can read.
            let mut out = Vec::new();
            let words = b"This port speaks HTTP/2 by prior knowledge only.\n";
            write_response(&mut out, 505, &[], ConnectionOption::Close, words);
            let _ = within(FAREWELL, (&stream).write_all(&out)).await;
            permit.linger(lingering_close::close(&stream)).await;
            return;
        }
        Err(_) | Ok(Err(_)) => return,
    };
    let (stream, seen) = (Rc::new(stream), Seen::new());
    let wire = Wire::new(stream.clone(), head, PREFACE.len(), seen.clone());
    shared.share.borrow_mut().joined();
    let _joined = Joined(shared.clone());
    let built = builder(&shared).handshake::<_, Bytes>(wire);
    let made = within(whole, async { built.await.map_err(io::Error::other) });
    let Ok(Ok(mut h2)) = permit.idle(made).await else {
        return;
    };
    let conn = Rc::new(Conn {
        holder: shared.room.holder(),
        seen,
        open: Cell::new(0),
        idle_since: Cell::new(Instant::now()),
        shared,
    });
    drive(&mut h2, &conn, &permit).await;
    drop(h2);
    conn.seen.close();
    permit.linger(lingering_close::close(&stream)).await;
}

fn builder(shared: &Shared) -> Builder {
    let (bounds, share) = (&shared.bounds, shared.share.borrow());
    let size = |bytes: u64| u32::try_from(bytes).unwrap_or(u32::MAX);
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(share.advertised())
        .max_header_list_size(size(bounds.request.header_list.0))
        // One byte more than a body may have, so that a longer one shows.
        .initial_window_size(size(bounds.request.body.0 + 1))
        .initial_connection_window_size(share.window())
        .max_send_buffer_size(bounds.memory.stream.0 as usize);
    builder
}

/// Reads what a client says first; what is read comes back.
async fn preface(mut stream: &Stream) -> io::Result<Bytes> {
    let mut head = BytesMut::new();
    loop {
        let known = head.len().min(PREFACE.len());
        if head[..known] != PREFACE[..known] {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if known == PREFACE.len() {
            return Ok(head.freeze());
        }
        let mut chunk = [0; 256];
        match stream.read(&mut chunk).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => head.extend_from_slice(&chunk[..count]),
        }
    }
}

/// What a connection's task wakes for.
enum Woken {
    Stream(Box<(http::Request<RecvStream>, SendResponse<Bytes>)>),
    /// The library has ended the connection, or the other side has.
    Over,
    /// Nothing new is taken any more.
    Shut,
    /// The place is needed.
    Asked,
    Time,
}

/// Takes a connection's streams until it ends.
async fn drive(h2: &mut Connection<Wire, Bytes>, conn: &Rc<Conn>, permit: &Permit) {
    let (shared, desk) = (&conn.shared, &conn.shared.front.desk);
    let patience = &shared.bounds.client_timeouts;
    let mut drain = Drain::new(patience.round_trip.0.as_micros() as u64);
    let (mut shut, mut pongs) = (false, 0);
    loop {
        let sleep = match drain.next() {
            Some(at) => LOOK.min(Duration::from_micros(at.since(conn.seen.now()))),
            None => LOOK,
        };
        let woken = if conn.open.get() == 0 {
            permit
                .idle(wake(h2, conn, shut, sleep))
                .await
                .unwrap_or(Woken::Asked)
        } else {
            wake(h2, conn, shut, sleep).await
        };
        let mut steps = [Step::None; 3];
        match woken {
            Woken::Stream(asked) => {
                permit.heard();
                take(*asked, conn, &drain);
                h2.set_target_window_size(shared.share.borrow().window());
            }
            Woken::Over => return,
            Woken::Shut => {
                shut = true;
                steps[0] = drain.shut();
            }
            Woken::Asked => steps[0] = drain.leave(conn.seen.now()),
            Woken::Time => {
                let idle = conn.open.get() == 0 && conn.idle_since.get().elapsed() >= idle(conn);
                if idle {
                    steps[0] = drain.leave(conn.seen.now());
                }
            }
        }
        if desk.leaving.get() {
            steps[1] = drain.leave(conn.seen.now());
        }
        let counts = conn.seen.meter.borrow().counts();
        steps[2] = if counts.pongs > pongs {
            drain.pong()
        } else {
            drain.tick(conn.seen.now())
        };
        pongs = counts.pongs;
        if steps.contains(&Step::Announce) || steps.contains(&Step::Fix) {
            h2.graceful_shutdown();
        }
        if conn.seen.meter.borrow().is_used_up() {
            warn!(
                frames = counts.frames,
                resets = counts.resets,
                "a connection was ended: it costs too much"
            );
            return end(h2, Reason::ENHANCE_YOUR_CALM).await;
        }
        if conn.seen.stuck_for() >= patience.stalled.0 || conn.seen.is_stuck() && desk.is_released()
        {
            debug!("a connection was ended: nothing was read of it");
            return;
        }
        // Without the round trip the library would take streams for ever.
        if drain.is_over(conn.open.get()) && !h2.has_streams() {
            return end(h2, Reason::NO_ERROR).await;
        }
    }
}

/// How long a connection may be idle.
fn idle(conn: &Conn) -> Duration {
    Duration::from_micros(conn.shared.front.desk.idle.get().0)
}

async fn wake(h2: &mut Connection<Wire, Bytes>, conn: &Conn, shut: bool, sleep: Duration) -> Woken {
    let mut accepted = pin!(h2.accept());
    let stream = future::poll_fn(|cx| {
        conn.seen.begin_turn();
        let polled = accepted.as_mut().poll(cx);
        conn.seen.took_one(polled.is_ready());
        polled.map(|accepted| match accepted {
            Some(Ok(asked)) => Woken::Stream(Box::new(asked)),
            Some(Err(_)) | None => Woken::Over,
        })
    });
    let desk = &conn.shared.front.desk;
    let shutting = async {
        match shut {
            false => desk.shut().await,
            // Later than that only the clock is looked at.
            true if !desk.is_released() => desk.released().await,
            true => future::pending().await,
        }
        Woken::Shut
    };
    let time = async {
        Timer::after(sleep).await;
        Woken::Time
    };
    // Once too much was read nothing more comes, and the task has to see why.
    let used_up = future::poll_fn(|_| match conn.seen.meter.borrow().is_used_up() {
        true => std::task::Poll::Ready(Woken::Time),
        false => std::task::Poll::Pending,
    });
    future::or(future::or(stream, used_up), future::or(shutting, time)).await
}

/// Takes a stream, or refuses it: nothing of it is handed in then, and its caller may repeat it at once.
fn take(asked: (http::Request<RecvStream>, SendResponse<Bytes>), conn: &Rc<Conn>, drain: &Drain) {
    let (request, mut respond) = asked;
    let taken = drain.takes() && conn.shared.share.borrow_mut().take(conn.open.get()).is_ok();
    if !taken {
        conn.seen.meter.borrow_mut().refused();
        respond.send_reset(Reason::REFUSED_STREAM);
        return;
    }
    conn.open.set(conn.open.get() + 1);
    let taken = Taken(conn.clone());
    conn.shared
        .executor
        .spawn(stream::serve(request, respond, taken))
        .detach();
}

/// Ends a connection with a reason, as far as the other side reads it.
async fn end(h2: &mut Connection<Wire, Bytes>, reason: Reason) {
    h2.abrupt_shutdown(reason);
    let told = async {
        // Streams that come up meanwhile are not looked at.
        while let Some(Ok(_)) = h2.accept().await {}
        Ok(())
    };
    let _ = within(FAREWELL, told).await;
}
