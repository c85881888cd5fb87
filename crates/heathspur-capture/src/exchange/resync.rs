//! Recognises the start of a message in arbitrary bytes.

use crate::Side;

/// The methods by which the start of a request is recognised.
const METHODS: [&[u8]; 7] = [
    b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"PATCH",
];
/// The start of a status line.
const RESPONSE_START: &[u8] = b"HTTP/1.1 ";
/// The end of a request line.
const REQUEST_LINE_END: &[u8] = b" HTTP/1.1\r\n";
/// The number of digits of a status code.
const STATUS_LEN: usize = 3;

/// Returns the position of the first message of a side that can be recognised.
pub(super) fn find_message_start(bytes: &[u8], side: Side) -> Option<usize> {
    match side {
        Side::Client => find_request(bytes),
        Side::Server => find_response(bytes),
    }
}

/// Searches for a known method, a path and the version.
fn find_request(bytes: &[u8]) -> Option<usize> {
    memchr::memmem::find_iter(bytes, REQUEST_LINE_END).find_map(|target_end| {
        let target_start = bytes[..target_end]
            .iter()
            .rposition(|b| !b.is_ascii_graphic())?
            + 1;
        if !bytes[target_start..target_end].starts_with(b"/") {
            return None;
        }
        let before_target = bytes[..target_start].strip_suffix(b" ")?;
        let method = METHODS
            .iter()
            .find(|method| before_target.ends_with(method))?;
        Some(before_target.len() - method.len())
    })
}

/// Searches for the version and a status code.
fn find_response(bytes: &[u8]) -> Option<usize> {
    memchr::memmem::find_iter(bytes, RESPONSE_START).find(|&start| {
        let status_start = start + RESPONSE_START.len();
        let status_end = status_start + STATUS_LEN;
        let status = bytes.get(status_start..status_end);
        status.is_some_and(|digits| digits.iter().all(u8::is_ascii_digit))
            && matches!(bytes.get(status_end), Some(b' ' | b'\r'))
    })
}
