//! An HTTP/2 client that works frame by frame, so that a test can break the protocol as well as follow it.

use crate::http1::{unix_ms, Fields};
use crate::loopback::EVENT_TIMEOUT;
use fluke_hpack::{Decoder, Encoder};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The connection preface.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Frame type DATA.
pub const DATA: u8 = 0;
/// Frame type HEADERS.
pub const HEADERS: u8 = 1;
/// Frame type PRIORITY.
pub const PRIORITY: u8 = 2;
/// Frame type RST_STREAM.
pub const RST_STREAM: u8 = 3;
/// Frame type SETTINGS.
pub const SETTINGS: u8 = 4;
/// Frame type PING.
pub const PING: u8 = 6;
/// Frame type GOAWAY.
pub const GOAWAY: u8 = 7;
/// Frame type WINDOW_UPDATE.
pub const WINDOW_UPDATE: u8 = 8;
/// Frame type CONTINUATION.
pub const CONTINUATION: u8 = 9;

/// Flag of DATA and HEADERS: the last frame of the stream's sender.
pub const END_STREAM: u8 = 1;
/// Flag of SETTINGS and PING: an acknowledgement.
pub const ACK: u8 = 1;
/// Flag of HEADERS and CONTINUATION: the end of the header block.
pub const END_HEADERS: u8 = 4;

/// Error code of a graceful shutdown.
pub const NO_ERROR: u32 = 0;
/// Error code of a stream that was refused before any processing.
pub const REFUSED_STREAM: u32 = 7;
/// Error code of a cancelled stream.
pub const CANCEL: u32 = 8;
/// Error code for excessive load by the peer.
pub const ENHANCE_YOUR_CALM: u32 = 11;

/// Identifier of the setting for the initial window size of streams.
pub const SETTINGS_INITIAL_WINDOW_SIZE: u16 = 4;

/// A frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The frame type.
    pub kind: u8,
    /// The flags.
    pub flags: u8,
    /// The stream identifier; 0 for the connection.
    pub stream: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    /// A complete response: status, header fields and body.
    Response(u16, Fields, Vec<u8>),
    /// RST_STREAM with this error code.
    Reset(u32),
    /// The connection ended before the stream.
    ConnectionClosed,
}

/// Returns the bytes of a frame.
pub fn encode_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let [_, a, b, c] = (payload.len() as u32).to_be_bytes();
    let [d, e, f, g] = stream.to_be_bytes();
    [&[a, b, c, kind, flags, d, e, f, g], payload].concat()
}

/// Returns the bytes of a SETTINGS frame with these identifiers and values.
pub fn settings_frame(values: &[(u16, u32)]) -> Vec<u8> {
    let payload: Vec<u8> = values
        .iter()
        .flat_map(|(id, value)| [&id.to_be_bytes()[..], &value.to_be_bytes()].concat())
        .collect();
    encode_frame(SETTINGS, 0, 0, &payload)
}

#[derive(Default)]
struct PartialResponse {
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

/// A client connection.
///
/// Writes panic if the connection is broken, unless their names begin with `try`; reads panic if nothing arrives
/// within [`EVENT_TIMEOUT`].
pub struct Http2Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    encoder: Encoder<'static>,
    decoder: Decoder<'static>,
    next_stream_id: u32,
    partial_responses: BTreeMap<u32, PartialResponse>,
    outcomes: BTreeMap<u32, StreamOutcome>,
    /// Whether SETTINGS and PING are acknowledged and the connection's window is replenished when DATA arrives.
    pub auto_reply: bool,
    /// The last stream identifier and the error code of each GOAWAY received.
    pub goaways: Vec<(u32, u32)>,
    /// The server's settings by identifier.
    pub peer_settings: BTreeMap<u16, u32>,
}

impl Http2Client {
    /// Connects and sends the preface with these settings.
    pub fn connect_with_settings(address: SocketAddr, settings: &[(u16, u32)]) -> Http2Client {
        let mut client = Http2Client::connect_without_preface(address);
        client.send_raw(&[PREFACE, &settings_frame(settings)].concat());
        client
    }

    /// Connects and sends the preface with empty settings.
    pub fn connect(address: SocketAddr) -> Http2Client {
        Http2Client::connect_with_settings(address, &[])
    }

    /// Connects without sending anything.
    pub fn connect_without_preface(address: SocketAddr) -> Http2Client {
        let stream = TcpStream::connect(address)
            .unwrap_or_else(|e| panic!("connect to the server at {address}: {e}"));
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("set the read timeout of the HTTP/2 connection");
        stream
            .set_nodelay(true)
            .expect("set TCP_NODELAY on the HTTP/2 connection");
        Http2Client::from_stream(stream)
    }

