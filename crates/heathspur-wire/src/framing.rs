//! Determines where HTTP/1.1 messages end, for readers of recorded traffic and for clients. Supports
//! `Content-Length`, chunked bodies and bodies that extend to the end of the connection (RFC 9112, section 6).
//!
//! The server itself accepts only `Content-Length`; see [`crate::http`].

use crate::http::{has_close_option, parse_decimal, Error, Fields};
use std::ops::Range;

/// The longest line with a chunk's size and extensions, and the longest trailer section, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4096;
/// The most hexadecimal digits of a chunk size. Every size with this many digits, added to the position of its chunk,
/// fits into a `u64`.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How the length of a message's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// The body has this many bytes.
    Bytes(u64),
    /// The body is chunked and ends with its last chunk and trailers.
    Chunked,
    /// The body extends to the end of the connection.
    UntilClose,
}

/// The head of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The first line, without its line end.
    pub start_line: Range<usize>,
    /// The fields, including line ends.
    pub fields: Range<usize>,
    /// The end of the head, where the body begins.
    pub end: usize,
    /// The length of the body.
    pub length: Length,
    /// Whether the message is the last on its connection.
    pub close: bool,
}

/// The kind of a message, as far as it determines the length of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request. Without a stated length it has no body.
    Request,
    /// A response. Without a stated length its body, if it may have one, extends to the end of the connection.
    Response {
        /// The status.
        status: u16,
        /// Whether the method of the request was HEAD.
        to_head: bool,
    },
}

/// Parses the head at the front of `bytes` once it is complete. `limit` is the largest size of the head in bytes;
/// `kind` classifies the message by its first line.
///
/// # Errors
/// Returns an error if the head exceeds its limit, if `kind` rejects the first line, if a field is malformed, or if
/// the stated lengths contradict each other.
pub fn parse_head(
    bytes: &[u8],
    limit: usize,
    kind: impl FnOnce(&[u8]) -> Result<Kind, Error>,
) -> Result<Option<Head>, Error> {
    let within_limit = &bytes[..bytes.len().min(limit)];
    let Some(fields_end) = memchr::memmem::find(within_limit, HEAD_END) else {
        return if bytes.len() >= limit {
            Err(Error::HeadTooLarge)
        } else {
            Ok(None)
        };
    };
    let end = fields_end + HEAD_END.len();
    let line_end = memchr::memmem::find(&bytes[..end], LINE_END).ok_or(Error::Malformed)?;
    let kind = kind(&bytes[..line_end])?;
    let fields = line_end + LINE_END.len()..end - LINE_END.len();
    let length_fields = LengthFields::parse(Fields::over(&bytes[fields.clone()]), kind)?;
    let length = length_fields.body_length(kind)?;
    let close = has_close_option(Fields::over(&bytes[fields.clone()]));
    Ok(Some(Head {
        start_line: 0..line_end,
        fields,
        end,
        length,
        close,
    }))
}

/// The fields that determine the length of a body.
struct LengthFields {
    content_length: Option<u64>,
    chunked: bool,
}

impl LengthFields {
    fn parse(fields: Fields<'_>, kind: Kind) -> Result<LengthFields, Error> {
        let mut parsed = LengthFields {
            content_length: None,
            chunked: false,
        };
        for field in fields {
            let (name, value) = field?;
            if name.eq_ignore_ascii_case(b"content-length") {
                parsed.add_content_length(value)?;
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                parsed.chunked = is_chunked(value);
                if !parsed.chunked && kind == Kind::Request {
                    return Err(Error::UnsupportedTransferCoding);
                }
            }
        }
        Ok(parsed)
    }

    fn add_content_length(&mut self, value: &[u8]) -> Result<(), Error> {
        let length = parse_decimal(value).ok_or(Error::InvalidLength)?;
        let previous = self.content_length.replace(length);
        // A repeated field with the same length is harmless; different lengths allow request smuggling (RFC 9112,
        // section 6.3).
        if previous.is_some_and(|previous| previous != length) {
            return Err(Error::InvalidLength);
        }
        Ok(())
    }

