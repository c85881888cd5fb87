//! Reports to the announce service: one a period, at once on a change, again soon after a failure.
//!
//! An entry lapses 3 s after the last report that counted, so no single fault may hold reports up for so
//! long: a report that stays unanswered, and a dial that stands, are not broken off at once, but a second
//! connection is tried beside them. Reports on two connections may be taken in either order; so when one of
//! another content has ended, what holds now is told again. One that was given up unanswered can be taken
//! yet: the next report, a period later at most, puts that right.

use crate::link::{self, Inflow, Target};
use crate::notify::Notify;
use crate::tape::Stream;
use async_io::Timer;
use futures_lite::{future, AsyncWriteExt};
use heathspur_wire::http::{self, Fields, Limits, Reader};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tracing::warn;

/// Time between reports, and after one that failed.
const PERIOD: Duration = Duration::from_millis(800);
const AGAIN: Duration = Duration::from_millis(100);
/// What stands longer has another connection tried beside it.
const PATIENCE: Duration = Duration::from_millis(300);
/// The longest waits for an answer, for a connection, and for one that is tried beside another dial: the
/// system sends a dial's lost packet again after a second.
const ANSWER: Duration = Duration::from_secs(2);
const DIAL: Duration = Duration::from_secs(10);
const SECOND_DIAL: Duration = Duration::from_millis(1250);
/// Connections at once, dials among them.
const MOST: usize = 2;
const LIMITS: Limits = Limits { head: 4 * 1024, body: 4 * 1024 };

/// What is reported; nothing until it is known.
pub(crate) struct Readiness {
    ready: Cell<Option<bool>>,
    changed: Notify,
}

impl Readiness {
    pub fn new() -> Rc<Readiness> {
        Rc::new(Readiness { ready: Cell::new(None), changed: Notify::new() })
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
            reporter = Reporter::new(target.get(), reporter.name);
        }
        reporter.act(ready);
        let (address, next) = (reporter.address, reporter.next_time(ready));
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
            reporter.take(at, ended, ready);
        }
    }
}

type Boxed<T> = Pin<Box<dyn Future<Output = io::Result<T>>>>;

/// What a connection is at.
enum Step {
    Dial(Boxed<Stream>),
    Idle(Stream),
    /// A report of this content is on its way: the answer's status, and the connection where it stays open.
    Told(bool, Boxed<(u16, Option<Stream>)>),
}

/// What a step came to.
enum Ended {
    Up(io::Result<Stream>),
    /// Closed by the other side, or bytes came unasked.
    Spent,
    Answered(bool, io::Result<(u16, Option<Stream>)>),
}

/// A connection, or the dial for one.
struct Line {
    step: Step,
    since: Instant,
    /// When the step has taken too long.
    until: Option<Instant>,
    /// It carried a report before: the other side may have closed it meanwhile.
    kept: bool,
}

impl Line {
    fn is_idle(&self) -> bool {
        matches!(self.step, Step::Idle(_))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Ended> {
        match &mut self.step {
            Step::Dial(dial) => dial.as_mut().poll(cx).map(Ended::Up),
            Step::Idle(stream) => loop {
                match stream.poll_readable(cx) {
                    Poll::Pending => return Poll::Pending,
                    // It may tell of bytes that were read already.
                    Poll::Ready(Ok(())) if link::is_quiet(stream) => {}
                    Poll::Ready(_) => return Poll::Ready(Ended::Spent),
                }
            },
            Step::Told(said, answer) => answer.as_mut().poll(cx).map(|ended| Ended::Answered(*said, ended)),
        }
    }
}

struct Reporter {
    address: SocketAddr,
    name: String,
    /// At most `MOST`, oldest first.
    lines: Vec<Line>,
    /// The last report's content, and when the next one is due.
    said: Option<bool>,
    due: Instant,
    /// No dial before this, and how long the last one took.
    dial_at: Instant,
    took: Duration,
}

impl Reporter {
    fn new(address: SocketAddr, name: String) -> Reporter {
        let now = Instant::now();
        Reporter {
            address,
            name,
            lines: Vec::new(),
            said: None,
            due: now,
            dial_at: now,
            took: Duration::ZERO,
        }
    }

