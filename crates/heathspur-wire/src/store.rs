//! The store's link: lines that end in CR LF, with bodies of a told length.

use std::fmt;
use std::ops::Range;

/// The longest line, and the longest reply, that are taken.
pub const LINE: usize = 256;
/// The longest reply that is taken.
pub const REPLY: usize = 64 * 1024;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It went well.
    Ok,
    /// Turned away: it never ran.
    Busy,
    /// It failed and may have had its effect.
    Failed,
    /// It ran out of time, or its run has ended; it may have had its effect.
    Late,
    /// No run waits for it: it never ran.
    Void,
}

/// A reply at the front of the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Where the request's id stands.
    pub id: Range<usize>,
    /// What became of the call.
    pub word: Word,
    /// Where the reply's body stands; empty for all but [`Word::Ok`].
    pub body: Range<usize>,
    /// Where the next reply starts.
    pub end: usize,
}

/// Why bytes are no reply; nothing after them can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Nonsense;

impl fmt::Display for Nonsense {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a reply line")
    }
}

impl std::error::Error for Nonsense {}

/// The reply at the front of `bytes`, once it is whole.
pub fn read(bytes: &[u8]) -> Result<Option<Reply>, Nonsense> {
    let window = &bytes[..bytes.len().min(LINE)];
    let Some(end) = memchr::memmem::find(window, b"\r\n") else {
        return if bytes.len() >= LINE {
            Err(Nonsense)
        } else {
            Ok(None)
        };
    };
    let mut words = bytes[..end].split(|&b| b == b' ');
    let (id, word) = (words.next().unwrap_or(b""), words.next().unwrap_or(b""));
    let (length, more) = (words.next(), words.next());
    if id.is_empty() || more.is_some() {
        return Err(Nonsense);
    }
    let word = match (word, length) {
        (b"OK", Some(_)) => Word::Ok,
        (b"BUSY", None) => Word::Busy,
        (b"ERR", None) => Word::Failed,
        (b"LATE", None) => Word::Late,
        (b"VOID", None) => Word::Void,
        _ => return Err(Nonsense),
    };
    let from = end + 2;
    let Some(length) = length else {
        return Ok(Some(Reply {
            id: 0..id.len(),
            word,
            body: from..from,
            end: from,
        }));
    };
    let length = crate::http::number(length)
        .filter(|&n| n <= REPLY as u64)
        .ok_or(Nonsense)? as usize;
    let body = from..from + length;
    match bytes.get(body.end..body.end + 2) {
        Some(b"\r\n") => Ok(Some(Reply {
            id: 0..id.len(),
            word,
            end: body.end + 2,
            body,
        })),
        Some(_) => Err(Nonsense),
        None => Ok(None),
    }
}

/// Appends a call that may take so many milliseconds.
pub fn write_call(out: &mut Vec<u8>, id: &str, limit_ms: u64, body: &[u8]) {
    out.extend_from_slice(format!("CALL {id} {limit_ms} {}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

/// Appends that a call is given up.
pub fn write_drop(out: &mut Vec<u8>, id: &str) {
    out.extend_from_slice(format!("DROP {id}\r\n").as_bytes());
}
