//! Outcomes of requests, and counts over a replay.

use crate::Nanos;
use serde::Serialize;

/// Why a request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotSentReason {
    /// Its connection could not be opened in time.
    Refused,
    /// No connection, file descriptor or port was available.
    Exhausted,
    /// Too many requests were in flight.
    #[serde(rename = "budget")]
    InFlightLimit,
    /// A response that it had to wait for was received too late.
    #[serde(rename = "waited")]
    PrecedingResponseLate,
}

impl NotSentReason {
    /// Returns the label of the reason. Reports print it, so it must not change.
    pub fn label(&self) -> &'static str {
        match self {
            NotSentReason::Refused => "Refused",
            NotSentReason::Exhausted => "Exhausted",
            NotSentReason::InFlightLimit => "Budget",
            NotSentReason::PrecedingResponseLate => "Waited",
        }
    }
}

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// It has neither been answered nor failed nor been skipped.
    Pending,
    /// It was answered with a final response.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Digest of the body.
        body_digest: u64,
        /// When the first byte of the response was received.
        first_byte_at: Nanos,
        /// When the last byte of the response was received.
        last_byte_at: Nanos,
    },
    /// Its connection ended before it was answered.
    ConnectionLost,
    /// No response was received in time.
    TimedOut,
    /// It was not sent.
    NotSent(NotSentReason),
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// When it was due, by the schedule or by the response that it waited for.
    pub intended_at: Nanos,
    /// When it was sent.
    pub sent_at: Option<Nanos>,
    /// Its state.
    pub state: RequestState,
}

/// Counts over a replay. The serialised names are part of the report format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Connections opened.
    pub connected: u64,
    /// Connections that could not be opened.
    #[serde(rename = "failed")]
    pub connect_failures: u64,
    /// Connections that ended with requests in flight.
    #[serde(rename = "broken")]
    pub connections_lost: u64,
    /// Idle connections closed to free capacity for others.
    #[serde(rename = "made_room")]
    pub idle_evictions: u64,
    /// Responses received while no request was in flight on their connection.
    #[serde(rename = "extra_answers")]
    pub unexpected_responses: u64,
    /// Largest number of requests in flight.
    #[serde(rename = "most_open")]
    pub peak_in_flight: usize,
    /// Largest number of simultaneous connections.
    #[serde(rename = "most_connections")]
    pub peak_connections: usize,
}