    fn from_stream(stream: TcpStream) -> Http2Client {
        Http2Client {
            stream,
            buffer: Vec::new(),
            encoder: Encoder::new(),
            decoder: Decoder::new(),
            next_stream_id: 1,
            partial_responses: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            auto_reply: true,
            goaways: Vec::new(),
            peer_settings: BTreeMap::new(),
        }
    }

    /// Sends bytes as they are.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .expect("write to the HTTP/2 connection");
    }

    /// Sends bytes as they are and returns whether the connection took them.
    pub fn try_send_raw(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Returns the connection's socket.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns a client for reading from the same connection, without automatic replies. Buffered bytes and header
    /// compression state are not shared.
    pub fn split_reader(&self) -> Http2Client {
        let stream = self
            .stream
            .try_clone()
            .expect("clone the HTTP/2 connection's socket");
        Http2Client {
            auto_reply: false,
            ..Http2Client::from_stream(stream)
        }
    }

    /// Encodes header fields as a header block.
    pub fn encode_headers(&mut self, fields: &[(&str, &str)]) -> Vec<u8> {
        self.encoder.encode(
            fields
                .iter()
                .map(|(name, value)| (name.as_bytes(), value.as_bytes())),
        )
    }

    /// Returns the next unused stream identifier.
    pub fn allocate_stream_id(&mut self) -> u32 {
        self.next_stream_id += 2;
        self.next_stream_id - 2
    }

    /// Opens a stream with HEADERS, which end the stream if `end` is true, and returns its identifier.
    pub fn open_stream(&mut self, fields: &[(&str, &str)], end: bool) -> u32 {
        let (id, block) = (self.allocate_stream_id(), self.encode_headers(fields));
        self.send_raw(&encode_frame(
            HEADERS,
            END_HEADERS | u8::from(end),
            id,
            &block,
        ));
        id
    }

    /// Sends DATA, which ends the stream if `end` is true.
    pub fn send_data(&mut self, id: u32, bytes: &[u8], end: bool) {
        self.send_raw(&encode_frame(DATA, u8::from(end), id, bytes));
    }

    /// Sends RST_STREAM with an error code; a broken connection is ignored.
    pub fn send_reset(&mut self, id: u32, error_code: u32) {
        self.try_send_raw(&encode_frame(RST_STREAM, 0, id, &error_code.to_be_bytes()));
    }

    /// Returns the frames of a request on stream `id` to the class `look`, or to `pay` with an idempotency key.
    pub fn encode_request(&mut self, id: u32, txn: u64, key: Option<&str>, body: &[u8]) -> Vec<u8> {
        let (txn, now) = (format!("{txn:016x}"), unix_ms().to_string());
        let mut fields = vec![
            (":method", "POST"),
            (":scheme", "http"),
            (
                ":path",
                if key.is_some() {
                    "/svc/pay"
                } else {
                    "/svc/look"
                },
            ),
            (":authority", "backend.local"),
            ("x-txn", &txn),
            ("x-ingress-time", &now),
            ("x-router", "4"),
            ("x-merchant", "north"),
            ("x-working-set-kb", "24.5"),
            ("x-shed-order", "0.6250"),
        ];
        if let Some(key) = key {
            fields.push(("x-txn-key", key));
        }
        let headers = encode_frame(HEADERS, END_HEADERS, id, &self.encode_headers(&fields));
        [headers, encode_frame(DATA, END_STREAM, id, body)].concat()
    }

    /// Sends the frames of [`encode_request`](Self::encode_request) on a new stream and returns its identifier.
    pub fn send_request(&mut self, txn: u64, key: Option<&str>, body: &[u8]) -> u32 {
        let id = self.allocate_stream_id();
        let bytes = self.encode_request(id, txn, key, body);
        self.send_raw(&bytes);
        id
    }

    /// Sends a GET request on a new stream and returns its identifier.
    pub fn send_get(&mut self, path: &str) -> u32 {
        let fields = [
            (":method", "GET"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "backend.local"),
        ];
        self.open_stream(&fields, true)
    }

    /// Reads the next frame without processing it; `None` at the end of the connection.
    pub fn read_frame(&mut self) -> Option<Frame> {
        loop {
            if let [a, b, c, kind, flags, d, e, f, g, rest @ ..] = &self.buffer[..] {
                let length = u32::from_be_bytes([0, *a, *b, *c]) as usize;
                if rest.len() >= length {
                    let stream = u32::from_be_bytes([*d, *e, *f, *g]);
                    let frame = Frame {
                        kind: *kind,
                        flags: *flags,
                        stream,
                        payload: rest[..length].to_vec(),
                    };
                    self.buffer.drain(..9 + length);
                    return Some(frame);
                }
            }
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("read a frame from the HTTP/2 connection: {e}"),
            }
        }
    }

    /// Reads and processes the next frame; returns false at the end of the connection.
    ///
    /// # Panics
    ///
    /// Panics on a malformed frame.
    pub fn process_frame(&mut self) -> bool {
        let Some(Frame {
            kind,
            flags,
            stream,
            payload,
        }) = self.read_frame()
        else {
            return false;
        };
        let read_u32 = |bytes: &[u8]| {
            u32::from_be_bytes(bytes.try_into().expect("a 32-bit field has four bytes"))
        };
        match kind {
            SETTINGS if flags & ACK == 0 => {
                for entry in payload.chunks(6) {
                    let id = u16::from_be_bytes([entry[0], entry[1]]);
                    self.peer_settings.insert(id, read_u32(&entry[2..6]));
                }
                if self.auto_reply {
                    self.try_send_raw(&encode_frame(SETTINGS, ACK, 0, &[]));
                }
            }
            PING if flags & ACK == 0 && self.auto_reply => {
                self.try_send_raw(&encode_frame(PING, ACK, 0, &payload));
            }
            GOAWAY => self
                .goaways
                .push((read_u32(&payload[0..4]), read_u32(&payload[4..8]))),
            RST_STREAM => {
                // After a complete response, RST_STREAM only stops the rest of the request.
                self.outcomes
                    .entry(stream)
                    .or_insert(StreamOutcome::Reset(read_u32(&payload[0..4])));
            }
            HEADERS | DATA => {
                if kind == HEADERS {
                    let fields = self
                        .decoder
                        .decode(&payload)
                        .expect("decode the header block of a response");
                    let text = |bytes: Vec<u8>| {
                        String::from_utf8(bytes).expect("a response's header field is UTF-8")
                    };
                    let fields = fields
                        .into_iter()
                        .map(|(name, value)| (text(name), text(value)));
                    self.partial_responses
                        .entry(stream)
                        .or_default()
                        .fields
                        .extend(fields);
                } else {
                    if self.auto_reply && !payload.is_empty() {
                        let increment = (payload.len() as u32).to_be_bytes();
                        self.try_send_raw(&encode_frame(WINDOW_UPDATE, 0, 0, &increment));
                    }
                    self.partial_responses
                        .entry(stream)
                        .or_default()
                        .body
                        .extend(payload);
                }
                if flags & END_STREAM != 0 {
                    let response = self.partial_responses.remove(&stream).unwrap_or_default();
                    let fields: Fields = response.fields.into_iter().collect();
                    let status = fields[":status"]
                        .parse()
                        .expect("parse the status of a response");
                    self.outcomes.insert(
                        stream,
                        StreamOutcome::Response(status, fields, response.body),
                    );
                }
            }
            _ => {}
        }
        true
    }

    /// Returns the number of streams with a partial response or an outcome that has not been taken.
    pub fn started_response_count(&self) -> usize {
        self.partial_responses.len() + self.outcomes.len()
    }

    /// Returns the outcome of a stream, if it has ended, without reading from the connection.
    pub fn stream_outcome(&self, id: u32) -> Option<StreamOutcome> {
        self.outcomes.get(&id).cloned()
    }

    /// Returns whether a part of a stream's response has been received, but not its end.
    pub fn response_in_progress(&self, id: u32) -> bool {
        self.partial_responses.contains_key(&id)
    }

    /// Processes frames until a stream ends, and takes its outcome.
    pub fn wait_for_outcome(&mut self, id: u32) -> StreamOutcome {
        loop {
            if let Some(outcome) = self.outcomes.remove(&id) {
                return outcome;
            }
            if !self.process_frame() {
                return StreamOutcome::ConnectionClosed;
            }
        }
    }

    /// Processes frames until a stream's response is complete, and returns its status, header fields and body.
    ///
    /// # Panics
    ///
    /// Panics if the stream ends without a response.
    pub fn read_response(&mut self, id: u32) -> (u16, Fields, Vec<u8>) {
        match self.wait_for_outcome(id) {
            StreamOutcome::Response(status, fields, body) => (status, fields, body),
            other => panic!(
                "stream {id} ended without a response: {other:?}, GOAWAY frames {:?}",
                self.goaways
            ),
        }
    }

    /// Processes frames to the end of the connection and returns the last stream identifier and the error code of
    /// the last GOAWAY, if any was received.
    pub fn read_until_closed(&mut self) -> Option<(u32, u32)> {
        while self.process_frame() {}
        self.goaways.last().copied()
    }

    /// Processes frames until a GOAWAY arrives, and returns its last stream identifier and error code; `None` if
    /// the connection ends first.
    pub fn wait_for_goaway(&mut self) -> Option<(u32, u32)> {
        let received_before = self.goaways.len();
        while self.goaways.len() == received_before && self.process_frame() {}
        self.goaways.get(received_before).copied()
    }
}
