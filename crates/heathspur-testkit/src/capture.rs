//! Captures made up: conversations of two sides, packet by packet; and what reading one gives.

use heathspur_capture::exchange::{Found, Message};
use heathspur_capture::write::{self, TcpConversation};
use heathspur_capture::{ConnId, Item, Options, Pipeline, Side, Stamp, Tally};
use std::net::SocketAddr;

pub const NANOS_PER_MS: u64 = 1_000_000;
/// When captures of tests begin.
pub const CAPTURE_START_NANOS: u64 = 1_790_000_000_000_000_000;

pub fn client_address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 7], port))
}

pub fn server_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 6565))
}

/// A packet and when it was captured, in nanoseconds from [`START`].
pub type TimedPacket = (u64, Vec<u8>);

/// A conversation, its packets in the order in which they were sent, a millisecond apart.
pub struct CaptureBuilder {
    pub conversation: TcpConversation,
    pub packets: Vec<TimedPacket>,
    pub elapsed_nanos: u64,
}

impl CaptureBuilder {
    pub fn new(port: u16) -> CaptureBuilder {
        CaptureBuilder {
            conversation: TcpConversation::new(
                client_address(port),
                server_address(),
                [u32::MAX - 700, 90],
            ),
            packets: Vec::new(),
            elapsed_nanos: 0,
        }
    }

    pub fn open(port: u16) -> CaptureBuilder {
        let mut script = CaptureBuilder::new(port);
        for packet in script.conversation.open() {
            script.push_packet(packet);
        }
        script
    }

    pub fn push_packet(&mut self, packet: Vec<u8>) {
        self.elapsed_nanos += NANOS_PER_MS;
        self.packets.push((self.elapsed_nanos, packet));
    }

    /// A side's bytes in segments of that length.
    pub fn send(&mut self, side: Side, bytes: &[u8], segment: usize) {
        for part in bytes.chunks(segment) {
            for packet in self.conversation.send(side, part) {
                self.push_packet(packet);
            }
        }
    }

    pub fn close(&mut self) {
        for side in [Side::Client, Side::Server] {
            if let Some(packet) = self.conversation.finish(side) {
                self.push_packet(packet);
            }
        }
    }
}

/// A file of whole packets.
pub fn pcap_file(packets: &[TimedPacket]) -> Vec<u8> {
    let mut out = write::pcap_header(write::RAW_IP, 0);
    for (at, packet) in packets {
        out.extend(write::pcap_record(
            Stamp(CAPTURE_START_NANOS + at),
            packet,
            packet.len() as u32,
        ));
    }
    out
}

#[derive(Default)]
pub struct ParsedCapture {
    pub requests: Vec<(ConnId, u64, Message)>,
    pub responses: Vec<(ConnId, Option<u64>, Message)>,
    pub skipped: Vec<Found>,
    pub connections: Vec<Item>,
    pub tally: Tally,
    pub max_buffered_bytes: usize,
}

impl ParsedCapture {
    pub fn request_bodies(&self) -> Vec<Vec<u8>> {
        self.requests
            .iter()
            .map(|(_, _, message)| message.body().to_vec())
            .collect()
    }
}

pub fn parse_capture(file: &[u8], options: Options, piece: usize) -> ParsedCapture {
    let mut pipeline = Pipeline::new(options);
    let mut read = ParsedCapture::default();
    let take = |read: &mut ParsedCapture, item: Item| match item {
        Item::Message(Found::Request {
            conn,
            index,
            message,
        }) => read.requests.push((conn, index, message)),
        Item::Message(Found::Answer { conn, to, message }) => {
            read.responses.push((conn, to, message))
        }
        Item::Message(passed) => read.skipped.push(passed),
        Item::Connection(event) => read.connections.push(Item::Connection(event)),
    };
    for part in file.chunks(piece.max(1)) {
        if !pipeline.feed(part, |item| take(&mut read, item)) {
            break;
        }
        read.max_buffered_bytes = read.max_buffered_bytes.max(pipeline.buffered_bytes());
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

pub fn response(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
