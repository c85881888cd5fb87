//! An HTTP/1.1 client that sends bytes unchanged, and a function that builds requests for it.

use crate::loopback::EVENT_TIMEOUT;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{SystemTime, UNIX_EPOCH};

/// A client connection, such as a load balancer's.
pub struct Http1Client(pub(crate) BufReader<TcpStream>);

/// Header fields by lower-case name.
pub type Fields = BTreeMap<String, String>;

impl Http1Client {
    /// Connects to a server, with [`EVENT_TIMEOUT`] as the read timeout.
    ///
    /// # Panics
    ///
    /// Panics if the connection fails.
    pub fn connect(address: SocketAddr) -> Http1Client {
        let stream = TcpStream::connect(address)
            .unwrap_or_else(|e| panic!("connect to the server at {address}: {e}"));
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("set the read timeout of the client connection");
        stream
            .set_nodelay(true)
            .expect("set TCP_NODELAY on the client connection");
        Http1Client(BufReader::new(stream))
    }

    /// Sends bytes as they are.
    ///
    /// # Panics
    ///
    /// Panics if the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0
            .get_mut()
            .write_all(bytes)
            .expect("write to the client connection");
    }

    /// Reads the next message and returns its first line, header fields and body; `None` if the connection ends
    /// before it.
    ///
    /// # Panics
    ///
    /// Panics if the message is incomplete.
    pub fn read_message(&mut self) -> Option<(String, Fields, Vec<u8>)> {
        let (mut first, mut fields) = (String::new(), Fields::new());
        self.0.read_line(&mut first).ok().filter(|n| *n > 0)?;
        loop {
            let mut line = String::new();
            self.0
                .read_line(&mut line)
                .expect("read a header line of a message");
            match line.trim_end().split_once(": ") {
                Some((name, value)) => fields.insert(name.to_ascii_lowercase(), value.to_string()),
                None => break,
            };
        }
        let length = fields.get("content-length").map_or(0, |n| {
            n.parse()
                .unwrap_or_else(|e| panic!("parse Content-Length `{n}`: {e}"))
        });
        let mut body = vec![0; length];
        self.0
            .read_exact(&mut body)
            .expect("read the body of a message");
        Some((first.trim_end().to_string(), fields, body))
    }

    /// Reads the next response and returns its status, header fields and body.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends first or the response is malformed.
    pub fn read_response(&mut self) -> (u16, Fields, Vec<u8>) {
        let (first, fields, body) = self
            .read_message()
            .expect("the connection ended before the response");
        let status = first
            .strip_prefix("HTTP/1.1 ")
            .unwrap_or_else(|| panic!("not a status line: `{first}`"))[..3]
            .parse()
            .unwrap_or_else(|e| panic!("parse the status of `{first}`: {e}"));
        (status, fields, body)
    }

    /// Peeks at the bytes that have arrived without removing them, and returns their number; 0 once the server
    /// has shut down its side.
    pub fn peek(&mut self, bytes: &mut [u8]) -> usize {
        self.0
            .get_mut()
            .peek(bytes)
            .expect("peek at the client connection")
    }

    /// Checks that the server closes the connection without sending anything more.
    ///
    /// # Panics
    ///
    /// Panics if the server sends more bytes or keeps the connection open past the read timeout.
    pub fn assert_closed(&mut self) {
        let mut rest = Vec::new();
        let count = self
            .0
            .read_to_end(&mut rest)
            .expect("read the end of the client connection");
        assert_eq!(count, 0, "{rest:?}");
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is past the Unix epoch")
        .as_millis()
}

/// Returns the bytes of a request to the class `look`, or to `pay` with an idempotency key.
pub fn request(txn: u64, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let class = if key.is_some() { "pay" } else { "look" };
    let mut text =
        format!("POST /svc/{class} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {txn:016x}\r\n");
    text += &format!(
        "X-Ingress-Time: {}\r\nX-Router: 4\r\nX-Merchant: north\r\n",
        unix_ms()
    );
    if let Some(key) = key {
        text += &format!("X-Txn-Key: {key}\r\n");
    }
    text += &format!(
        "X-Working-Set-Kb: 24.5\r\nX-Shed-Order: 0.6250\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [text.as_bytes(), body].concat()
}
