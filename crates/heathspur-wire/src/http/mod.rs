//! HTTP/1.1 with bodies of a told length: requests read and answered, calls written and their answers read.

use std::fmt;
use std::ops::Range;

/// Bounds on a message.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of its head at most, the empty line included.
    pub head: usize,
    /// Bytes of its body at most.
    pub body: usize,
}

/// Why bytes are no message that can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Not HTTP/1.1.
    Malformed,
    /// The head passes its bound.
    HeadTooLarge,
    /// The body passes its bound.
    BodyTooLarge,
    /// `Content-Length` is no number or stands there twice.
    BadLength,
    /// A transfer coding, none of which is taken.
    Coded,
}

impl Fault {
    /// The status that says so.
    pub fn status(self) -> u16 {
        match self {
            Fault::Malformed | Fault::BadLength | Fault::Coded => 400,
            Fault::BodyTooLarge => 413,
            Fault::HeadTooLarge => 431,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Malformed => "not HTTP/1.1",
            Fault::HeadTooLarge => "head too large",
            Fault::BodyTooLarge => "body too large",
            Fault::BadLength => "bad Content-Length",
            Fault::Coded => "transfer coding not taken",
        })
    }
}

impl std::error::Error for Fault {}

/// Where the parts of a whole message stand in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line, without its end.
    pub first: Range<usize>,
    /// The fields, line ends included.
    pub fields: Range<usize>,
    /// The body; the message ends with it.
    pub body: Range<usize>,
}

/// Finds one message after another at the front of a buffer that grows.
///
/// It remembers how far it has looked, so bytes that come one by one are not scanned again and again.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    seen: usize,
    message: Option<Message>,
}

impl Reader {
    /// A reader that has seen nothing yet.
    pub fn new(limits: Limits) -> Reader {
        Reader {
            limits,
            seen: 0,
            message: None,
        }
    }

    /// The message at the front of `bytes`, once it is whole; the reader is then ready for the next, which
    /// starts where that message's body ends.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<Message>, Fault> {
        if self.message.is_none() {
            let Some(head) = self.head_end(bytes)? else {
                return Ok(None);
            };
            self.message = Some(parse(bytes, head, self.limits)?);
        }
        match self.message.take_if(|m| bytes.len() >= m.body.end) {
            Some(message) => {
                self.seen = 0;
                Ok(Some(message))
            }
            None => Ok(None),
        }
    }

    /// Where the head ends, its empty line included.
    fn head_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, Fault> {
        let from = self.seen.saturating_sub(3).min(bytes.len());
        let within = &bytes[..bytes.len().min(self.limits.head)];
        let found = memchr::memmem::find(&within[from.min(within.len())..], b"\r\n\r\n");
        self.seen = within.len();
        match found {
            Some(at) => Ok(Some(from + at + 4)),
            None if bytes.len() >= self.limits.head => Err(Fault::HeadTooLarge),
            None => Ok(None),
        }
    }
}

fn parse(bytes: &[u8], head: usize, limits: Limits) -> Result<Message, Fault> {
    let line = memchr::memmem::find(&bytes[..head], b"\r\n").ok_or(Fault::Malformed)?;
    let fields = line + 2..head - 2;
    let mut length = None;
    for field in Fields::over(&bytes[fields.clone()]) {
        let (name, value) = field?;
        if name.eq_ignore_ascii_case(b"content-length") {
            let number = number(value).ok_or(Fault::BadLength)?;
            if length.replace(number).is_some() {
                return Err(Fault::BadLength);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            return Err(Fault::Coded);
        }
    }
    let length = length.unwrap_or(0);
    if length > limits.body as u64 {
        return Err(Fault::BodyTooLarge);
    }
    Ok(Message {
        first: 0..line,
        fields,
        body: head..head + length as usize,
    })
}

/// Decimal digits and nothing else.
pub fn number(text: &[u8]) -> Option<u64> {
    if text.is_empty() || text.len() > 18 || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    Some(text.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0')))
}

/// The fields of a head, one after another; a line that is none is a fault.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Over the bytes of [`Message::fields`].
    pub fn over(rest: &'a [u8]) -> Fields<'a> {
        Fields { rest }
    }
}

impl<'a> Iterator for Fields<'a> {
    type Item = Result<(&'a [u8], &'a [u8]), Fault>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        let end = memchr::memmem::find(self.rest, b"\r\n").unwrap_or(self.rest.len());
        let line = &self.rest[..end];
        self.rest = self.rest.get(end + 2..).unwrap_or(&[]);
        let field = memchr::memchr(b':', line)
            .map(|colon| (&line[..colon], line[colon + 1..].trim_ascii()));
        Some(match field {
            Some((name, value))
                if token(name) && value.iter().all(|&b| b == b'\t' || b >= b' ' && b != 127) =>
            {
                Ok((name, value))
            }
            _ => Err(Fault::Malformed),
        })
    }
}

/// The characters of a method or a field's name.
fn token(name: &[u8]) -> bool {
    !name.is_empty()
        && name
            .iter()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b))
}

/// Method and target of a request's first line.
pub fn request_line(line: &[u8]) -> Result<(&[u8], &[u8]), Fault> {
    let mut words = line.split(|&b| b == b' ');
    match (words.next(), words.next(), words.next(), words.next()) {
        (Some(method), Some(target), Some(b"HTTP/1.1"), None)
            if token(method) && !target.is_empty() && target.iter().all(u8::is_ascii_graphic) =>
        {
            Ok((method, target))
        }
        _ => Err(Fault::Malformed),
    }
}

/// The status of an answer's first line.
pub fn status_line(line: &[u8]) -> Result<u16, Fault> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").ok_or(Fault::Malformed)?;
    let code = number(rest.get(..3).ok_or(Fault::Malformed)?).ok_or(Fault::Malformed)?;
    match rest.get(3) {
        None | Some(b' ') => Ok(code as u16),
        _ => Err(Fault::Malformed),
    }
}

/// Whether the message that carries these fields is the last on its connection.
pub fn says_close(fields: Fields<'_>) -> bool {
    fields.filter_map(Result::ok).any(|(name, value)| {
        name.eq_ignore_ascii_case(b"connection")
            && value
                .split(|&b| b == b',')
                .any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
    })
}

/// Appends an answer. Each field is a name and a number; a body without bytes is told as such.
pub fn write_answer(
    out: &mut Vec<u8>,
    status: u16,
    fields: &[(&str, f64)],
    last: Last,
    body: &[u8],
) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    for (name, value) in fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if last == Last::Yes {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

/// Appends a call to another service.
pub fn write_call(out: &mut Vec<u8>, method: &str, target: &str, host: &str, body: &[u8]) {
    let length = body.len();
    let head =
        format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Whether an answer is the last on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Last {
    /// The connection stays open.
    No,
    /// `Connection: close`.
    Yes,
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
