//! Detects floods of frames on a connection by a balance of points.
//!
//! Frames are counted as their bytes arrive, so that frames which an HTTP/2 library answers by
//! itself count too. Each frame costs points by its type; submitted requests, responses and elapsed
//! time add points. A connection whose balance is exhausted has to be closed with
//! `ENHANCE_YOUR_CALM`.

use crate::Time;

/// Initial and highest balance of a connection, in points: the credit of twenty seconds. The cap
/// prevents a long idle period from paying for a flood.
const MAX_BALANCE: i64 = 4_000;
/// Points credited per second of elapsed time.
const POINTS_PER_SECOND: u64 = 200;
/// Points credited for a submitted request. The frames of an ordinary request cost less.
const POINTS_PER_REQUEST: i64 = 14;
/// Points credited for a response; they pay for the client's window updates.
const POINTS_PER_RESPONSE: i64 = 2;
/// Points credited for each KiB of a response's body.
const POINTS_PER_RESPONSE_KIB: i64 = 1;
/// Highest number of KiB of one response for which points are credited.
const MAX_RESPONSE_KIB: u64 = 1 << 20;
/// Points that a refused stream costs: the client exceeded the advertised limit.
const REFUSED_STREAM_COST: i64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;
const BYTES_PER_KIB: u64 = 1024;

/// Length of a frame header, in bytes (RFC 9113, section 4.1).
const FRAME_HEADER_BYTES: usize = 9;
/// Flag of SETTINGS and PING frames: the frame is an acknowledgement.
const FLAG_ACK: u8 = 1;
/// Flag of DATA frames: the frame is the last one that the client sends on the stream.
const FLAG_END_STREAM: u8 = 1;

/// Frame types (RFC 9113, section 6).
mod frame_type {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const PRIORITY: u8 = 2;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    pub const WINDOW_UPDATE: u8 = 8;
    pub const CONTINUATION: u8 = 9;
}

/// Costs of frames, in points.
mod cost {
    /// An empty DATA frame that does not end its stream.
    pub const EMPTY_DATA: i64 = 20;
    /// Any other DATA frame. The cost does not depend on the length, because handling a small frame
    /// takes as much work as handling a large one.
    pub const DATA: i64 = 1;
    pub const HEADERS: i64 = 6;
    /// A high cost, since header blocks of permitted size need few CONTINUATION frames.
    pub const CONTINUATION: i64 = 10;
    pub const PRIORITY: i64 = 4;
    pub const RST_STREAM: i64 = 20;
    pub const SETTINGS_ACK: i64 = 1;
    pub const SETTINGS: i64 = 40;
    pub const PING_ACK: i64 = 2;
    pub const PING: i64 = 10;
    pub const WINDOW_UPDATE: i64 = 1;
    pub const OTHER: i64 = 4;
}

/// Numbers of frames received on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameCounts {
    /// Frames of any type.
    pub frames: u64,
    /// RST_STREAM frames: streams that the client reset.
    pub resets: u64,
    /// PING frames that are acknowledgements.
    pub ping_acks: u64,
}

/// Point balance and frame counts of one connection.
#[derive(Clone, Debug)]
pub struct FrameCostMeter {
    /// The frame header that is being received; the first `header_len` bytes are valid.
    header: [u8; FRAME_HEADER_BYTES],
    header_len: usize,
    /// Payload bytes of the current frame that have not arrived yet.
    payload_left: u32,
    /// In points; negative once it is exhausted.
    balance: i64,
    /// Time up to which points have been credited.
    credited_until: Time,
    counts: FrameCounts,
}

impl FrameCostMeter {
    /// Creates the meter of a connection on which only the preface has been received.
    pub fn new(now: Time) -> FrameCostMeter {
        FrameCostMeter {
            header: [0; FRAME_HEADER_BYTES],
            header_len: 0,
            payload_left: 0,
            balance: MAX_BALANCE,
            credited_until: now,
            counts: FrameCounts::default(),
        }
    }

