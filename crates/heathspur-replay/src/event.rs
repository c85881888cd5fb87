//! Events that the runner receives and actions that it returns.

use crate::Nanos;

/// Why a connection could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target refused, or did not answer.
    Refused,
    /// This process or machine has no descriptors or ports left.
    Exhausted,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection is made.
    Connected(usize),
    /// It can't be.
    Failed(usize, Failure),
    /// A final answer came on a connection.
    Answer {
        /// The connection.
        lane: usize,
        /// The answer's status.
        status: u16,
        /// A digest of its body.
        digest: u64,
        /// When its first byte came.
        first: Nanos,
        /// Whether it is the last there.
        close: bool,
    },
    /// The other side closed a connection, or it broke.
    Closed(usize),
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this connection.
    Connect(usize),
    /// Write this request, by its place in [`Plan::sends`], to its connection.
    Send(usize),
    /// Close this connection.
    Close(usize),
}