    fn body_length(&self, kind: Kind) -> Result<Length, Error> {
        match kind {
            Kind::Response { to_head: true, .. }
            | Kind::Response {
                status: 100..=199 | 204 | 304,
                ..
            } => Ok(Length::Bytes(0)),
            _ if self.chunked && self.content_length.is_some() => Err(Error::InvalidLength),
            _ if self.chunked => Ok(Length::Chunked),
            Kind::Request => Ok(Length::Bytes(self.content_length.unwrap_or(0))),
            Kind::Response { .. } => Ok(self
                .content_length
                .map_or(Length::UntilClose, Length::Bytes)),
        }
    }
}

/// Returns whether the last transfer coding is `chunked`.
fn is_chunked(value: &[u8]) -> bool {
    let last = value
        .rsplit(|&byte| byte == b',')
        .next()
        .unwrap_or(value)
        .trim_ascii();
    last.eq_ignore_ascii_case(b"chunked")
}

/// An incremental scanner that finds the end of a chunked body without reading the chunks' data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunks {
    /// The position of the next chunk's line.
    next_chunk: usize,
    /// The start of the trailer section, once all chunks are read.
    trailers: Option<usize>,
}

impl Chunks {
    /// Creates a scanner for a body that begins at this position in the buffer.
    pub fn new(start: usize) -> Chunks {
        Chunks {
            next_chunk: start,
            trailers: None,
        }
    }

    /// Returns the end of the message once it is complete.
    ///
    /// # Errors
    /// Returns an error if a chunk size is invalid, or if a line or the trailer section exceeds its limit of 4 KiB.
    pub fn end(&mut self, bytes: &[u8]) -> Result<Option<usize>, Error> {
        loop {
            if let Some(start) = self.trailers {
                return trailers_end(bytes, start);
            }
            if !self.read_chunk(bytes)? {
                return Ok(None);
            }
        }
    }

    /// Skips one chunk, or the last chunk's line. Returns false if the line is not complete.
    fn read_chunk(&mut self, bytes: &[u8]) -> Result<bool, Error> {
        let Some(rest) = bytes.get(self.next_chunk..) else {
            return Ok(false);
        };
        let within_limit = &rest[..rest.len().min(MAX_CHUNK_LINE_BYTES)];
        let Some(line_length) = memchr::memmem::find(within_limit, LINE_END) else {
            return if rest.len() >= MAX_CHUNK_LINE_BYTES {
                Err(Error::InvalidLength)
            } else {
                Ok(false)
            };
        };
        let size = parse_chunk_size(&rest[..line_length]).ok_or(Error::InvalidLength)?;
        let data_start = self.next_chunk + line_length + LINE_END.len();
        if size == 0 {
            self.trailers = Some(data_start);
        } else {
            self.next_chunk = chunk_end(bytes, data_start, size)?;
        }
        Ok(true)
    }
}

/// Returns the end of a chunk, including the line end after its data.
fn chunk_end(bytes: &[u8], data_start: usize, size: u64) -> Result<usize, Error> {
    let data_end = data_start as u64 + size;
    let end = usize::try_from(data_end + LINE_END.len() as u64).map_err(|_| Error::BodyTooLarge)?;
    let terminator = bytes.get(data_end as usize..end);
    if terminator.is_some_and(|terminator| terminator != LINE_END) {
        return Err(Error::InvalidLength);
    }
    Ok(end)
}

fn trailers_end(bytes: &[u8], start: usize) -> Result<Option<usize>, Error> {
    let rest = &bytes[start..];
    if rest.starts_with(LINE_END) {
        return Ok(Some(start + LINE_END.len()));
    }
    let within_limit = &rest[..rest.len().min(MAX_CHUNK_LINE_BYTES)];
    match memchr::memmem::find(within_limit, HEAD_END) {
        Some(offset) => Ok(Some(start + offset + HEAD_END.len())),
        None if rest.len() >= MAX_CHUNK_LINE_BYTES => Err(Error::HeadTooLarge),
        None => Ok(None),
    }
}

/// Parses a chunk's size: hexadecimal digits before any extension.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|&byte| byte == b';').next()?.trim_ascii();
    let is_number = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_number {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
