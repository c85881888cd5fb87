//! Errors that stop the adapter.

use std::io;

/// Why the adapter stopped.
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

/// How a line violates the protocol.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not a message of the protocol.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A batch begins before the end of another.
    #[error("a batch begins inside another")]
    NestedBatch,
    /// A message stands outside any batch.
    #[error("a message outside a batch")]
    OutsideBatch,
    /// The request's class has no settings.
    #[error("class {0:?} is not in the settings")]
    UnknownClass(String),
    /// The request's tenant has no settings.
    #[error("tenant {0:?} is not in the settings")]
    UnknownTenant(String),
    /// The outcome of a run or call is not one of the protocol's.
    #[error("outcome code {0} is not in the protocol")]
    UnknownOutcome(u64),
    /// The token of a timer is not a number.
    #[error("timer token {0:?} is not a number")]
    InvalidToken(String),
}
