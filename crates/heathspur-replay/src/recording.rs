//! Recorded requests and their responses: the input of a plan.

use bytes::Bytes;

/// The response that a recorded request received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Capture time of the first byte, in Unix nanoseconds.
    pub first_byte_at: u64,
    /// Capture time of the last byte, in Unix nanoseconds.
    pub last_byte_at: u64,
    /// Digest of the body.
    pub body_digest: u64,
}

/// A request of a recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRequest {
    /// Number of its connection in the recording.
    pub connection: u64,
    /// Capture time of the first byte, in Unix nanoseconds.
    pub first_byte_at: u64,
    /// Capture time of the last byte, in Unix nanoseconds.
    pub last_byte_at: u64,
    /// Head and body as they were sent.
    pub bytes: Bytes,
    /// The response, if one was recorded.
    pub response: Option<RecordedResponse>,
}
