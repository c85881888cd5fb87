//! A caller that writes HTTP/2 frame by frame: well-mannered or not, as a test asks for.

use crate::http1::{unix_ms, Fields};
use crate::loopback::EVENT_TIMEOUT;
use fluke_hpack::{Decoder, Encoder};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const PRIORITY: u8 = 2;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const WINDOW_UPDATE: u8 = 8;
pub const CONTINUATION: u8 = 9;

pub const END_STREAM: u8 = 1;
pub const ACK: u8 = 1;
pub const END_HEADERS: u8 = 4;

pub const NO_ERROR: u32 = 0;
pub const REFUSED_STREAM: u32 = 7;
pub const CANCEL: u32 = 8;
pub const ENHANCE_YOUR_CALM: u32 = 11;

/// Settings by number.
pub const SETTINGS_INITIAL_WINDOW_SIZE: u16 = 4;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamOutcome {
    Response(u16, Fields, Vec<u8>),
    Reset(u32),
    /// The connection ended first; with what GOAWAY said last, if one came.
    ConnectionClosed,
}

pub fn encode_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let [_, a, b, c] = (payload.len() as u32).to_be_bytes();
    let [d, e, f, g] = stream.to_be_bytes();
    [&[a, b, c, kind, flags, d, e, f, g], payload].concat()
}

pub fn settings_frame(values: &[(u16, u32)]) -> Vec<u8> {
    let payload: Vec<u8> = values
        .iter()
        .flat_map(|(id, value)| [&id.to_be_bytes()[..], &value.to_be_bytes()].concat())
        .collect();
    encode_frame(SETTINGS, 0, 0, &payload)
}

#[derive(Default)]
struct Coming {
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

/// One connection.
pub struct Http2Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    encoder: Encoder<'static>,
    decoder: Decoder<'static>,
    next_id: u32,
    coming: BTreeMap<u32, Coming>,
    ended: BTreeMap<u32, StreamOutcome>,
    /// SETTINGS and PING are acknowledged, and windows granted for what came.
    pub auto_reply: bool,
    /// What GOAWAY frames said: the last stream and the reason.
    pub goaways: Vec<(u32, u32)>,
    /// Settings of the server.
    pub peer_settings: BTreeMap<u16, u32>,
}

impl Http2Client {
    /// With these settings of its own.
    pub fn connect_with_settings(address: SocketAddr, own: &[(u16, u32)]) -> Http2Client {
        let mut caller = Http2Client::connect_without_preface(address);
        caller.send_raw(&[PREFACE, &settings_frame(own)].concat());
        caller
    }

    pub fn connect(address: SocketAddr) -> Http2Client {
        Http2Client::connect_with_settings(address, &[])
    }

