//! Errors that stop the adapter.

use std::io;

/// The reason for which the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A line violates the protocol.
    #[error("line {number}: {source}")]
    Line {
        /// The line's number, from 1.
        number: u64,
        /// The violation.
        source: LineError,
    },
    /// The input ended inside a batch.
    #[error("line {number}: input ended inside a batch")]
    TruncatedBatch {
        /// The number of the last line.
        number: u64,
    },
}

/// A violation of the protocol by one line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not a message of the protocol.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A batch begins before the previous one has ended.
    #[error("a batch begins inside another")]
    NestedBatch,
    /// A message is not part of a batch.
    #[error("a message outside a batch")]
    OutsideBatch,
    /// The settings do not contain the request's class.
    #[error("class {0:?} is not in the settings")]
    UnknownClass(String),
    /// The settings do not contain the request's tenant.
    #[error("tenant {0:?} is not in the settings")]
    UnknownTenant(String),
    /// The protocol does not define the outcome code of a run or call.
    #[error("outcome code {0} is not in the protocol")]
    UnknownOutcome(u64),
    /// The token of a timer is not an unsigned integer.
    #[error("timer token {0:?} is not an unsigned integer")]
    InvalidToken(String),
}
