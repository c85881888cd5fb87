//! A mock store, the dependency that requests call, driven by a test call by call.

use crate::loopback::accept;
use crate::server_fixture::ServerFixture;
use std::io::{Read, Write};
use std::net::TcpStream;

/// The store's end of a connection from the server.
pub struct MockStore(TcpStream);

impl MockStore {
    /// Checks that the server closes the connection without sending anything more.
    ///
    /// # Panics
    ///
    /// Panics if the server sends more bytes or keeps the connection open past the read timeout.
    pub fn assert_closed(&mut self) {
        let count = self
            .0
            .read(&mut [0])
            .expect("read the end of the store connection");
        assert_eq!(count, 0, "the store connection carries more bytes");
    }

    /// Sends a successful reply to the call of a request.
    pub fn send_ok(&mut self, txn: u64, body: &str) {
        self.send(format!("{txn:016x} OK {}\r\n{body}\r\n", body.len()).as_bytes());
    }

    /// Accepts the server's next connection to the store.
    ///
    /// # Panics
    ///
    /// Panics if none arrives within [`EVENT_TIMEOUT`](crate::loopback::EVENT_TIMEOUT).
    pub fn accept(fixture: &ServerFixture) -> MockStore {
        MockStore(accept(&fixture.store_listener))
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0
            .write_all(bytes)
            .expect("write to the store connection");
    }

    fn read_line(&mut self) -> String {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            self.0
                .read_exact(&mut byte)
                .expect("read a line from the store connection");
            line.push(byte[0]);
        }
        let line = String::from_utf8(line).expect("the server's line is UTF-8");
        line.trim_end().to_string()
    }

    /// Reads the next call and returns its id and body.
    ///
    /// # Panics
    ///
    /// Panics on anything but a well-formed call with a positive timeout.
    pub fn read_call(&mut self) -> (String, Vec<u8>) {
        let line = self.read_line();
        let words: Vec<_> = line.split(' ').collect();
        assert_eq!(words[0], "CALL", "{line}");
        let timeout_ms: u64 = words[2]
            .parse()
            .unwrap_or_else(|e| panic!("parse the timeout of `{line}`: {e}"));
        assert!(timeout_ms > 0, "{line}");
        let length: usize = words[3]
            .parse()
            .unwrap_or_else(|e| panic!("parse the body length of `{line}`: {e}"));
        let mut body = vec![0; length + 2];
        self.0
            .read_exact(&mut body)
            .expect("read the body of a call");
        assert!(body.ends_with(b"\r\n"), "the body of `{line}` has no CRLF");
        body.truncate(body.len() - 2);
        (words[1].to_string(), body)
    }
}
