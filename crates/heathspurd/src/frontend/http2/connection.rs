//! The task of one HTTP/2 connection: it accepts streams and ends the connection when it drains, is idle, or exceeds its
//! limits.

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

/// The longest sleep of a connection before it evaluates settings and clocks again.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// One connection, as its streams see it.
pub(super) struct ConnectionState {
    pub frontend: Rc<Http2Frontend>,
    pub monitor: Rc<TransportMonitor>,
    /// Identifies the connection in the response budget.
    pub holder: ConnectionKey,
    /// Streams that have a task.
    open_streams: Cell<u32>,
    idle_since: Cell<Instant>,
}

impl ConnectionState {
    pub fn new(frontend: Rc<Http2Frontend>, monitor: Rc<TransportMonitor>) -> ConnectionState {
        ConnectionState {
            holder: frontend.response_budget.new_holder(),
            monitor,
            open_streams: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            frontend,
        }
    }

    pub fn context(&self) -> &FrontendContext {
        &self.frontend.handle.context
    }

    /// Whether it has had no stream for longer than the idle timeout.
    fn is_idle_too_long(&self) -> bool {
        let timeout = Duration::from_micros(self.context().idle_timeout.get().0);
        self.open_streams.get() == 0 && self.idle_since.get().elapsed() >= timeout
    }
}

/// A stream's slot in the stream quota; returned when it is dropped.
pub(super) struct StreamSlot {
    connection: Rc<ConnectionState>,
}

impl StreamSlot {
    /// `None` where the quota is used up.
    fn acquire(connection: &Rc<ConnectionState>) -> Option<StreamSlot> {
        let open_streams = connection.open_streams.get();
        let mut quota = connection.frontend.stream_quota.borrow_mut();
        quota.try_open(open_streams).ok()?;
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
        connection.frontend.stream_quota.borrow_mut().close_stream();
    }
}

/// Accepts a connection's streams until it ends.
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
        pongs: 0,
    };
    if let ConnectionEnd::GoAway(reason) = driver.run().await {
        go_away(h2, reason).await;
    }
}

/// How a connection ends.
enum ConnectionEnd {
    /// The library or the client has ended it, or the client reads nothing, not even a GOAWAY.
    Close,
    /// The server ends it with a GOAWAY frame for this reason.
    GoAway(Reason),
}

/// What a connection's task wakes for.
enum Wakeup {
    Stream(Box<NewStream>),
    /// The library has ended the connection, or the client has.
    Ended,
    /// No new requests are accepted any more, or answers that clients do not read are to be dropped.
    AcceptingStopped,
    /// The connection's permit is needed for another one.
    LeaveRequested,
    /// Time has passed, or a limit is exceeded.
    Tick,
}

type NewStream = (Request<RecvStream>, SendResponse<Bytes>);

struct Driver<'a> {
    h2: &'a mut Connection<Transport, Bytes>,
    state: &'a Rc<ConnectionState>,
    permit: &'a Permit,
    drain: ConnectionDrain,
    accepting_stopped: bool,
    /// PING acknowledgements that were seen.
    pongs: u64,
}

