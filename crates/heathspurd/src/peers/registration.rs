//! Reports readiness to the announce service.
//!
//! When to connect and to report is decided by [`heathspur_server_core::registration`]; this module connects, sends and
//! receives as that schedule says, and reports the outcomes back to it.

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

/// Bounds on the announce service's answer, in bytes.
const ANSWER_LIMITS: Limits = Limits {
    head: 4 * 1024,
    body: 4 * 1024,
};

/// The readiness to report; nothing is reported until it is set.
pub(crate) struct Readiness {
    ready: Cell<Option<bool>>,
    changed: Notify,
}

impl Readiness {
    pub fn new() -> Rc<Readiness> {
        Rc::new(Readiness {
            ready: Cell::new(None),
            changed: Notify::new(),
        })
    }

    pub fn set(&self, ready: bool) {
        if self.ready.replace(Some(ready)) != Some(ready) {
            self.changed.notify();
        }
    }
}

/// Reports the readiness of the server `name` for as long as the process runs.
pub(crate) async fn run(target: Rc<PeerAddress>, name: String, readiness: Rc<Readiness>) {
    let mut reporter = Reporter::new(target.get(), name);
    loop {
        let Some(ready) = readiness.ready.get() else {
            readiness.changed.notified().await;
            continue;
        };
        reporter.move_to(target.get());
        reporter.handle(Event::Ready(ready));
        reporter.carry_out_actions();
        if let Some((index, outcome)) = wait(&mut reporter, &target, &readiness).await {
            reporter.step_completed(index, outcome);
        }
    }
}

/// Waits until a step completes, or until the readiness, the address or the time calls for another look (`None`).
async fn wait(
    reporter: &mut Reporter,
    target: &PeerAddress,
    readiness: &Readiness,
) -> Option<(usize, StepOutcome)> {
    let (address, wake_at) = (reporter.address, reporter.wake_at());
    let changed = async {
        future::or(readiness.changed.notified(), target.changed(address)).await;
        None
    };
    let woken = async {
        match wake_at {
            Some(at) => Timer::at(at).await,
            None => future::pending().await,
        };
        None
    };
    let completed = async { Some(reporter.next_completed_step().await) };
    future::or(completed, future::or(changed, woken)).await
}

type IoFuture<T> = Pin<Box<dyn Future<Output = io::Result<T>>>>;

/// What a connection is doing.
enum ConnectionStep {
    Connecting(IoFuture<Stream>),
    Idle(Stream),
    Reporting(IoFuture<ReportAnswer>),
}

/// The answer to a report.
struct ReportAnswer {
    status: u16,
    /// The connection, where it can carry another report.
    reusable: Option<Stream>,
}

/// How a step completed.
enum StepOutcome {
    Connected(io::Result<Stream>),
    /// An idle connection was closed by the other side, or received bytes that were not asked for.
    IdleClosed,
    Answered(io::Result<ReportAnswer>),
}

impl ConnectionStep {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<StepOutcome> {
        match self {
            ConnectionStep::Connecting(connecting) => {
                connecting.as_mut().poll(cx).map(StepOutcome::Connected)
            }
            ConnectionStep::Idle(stream) => poll_idle(stream, cx),
            ConnectionStep::Reporting(answer) => {
                answer.as_mut().poll(cx).map(StepOutcome::Answered)
            }
        }
    }
}

/// Ready once the connection is no longer open and free of unread bytes.
fn poll_idle(stream: &Stream, cx: &mut Context<'_>) -> Poll<StepOutcome> {
    loop {
        match stream.poll_readable(cx) {
            Poll::Pending => return Poll::Pending,
            // The readiness may stem from bytes that were read already.
            Poll::Ready(Ok(())) if connection::is_idle(stream) => {}
            Poll::Ready(_) => return Poll::Ready(StepOutcome::IdleClosed),
        }
    }
}

