//! Outcome of each request, and counts over a whole replay.

use crate::Nanos;

/// Why a request never left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unsent {
    /// Its connection could not be made in time.
    Refused,
    /// Nothing to connect with was left.
    Exhausted,
    /// Too many requests were open.
    Budget,
    /// An answer that it had to wait for came too late.
    Waited,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Not yet.
    Open,
    /// Answered.
    Answered {
        /// The status.
        status: u16,
        /// A digest of the body.
        digest: u64,
        /// When the first byte of the answer came.
        first: Nanos,
        /// When its last did.
        last: Nanos,
    },
    /// Its connection ended under it.
    Broken,
    /// No answer came for too long.
    TimedOut,
    /// It never left.
    Unsent(Unsent),
}

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// When it was to leave: by the schedule, or by the answer that it waited for.
    pub intended: Nanos,
    /// When it left.
    pub sent: Option<Nanos>,
    /// How it ended.
    pub end: End,
}

/// Counts over the whole replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Connections made.
    pub connected: u64,
    /// Connections that could not be made.
    pub failed: u64,
    /// Connections that ended with requests open.
    pub broken: u64,
    /// Idle connections closed to make room.
    pub made_room: u64,
    /// Answers to nothing.
    pub extra_answers: u64,
    /// The most requests open at once.
    pub most_open: usize,
    /// The most connections at once.
    pub most_connections: usize,
}
