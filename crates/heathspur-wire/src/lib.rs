//! Parsers and writers without I/O for the server's protocols: HTTP/1.1, the interpreter's messages and the store's
//! lines.
//!
//! A parser takes the bytes read so far and returns the message at their front once it is complete. Parsers do not
//! copy the bytes: a message is a set of ranges in the caller's buffer. No input makes a parser panic, and each parser
//! bounds the number of bytes it waits for. Writers append to the caller's buffer.
#![forbid(unsafe_code)]

pub mod framing;
pub mod http;
pub mod interpreter;
pub mod store;