/// Owns the connections to the announce service and drives the schedule.
struct Reporter {
    address: SocketAddr,
    name: String,
    schedule: Schedule,
    /// The origin of the schedule's time.
    start: Instant,
    /// In the order in which they began their step.
    connections: Vec<(ConnectionId, ConnectionStep)>,
    /// The error behind the last [`Event::Failed`], kept for the log.
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

    fn move_to(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.handle(Event::AddressChanged);
        }
    }

    fn handle(&mut self, event: Event) {
        self.schedule.handle(self.start.elapsed(), event);
    }

    /// Carries out every action that is due.
    fn carry_out_actions(&mut self) {
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

    fn connect(&mut self, id: ConnectionId) {
        let connecting = Box::pin(connection::connect(self.address, CONNECT_TIMEOUT, None));
        self.connections
            .push((id, ConnectionStep::Connecting(connecting)));
    }

    fn remove(&mut self, id: ConnectionId) -> Option<ConnectionStep> {
        let index = self
            .connections
            .iter()
            .position(|(other, _)| *other == id)?;
        Some(self.connections.remove(index).1)
    }

    fn send_report(&mut self, id: ConnectionId, ready: bool) -> Event {
        match self.remove(id) {
            // Bytes that arrived before the report cannot be the answer to it.
            Some(ConnectionStep::Idle(stream)) if connection::is_idle(&stream) => {
                let answer = Box::pin(exchange(stream, self.report(ready)));
                self.connections
                    .push((id, ConnectionStep::Reporting(answer)));
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
            Failure::ConnectionClosed => io::ErrorKind::UnexpectedEof.into(),
            Failure::UnexpectedStatus(status) => io::Error::other(format!("status {status}")),
        };
        warn!(error = %error, "the announce service did not take a report: {error}");
    }

    /// When an action becomes due without an event.
    fn wake_at(&self) -> Option<Instant> {
        self.schedule.next_wakeup().map(|at| self.start + at)
    }

    /// Waits until a step completes; returns the connection's index with the outcome.
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

    /// Moves a connection on to its next step and reports the outcome to the schedule.
    fn step_completed(&mut self, index: usize, outcome: StepOutcome) {
        let (id, _) = self.connections.remove(index);
        let event = match outcome {
            StepOutcome::Connected(Ok(stream)) => {
                self.push_idle(id, stream);
                Event::Connected(id)
            }
            StepOutcome::Answered(Ok(answer)) => self.answered(id, answer),
            StepOutcome::IdleClosed => Event::Closed(id),
            StepOutcome::Connected(Err(error)) | StepOutcome::Answered(Err(error)) => {
                self.connection_failed(id, error)
            }
        };
        self.handle(event);
    }

    fn push_idle(&mut self, id: ConnectionId, stream: Stream) {
        self.connections.push((id, ConnectionStep::Idle(stream)));
    }

    fn answered(&mut self, id: ConnectionId, answer: ReportAnswer) -> Event {
        let open = answer.reusable.is_some();
        if let Some(stream) = answer.reusable {
            self.push_idle(id, stream);
        }
        Event::ReportAnswered {
            connection: id,
            status: answer.status,
            reusable: open,
        }
    }

    fn connection_failed(&mut self, id: ConnectionId, error: io::Error) -> Event {
        let late = error.kind() == io::ErrorKind::TimedOut;
        self.last_error = Some(error);
        Event::Failed {
            connection: id,
            timed_out: late,
        }
    }

    /// The HTTP request that reports the readiness.
    fn report(&self, ready: bool) -> Vec<u8> {
        let path = format!("/announce/{}", self.name);
        let host = self.address.to_string();
        let body = format!(r#"{{"accepting":"{ready}"}}"#);
        let mut request = Vec::new();
        http::write_request(&mut request, "PUT", &path, &host, body.as_bytes());
        request
    }
}

/// Sends one report and reads its answer.
async fn exchange(stream: Stream, request: Vec<u8>) -> io::Result<ReportAnswer> {
    (&stream).write_all(&request).await?;
    let mut reader = Reader::new(ANSWER_LIMITS);
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
    Ok(ReportAnswer {
        status,
        reusable: (!closing && !excess_bytes).then_some(stream),
    })
}