    /// Does what is due: gives up what took too long, reports, dials.
    fn act(&mut self, ready: bool) {
        let now = Instant::now();
        if self.said.replace(ready) != Some(ready) {
            self.due = now;
        }
        while let Some(at) = self.lines.iter().position(|line| line.until.is_some_and(|until| until <= now)) {
            let late = || io::Error::from(io::ErrorKind::TimedOut);
            let ended = match self.lines[at].step {
                Step::Told(said, _) => Ended::Answered(said, Err(late())),
                Step::Dial(_) | Step::Idle(_) => Ended::Up(Err(late())),
            };
            self.take(at, ended, ready);
        }
        while self.due <= now {
            let Some(at) = self.lines.iter().position(Line::is_idle) else { break };
            let line = self.lines.remove(at);
            // An answer that comes before the report is none to it.
            let Step::Idle(stream) = line.step else { break };
            if link::is_quiet(&stream) {
                let step = Step::Told(ready, Box::pin(exchange(stream, self.report(ready))));
                self.lines.push(Line { step, since: now, until: Some(now + ANSWER), kept: line.kept });
                self.due = now + PATIENCE;
            } else {
                self.spent(line.kept, now);
            }
        }
        if self.dial_from(ready).is_some_and(|at| at <= now) {
            let beside = self.lines.iter().any(|line| matches!(line.step, Step::Dial(_)));
            let step = Step::Dial(Box::pin(link::connect(self.address, DIAL, None)));
            let until = Some(now + if beside { SECOND_DIAL } else { DIAL });
            self.lines.push(Line { step, since: now, until, kept: false });
        }
    }

    /// When the next dial is due, if one is: so early that the connection is up when the report is due, and
    /// beside another one when that has stood for too long or tells what holds no more.
    fn dial_from(&self, ready: bool) -> Option<Instant> {
        if self.lines.len() >= MOST || self.lines.iter().any(Line::is_idle) {
            return None;
        }
        let from = self.dial_at.max(self.due.checked_sub(self.took).unwrap_or(self.due));
        Some(match self.lines.first() {
            Some(Line { step: Step::Told(said, _), .. }) if *said != ready => from,
            Some(line) => from.max(line.since + PATIENCE),
            None => from,
        })
    }

    /// When there is something to do again.
    fn next_time(&self, ready: bool) -> Option<Instant> {
        let due = self.lines.iter().any(Line::is_idle).then_some(self.due);
        let limits = self.lines.iter().filter_map(|line| line.until);
        limits.chain(due).chain(self.dial_from(ready)).min()
    }

    /// Waits until a step has ended.
    async fn ended(&mut self) -> (usize, Ended) {
        future::poll_fn(|cx| {
            for (at, line) in self.lines.iter_mut().enumerate() {
                if let Poll::Ready(ended) = line.poll(cx) {
                    return Poll::Ready((at, ended));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Takes in what a connection's step came to.
    fn take(&mut self, at: usize, ended: Ended, ready: bool) {
        let (line, now) = (self.lines.remove(at), Instant::now());
        match ended {
            Ended::Up(Ok(stream)) => {
                self.took = now - line.since;
                self.lines.push(Line { step: Step::Idle(stream), since: now, until: None, kept: false });
            }
            Ended::Up(Err(e)) => self.failed(&e, now),
            Ended::Spent => self.spent(line.kept, now),
            Ended::Answered(said, ended) => {
                match ended {
                    Ok((status, stream)) => {
                        // One connection is enough from here on; what is under way on another may end there.
                        self.lines.retain(|line| matches!(line.step, Step::Told(..)));
                        if let Some(stream) = stream {
                            let step = Step::Idle(stream);
                            self.lines.push(Line { step, since: now, until: None, kept: true });
                        }
                        self.due = now + if status == 204 { PERIOD } else { AGAIN };
                        if status != 204 {
                            self.failed(&io::Error::other(format!("status {status}")), now);
                        }
                    }
                    // Closed by the other side meanwhile: a new connection tells at once.
                    Err(e) if line.kept && e.kind() != io::ErrorKind::TimedOut => self.due = now,
                    Err(e) => {
                        self.due = now + AGAIN;
                        self.failed(&e, now);
                    }
                }
                // The last word was what holds no more.
                if said != ready {
                    self.due = now;
                }
            }
        }
    }

    fn failed(&mut self, e: &io::Error, now: Instant) {
        warn!(error = %e, "the announce service did not take a report: {e}");
        self.dial_at = now + AGAIN;
    }

    /// An idle connection can't be used. One that was kept may end at any time.
    fn spent(&mut self, kept: bool, now: Instant) {
        if !kept {
            self.failed(&io::ErrorKind::UnexpectedEof.into(), now);
        }
    }

    fn report(&self, ready: bool) -> Vec<u8> {
        let (path, host) = (format!("/announce/{}", self.name), self.address.to_string());
        let mut out = Vec::new();
        http::write_call(&mut out, "PUT", &path, &host, format!(r#"{{"accepting":"{ready}"}}"#).as_bytes());
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
            let status = http::status_line(&inflow.bytes()[message.first]).map_err(io::Error::other)?;
            let close = http::says_close(Fields::over(&inflow.bytes()[message.fields]));
            let more = inflow.bytes().len() > message.body.end;
            return Ok((status, (!close && !more).then_some(stream)));
        }
    }
}
