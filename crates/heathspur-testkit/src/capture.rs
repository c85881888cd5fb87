//! Captures made up: conversations of two sides, packet by packet; and what reading one gives.

use heathspur_capture::exchange::{Found, Message};
use heathspur_capture::write::{self, TcpConversation};
use heathspur_capture::{ConnectionId, Item, Options, Pipeline, Side, Stamp, Tally};
use std::net::SocketAddr;

pub const MS: u64 = 1_000_000;
/// When captures of tests begin.
pub const START: u64 = 1_790_000_000_000_000_000;

pub fn client(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 7], port))
}

pub fn server() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 6565))
}

/// A packet and when it was captured, in nanoseconds from [`START`].
pub type Timed = (u64, Vec<u8>);

/// A conversation, its packets in the order in which they were sent, a millisecond apart.
pub struct Script {
    pub talk: TcpConversation,
    pub packets: Vec<Timed>,
    pub now: u64,
}

impl Script {
    pub fn new(port: u16) -> Script {
        Script {
            talk: TcpConversation::new(client(port), server(), [u32::MAX - 700, 90]),
            packets: Vec::new(),
            now: 0,
        }
    }

    pub fn open(port: u16) -> Script {
        let mut script = Script::new(port);
        for packet in script.talk.open() {
            script.put(packet);
        }
        script
    }

    pub fn put(&mut self, packet: Vec<u8>) {
        self.now += MS;
        self.packets.push((self.now, packet));
    }

    /// A side's bytes in segments of that length.
    pub fn say(&mut self, side: Side, bytes: &[u8], segment: usize) {
        for part in bytes.chunks(segment) {
            for packet in self.talk.send(side, part) {
                self.put(packet);
            }
        }
    }

    pub fn close(&mut self) {
        for side in [Side::Client, Side::Server] {
            if let Some(packet) = self.talk.finish(side) {
                self.put(packet);
            }
        }
    }
}

/// A file of whole packets.
pub fn pcap(packets: &[Timed]) -> Vec<u8> {
    let mut out = write::pcap_header(write::RAW_IP, 0);
    for (at, packet) in packets {
        out.extend(write::pcap_record(
            Stamp(START + at),
            packet,
            packet.len() as u32,
        ));
    }
    out
}

#[derive(Default)]
pub struct Read {
    pub requests: Vec<(ConnectionId, u64, Message)>,
    pub answers: Vec<(ConnectionId, Option<u64>, Message)>,
    pub passed: Vec<Found>,
    pub connections: Vec<Item>,
    pub tally: Tally,
    pub most_held: usize,
}

impl Read {
    pub fn bodies(&self) -> Vec<Vec<u8>> {
        self.requests
            .iter()
            .map(|(_, _, message)| message.body().to_vec())
            .collect()
    }
}

pub fn read(file: &[u8], options: Options, piece: usize) -> Read {
    let mut pipeline = Pipeline::new(options);
    let mut read = Read::default();
    let take = |read: &mut Read, item: Item| match item {
        Item::Message(Found::Request {
            conn,
            index,
            message,
        }) => read.requests.push((conn, index, message)),
        Item::Message(Found::Response { conn, to, message }) => {
            read.answers.push((conn, to, message))
        }
        Item::Message(passed) => read.passed.push(passed),
        Item::Connection(event) => read.connections.push(Item::Connection(event)),
    };
    for part in file.chunks(piece.max(1)) {
        if !pipeline.feed(part, |item| take(&mut read, item)) {
            break;
        }
        read.most_held = read.most_held.max(pipeline.buffered_bytes());
    }
    pipeline.finish(|item| take(&mut read, item));
    read.tally = pipeline.tally();
    read
}

pub fn request(number: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /svc/pay HTTP/1.1\r\nX-Txn: {number:016x}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

pub fn answer(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