impl Driver<'_> {
    async fn run(&mut self) -> ConnectionEnd {
        loop {
            let wakeup = self.next_wakeup().await;
            let Some(step) = self.handle(wakeup) else {
                return ConnectionEnd::Close;
            };
            let steps = [step, self.leave_if_draining(), self.advance_drain()];
            if steps.iter().any(|step| *step != DrainStep::None) {
                self.h2.graceful_shutdown();
            }
            if let Some(end) = self.end() {
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
        self.permit
            .idle(wakeup)
            .await
            .unwrap_or(Wakeup::LeaveRequested)
    }

    /// Handles a wakeup and returns the drain's next step; `None` once the connection has ended.
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
            Wakeup::LeaveRequested => Some(self.drain.begin(now)),
            Wakeup::Tick if self.state.is_idle_too_long() => Some(self.drain.begin(now)),
            Wakeup::Tick => Some(DrainStep::None),
        }
    }

    /// Serves a stream, or refuses it: nothing of it is submitted then, and the client may repeat it at once.
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
        let window = frontend.stream_quota.borrow().connection_window();
        self.h2.set_target_window_size(window);
    }

    fn leave_if_draining(&mut self) -> DrainStep {
        match self.state.context().draining.get() {
            true => self.drain.begin(self.state.monitor.now()),
            false => DrainStep::None,
        }
    }

    /// Advances the drain by the PING acknowledgements and the time.
    fn advance_drain(&mut self) -> DrainStep {
        let pongs = self.state.monitor.meter.borrow().counts().ping_acks;
        let step = if pongs > self.pongs {
            self.drain.on_ping_acknowledged()
        } else {
            self.drain.check_timeout(self.state.monitor.now())
        };
        self.pongs = pongs;
        step
    }

    /// How the connection has to end, if it has to.
    fn end(&self) -> Option<ConnectionEnd> {
        if self.state.monitor.meter.borrow().is_exhausted() {
            let counts = self.state.monitor.meter.borrow().counts();
            warn!(
                frames = counts.frames,
                resets = counts.resets,
                "an HTTP/2 connection was closed: it exceeded its frame budget"
            );
            return Some(ConnectionEnd::GoAway(Reason::ENHANCE_YOUR_CALM));
        }
        if self.is_unread() {
            debug!("an HTTP/2 connection was closed: its client reads nothing");
            return Some(ConnectionEnd::Close);
        }
        // Without the drain's round trip the library would accept streams for ever.
        let is_drained =
            self.drain.is_complete(self.state.open_streams.get()) && !self.h2.has_streams();
        is_drained.then_some(ConnectionEnd::GoAway(Reason::NO_ERROR))
    }

    /// Whether the client has read nothing for too long.
    fn is_unread(&self) -> bool {
        let monitor = &self.state.monitor;
        let timeout = self.state.frontend.settings.client_timeouts.stalled.0;
        monitor.blocked_for() >= timeout
            || monitor.is_blocked() && self.state.context().are_responses_abandoned()
    }
}

/// Waits for what happens next on a connection.
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
    // Once the budget is used up nothing more is read, and the task has to end the connection.
    let budget_used_up = future::poll_fn(|_| match state.monitor.meter.borrow().is_exhausted() {
        true => Poll::Ready(Wakeup::Tick),
        false => Poll::Pending,
    });
    let stream = next_stream(h2, state);
    future::or(
        future::or(stream, budget_used_up),
        future::or(stopped, slept),
    )
    .await
}

async fn next_stream(h2: &mut Connection<Transport, Bytes>, state: &ConnectionState) -> Wakeup {
    let mut accept = pin!(h2.accept());
    future::poll_fn(|cx| {
        state.monitor.begin_turn();
        let polled = accept.as_mut().poll(cx);
        state.monitor.set_has_waiting_streams(polled.is_ready());
        polled.map(|accepted| match accepted {
            Some(Ok(stream)) => Wakeup::Stream(Box::new(stream)),
            Some(Err(_)) | None => Wakeup::Ended,
        })
    })
    .await
}

/// Waits until no new requests are accepted; after that, until unread answers are to be dropped. Later on only the
/// clock matters.
async fn stop_signal(context: &FrontendContext, accepting_stopped: bool) {
    match accepting_stopped {
        false => context.accepting_stopped().await,
        true if !context.are_responses_abandoned() => context.responses_abandoned().await,
        true => future::pending().await,
    }
}

/// Ends a connection with a GOAWAY frame, if the client reads it in time.
async fn go_away(h2: &mut Connection<Transport, Bytes>, reason: Reason) {
    h2.abrupt_shutdown(reason);
    let flushed = async {
        // Polls the connection until it ends; streams that arrive meanwhile are dropped.
        while let Some(Ok(_)) = h2.accept().await {}
        Ok(())
    };
    let _ = within(FINAL_SEND_TIMEOUT, flushed).await;
}
