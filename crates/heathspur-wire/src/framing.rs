//! Where HTTP/1.1 messages end, for those who read what others exchanged: told lengths, chunked bodies and
//! bodies that last to the end of the connection (RFC 9112, section 6).
//!
//! The server itself takes told lengths only; see [`crate::http`].

use crate::http::{number, says_close, Fault, Fields};
use std::ops::Range;

/// The longest line of a chunk's size with its extensions, and of all trailers, in bytes.
const CHUNK_LINE: usize = 4096;

/// What the length of a message's body goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// So many bytes.
    Bytes(u64),
    /// Chunks.
    Chunked,
    /// All up to the end of the connection.
    UntilClose,
}

/// The head of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The first line, without its end.
    pub first: Range<usize>,
    /// The fields, line ends included.
    pub fields: Range<usize>,
    /// Where the body begins.
    pub end: usize,
    /// What its length goes by.
    pub length: Length,
    /// Whether the message is the last on its connection.
    pub close: bool,
}

/// What a message is, as far as that tells the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request: no body unless it says so.
    Request,
    /// An answer of this status, to a HEAD or not: a body to the end of the connection unless it says
    /// otherwise or can have none.
    Answer {
        /// Its status.
        status: u16,
        /// Whether the request was a HEAD.
        to_head: bool,
    },
}

/// The head at the front of `bytes` once it is whole. `limit` bounds it, in bytes; `kind` is asked for the
/// first line.
///
/// # Errors
/// A head past its bound, a first line that `kind` can't take, fields that are none, lengths that contradict
/// each other.
pub fn head(
    bytes: &[u8],
    limit: usize,
    kind: impl FnOnce(&[u8]) -> Result<Kind, Fault>,
) -> Result<Option<Head>, Fault> {
    let within = &bytes[..bytes.len().min(limit)];
    let Some(at) = memchr::memmem::find(within, b"\r\n\r\n") else {
        return if bytes.len() >= limit {
            Err(Fault::HeadTooLarge)
        } else {
            Ok(None)
        };
    };
    let end = at + 4;
    let line = memchr::memmem::find(&bytes[..end], b"\r\n").ok_or(Fault::Malformed)?;
    let kind = kind(&bytes[..line])?;
    let fields = line + 2..end - 2;
    let (mut told, mut chunked) = (None, false);
    for field in Fields::over(&bytes[fields.clone()]) {
        let (name, value) = field?;
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = number(value).ok_or(Fault::BadLength)?;
            // The same length twice is a copy; two lengths are a way to smuggle (RFC 9112, section 6.3).
            if told.replace(value).is_some_and(|before| before != value) {
                return Err(Fault::BadLength);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let last = value
                .rsplit(|&b| b == b',')
                .next()
                .unwrap_or(value)
                .trim_ascii();
            chunked = last.eq_ignore_ascii_case(b"chunked");
            if !chunked && kind == Kind::Request {
                return Err(Fault::Coded);
            }
        }
    }
    let length = match kind {
        Kind::Answer { to_head: true, .. }
        | Kind::Answer {
            status: 100..=199 | 204 | 304,
            ..
        } => Length::Bytes(0),
        _ if chunked && told.is_some() => return Err(Fault::BadLength),
        _ if chunked => Length::Chunked,
        Kind::Request => Length::Bytes(told.unwrap_or(0)),
        Kind::Answer { .. } => told.map_or(Length::UntilClose, Length::Bytes),
    };
    let close = says_close(Fields::over(&bytes[fields.clone()]));
    Ok(Some(Head {
        first: 0..line,
        fields,
        end,
        length,
        close,
    }))
}

/// Looks for the end of a chunked body that comes in pieces, without looking at any byte of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunks {
    at: usize,
    trailers: Option<usize>,
}

impl Chunks {
    /// A body that begins at this place of the buffer.
    pub fn new(at: usize) -> Chunks {
        Chunks { at, trailers: None }
    }

    /// Where the message ends, once that is there.
    ///
    /// # Errors
    /// A size that is none, or a line or trailers past their bound of 4 KiB.
    pub fn end(&mut self, bytes: &[u8]) -> Result<Option<usize>, Fault> {
        while self.trailers.is_none() {
            let Some(rest) = bytes.get(self.at..) else {
                return Ok(None);
            };
            let Some(line) = memchr::memmem::find(&rest[..rest.len().min(CHUNK_LINE)], b"\r\n")
            else {
                return if rest.len() >= CHUNK_LINE {
                    Err(Fault::BadLength)
                } else {
                    Ok(None)
                };
            };
            let size = size(&rest[..line]).ok_or(Fault::BadLength)?;
            if size == 0 {
                self.trailers = Some(self.at + line + 2);
            } else {
                let end = self.at as u64 + line as u64 + 2 + size;
                let after = usize::try_from(end + 2).map_err(|_| Fault::BodyTooLarge)?;
                if bytes
                    .get(end as usize..after)
                    .is_some_and(|end| end != b"\r\n")
                {
                    return Err(Fault::BadLength);
                }
                self.at = after;
            }
        }
        let Some(from) = self.trailers else {
            return Ok(None);
        };
        let rest = &bytes[from..];
        if rest.starts_with(b"\r\n") {
            return Ok(Some(from + 2));
        }
        match memchr::memmem::find(&rest[..rest.len().min(CHUNK_LINE)], b"\r\n\r\n") {
            Some(at) => Ok(Some(from + at + 4)),
            None if rest.len() >= CHUNK_LINE => Err(Fault::HeadTooLarge),
            None => Ok(None),
        }
    }
}

/// A chunk's size: hexadecimal digits before any extension.
fn size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|&b| b == b';').next()?.trim_ascii();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
