//! Recordings made up for tests.
#![allow(dead_code)]

use bytes::Bytes;
use heathspur_replay::plan::{Recorded, RecordedAnswer};

pub const MS: u64 = 1_000_000;
/// Capture times begin here.
pub const START: u64 = 1_790_000_000_000_000_000;

pub fn request(conn: u64, at_ms: u64, key: &str, answered_ms: Option<u64>) -> Recorded {
    let stamp = (START / MS + at_ms) as i64 - 7;
    let text = format!(
        "POST /svc/pay HTTP/1.1\r\nX-Txn: {:016x}\r\nX-Txn-Key: {key}\r\nX-Ingress-Time: {stamp}\r\nContent-Length: 4\r\n\r\nbody",
        conn * 1000 + at_ms
    );
    let first = START + at_ms * MS;
    let answer = answered_ms.map(|ms| {
        let at = first + ms * MS;
        RecordedAnswer {
            status: 200,
            first: at,
            last: at,
            digest: 9,
        }
    });
    Recorded {
        conn,
        first,
        last: first,
        bytes: Bytes::from(text),
        answer,
    }
}
