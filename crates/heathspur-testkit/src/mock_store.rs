//! The scripted store.

use crate::loopback::accept;
use crate::server_fixture::ServerFixture;
use std::io::{Read, Write};
use std::net::TcpStream;

/// The store's end of a connection.
pub struct MockStore(TcpStream);

impl MockStore {
    /// The other side closes with nothing more to say.
    pub fn assert_closed(&mut self) {
        assert_eq!(self.0.read(&mut [0]).unwrap(), 0);
    }

    /// A good reply to a request's call.
    pub fn send_ok(&mut self, txn: u64, body: &str) {
        self.send(format!("{txn:016x} OK {}\r\n{body}\r\n", body.len()).as_bytes());
    }

    pub fn accept(rig: &ServerFixture) -> MockStore {
        MockStore(accept(&rig.store_listener))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    fn line(&mut self) -> String {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).unwrap();
            line.push(byte[0]);
        }
        String::from_utf8(line).unwrap().trim_end().to_string()
    }

    /// The next call: its id and body.
    pub fn read_call(&mut self) -> (String, Vec<u8>) {
        let line = self.line();
        let words: Vec<_> = line.split(' ').collect();
        assert_eq!(words[0], "CALL", "{line}");
        assert!(words[2].parse::<u64>().unwrap() > 0);
        let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
        self.0.read_exact(&mut body).unwrap();
        assert!(body.ends_with(b"\r\n"));
        body.truncate(body.len() - 2);
        (words[1].to_string(), body)
    }
}
