//! The client of the registration service, to which the server reports whether it is ready for requests.
//!
//! The [schedule](heathspur_server_core::registration) decides when to connect and when to report. This module performs
//! the I/O that the schedule requests, and passes the results back to it.

use crate::notify::Notify;
use crate::peers::connection::{self, PeerAddress, ReadBuffer};
use crate::recording::recorded_stream::Stream;
use async_io::Timer;
use futures_lite::{future, AsyncWriteExt};
use heathspur_server_core::registration::{
    Action, ConnectionId, Event, Failure, Schedule, CONNECT_TIMEOUT,
};
use heathspur_wire::http::{self, Fields, Limits, Reader};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tracing::warn;

/// Size limits on a response of the registration service, in bytes.
const RESPONSE_LIMITS: Limits = Limits {
    head: 4 * 1024,
    body: 4 * 1024,
};

/// The readiness of the server. Nothing is reported until it is set.
pub(crate) struct Readiness {
    ready: Cell<Option<bool>>,
    changed: Notify,
}

impl Readiness {
    /// Creates a readiness that is not set.
    pub fn new() -> Rc<Readiness> {
        Rc::new(Readiness {
            ready: Cell::new(None),
            changed: Notify::new(),
        })
    }

    /// Sets the readiness and wakes the reporting task if it changed.
    pub fn set(&self, ready: bool) {
        if self.ready.replace(Some(ready)) != Some(ready) {
            self.changed.notify();
        }
    }
}

/// Reports the readiness of the server `name` to the registration service. Never completes.
pub(crate) async fn run(peer_address: Rc<PeerAddress>, name: String, readiness: Rc<Readiness>) {
    let mut reporter = Reporter::new(peer_address.get(), name);
    loop {
        let Some(ready) = readiness.ready.get() else {
            readiness.changed.notified().await;
            continue;
        };
        reporter.set_address(peer_address.get());
        reporter.handle(Event::Ready(ready));
        reporter.perform_actions();
        if let Some((index, outcome)) = wait(&mut reporter, &peer_address, &readiness).await {
            reporter.complete_step(index, outcome);
        }
    }
}

/// Waits until a connection's step completes, and returns the index of the connection with the outcome. Returns `None`
/// if the readiness or the address changed first, or the next action became due.
async fn wait(
    reporter: &mut Reporter,
    peer_address: &PeerAddress,
    readiness: &Readiness,
) -> Option<(usize, StepOutcome)> {
    let (address, wake_at) = (reporter.address, reporter.wake_at());
    let changed = async {
        future::or(readiness.changed.notified(), peer_address.changed(address)).await;
        None
    };
    let action_due = async {
        match wake_at {
            Some(at) => Timer::at(at).await,
            None => future::pending().await,
        };
        None
    };
    let completed = async { Some(reporter.next_completed_step().await) };
    future::or(completed, future::or(changed, action_due)).await
}

type IoFuture<T> = Pin<Box<dyn Future<Output = io::Result<T>>>>;

/// The step that a connection is in.
enum ConnectionStep {
    Connecting(IoFuture<Stream>),
    Idle(Stream),
    Reporting(IoFuture<ReportResponse>),
}

/// The response to a report.
struct ReportResponse {
    /// The HTTP status code.
    status: u16,
    /// The connection, if it can carry another report.
    reusable: Option<Stream>,
}

/// The outcome of a step.
enum StepOutcome {
    Connected(io::Result<Stream>),
    /// The service closed an idle connection, or sent bytes on it that belong to no response.
    IdleClosed,
    Responded(io::Result<ReportResponse>),
}

impl ConnectionStep {
    /// Polls the step for its outcome.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<StepOutcome> {
        match self {
            ConnectionStep::Connecting(connecting) => {
                connecting.as_mut().poll(cx).map(StepOutcome::Connected)
            }
            ConnectionStep::Idle(stream) => poll_idle(stream, cx),
            ConnectionStep::Reporting(response) => {
                response.as_mut().poll(cx).map(StepOutcome::Responded)
            }
        }
    }
}

/// Becomes ready once the service closes the idle connection or sends bytes on it.
fn poll_idle(stream: &Stream, cx: &mut Context<'_>) -> Poll<StepOutcome> {
    loop {
        match stream.poll_readable(cx) {
            Poll::Pending => return Poll::Pending,
            // The reactor may still report the stream as readable because of bytes that were read already.
            Poll::Ready(Ok(())) if connection::is_idle(stream) => {}
            Poll::Ready(_) => return Poll::Ready(StepOutcome::IdleClosed),
        }
    }
}

/// Owns the connections to the registration service and drives the schedule.
struct Reporter {
    address: SocketAddr,
    /// The server's name.
    name: String,
    schedule: Schedule,
    /// Time zero of the schedule.
    start: Instant,
    /// The connections, ordered by when their current step began.
    connections: Vec<(ConnectionId, ConnectionStep)>,
    /// The error that caused the last [`Event::Failed`], for the log.
    last_error: Option<io::Error>,
}

impl Reporter {
    fn new(address: SocketAddr, name: String) -> Reporter {
        let start = Instant::now();
        let schedule = Schedule::new(start.elapsed());
        Reporter {
            address,
            name,
            schedule,
            start,
            connections: Vec::new(),
            last_error: None,
        }
    }

