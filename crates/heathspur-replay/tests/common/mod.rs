//! Recorded requests for tests.
#![allow(dead_code)]

use bytes::Bytes;
use heathspur_replay::recording::{RecordedRequest, RecordedResponse};

/// Nanoseconds per millisecond.
pub const MS: u64 = 1_000_000;
/// Capture time at which recordings start, in Unix nanoseconds.
pub const START: u64 = 1_790_000_000_000_000_000;

/// Returns a request whose ingress time is 7 ms before its first byte. It has a response if there is a latency.
pub fn request(connection: u64, at_ms: u64, key: &str, latency_ms: Option<u64>) -> RecordedRequest {
    let ingress_ms = (START / MS + at_ms) as i64 - 7;
    let text = format!(
        "POST /svc/pay HTTP/1.1\r\nX-Txn: {:016x}\r\nX-Txn-Key: {key}\r\nX-Ingress-Time: {ingress_ms}\r\nContent-Length: 4\r\n\r\nbody",
        connection * 1000 + at_ms
    );
    let first_byte_at = START + at_ms * MS;
    let response = latency_ms.map(|ms| {
        let response_at = first_byte_at + ms * MS;
        RecordedResponse {
            status: 200,
            first_byte_at: response_at,
            last_byte_at: response_at,
            body_digest: 9,
        }
    });
    RecordedRequest {
        connection,
        first_byte_at,
        last_byte_at: first_byte_at,
        bytes: Bytes::from(text),
        response,
    }
}
