//! Packet captures for tests: conversations of a client and a server, built packet by packet, and the contents that
//! parsing a capture yields.

use heathspur_capture::exchange::{Found, Message};
use heathspur_capture::write::{self, TcpConversation};
use heathspur_capture::{ConnectionId, Item, Options, Pipeline, Side, Tally, Timestamp};
use std::net::SocketAddr;

/// Nanoseconds in a millisecond.
pub const NANOS_PER_MS: u64 = 1_000_000;
/// When captures begin, in nanoseconds since the Unix epoch.
pub const CAPTURE_START_NANOS: u64 = 1_790_000_000_000_000_000;

/// Returns the address of the client with this port.
pub fn client_address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 7], port))
}

/// Returns the address of the server.
pub fn server_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 6565))
}

/// When a packet was captured, in nanoseconds from [`CAPTURE_START_NANOS`], and the packet.
pub type TimedPacket = (u64, Vec<u8>);

/// Builds the packets of one conversation in the order in which they are sent, a millisecond apart.
pub struct CaptureBuilder {
    /// The TCP conversation that makes the packets.
    pub conversation: TcpConversation,
    /// The packets so far.
    pub packets: Vec<TimedPacket>,
    /// When the last packet was captured, in nanoseconds from [`CAPTURE_START_NANOS`].
    pub elapsed_nanos: u64,
}

impl CaptureBuilder {
    /// Returns a builder for a conversation of the client with this port, without packets. The client's sequence
    /// numbers wrap around after about 700 bytes.
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

    /// Returns a builder for a conversation that begins with the TCP handshake.
    pub fn open(port: u16) -> CaptureBuilder {
        let mut builder = CaptureBuilder::new(port);
        for packet in builder.conversation.open() {
            builder.push_packet(packet);
        }
        builder
    }

    /// Adds a packet, a millisecond after the last.
    pub fn push_packet(&mut self, packet: Vec<u8>) {
        self.elapsed_nanos += NANOS_PER_MS;
        self.packets.push((self.elapsed_nanos, packet));
    }

    /// Adds the packets of bytes that one side sends, in segments of at most `segment_len` bytes.
    pub fn send(&mut self, side: Side, bytes: &[u8], segment_len: usize) {
        for segment in bytes.chunks(segment_len) {
            for packet in self.conversation.send(side, segment) {
                self.push_packet(packet);
            }
        }
    }

    /// Adds the packets with which both sides close the connection.
    pub fn close(&mut self) {
        for side in [Side::Client, Side::Server] {
            if let Some(packet) = self.conversation.finish(side) {
                self.push_packet(packet);
            }
        }
    }
}

/// Returns a pcap file of the packets, each captured in full.
pub fn pcap_file(packets: &[TimedPacket]) -> Vec<u8> {
    let mut file = write::pcap_header(write::RAW_IP, 0);
    for (at, packet) in packets {
        file.extend(write::pcap_record(
            Timestamp(CAPTURE_START_NANOS + at),
            packet,
            packet.len() as u32,
        ));
    }
    file
}

/// The contents of a parsed capture.
#[derive(Default)]
pub struct ParsedCapture {
    /// Requests with their connections and their indices there.
    pub requests: Vec<(ConnectionId, u64, Message)>,
    /// Final responses with their connections and the indices of their requests, where known.
    pub responses: Vec<(ConnectionId, Option<u64>, Message)>,
    /// Bytes that belong to no complete message.
    pub skipped: Vec<Found>,
    /// Connection events.
    pub connections: Vec<Item>,
    /// The pipeline's counts at the end.
    pub tally: Tally,
    /// The largest number of bytes that the pipeline buffered after any chunk of the file.
    pub max_buffered_bytes: usize,
}

impl ParsedCapture {
    /// Returns the bodies of the requests.
    pub fn request_bodies(&self) -> Vec<Vec<u8>> {
        self.requests
            .iter()
            .map(|(_, _, message)| message.body().to_vec())
            .collect()
    }
}

/// Parses a capture file that is fed to the pipeline in chunks of `chunk_len` bytes.
pub fn parse_capture(file: &[u8], options: Options, chunk_len: usize) -> ParsedCapture {
    let mut pipeline = Pipeline::new(options);
    let mut capture = ParsedCapture::default();
    let record = |capture: &mut ParsedCapture, item: Item| match item {
        Item::Message(Found::Request {
            connection,
            index,
            message,
        }) => capture.requests.push((connection, index, message)),
        Item::Message(Found::Response {
            connection,
            request_index,
            message,
        }) => capture.responses.push((connection, request_index, message)),
        Item::Message(skipped) => capture.skipped.push(skipped),
        Item::Connection(event) => capture.connections.push(Item::Connection(event)),
    };
    for chunk in file.chunks(chunk_len.max(1)) {
        if !pipeline.feed(chunk, |item| record(&mut capture, item)) {
            break;
        }
        capture.max_buffered_bytes = capture.max_buffered_bytes.max(pipeline.buffered_bytes());
    }
    pipeline.finish(|item| record(&mut capture, item));
    capture.tally = pipeline.tally();
    capture
}

/// Returns a request to the class `pay` whose `X-Txn` is `number`.
pub fn request(number: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /svc/pay HTTP/1.1\r\nX-Txn: {number:016x}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns a response with this status, the reason phrase `OK` and this body.
pub fn response(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} OK\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
