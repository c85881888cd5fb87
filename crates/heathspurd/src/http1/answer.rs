//! The one final answer of each request, back to the connection it came on.

use crate::clock::within;
use crate::front::{Answer, Desk};
use crate::tape::Stream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use heathspur_wire::http::{self, Last};
use std::io;
use std::net::Shutdown;
use std::time::Duration;

/// What is turned away is read off for so long, and so far, before its connection is closed.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 16 << 20;
/// A peer that takes none of its answer for so long is left.
const SLOW: Duration = Duration::from_secs(10);

/// Writes an answer; an error means that the connection is of no more use.
pub(crate) async fn write(stream: &Stream, desk: &Desk, answer: &Answer, last: Last) -> io::Result<()> {
    let mut fields = free_value(desk);
    let (status, body) = match answer {
        Answer::Served(body) => (200, &body[..]),
        Answer::Refused { stay_away, last: give_up } => {
            if let Some(span) = stay_away {
                fields.push(("X-Throttle-Ms", span.0.div_ceil(1000) as f64));
            }
            if *give_up {
                fields.push(("X-Give-Up", 1.0));
            }
            (503, &b""[..])
        }
        Answer::Failed => (500, &b""[..]),
        Answer::GivenUp => (504, &b""[..]),
        Answer::Conflict => (409, &b""[..]),
        Answer::KeyReused => (422, &b""[..]),
    };
    let mut out = Vec::with_capacity(256 + body.len());
    http::write_answer(&mut out, status, &fields, last, body);
    put(stream, &out).await
}

/// Answers a health check.
pub(crate) async fn health(stream: &Stream, desk: &Desk, last: Last) -> io::Result<()> {
    let mut out = Vec::new();
    let status = if desk.good.get() { 200 } else { 503 };
    http::write_answer(&mut out, status, &free_value(desk), last, b"");
    put(stream, &out).await
}

/// The field that every answer and check carries once the value is set.
fn free_value(desk: &Desk) -> Vec<(&'static str, f64)> {
    desk.free_value.get().map(|value| ("X-Capacity", value)).into_iter().collect()
}

/// Answers what is no request that can be taken, and ends its connection.
pub(crate) async fn turn_away(stream: &Stream, status: u16) {
    let mut out = Vec::new();
    http::write_answer(&mut out, status, &[], Last::Yes, b"");
    // The connection ends either way.
    let _ = put(stream, &out).await;
    let _ = within(LINGER, linger(stream)).await;
}

/// Reads off what the other side still sends. Closing on unread bytes would reset the connection, and the
/// answer could be lost with it.
async fn linger(mut stream: &Stream) -> io::Result<()> {
    stream.get_ref().shutdown(Shutdown::Write)?;
    let (mut chunk, mut left) = (vec![0; 8 * 1024], LINGER_BYTES);
    while left > 0 {
        match stream.read(&mut chunk).await? {
            0 => break,
            n => left = left.saturating_sub(n),
        }
    }
    Ok(())
}

async fn put(mut stream: &Stream, out: &[u8]) -> io::Result<()> {
    within(SLOW, stream.write_all(out)).await
}