    /// Records bytes received on the connection and charges for each frame whose header is
    /// complete. The bytes may be split anywhere.
    pub fn record_bytes(&mut self, mut bytes: &[u8], now: Time) {
        self.credit_elapsed_time(now);
        while !bytes.is_empty() {
            bytes = self.skip_payload(bytes);
            bytes = self.read_header(bytes);
        }
    }

    /// Adds the points of a submitted request.
    pub fn credit_request(&mut self) {
        self.credit(POINTS_PER_REQUEST);
    }

    /// Adds the points of a response whose body has `bytes` bytes.
    pub fn credit_response(&mut self, bytes: u64) {
        let kib = (bytes / BYTES_PER_KIB).min(MAX_RESPONSE_KIB) as i64;
        self.credit(POINTS_PER_RESPONSE + POINTS_PER_RESPONSE_KIB * kib);
    }

    /// Charges for a stream that was refused.
    pub fn charge_refused_stream(&mut self) {
        self.balance -= REFUSED_STREAM_COST;
    }

    /// Returns whether the balance is exhausted.
    pub fn is_exhausted(&self) -> bool {
        self.balance < 0
    }

    /// Returns the numbers of frames received.
    pub fn counts(&self) -> FrameCounts {
        self.counts
    }

    fn skip_payload<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let skipped = (self.payload_left as usize).min(bytes.len());
        self.payload_left -= skipped as u32;
        &bytes[skipped..]
    }

    fn read_header<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let taken = (FRAME_HEADER_BYTES - self.header_len).min(bytes.len());
        let header_end = self.header_len + taken;
        self.header[self.header_len..header_end].copy_from_slice(&bytes[..taken]);
        self.header_len = header_end;
        if header_end == FRAME_HEADER_BYTES {
            self.header_len = 0;
            self.charge_frame();
        }
        &bytes[taken..]
    }

    fn credit(&mut self, points: i64) {
        self.balance = (self.balance + points).min(MAX_BALANCE);
    }

    /// Adds a whole number of points for the time since the last credit. Time that is worth less
    /// than a point stays uncredited until the next call.
    fn credit_elapsed_time(&mut self, now: Time) {
        let elapsed_us = now.since(self.credited_until);
        let points = elapsed_us.saturating_mul(POINTS_PER_SECOND) / MICROS_PER_SECOND;
        if points > 0 {
            let credited_us = points * MICROS_PER_SECOND / POINTS_PER_SECOND;
            self.credited_until = self.credited_until.after(credited_us);
            self.credit(points.min(MAX_BALANCE as u64) as i64);
        }
    }

    fn charge_frame(&mut self) {
        let [length_high, length_middle, length_low, frame_type, flags, ..] = self.header;
        let length = u32::from_be_bytes([0, length_high, length_middle, length_low]);
        self.payload_left = length;
        self.counts.frames += 1;
        let is_ack = flags & FLAG_ACK != 0;
        match frame_type {
            frame_type::RST_STREAM => self.counts.resets += 1,
            frame_type::PING if is_ack => self.counts.ping_acks += 1,
            _ => {}
        }
        self.balance -= frame_cost(frame_type, flags, length);
    }
}

fn frame_cost(frame_type: u8, flags: u8, length: u32) -> i64 {
    let is_ack = flags & FLAG_ACK != 0;
    let ends_stream = flags & FLAG_END_STREAM != 0;
    match frame_type {
        frame_type::DATA if length == 0 && !ends_stream => cost::EMPTY_DATA,
        frame_type::DATA => cost::DATA,
        frame_type::HEADERS => cost::HEADERS,
        frame_type::CONTINUATION => cost::CONTINUATION,
        frame_type::PRIORITY => cost::PRIORITY,
        frame_type::RST_STREAM => cost::RST_STREAM,
        frame_type::SETTINGS if is_ack => cost::SETTINGS_ACK,
        frame_type::SETTINGS => cost::SETTINGS,
        frame_type::PING if is_ack => cost::PING_ACK,
        frame_type::PING => cost::PING,
        frame_type::WINDOW_UPDATE => cost::WINDOW_UPDATE,
        _ => cost::OTHER,
    }
}
