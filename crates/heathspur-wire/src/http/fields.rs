//! Header fields and their values.

use super::Error;

/// The most digits of a decimal number. Every number with this many digits fits into a `u64`.
const MAX_DIGITS: usize = 18;
/// The control character DEL.
const DELETE: u8 = 127;

/// An iterator over the names and values of a head's fields. A malformed line yields an error.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Creates an iterator over the bytes of [`Message::fields`](super::Message::fields).
    pub fn over(bytes: &'a [u8]) -> Fields<'a> {
        Fields { rest: bytes }
    }
}

impl<'a> Iterator for Fields<'a> {
    type Item = Result<(&'a [u8], &'a [u8]), Error>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        let end = memchr::memmem::find(self.rest, b"\r\n").unwrap_or(self.rest.len());
        let line = &self.rest[..end];
        self.rest = self.rest.get(end + 2..).unwrap_or(&[]);
        Some(parse_field(line).ok_or(Error::Malformed))
    }
}

fn parse_field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = memchr::memchr(b':', line)?;
    let name = &line[..colon];
    let value = line[colon + 1..].trim_ascii();
    let is_valid = is_token(name) && value.iter().copied().all(is_field_byte);
    is_valid.then_some((name, value))
}

fn is_field_byte(byte: u8) -> bool {
    byte == b'\t' || byte >= b' ' && byte != DELETE
}

/// Returns whether the bytes are a token, as methods and field names are (RFC 9110, section 5.6.2).
pub(super) fn is_token(bytes: &[u8]) -> bool {
    !bytes.is_empty()
        && bytes
            .iter()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte))
}

/// Parses a number of 1 to 18 decimal digits, without sign or white space.
pub fn parse_decimal(digits: &[u8]) -> Option<u64> {
    let is_number =
        !digits.is_empty() && digits.len() <= MAX_DIGITS && digits.iter().all(u8::is_ascii_digit);
    is_number.then(|| {
        digits
            .iter()
            .fold(0, |number, digit| number * 10 + u64::from(digit - b'0'))
    })
}

/// Returns whether the fields contain the connection option `close`, which marks the last message on its connection.
pub fn has_close_option(fields: Fields<'_>) -> bool {
    fields.filter_map(Result::ok).any(|(name, value)| {
        name.eq_ignore_ascii_case(b"connection")
            && value
                .split(|&byte| byte == b',')
                .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
    })
}
