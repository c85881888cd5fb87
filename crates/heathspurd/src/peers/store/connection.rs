//! A connection to the store, which carries one call at a time.

use crate::frontend::AttemptId;
use crate::peers::connection::{connect, is_idle, ReadBuffer};
use crate::peers::store::Call;
use crate::recording::recorded_stream::Stream;
use crate::recording::RecorderHandle;
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use heathspur::Outcome;
use heathspur_record::recorder::Leg;
use heathspur_wire::store::{self as wire, CallStatus};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an idle connection may be reused. The store may close or silently drop one that is idle for longer.
const REUSE_WINDOW: Duration = Duration::from_millis(250);

/// The reason why a call received no reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("received an invalid reply: {0}")]
    InvalidReply(#[from] wire::Error),
}

/// The reply to a call.
pub(super) struct Reply {
    pub outcome: Outcome,
    pub body: Bytes,
    /// Whether another call may use the connection, because nothing but this reply arrived on it.
    pub connection_reusable: bool,
}

/// The last call that a connection carried.
struct LastCall {
    attempt: AttemptId,
    ended: Instant,
}

/// An open connection to the store.
pub(super) struct Connection {
    stream: Stream,
    buffer: ReadBuffer,
    address: SocketAddr,
    last_call: Option<LastCall>,
}

impl Connection {
    /// Connects to the store, or fails after `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        recorder: Option<&Rc<RecorderHandle>>,
    ) -> io::Result<Connection> {
        let recorder = recorder.map(|recorder| (recorder, Leg::Store));
        Ok(Connection {
            stream: connect(address, timeout, recorder).await?,
            buffer: ReadBuffer::new(),
            address,
            last_call: None,
        })
    }

    /// Returns the store's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection may carry a call of this attempt to this address. Two calls of one attempt never
    /// follow each other on a connection: replies carry the attempt id, so a late duplicate of the first reply could not
    /// be distinguished from the second one.
    pub fn can_carry(&self, attempt: AttemptId, address: SocketAddr) -> bool {
        self.address == address
            && self
                .last_call
                .as_ref()
                .is_some_and(|last| last.attempt != attempt)
            && self.is_recent()
            && is_idle(&self.stream)
    }

    /// Returns whether the last call ended within the reuse window.
    pub fn is_recent(&self) -> bool {
        self.last_call
            .as_ref()
            .is_some_and(|last| last.ended.elapsed() < REUSE_WINDOW)
    }

    /// Records that a call of this attempt has just ended.
    pub fn record_call_end(&mut self, attempt: AttemptId) {
        let ended = Instant::now();
        self.last_call = Some(LastCall { attempt, ended });
    }

    /// Sends a call, with `time_left` as the timeout for the store, and reads the reply.
    pub async fn exchange(
        &mut self,
        call: &Call,
        time_left: Duration,
    ) -> Result<Reply, ExchangeError> {
        let attempt = call.attempt.as_str();
        let mut request = Vec::new();
        let time_left_ms = (time_left.as_millis() as u64).max(1);
        wire::write_call(&mut request, attempt, time_left_ms, &call.body);
        (&self.stream).write_all(&request).await?;
        let mut received_other_reply = false;
        loop {
            let reply = self
                .buffer
                .read_message::<_, ExchangeError>(&self.stream, |bytes| {
                    Ok(wire::parse_reply(bytes)?)
                })
                .await?;
            let bytes = self.buffer.bytes();
            let is_for_this_call = bytes[reply.request_id] == *attempt.as_bytes();
            let body = Bytes::copy_from_slice(&bytes[reply.body]);
            self.buffer.consume(reply.end);
            if is_for_this_call {
                return Ok(Reply {
                    outcome: outcome(reply.status),
                    body,
                    connection_reusable: !received_other_reply && self.buffer.bytes().is_empty(),
                });
            }
            // A reply to another call is skipped, but the connection is not reused: more such replies may follow.
            received_other_reply = true;
        }
    }
}

/// Converts the status of a reply into the outcome of the call.
fn outcome(status: CallStatus) -> Outcome {
    match status {
        CallStatus::Ok => Outcome::Ok,
        CallStatus::Rejected => Outcome::Rejected,
        CallStatus::Failed => Outcome::Error,
        CallStatus::TimedOut => Outcome::Timeout,
        CallStatus::NoRun => Outcome::NoLongerNeeded,
    }
}
