//! State of one connection of a replay.

use crate::event::ConnectFailure;
use crate::outcome::NotSentReason;
use crate::Nanos;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Sort key of idle connections: the time of the next request, latest first, and the index.
pub(crate) type IdleKey = (Reverse<Nanos>, usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Disconnected,
    Connecting,
    Connected,
    BackingOff,
}

#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub(crate) state: ConnectionState,
    /// Connect failures since the last successful connect.
    pub(crate) failures: u32,
    pub(crate) last_failure: ConnectFailure,
    /// Position of the next request among those of this connection.
    pub(crate) next_request: usize,
    /// Requests sent and not answered, oldest first.
    pub(crate) in_flight: VecDeque<usize>,
    pub(crate) last_response_at: Option<Nanos>,
    /// When the connection is checked next. Timers that expire at other times are ignored.
    pub(crate) next_check_at: Option<Nanos>,
    /// Key of the connection in the runner's set of idle connections, if it is in that set.
    pub(crate) idle_key: Option<IdleKey>,
}

impl Connection {
    /// Creates a disconnected connection that is first checked at `open_at`.
    pub(crate) fn new(open_at: Nanos) -> Connection {
        Connection {
            state: ConnectionState::Disconnected,
            failures: 0,
            last_failure: ConnectFailure::Refused,
            next_request: 0,
            in_flight: VecDeque::new(),
            last_response_at: None,
            next_check_at: Some(open_at),
            idle_key: None,
        }
    }

    /// Returns why an overdue request could not be sent.
    pub(crate) fn not_sent_reason(&self) -> NotSentReason {
        match self.last_failure {
            ConnectFailure::Exhausted => NotSentReason::Exhausted,
            ConnectFailure::Refused => NotSentReason::Refused,
        }
    }
}
