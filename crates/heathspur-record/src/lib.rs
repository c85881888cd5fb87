//! Decisions of traffic recording, without I/O and clocks.
//!
//! [`recorder`] turns the bytes of connections into pcapng blocks, [`redaction`] overwrites bodies and named
//! header fields before that, and [`rotation`] decides which file is written, which files are deleted and how
//! recording resumes after a disk error.
#![forbid(unsafe_code)]

pub mod recorder;
pub mod redaction;
pub mod rotation;

mod conversation;
