//! The first line of a message.

use super::fields::{is_token, parse_decimal};
use super::Error;

const STATUS_DIGITS: usize = 3;

/// Parses the first line of a request into its method and target.
///
/// # Errors
/// Returns [`Error::Malformed`] if the line is not a method, a target and `HTTP/1.1`.
pub fn request_line(line: &[u8]) -> Result<(&[u8], &[u8]), Error> {
    let mut parts = line.split(|&byte| byte == b' ');
    match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(method), Some(target), Some(b"HTTP/1.1"), None)
            if is_token(method)
                && !target.is_empty()
                && target.iter().all(u8::is_ascii_graphic) =>
        {
            Ok((method, target))
        }
        _ => Err(Error::Malformed),
    }
}

/// Parses the first line of a response into its status.
///
/// # Errors
/// Returns [`Error::Malformed`] if the line does not begin with `HTTP/1.1` and a status of three digits.
pub fn status_line(line: &[u8]) -> Result<u16, Error> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").ok_or(Error::Malformed)?;
    let digits = rest.get(..STATUS_DIGITS).ok_or(Error::Malformed)?;
    let status = parse_decimal(digits).ok_or(Error::Malformed)?;
    match rest.get(STATUS_DIGITS) {
        None | Some(b' ') => Ok(status as u16),
        _ => Err(Error::Malformed),
    }
}