    /// One that has said nothing yet.
    pub fn connect_without_preface(address: SocketAddr) -> Http2Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Http2Client::over(stream)
    }

    fn over(stream: TcpStream) -> Http2Client {
        Http2Client {
            stream,
            buffer: Vec::new(),
            encoder: Encoder::new(),
            decoder: Decoder::new(),
            next_id: 1,
            coming: BTreeMap::new(),
            ended: BTreeMap::new(),
            auto_reply: true,
            goaways: Vec::new(),
            peer_settings: BTreeMap::new(),
        }
    }

    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The same where the other side may have closed; false then.
    pub fn try_send_raw(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// The other half of its connection: whoever has it reads, and says nothing.
    pub fn split_reader(&self) -> Http2Client {
        Http2Client {
            auto_reply: false,
            ..Http2Client::over(self.stream.try_clone().unwrap())
        }
    }

    pub fn encode_headers(&mut self, fields: &[(&str, &str)]) -> Vec<u8> {
        self.encoder.encode(
            fields
                .iter()
                .map(|(name, value)| (name.as_bytes(), value.as_bytes())),
        )
    }

    /// A number for a stream that was not used yet.
    pub fn allocate_stream_id(&mut self) -> u32 {
        self.next_id += 2;
        self.next_id - 2
    }

    /// Opens a stream with these fields.
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

    pub fn send_data(&mut self, id: u32, bytes: &[u8], end: bool) {
        self.send_raw(&encode_frame(DATA, u8::from(end), id, bytes));
    }

    pub fn send_reset(&mut self, id: u32, reason: u32) {
        self.try_send_raw(&encode_frame(RST_STREAM, 0, id, &reason.to_be_bytes()));
    }

    /// A request to `look`, or to `pay` where it has a key; its bytes, for a stream of that number.
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
        let head = encode_frame(HEADERS, END_HEADERS, id, &self.encode_headers(&fields));
        [head, encode_frame(DATA, END_STREAM, id, body)].concat()
    }

    pub fn send_request(&mut self, txn: u64, key: Option<&str>, body: &[u8]) -> u32 {
        let id = self.allocate_stream_id();
        let bytes = self.encode_request(id, txn, key, body);
        self.send_raw(&bytes);
        id
    }

    pub fn send_get(&mut self, path: &str) -> u32 {
        let fields = [
            (":method", "GET"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "backend.local"),
        ];
        self.open_stream(&fields, true)
    }

    /// The next frame as it comes; none at the end.
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
                Err(e) => panic!("nothing came: {e}"),
            }
        }
    }

    /// Takes one frame in; false at the end.
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
        let word = |at: usize| u32::from_be_bytes(payload[at..at + 4].try_into().unwrap());
        match kind {
            SETTINGS if flags & ACK == 0 => {
                for entry in payload.chunks(6) {
                    let id = u16::from_be_bytes([entry[0], entry[1]]);
                    self.peer_settings
                        .insert(id, u32::from_be_bytes(entry[2..6].try_into().unwrap()));
                }
                if self.auto_reply {
                    self.try_send_raw(&encode_frame(SETTINGS, ACK, 0, &[]));
                }
            }
            PING if flags & ACK == 0 && self.auto_reply => {
                self.try_send_raw(&encode_frame(PING, ACK, 0, &payload));
            }
            GOAWAY => self.goaways.push((word(0), word(4))),
            RST_STREAM => {
                // After a whole answer it only says that the rest of the request is not wanted.
                self.ended
                    .entry(stream)
                    .or_insert(StreamOutcome::Reset(word(0)));
            }
            HEADERS | DATA => {
                if kind == HEADERS {
                    let fields = self.decoder.decode(&payload).unwrap();
                    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
                    let fields = fields
                        .into_iter()
                        .map(|(name, value)| (text(name), text(value)));
                    self.coming.entry(stream).or_default().fields.extend(fields);
                } else {
                    if self.auto_reply && !payload.is_empty() {
                        let grant = (payload.len() as u32).to_be_bytes();
                        self.try_send_raw(&encode_frame(WINDOW_UPDATE, 0, 0, &grant));
                    }
                    self.coming.entry(stream).or_default().body.extend(payload);
                }
                if flags & END_STREAM != 0 {
                    let coming = self.coming.remove(&stream).unwrap_or_default();
                    let fields: Fields = coming.fields.into_iter().collect();
                    let status = fields[":status"].parse().unwrap();
                    self.ended
                        .insert(stream, StreamOutcome::Response(status, fields, coming.body));
                }
            }
            _ => {}
        }
        true
    }

    /// Streams whose answers have begun, as far as they were not asked for.
    pub fn started_response_count(&self) -> usize {
        self.coming.len() + self.ended.len()
    }

    /// What came of a stream so far.
    pub fn stream_outcome(&self, id: u32) -> Option<StreamOutcome> {
        self.ended.get(&id).cloned()
    }

    /// Whether a stream's answer has begun, and no more.
    pub fn response_in_progress(&self, id: u32) -> bool {
        self.coming.contains_key(&id)
    }

    /// Waits for the end of a stream.
    pub fn wait_for_outcome(&mut self, id: u32) -> StreamOutcome {
        loop {
            if let Some(ended) = self.ended.remove(&id) {
                return ended;
            }
            if !self.process_frame() {
                return StreamOutcome::ConnectionClosed;
            }
        }
    }

    /// Status, fields and body of a stream's answer.
    pub fn read_response(&mut self, id: u32) -> (u16, Fields, Vec<u8>) {
        match self.wait_for_outcome(id) {
            StreamOutcome::Response(status, fields, body) => (status, fields, body),
            other => panic!("{other:?}, goaways {:?}", self.goaways),
        }
    }

    /// Reads to the end; what GOAWAY said last.
    pub fn read_until_closed(&mut self) -> Option<(u32, u32)> {
        while self.process_frame() {}
        self.goaways.last().copied()
    }

    /// Reads until a GOAWAY comes, or the end.
    pub fn wait_for_goaway(&mut self) -> Option<(u32, u32)> {
        let known = self.goaways.len();
        while self.goaways.len() == known && self.process_frame() {}
        self.goaways.get(known).copied()
    }
}