    /// Sets the address of the service. A change resets the schedule.
    fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.handle(Event::AddressChanged);
        }
    }

    /// Passes an event to the schedule.
    fn handle(&mut self, event: Event) {
        self.schedule.handle(self.start.elapsed(), event);
    }

    /// Performs every action that is due.
    fn perform_actions(&mut self) {
        let now = self.start.elapsed();
        while let Some(action) = self.schedule.poll(now) {
            match action {
                Action::Connect(id) => self.connect(id),
                Action::SendReport { connection, ready } => {
                    let event = self.send_report(connection, ready);
                    self.schedule.handle(now, event);
                }
                Action::Close(id) => drop(self.remove(id)),
                Action::LogFailure(failure) => self.log_failure(failure),
            }
        }
    }

    /// Starts a connection attempt.
    fn connect(&mut self, id: ConnectionId) {
        let connecting = Box::pin(connection::connect(self.address, CONNECT_TIMEOUT, None));
        self.connections
            .push((id, ConnectionStep::Connecting(connecting)));
    }

    /// Removes a connection and returns its step, or `None` for an unknown connection.
    fn remove(&mut self, id: ConnectionId) -> Option<ConnectionStep> {
        let index = self
            .connections
            .iter()
            .position(|(other, _)| *other == id)?;
        Some(self.connections.remove(index).1)
    }

    /// Starts to send a report on an idle connection, or closes the connection if it is unusable. Returns the matching
    /// event for the schedule.
    fn send_report(&mut self, id: ConnectionId, ready: bool) -> Event {
        match self.remove(id) {
            // Bytes that arrived before the report was sent cannot be its response.
            Some(ConnectionStep::Idle(stream)) if connection::is_idle(&stream) => {
                let response = Box::pin(exchange(stream, self.report_request(ready)));
                self.connections
                    .push((id, ConnectionStep::Reporting(response)));
                Event::ReportSent(id)
            }
            _ => Event::Closed(id),
        }
    }

    fn log_failure(&mut self, failure: Failure) {
        let error = match failure {
            Failure::TimedOut => io::ErrorKind::TimedOut.into(),
            Failure::ConnectionFailed => self
                .last_error
                .take()
                .unwrap_or_else(|| io::ErrorKind::Other.into()),
            Failure::ConnectionClosed => io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the peer closed the connection or sent unexpected bytes",
            ),
            Failure::UnexpectedStatus(status) => {
                io::Error::other(format!("unexpected response status {status}"))
            }
        };
        let address = self.address;
        warn!(
            error = %error,
            "cannot report readiness to the registration service at {address}: {error}"
        );
    }

    /// Returns when the next action becomes due if no event arrives first.
    fn wake_at(&self) -> Option<Instant> {
        self.schedule.next_wakeup().map(|at| self.start + at)
    }

    /// Waits until a step completes, and returns the index of the connection with the outcome.
    async fn next_completed_step(&mut self) -> (usize, StepOutcome) {
        future::poll_fn(|cx| {
            for (index, (_, step)) in self.connections.iter_mut().enumerate() {
                if let Poll::Ready(outcome) = step.poll(cx) {
                    return Poll::Ready((index, outcome));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Advances a connection to its next step and passes the outcome to the schedule.
    fn complete_step(&mut self, index: usize, outcome: StepOutcome) {
        let (id, _) = self.connections.remove(index);
        let event = match outcome {
            StepOutcome::Connected(Ok(stream)) => {
                self.push_idle(id, stream);
                Event::Connected(id)
            }
            StepOutcome::Responded(Ok(response)) => self.complete_report(id, response),
            StepOutcome::IdleClosed => Event::Closed(id),
            StepOutcome::Connected(Err(error)) | StepOutcome::Responded(Err(error)) => {
                self.record_failure(id, error)
            }
        };
        self.handle(event);
    }

    fn push_idle(&mut self, id: ConnectionId, stream: Stream) {
        self.connections.push((id, ConnectionStep::Idle(stream)));
    }

    /// Makes a connection idle after the response to its report, if it can be reused.
    fn complete_report(&mut self, id: ConnectionId, response: ReportResponse) -> Event {
        let reusable = response.reusable.is_some();
        if let Some(stream) = response.reusable {
            self.push_idle(id, stream);
        }
        Event::ReportCompleted {
            connection: id,
            status: response.status,
            reusable,
        }
    }

    /// Stores the error of a failed connection for the log.
    fn record_failure(&mut self, id: ConnectionId, error: io::Error) -> Event {
        let timed_out = error.kind() == io::ErrorKind::TimedOut;
        self.last_error = Some(error);
        Event::Failed {
            connection: id,
            timed_out,
        }
    }

    /// Encodes the HTTP request that reports the readiness.
    fn report_request(&self, ready: bool) -> Vec<u8> {
        let path = format!("/announce/{}", self.name);
        let host = self.address.to_string();
        let body = format!(r#"{{"accepting":"{ready}"}}"#);
        let mut request = Vec::new();
        http::write_request(&mut request, "PUT", &path, &host, body.as_bytes());
        request
    }
}

/// Sends one report and reads the response to it.
async fn exchange(stream: Stream, request: Vec<u8>) -> io::Result<ReportResponse> {
    (&stream).write_all(&request).await?;
    let mut reader = Reader::new(RESPONSE_LIMITS);
    let mut buffer = ReadBuffer::new();
    let message = buffer
        .read_message(&stream, |bytes| {
            reader.read(bytes).map_err(io::Error::other)
        })
        .await?;
    let bytes = buffer.bytes();
    let status = http::status_line(&bytes[message.start_line]).map_err(io::Error::other)?;
    let closing = http::has_close_option(Fields::over(&bytes[message.fields]));
    let excess_bytes = bytes.len() > message.body.end;
    Ok(ReportResponse {
        status,
        reusable: (!closing && !excess_bytes).then_some(stream),
    })
}
