//! The task of one HTTP/2 connection. It accepts streams, and closes the connection when the server drains, when the
//! connection is idle for too long or evicted, or when it exceeds its limits.

use super::transport::{Transport, TransportMonitor};
use super::{stream, Http2Frontend, FINAL_SEND_TIMEOUT};
use crate::clock::within;
use crate::frontend::connection_pool::Permit;
use crate::frontend::FrontendContext;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream};
use heathspur_streams::connection_drain::{ConnectionDrain, DrainStep};
use heathspur_streams::response_memory::ConnectionKey;
use http::Request;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Maximum time after which a connection checks settings and timeouts again.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// State of a connection that is shared with the tasks of its streams.
pub(super) struct ConnectionState {
    pub frontend: Rc<Http2Frontend>,
    pub monitor: Rc<TransportMonitor>,
    /// Identifies the connection in the response budget.
    pub budget_key: ConnectionKey,
    /// Number of streams that are served by a task.
    open_streams: Cell<u32>,
    idle_since: Cell<Instant>,
}

impl ConnectionState {
    pub fn new(frontend: Rc<Http2Frontend>, monitor: Rc<TransportMonitor>) -> ConnectionState {
        ConnectionState {
            budget_key: frontend.response_budget.new_connection_key(),
            monitor,
            open_streams: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            frontend,
        }
    }

    /// Returns the state that the frontends share with the event loop.
    pub fn context(&self) -> &FrontendContext {
        &self.frontend.handle.context
    }

    /// Returns whether the connection has had no open stream for longer than the idle timeout.
    fn is_idle_too_long(&self) -> bool {
        let timeout = Duration::from_micros(self.context().idle_timeout.get().0);
        self.open_streams.get() == 0 && self.idle_since.get().elapsed() >= timeout
    }
}

/// A stream's slot within the stream limits. Dropping it releases the slot.
pub(super) struct StreamSlot {
    connection: Rc<ConnectionState>,
}

impl StreamSlot {
    /// Acquires a slot. Returns `None` if a limit is reached.
    fn acquire(connection: &Rc<ConnectionState>) -> Option<StreamSlot> {
        let open_streams = connection.open_streams.get();
        let mut limits = connection.frontend.stream_limits.borrow_mut();
        limits.try_open(open_streams).ok()?;
        connection.open_streams.set(open_streams + 1);
        Some(StreamSlot {
            connection: connection.clone(),
        })
    }

    pub fn connection(&self) -> &Rc<ConnectionState> {
        &self.connection
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection
            .open_streams
            .set(connection.open_streams.get() - 1);
        connection.idle_since.set(Instant::now());
        connection
            .frontend
            .stream_limits
            .borrow_mut()
            .close_stream();
    }
}

/// Accepts a connection's streams until the connection ends.
pub(super) async fn drive(
    h2: &mut Connection<Transport, Bytes>,
    state: &Rc<ConnectionState>,
    permit: &Permit,
) {
    let round_trip = state.frontend.settings.client_timeouts.round_trip.0;
    let mut driver = Driver {
        h2,
        state,
        permit,
        drain: ConnectionDrain::new(round_trip.as_micros() as u64),
        accepting_stopped: false,
        handled_ping_acks: 0,
    };
    if let ConnectionEnd::GoAway(reason) = driver.run().await {
        go_away(h2, reason).await;
    }
}

/// How a connection ends.
enum ConnectionEnd {
    /// Without a GOAWAY frame: the library or the client has ended it, or the client reads nothing.
    Close,
    /// With a GOAWAY frame from the server, with this reason.
    GoAway(Reason),
}

/// Why a connection's task wakes up.
enum Wakeup {
    /// The client has opened a stream.
    Stream(Box<NewStream>),
    /// The library or the client has ended the connection.
    Ended,
    /// No new requests are accepted any more, or answers that clients do not read have to be dropped.
    AcceptingStopped,
    /// The connection's permit is needed by another connection.
    Evicted,
    /// Timeouts and limits have to be checked.
    Tick,
}

