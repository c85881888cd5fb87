//! The incremental reader of messages.

use super::{parse_decimal, Error, Fields};
use std::ops::Range;

const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Limits on a message.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest head in bytes, including the empty line.
    pub head: usize,
    /// The largest body in bytes.
    pub body: usize,
}

/// The ranges of a complete message in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line, without its line end.
    pub start_line: Range<usize>,
    /// The fields, including line ends.
    pub fields: Range<usize>,
    /// The body, which ends the message.
    pub body: Range<usize>,
}

/// Reads one message after another from the front of a growing buffer.
///
/// The reader stores how many bytes it has searched, so that bytes that arrive one by one are searched once.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    /// The number of bytes at the front of the buffer that were searched for the end of the head.
    searched: usize,
    /// The message whose head is complete and whose body is not.
    pending: Option<Message>,
}

impl Reader {
    /// Creates a reader at the start of a message.
    pub fn new(limits: Limits) -> Reader {
        Reader {
            limits,
            searched: 0,
            pending: None,
        }
    }

    /// Returns the message at the front of `bytes` once it is complete. The next call then expects the bytes after
    /// this message's body.
    ///
    /// # Errors
    /// Returns an error if the head or the body exceeds its limit, if a field is malformed, if `Content-Length` is
    /// repeated or not a number, or if there is a `Transfer-Encoding`.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<Message>, Error> {
        if self.pending.is_none() {
            let Some(head_end) = self.find_head_end(bytes)? else {
                return Ok(None);
            };
            self.pending = Some(parse_head(bytes, head_end, self.limits)?);
        }
        let complete = self
            .pending
            .take_if(|message| bytes.len() >= message.body.end);
        if complete.is_some() {
            self.searched = 0;
        }
        Ok(complete)
    }

    /// Finds the end of the head, including its empty line.
    fn find_head_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, Error> {
        let within_limit = &bytes[..bytes.len().min(self.limits.head)];
        // The end of the head may begin in bytes that were searched before.
        let start = self
            .searched
            .saturating_sub(HEAD_END.len() - 1)
            .min(within_limit.len());
        let found = memchr::memmem::find(&within_limit[start..], HEAD_END);
        self.searched = within_limit.len();
        match found {
            Some(offset) => Ok(Some(start + offset + HEAD_END.len())),
            None if bytes.len() >= self.limits.head => Err(Error::HeadTooLarge),
            None => Ok(None),
        }
    }
}

fn parse_head(bytes: &[u8], head_end: usize, limits: Limits) -> Result<Message, Error> {
    let line_end = memchr::memmem::find(&bytes[..head_end], LINE_END).ok_or(Error::Malformed)?;
    let fields = line_end + LINE_END.len()..head_end - LINE_END.len();
    let length = content_length(Fields::over(&bytes[fields.clone()]))?;
    if length > limits.body as u64 {
        return Err(Error::BodyTooLarge);
    }
    Ok(Message {
        start_line: 0..line_end,
        fields,
        body: head_end..head_end + length as usize,
    })
}

/// Returns the length of the body; 0 if the field is missing.
fn content_length(fields: Fields<'_>) -> Result<u64, Error> {
    let mut length = None;
    for field in fields {
        let (name, value) = field?;
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = parse_decimal(value).ok_or(Error::InvalidLength)?;
            if length.replace(value).is_some() {
                return Err(Error::InvalidLength);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            return Err(Error::UnsupportedTransferCoding);
        }
    }
    Ok(length.unwrap_or(0))
}
