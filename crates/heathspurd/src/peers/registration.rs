//! Carries out the schedule of reports to the announce service ([`heathspur_server_core::registration`]): dials, sends, answers.

use crate::notify::Notify;
use crate::peers::connection::{self, Inflow, Target};
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

const LIMITS: Limits = Limits {
    head: 4 * 1024,
    body: 4 * 1024,
};

/// What is reported; nothing until it is known.
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

/// Reports for ever.
pub(crate) async fn keep(target: Rc<Target>, name: String, readiness: Rc<Readiness>) {
    let mut reporter = Reporter::new(target.get(), name);
    loop {
        let Some(ready) = readiness.ready.get() else {
            readiness.changed.notified().await;
            continue;
        };
        if reporter.address != target.get() {
            reporter.address = target.get();
            reporter.handle(Event::AddressChanged);
        }
        reporter.handle(Event::Ready(ready));
        reporter.act();
        let (address, next) = (reporter.address, reporter.next_time());
        let changed = async {
            future::or(readiness.changed.notified(), target.moved(address)).await;
            None
        };
        let time = async {
            match next {
                Some(at) => Timer::at(at).await,
                None => future::pending().await,
            };
            None
        };
        let ended = async { Some(reporter.ended().await) };
        if let Some((at, ended)) = future::or(ended, future::or(changed, time)).await {
            reporter.take(at, ended);
        }
    }
}

type Boxed<T> = Pin<Box<dyn Future<Output = io::Result<T>>>>;

/// What a line has under way.
enum Step {
    Dial(Boxed<Stream>),
    Idle(Stream),
    /// The answer's status, and the connection where it stays open.
    Told(Boxed<(u16, Option<Stream>)>),
}

/// What a step came to.
enum Ended {
    Up(io::Result<Stream>),
    /// Closed by the other side, or bytes came unasked.
    Spent,
    Answered(io::Result<(u16, Option<Stream>)>),
}

impl Step {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Ended> {
        match self {
            Step::Dial(dial) => dial.as_mut().poll(cx).map(Ended::Up),
            Step::Idle(stream) => loop {
                match stream.poll_readable(cx) {
                    Poll::Pending => return Poll::Pending,
                    // It may tell of bytes that were read already.
                    Poll::Ready(Ok(())) if connection::is_quiet(stream) => {}
                    Poll::Ready(_) => return Poll::Ready(Ended::Spent),
                }
            },
            Step::Told(answer) => answer.as_mut().poll(cx).map(Ended::Answered),
        }
    }
}

struct Reporter {
    address: SocketAddr,
    name: String,
    schedule: Schedule,
    /// The schedule's time is what passed since then.
    start: Instant,
    /// In the order that they came to their step.
    lines: Vec<(ConnectionId, Step)>,
    /// The fault that the schedule was told of last.
    fault: Option<io::Error>,
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
            lines: Vec::new(),
            fault: None,
        }
    }

    fn handle(&mut self, event: Event) {
        self.schedule.handle(self.start.elapsed(), event);
    }

    /// Does what is due.
    fn act(&mut self) {
        let now = self.start.elapsed();
        while let Some(action) = self.schedule.poll(now) {
            match action {
                Action::Connect(line) => {
                    let dial = Box::pin(connection::connect(self.address, CONNECT_TIMEOUT, None));
                    self.lines.push((line, Step::Dial(dial)));
                }
                Action::SendReport {
                    connection: line,
                    ready,
                } => {
                    let event = self.send(line, ready);
                    self.schedule.handle(now, event);
                }
                Action::Close(line) => drop(self.remove(line)),
                Action::LogFailure(why) => self.warn(why),
            }
        }
    }

    fn remove(&mut self, line: ConnectionId) -> Option<Step> {
        let at = self.lines.iter().position(|(other, _)| *other == line)?;
        Some(self.lines.remove(at).1)
    }

    fn send(&mut self, line: ConnectionId, ready: bool) -> Event {
        match self.remove(line) {
            // An answer that comes before the report is none to it.
            Some(Step::Idle(stream)) if connection::is_quiet(&stream) => {
                let answer = Box::pin(exchange(stream, self.report(ready)));
                self.lines.push((line, Step::Told(answer)));
                Event::ReportSent(line)
            }
            _ => Event::Closed(line),
        }
    }

    fn warn(&mut self, why: Failure) {
        let e = match why {
            Failure::TimedOut => io::ErrorKind::TimedOut.into(),
            Failure::ConnectionFailed => self
                .fault
                .take()
                .unwrap_or_else(|| io::ErrorKind::Other.into()),
            Failure::ConnectionClosed => io::ErrorKind::UnexpectedEof.into(),
            Failure::UnexpectedStatus(status) => io::Error::other(format!("status {status}")),
        };
        warn!(error = %e, "the announce service did not take a report: {e}");
    }

    /// When there is something to do again.
    fn next_time(&self) -> Option<Instant> {
        self.schedule.next_wakeup().map(|at| self.start + at)
    }

    /// Waits until a step has ended.
    async fn ended(&mut self) -> (usize, Ended) {
        future::poll_fn(|cx| {
            for (at, (_, step)) in self.lines.iter_mut().enumerate() {
                if let Poll::Ready(ended) = step.poll(cx) {
                    return Poll::Ready((at, ended));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Takes in what a connection's step came to.
    fn take(&mut self, at: usize, ended: Ended) {
        let (line, _) = self.lines.remove(at);
        let event = match ended {
            Ended::Up(Ok(stream)) => {
                self.lines.push((line, Step::Idle(stream)));
                Event::Connected(line)
            }
            Ended::Answered(Ok((status, stream))) => {
                let open = stream.is_some();
                self.lines
                    .extend(stream.map(|stream| (line, Step::Idle(stream))));
                Event::ReportAnswered {
                    connection: line,
                    status,
                    reusable: open,
                }
            }
            Ended::Spent => Event::Closed(line),
            Ended::Up(Err(e)) | Ended::Answered(Err(e)) => {
                let late = e.kind() == io::ErrorKind::TimedOut;
                self.fault = Some(e);
                Event::Failed {
                    connection: line,
                    timed_out: late,
                }
            }
        };
        self.handle(event);
    }

    fn report(&self, ready: bool) -> Vec<u8> {
        let (path, host) = (format!("/announce/{}", self.name), self.address.to_string());
        let mut out = Vec::new();
        http::write_request(
            &mut out,
            "PUT",
            &path,
            &host,
            format!(r#"{{"accepting":"{ready}"}}"#).as_bytes(),
        );
        out
    }
}

/// One call: the status of its answer, and the connection where it stays open and nothing else came on it.
async fn exchange(stream: Stream, out: Vec<u8>) -> io::Result<(u16, Option<Stream>)> {
    (&stream).write_all(&out).await?;
    let (mut reader, mut inflow) = (Reader::new(LIMITS), Inflow::new());
    loop {
        inflow.fill(&stream).await?;
        if let Some(message) = reader.read(inflow.bytes()).map_err(io::Error::other)? {
            let status =
                http::status_line(&inflow.bytes()[message.start_line]).map_err(io::Error::other)?;
            let close = http::has_close_option(Fields::over(&inflow.bytes()[message.fields]));
            let more = inflow.bytes().len() > message.body.end;
            return Ok((status, (!close && !more).then_some(stream)));
        }
    }
}