/// A new stream's request, and the handle for its response.
type NewStream = (Request<RecvStream>, SendResponse<Bytes>);

/// Runs a connection's task.
struct Driver<'a> {
    h2: &'a mut Connection<Transport, Bytes>,
    state: &'a Rc<ConnectionState>,
    permit: &'a Permit,
    drain: ConnectionDrain,
    /// Whether the drain has handled that no new requests are accepted.
    accepting_stopped: bool,
    /// Number of PING acknowledgements that the drain has handled.
    handled_ping_acks: u64,
}

impl Driver<'_> {
    async fn run(&mut self) -> ConnectionEnd {
        loop {
            let wakeup = self.next_wakeup().await;
            let Some(step) = self.handle(wakeup) else {
                return ConnectionEnd::Close;
            };
            let steps = [step, self.begin_drain_if_requested(), self.advance_drain()];
            if steps.iter().any(|step| *step != DrainStep::None) {
                self.h2.graceful_shutdown();
            }
            if let Some(end) = self.required_end() {
                return end;
            }
        }
    }

    async fn next_wakeup(&mut self) -> Wakeup {
        let sleep = match self.drain.next_deadline() {
            Some(at) => {
                let until_next = at.since(self.state.monitor.now());
                MAX_SLEEP.min(Duration::from_micros(until_next))
            }
            None => MAX_SLEEP,
        };
        let wakeup = wait(self.h2, self.state, self.accepting_stopped, sleep);
        if self.state.open_streams.get() > 0 {
            return wakeup.await;
        }
        self.permit.idle(wakeup).await.unwrap_or(Wakeup::Evicted)
    }

    /// Handles a wakeup. Returns the resulting step of the drain, or `None` if the connection has ended.
    fn handle(&mut self, wakeup: Wakeup) -> Option<DrainStep> {
        let now = self.state.monitor.now();
        match wakeup {
            Wakeup::Stream(stream) => {
                self.permit.request_received();
                self.accept(*stream);
                Some(DrainStep::None)
            }
            Wakeup::Ended => None,
            Wakeup::AcceptingStopped => {
                self.accepting_stopped = true;
                Some(self.drain.stop_accepting())
            }
            Wakeup::Evicted => Some(self.drain.begin(now)),
            Wakeup::Tick if self.state.is_idle_too_long() => Some(self.drain.begin(now)),
            Wakeup::Tick => Some(DrainStep::None),
        }
    }

    /// Starts the task of a stream, or refuses the stream. A refused stream is not submitted, and the client may retry
    /// at once.
    fn accept(&mut self, (request, mut responder): NewStream) {
        let slot = match self.drain.accepts_streams() {
            true => StreamSlot::acquire(self.state),
            false => None,
        };
        let frontend = &self.state.frontend;
        match slot {
            Some(slot) => frontend
                .executor
                .spawn(stream::serve(request, responder, slot))
                .detach(),
            None => {
                self.state
                    .monitor
                    .meter
                    .borrow_mut()
                    .charge_refused_stream();
                responder.send_reset(Reason::REFUSED_STREAM);
            }
        }
        let window = frontend.stream_limits.borrow().connection_window();
        self.h2.set_target_window_size(window);
    }

    /// Begins the drain of the connection if the server drains.
    fn begin_drain_if_requested(&mut self) -> DrainStep {
        match self.state.context().draining.get() {
            true => self.drain.begin(self.state.monitor.now()),
            false => DrainStep::None,
        }
    }

    /// Advances the drain by new PING acknowledgements, or by the time.
    fn advance_drain(&mut self) -> DrainStep {
        let ping_acks = self.state.monitor.meter.borrow().counts().ping_acks;
        let step = if ping_acks > self.handled_ping_acks {
            self.drain.on_ping_acknowledged()
        } else {
            self.drain.check_timeout(self.state.monitor.now())
        };
        self.handled_ping_acks = ping_acks;
        step
    }

    /// Returns how the connection has to end, if it has to.
    fn required_end(&self) -> Option<ConnectionEnd> {
        if self.state.monitor.meter.borrow().is_exhausted() {
            let counts = self.state.monitor.meter.borrow().counts();
            warn!(
                frames = counts.frames,
                resets = counts.resets,
                "closing HTTP/2 connection: client exceeded the frame cost limit after {} frames, {} of them resets",
                counts.frames,
                counts.resets
            );
            return Some(ConnectionEnd::GoAway(Reason::ENHANCE_YOUR_CALM));
        }
        if self.is_stalled() {
            let blocked_ms = self.state.monitor.blocked_for().as_millis();
            debug!("closing HTTP/2 connection: client has read nothing for {blocked_ms} ms");
            return Some(ConnectionEnd::Close);
        }
        // The server itself ends a drained connection. The library would accept streams until its PING is acknowledged,
        // which may never happen.
        let is_drained =
            self.drain.is_complete(self.state.open_streams.get()) && !self.h2.has_streams();
        is_drained.then_some(ConnectionEnd::GoAway(Reason::NO_ERROR))
    }

    /// Returns whether the client has read nothing for too long, or reads nothing when unread answers have to be
    /// dropped.
    fn is_stalled(&self) -> bool {
        let monitor = &self.state.monitor;
        let timeout = self.state.frontend.settings.client_timeouts.stalled.0;
        monitor.blocked_for() >= timeout
            || monitor.is_blocked() && self.state.context().are_responses_abandoned()
    }
}

