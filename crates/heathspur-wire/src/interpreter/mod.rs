//! The interpreter's protocol: one JSON object per line, with bodies in base64.
//!
//! This module maps the protocol's names to the names used in the code.

mod command;
mod notice;

pub use command::{write_command, Command};
pub use notice::{parse_notice, Error, Notice, RejectedCommand, RunOutcome, Warmth};

/// The longest accepted line, in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Returns the end of the first line of `bytes` once it is complete.
pub fn line_end(bytes: &[u8]) -> Option<usize> {
    memchr::memchr(b'\n', bytes)
}
