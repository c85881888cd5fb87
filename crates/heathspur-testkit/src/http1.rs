//! A caller over HTTP/1.1, and requests for it.

use crate::loopback::EVENT_TIMEOUT;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{SystemTime, UNIX_EPOCH};

/// A balancer's connection.
pub struct Http1Client(pub(crate) BufReader<TcpStream>);

pub type Fields = BTreeMap<String, String>;

impl Http1Client {
    pub fn connect(address: SocketAddr) -> Http1Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Http1Client(BufReader::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    pub fn read_message(&mut self) -> Option<(String, Fields, Vec<u8>)> {
        let (mut first, mut fields) = (String::new(), Fields::new());
        self.0.read_line(&mut first).ok().filter(|n| *n > 0)?;
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).unwrap();
            match line.trim_end().split_once(": ") {
                Some((name, value)) => fields.insert(name.to_ascii_lowercase(), value.to_string()),
                None => break,
            };
        }
        let length = fields
            .get("content-length")
            .map_or(0, |n| n.parse().unwrap());
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        Some((first.trim_end().to_string(), fields, body))
    }

    /// Status, fields and body of the next answer.
    pub fn read_response(&mut self) -> (u16, Fields, Vec<u8>) {
        let (first, fields, body) = self.read_message().expect("an answer");
        let status = first.strip_prefix("HTTP/1.1 ").unwrap()[..3]
            .parse()
            .unwrap();
        (status, fields, body)
    }

    /// Bytes that are there without taking them; none once the other side has shut its own.
    pub fn peek(&mut self, bytes: &mut [u8]) -> usize {
        self.0.get_mut().peek(bytes).unwrap()
    }

    /// The other side closes with nothing more to say.
    pub fn assert_closed(&mut self) {
        let mut rest = Vec::new();
        assert_eq!(self.0.read_to_end(&mut rest).unwrap(), 0, "{rest:?}");
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// A request to `look`, or to `pay` where it has a key.
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
