//! The link to the interpreter: a single connection, which is re-established when it breaks. A new connection resumes
//! after the last notice that the event loop has received.
//!
//! [`run`] owns the connection and its reconnect backoff. The event loop queues commands on the [`Link`] and receives
//! [`InterpreterEvent`]s; it never waits for the connection.

mod link;
mod notice_sequence;
mod notices;

pub(crate) use link::Link;

use crate::frontend::AttemptId;
use crate::peers::connection::{connect, PeerAddress};
use crate::recording::recorded_stream::Stream;
use crate::recording::RecorderHandle;
use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::{future, AsyncWriteExt};
use heathspur_record::recorder::Leg;
use heathspur_wire::interpreter::{self as wire, RejectedCommand, RunOutcome, Warmth};
use notice_sequence::NoticeSequence;
use notices::read_notices;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// The shortest delay before a reconnection attempt. It doubles with each further attempt.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// The longest delay before a reconnection attempt.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Timeout of one connection attempt. The kernel retransmits a lost SYN one and three seconds after the first one, so
/// with a shorter timeout a listener that drops the first SYNs could never be reached.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of the commands that wait to be written, in bytes. Beyond it the connection is closed as broken.
const MAX_QUEUED_COMMAND_BYTES: usize = 8 << 20;

/// An event that the link reports to the event loop.
#[derive(Debug)]
pub(crate) enum InterpreterEvent {
    /// A connection is established. The interpreter was started `uptime_ms` milliseconds before.
    Connected { warmth: Warmth, uptime_ms: f64 },
    /// A run has ended. `body` is the result of a run that succeeded.
    RunEnded {
        attempt: AttemptId,
        outcome: RunOutcome,
        body: Bytes,
    },
    /// A run waits for the reply to a call. `index` is the number of the notice, which identifies the call.
    CallNeeded {
        attempt: AttemptId,
        index: u64,
        body: Bytes,
    },
    /// The reply to the gauge query with this nonce.
    Gauges { nonce: u64, readings: Vec<f64> },
    /// The interpreter rejected a command.
    CommandRejected {
        command: RejectedCommand,
        attempt: Option<AttemptId>,
    },
    /// Notices were missed, and the interpreter no longer retains them.
    NoticesLost,
    /// The connection has ended. No part of the commands after the one with the number `last_written` was written.
    Disconnected { last_written: u64 },
}

/// The reason why a connection to the interpreter ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the configured address of the interpreter changed")]
    AddressChanged,
    #[error("{0} bytes of commands are queued; the limit is {MAX_QUEUED_COMMAND_BYTES}")]
    CommandBacklog(usize),
    #[error("received a notice without a valid request id")]
    InvalidRequestId,
    #[error("received notice number {0}, which is out of sequence")]
    OutOfSequence(u64),
    #[error("received a line that is not a valid notice: {0}")]
    InvalidNotice(#[source] wire::Error),
    #[error("received a line longer than {} bytes", wire::MAX_LINE_BYTES)]
    LineTooLong,
    #[error("the event loop ended")]
    EventLoopEnded,
}

/// Keeps the link connected until the event loop ends. Reconnects when the interpreter's address changes.
pub(crate) async fn run<N: From<InterpreterEvent>>(
    peer_address: Rc<PeerAddress>,
    link: Rc<Link>,
    events: Sender<N>,
    recorder: Option<Rc<RecorderHandle>>,
) {
    let mut sequence = NoticeSequence::default();
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        let address = peer_address.get();
        match connect_unless_address_changes(&peer_address, address, recorder.as_ref()).await {
            Some(Ok(stream)) => {
                let last_before = sequence.last();
                let error = run_connection(
                    &stream,
                    &link,
                    &events,
                    &mut sequence,
                    &peer_address,
                    address,
                )
                .await;
                link.end_connection();
                let last = sequence.last();
                warn!(
                    last,
                    cause = %error,
                    "connection to the interpreter at {address} ended after notice {last}: {error}"
                );
                if last > last_before {
                    delay = MIN_RECONNECT_DELAY;
                }
                let last_written = link.last_written();
                let disconnected = InterpreterEvent::Disconnected { last_written };
                if events.send(disconnected.into()).await.is_err() {
                    return;
                }
            }
            Some(Err(e)) => {
                warn!(error = %e, "cannot connect to the interpreter at {address}: {e}")
            }
            None => {}
        }
        if peer_address.get() != address {
            delay = MIN_RECONNECT_DELAY;
            continue;
        }
        back_off(&peer_address, address, delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Connects to the interpreter. Returns `None` if its address changes first.
async fn connect_unless_address_changes(
    peer_address: &PeerAddress,
    address: SocketAddr,
    recorder: Option<&Rc<RecorderHandle>>,
) -> Option<io::Result<Stream>> {
    let recorder = recorder.map(|recorder| (recorder, Leg::Interpreter));
    let connected = async { Some(connect(address, CONNECT_TIMEOUT, recorder).await) };
    let address_changed = async {
        peer_address.changed(address).await;
        None
    };
    future::or(connected, address_changed).await
}

/// Waits until the delay has elapsed or the interpreter's address changes.
async fn back_off(peer_address: &PeerAddress, address: SocketAddr, delay: Duration) {
    let elapsed = async {
        Timer::after(delay).await;
    };
    future::or(elapsed, peer_address.changed(address)).await;
}

/// Exchanges commands and notices on a connection until it ends, and returns the reason.
async fn run_connection<N: From<InterpreterEvent>>(
    stream: &Stream,
    link: &Link,
    events: &Sender<N>,
    sequence: &mut NoticeSequence,
    peer_address: &PeerAddress,
    address: SocketAddr,
) -> LinkError {
    sequence.begin_connection();
    link.begin_connection(sequence.last());
    let exchange = future::or(
        read_notices(stream, events, sequence),
        write_commands(stream, link),
    );
    let address_changed = async {
        peer_address.changed(address).await;
        LinkError::AddressChanged
    };
    future::or(exchange, address_changed).await
}

/// Writes commands as they are queued, and returns the reason why that ended.
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
        let last_command = link.take_queued(&mut commands);
        if commands.len() > MAX_QUEUED_COMMAND_BYTES {
            return Err(LinkError::CommandBacklog(commands.len()));
        }
        if commands.is_empty() {
            link.command_queued().await;
            continue;
        }
        // If the first write fails, no part of these commands was written.
        let written = stream.write(&commands).await?;
        link.mark_written(last_command);
        stream.write_all(&commands[written..]).await?;
        commands.clear();
    }
}
