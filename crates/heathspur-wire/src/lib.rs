//! The server's wires without any I/O: HTTP/1.1, the interpreter's messages and the store's lines.
//!
//! Parsers are fed the bytes read so far and say whether a whole message stands at their front. They keep
//! no copy: a message is a range of the caller's buffer. No bytes make them panic, and each has a bound on
//! what it waits for. Writers append to a buffer of the caller's.
#![forbid(unsafe_code)]

pub mod framing;
pub mod http;
pub mod interpreter;
pub mod store;
