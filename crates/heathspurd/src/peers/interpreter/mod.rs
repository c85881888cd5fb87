//! The link to the interpreter: one connection, re-established when it breaks and resumed after the last notice that
//! the event loop has received.
//!
//! [`run`] owns the connection and its reconnect backoff. The event loop queues commands on the [`Link`] and receives
//! [`InterpreterEvent`]s; it never waits for the connection.

mod notice_sequence;
mod notices;

use crate::frontend::AttemptId;
use crate::notify::Notify;
use crate::peers::connection::{connect, PeerAddress};
use crate::recording::recorded_stream::Stream;
use crate::recording::RecorderHandle;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::{future, AsyncWriteExt};
use heathspur_record::recorder::Leg;
use heathspur_wire::interpreter::{self as wire, Command, RunOutcome, Warmth};
use notice_sequence::NoticeSequence;
use notices::read_notices;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Bounds on the backoff between connection attempts.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(10);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Time limit on one connection attempt. The system retransmits a lost SYN after one and three seconds, so a shorter
/// limit would never get through to a listener that is this slow.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes of unsent commands at which the connection counts as broken.
const MAX_QUEUED_COMMAND_BYTES: usize = 8 << 20;

/// What the link reports to the event loop.
#[derive(Debug)]
pub(crate) enum InterpreterEvent {
    /// A connection is up; the interpreter started `started_ms_ago` milliseconds earlier.
    Connected { warmth: Warmth, started_ms_ago: f64 },
    /// A run has ended; `body` is its result where it succeeded.
    RunEnded {
        attempt: AttemptId,
        outcome: RunOutcome,
        body: Bytes,
    },
    /// A run waits for the reply to its call number `index`.
    CallRequested {
        attempt: AttemptId,
        index: u64,
        body: Bytes,
    },
    /// The reply to the gauge query with this nonce.
    Gauges { nonce: u64, readings: Vec<f64> },
    /// A command was not carried out.
    CommandRejected {
        command: String,
        attempt: Option<AttemptId>,
    },
    /// Notices were missed that the interpreter no longer retains.
    NoticesLost,
    /// The connection has ended.
    Disconnected,
}

/// Why a connection to the interpreter ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the interpreter's address has changed")]
    AddressChanged,
    #[error("{0} bytes of commands are queued, more than {MAX_QUEUED_COMMAND_BYTES}")]
    CommandBacklog(usize),
    #[error("a notice has no valid request id")]
    InvalidRequestId,
    #[error("notice number {0} is out of sequence")]
    OutOfSequence(u64),
    #[error("a line is not a valid notice: {0}")]
    InvalidNotice(#[source] wire::Error),
    #[error("a line is longer than {} bytes", wire::MAX_LINE_BYTES)]
    LineTooLong,
    #[error("the event loop has ended")]
    EventLoopEnded,
}

/// The event loop's end of the link: commands queue here until the connection's task writes them.
pub(crate) struct Link {
    queued_commands: RefCell<Vec<u8>>,
    command_queued: Notify,
}

impl Link {
    pub fn new() -> Rc<Link> {
        Rc::new(Link {
            queued_commands: RefCell::new(Vec::new()),
            command_queued: Notify::new(),
        })
    }

    pub fn send(&self, command: Command<'_>) {
        wire::write_command(&mut self.queued_commands.borrow_mut(), command);
        self.command_queued.notify();
    }

    /// Drops what was queued for an earlier connection and queues the command that opens a new one.
    fn restart_queue(&self, last_notice: u64) {
        let mut queued = self.queued_commands.borrow_mut();
        queued.clear();
        wire::write_command(&mut queued, Command::Connect(last_notice));
    }
}

/// Keeps the link connected until the event loop ends, following changes of the interpreter's address.
pub(crate) async fn run<N: From<InterpreterEvent>>(
    target: Rc<PeerAddress>,
    link: Rc<Link>,
    events: Sender<N>,
    recorder: Option<Rc<RecorderHandle>>,
) {
    let mut sequence = NoticeSequence::default();
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        let address = target.get();
        match connect_unless_moved(&target, address, recorder.as_ref()).await {
            Some(Ok(stream)) => {
                let last_before = sequence.last();
                let error =
                    run_connection(&stream, &link, &events, &mut sequence, &target, address).await;
                link.queued_commands.borrow_mut().clear();
                let last = sequence.last();
                warn!(last, cause = %error, "the interpreter's link broke after notice {last}: {error}");
                if last > last_before {
                    delay = MIN_RECONNECT_DELAY;
                }
                let disconnected = InterpreterEvent::Disconnected.into();
                if events.send(disconnected).await.is_err() {
                    return;
                }
            }
            Some(Err(e)) => warn!(error = %e, "no link to the interpreter: {e}"),
            None => {}
        }
        if target.get() != address {
            delay = MIN_RECONNECT_DELAY;
            continue;
        }
        back_off(&target, address, delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Connects to the interpreter; `None` once its address has changed.
async fn connect_unless_moved(
    target: &PeerAddress,
    address: SocketAddr,
    recorder: Option<&Rc<RecorderHandle>>,
) -> Option<io::Result<Stream>> {
    let recorded = recorder.map(|recorder| (recorder, Leg::Interpreter));
    let connected = async { Some(connect(address, CONNECT_TIMEOUT, recorded).await) };
    let moved = async {
        target.changed(address).await;
        None
    };
    future::or(connected, moved).await
}

/// Waits for the delay, or less where the interpreter's address changes.
async fn back_off(target: &PeerAddress, address: SocketAddr, delay: Duration) {
    let elapsed = async {
        Timer::after(delay).await;
    };
    future::or(elapsed, target.changed(address)).await;
}

/// Carries one connection to its end and returns why it ended.
async fn run_connection<N: From<InterpreterEvent>>(
    stream: &Stream,
    link: &Link,
    events: &Sender<N>,
    sequence: &mut NoticeSequence,
    target: &PeerAddress,
    address: SocketAddr,
) -> LinkError {
    sequence.begin_connection();
    link.restart_queue(sequence.last());
    let exchange = future::or(
        read_notices(stream, events, sequence),
        write_commands(stream, link),
    );
    let moved = async {
        target.changed(address).await;
        LinkError::AddressChanged
    };
    future::or(exchange, moved).await
}

async fn write_commands(stream: &Stream, link: &Link) -> LinkError {
    match try_write_commands(stream, link).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

/// Writes commands as they are queued, until the connection fails.
async fn try_write_commands(mut stream: &Stream, link: &Link) -> Result<Infallible, LinkError> {
    let mut commands = Vec::new();
    loop {
        std::mem::swap(&mut commands, &mut *link.queued_commands.borrow_mut());
        if commands.len() > MAX_QUEUED_COMMAND_BYTES {
            return Err(LinkError::CommandBacklog(commands.len()));
        }
        if commands.is_empty() {
            link.command_queued.notified().await;
            continue;
        }
        stream.write_all(&commands).await?;
        commands.clear();
    }
}