/// Waits for the next wakeup of a connection's task.
async fn wait(
    h2: &mut Connection<Transport, Bytes>,
    state: &ConnectionState,
    accepting_stopped: bool,
    sleep: Duration,
) -> Wakeup {
    let stopped = async {
        stop_signal(state.context(), accepting_stopped).await;
        Wakeup::AcceptingStopped
    };
    let slept = async {
        Timer::after(sleep).await;
        Wakeup::Tick
    };
    // Once the frame cost balance is exhausted nothing more is read, and the task has to close the connection.
    let balance_exhausted =
        future::poll_fn(|_| match state.monitor.meter.borrow().is_exhausted() {
            true => Poll::Ready(Wakeup::Tick),
            false => Poll::Pending,
        });
    let stream = next_stream(h2, state);
    future::or(
        future::or(stream, balance_exhausted),
        future::or(stopped, slept),
    )
    .await
}

async fn next_stream(h2: &mut Connection<Transport, Bytes>, state: &ConnectionState) -> Wakeup {
    let mut accept = pin!(h2.accept());
    future::poll_fn(|cx| {
        state.monitor.begin_poll();
        let polled = accept.as_mut().poll(cx);
        state.monitor.set_has_waiting_streams(polled.is_ready());
        polled.map(|accepted| match accepted {
            Some(Ok(stream)) => Wakeup::Stream(Box::new(stream)),
            Some(Err(_)) | None => Wakeup::Ended,
        })
    })
    .await
}

/// Waits until no new requests are accepted. If that has been handled, waits until unread answers have to be dropped.
/// If that has happened as well, never returns.
async fn stop_signal(context: &FrontendContext, accepting_stopped: bool) {
    match accepting_stopped {
        false => context.accepting_stopped().await,
        true if !context.are_responses_abandoned() => context.responses_abandoned().await,
        true => future::pending().await,
    }
}

/// Sends a GOAWAY frame that ends the connection, and waits a limited time for the client to read it.
async fn go_away(h2: &mut Connection<Transport, Bytes>, reason: Reason) {
    h2.abrupt_shutdown(reason);
    let flushed = async {
        // Polls the connection until it ends. Streams that arrive meanwhile are dropped.
        while let Some(Ok(_)) = h2.accept().await {}
        Ok(())
    };
    let _ = within(FINAL_SEND_TIMEOUT, flushed).await;
}
