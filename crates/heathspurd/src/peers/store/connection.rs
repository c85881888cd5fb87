//! One connection to the store, which carries one call at a time.

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

/// How long an idle connection may be reused: the other side may close or drop one that stays idle for longer.
const REUSE_WINDOW: Duration = Duration::from_millis(250);

/// Why a call got no reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    InvalidReply(#[from] wire::Error),
}

/// The reply to a call.
pub(super) struct Reply {
    pub outcome: Outcome,
    pub body: Bytes,
    /// Nothing but this reply arrived on the connection, so another call may use it.
    pub connection_reusable: bool,
}

/// The call that a connection carried last.
struct LastCall {
    attempt: AttemptId,
    ended: Instant,
}

pub(super) struct Connection {
    stream: Stream,
    buffer: ReadBuffer,
    address: SocketAddr,
    last_call: Option<LastCall>,
}

impl Connection {
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        recorder: Option<&Rc<RecorderHandle>>,
    ) -> io::Result<Connection> {
        let recorded = recorder.map(|recorder| (recorder, Leg::Store));
        Ok(Connection {
            stream: connect(address, limit, recorded).await?,
            buffer: ReadBuffer::new(),
            address,
            last_call: None,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it may carry a call of this attempt to this address. A late copy of the last reply bears the same
    /// attempt id, so the same attempt does not reuse it.
    pub fn can_carry(&self, attempt: AttemptId, address: SocketAddr) -> bool {
        self.address == address
            && self
                .last_call
                .as_ref()
                .is_some_and(|last| last.attempt != attempt)
            && self.is_recent()
            && is_idle(&self.stream)
    }

    /// Whether its last call ended within the reuse window.
    pub fn is_recent(&self) -> bool {
        self.last_call
            .as_ref()
            .is_some_and(|last| last.ended.elapsed() < REUSE_WINDOW)
    }

    /// Notes that a call of this attempt has ended now.
    pub fn call_ended(&mut self, attempt: AttemptId) {
        let ended = Instant::now();
        self.last_call = Some(LastCall { attempt, ended });
    }

    /// Sends a call with the time left to it, and reads the reply.
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
        let mut foreign_reply = false;
        loop {
            let reply = self
                .buffer
                .read_message::<_, ExchangeError>(&self.stream, |bytes| {
                    Ok(wire::parse_reply(bytes)?)
                })
                .await?;
            let bytes = self.buffer.bytes();
            let is_ours = bytes[reply.request_id] == *attempt.as_bytes();
            let body = Bytes::copy_from_slice(&bytes[reply.body]);
            self.buffer.consume(reply.end);
            if is_ours {
                return Ok(Reply {
                    outcome: outcome(reply.status),
                    body,
                    connection_reusable: !foreign_reply && self.buffer.bytes().is_empty(),
                });
            }
            // A reply to another call does not answer this one, but the connection can no longer be trusted.
            foreign_reply = true;
        }
    }
}

/// The outcome that a reply's word stands for.
fn outcome(word: CallStatus) -> Outcome {
    match word {
        CallStatus::Ok => Outcome::Ok,
        CallStatus::Rejected => Outcome::Rejected,
        CallStatus::Failed => Outcome::Error,
        CallStatus::TimedOut => Outcome::Timeout,
        CallStatus::NoRun => Outcome::NoLongerNeeded,
    }
}
