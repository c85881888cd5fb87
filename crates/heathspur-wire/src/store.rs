//! The store's protocol: lines that end in CR LF. A line that states a length is followed by a body of that length.

use crate::http::parse_decimal;
use std::ops::Range;

/// The longest accepted line of a reply, in bytes.
pub const MAX_LINE_BYTES: usize = 256;
/// The longest accepted body of a reply, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
const LINE_END: &[u8] = b"\r\n";

/// The status of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// The call succeeded.
    Ok,
    /// The call was rejected and did not run.
    Rejected,
    /// The call failed, and may have had its effect.
    Failed,
    /// The call timed out or its run has ended; it may have had its effect.
    TimedOut,
    /// No run waits for the call: it did not run.
    NoRun,
}

/// A reply at the front of the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The range of the request's identifier.
    pub request_id: Range<usize>,
    /// The status of the call.
    pub status: CallStatus,
    /// The range of the body; empty unless the status is [`CallStatus::Ok`].
    pub body: Range<usize>,
    /// The start of the next reply.
    pub end: usize,
}

/// An error for bytes that are not a reply. The start of the next reply is then unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a reply line")]
pub struct Error;

/// The first line of a reply.
struct ReplyLine {
    request_id: Range<usize>,
    status: CallStatus,
    /// The length of the body, if replies with this status have one.
    body_length: Option<usize>,
}

/// Parses the reply at the front of `bytes` once it is complete.
///
/// # Errors
/// Returns an error if the line is longer than [`MAX_LINE_BYTES`] or is not a reply, if the body is longer than
/// [`MAX_BODY_BYTES`], or if no line end follows the body.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<Reply>, Error> {
    let within_limit = &bytes[..bytes.len().min(MAX_LINE_BYTES)];
    let Some(line_length) = memchr::memmem::find(within_limit, LINE_END) else {
        return if bytes.len() >= MAX_LINE_BYTES {
            Err(Error)
        } else {
            Ok(None)
        };
    };
    let line = parse_line(&bytes[..line_length])?;
    let body_start = line_length + LINE_END.len();
    let Some(body_length) = line.body_length else {
        return Ok(Some(Reply {
            request_id: line.request_id,
            status: line.status,
            body: body_start..body_start,
            end: body_start,
        }));
    };
    let body = body_start..body_start + body_length;
    let end = body.end + LINE_END.len();
    match bytes.get(body.end..end) {
        Some(LINE_END) => Ok(Some(Reply {
            request_id: line.request_id,
            status: line.status,
            body,
            end,
        })),
        Some(_) => Err(Error),
        None => Ok(None),
    }
}

fn parse_line(line: &[u8]) -> Result<ReplyLine, Error> {
    let mut parts = line.split(|&byte| byte == b' ');
    let request_id = parts.next().unwrap_or(b"");
    let status = parts.next().unwrap_or(b"");
    let (length, excess) = (parts.next(), parts.next());
    if request_id.is_empty() || excess.is_some() {
        return Err(Error);
    }
    let status = match (status, length) {
        (b"OK", Some(_)) => CallStatus::Ok,
        (b"BUSY", None) => CallStatus::Rejected,
        (b"ERR", None) => CallStatus::Failed,
        (b"LATE", None) => CallStatus::TimedOut,
        (b"VOID", None) => CallStatus::NoRun,
        _ => return Err(Error),
    };
    Ok(ReplyLine {
        request_id: 0..request_id.len(),
        status,
        body_length: length.map(parse_body_length).transpose()?,
    })
}

fn parse_body_length(digits: &[u8]) -> Result<usize, Error> {
    let length = parse_decimal(digits).ok_or(Error)?;
    if length > MAX_BODY_BYTES as u64 {
        return Err(Error);
    }
    Ok(length as usize)
}

/// Appends a call with this body and a timeout in milliseconds.
pub fn write_call(out: &mut Vec<u8>, request_id: &str, timeout_ms: u64, body: &[u8]) {
    let length = body.len();
    out.extend_from_slice(format!("CALL {request_id} {timeout_ms} {length}\r\n").as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(LINE_END);
}

/// Appends the cancellation of a call.
pub fn write_cancel(out: &mut Vec<u8>, request_id: &str) {
    out.extend_from_slice(format!("DROP {request_id}\r\n").as_bytes());
}
