//! The logic of traffic recording, without I/O and clocks.
//!
//! [`recorder`] encodes the bytes of connections as pcapng blocks, after [`redaction`] has overwritten bodies and
//! named header fields. [`rotation`] decides which file is written, which files are deleted and how recording resumes
//! after a disk error.
#![forbid(unsafe_code)]

pub mod recorder;
pub mod redaction;
pub mod rotation;

mod conversation;
