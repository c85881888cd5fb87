//! Events that the runner receives and actions that it returns.
//!
//! Connections and requests are identified by their indices in [`Plan::connections`] and [`Plan::requests`].
//!
//! [`Plan::connections`]: crate::plan::Plan::connections
//! [`Plan::requests`]: crate::plan::Plan::requests

use crate::Nanos;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The target refused the connection or did not answer.
    Refused,
    /// This process or machine has no file descriptors or ports left.
    Exhausted,
}

/// An event of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection was opened.
    Connected(usize),
    /// The connection could not be opened.
    ConnectFailed(usize, ConnectFailure),
    /// A final response was received.
    Response {
        /// The connection.
        connection: usize,
        /// HTTP status code.
        status: u16,
        /// Digest of the body.
        body_digest: u64,
        /// When the first byte was received.
        first_byte_at: Nanos,
        /// Whether this response is the last one on its connection.
        close: bool,
    },
    /// The peer closed the connection, or it broke.
    Closed(usize),
}

impl Event {
    /// Returns the connection that the event belongs to.
    pub fn connection(&self) -> usize {
        match *self {
            Event::Connected(connection)
            | Event::ConnectFailed(connection, _)
            | Event::Response { connection, .. }
            | Event::Closed(connection) => connection,
        }
    }
}

/// An action that the caller must execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open this connection.
    Connect(usize),
    /// Write this request to its connection.
    Send(usize),
    /// Close this connection.
    Close(usize),
}
