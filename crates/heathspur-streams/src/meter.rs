//! What a connection's frames cost, and when it is too much.
//!
//! Frames are counted as their bytes come in, before anybody acts on them, so that those which a library answers
//! by itself count too. Each kind has a price; a request that was handed in earns more than its own frames cost,
//! and time earns a little. A connection whose account is used up is to be ended with `ENHANCE_YOUR_CALM`.

use crate::Time;

/// What a connection may be in the red by, in points; twenty seconds of earnings by time.
const CREDIT: i64 = 4_000;
/// Points earned by time, a second.
const BY_SECOND: u64 = 200;
/// Points earned by a request that was handed in.
const BY_REQUEST: i64 = 14;
/// Points earned by an answer that was read, and by each full KiB of it: its reader grants windows for it.
const BY_ANSWER: i64 = 2;
const BY_KIB: i64 = 1;
/// No account is fuller than this, however much was earned: a storm after a quiet hour is a storm.
const FULL: i64 = CREDIT;

/// The length of a frame's head (RFC 9113, section 4.1).
const HEAD: usize = 9;

/// Kinds of frames (RFC 9113, section 6).
mod kind {
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const PRIORITY: u8 = 2;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    pub const WINDOW_UPDATE: u8 = 8;
    pub const CONTINUATION: u8 = 9;
}

/// The flag of an acknowledgement, of SETTINGS and PING; of DATA and HEADERS it says that the stream's side ends.
const ACK: u8 = 1;
const END_STREAM: u8 = 1;

/// Frames by what they cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Frames of any kind.
    pub frames: u64,
    /// Streams that were reset by the caller.
    pub resets: u64,
    /// Answers to a PING of ours.
    pub pongs: u64,
}

/// The account of one connection.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Bytes of the head that is being read.
    head: [u8; HEAD],
    got: usize,
    /// Bytes of the frame that are to be passed over.
    skip: u32,
    balance: i64,
    at: Time,
    counts: Counts,
}

impl Meter {
    /// The account of a connection that has sent its preface and nothing else.
    pub fn new(now: Time) -> Meter {
        Meter {
            head: [0; HEAD],
            got: 0,
            skip: 0,
            balance: CREDIT,
            at: now,
            counts: Counts::default(),
        }
    }

    /// Takes bytes as they came, in pieces of any size.
    pub fn read(&mut self, mut bytes: &[u8], now: Time) {
        self.pass(now);
        while !bytes.is_empty() {
            let over = (self.skip as usize).min(bytes.len());
            self.skip -= over as u32;
            bytes = &bytes[over..];
            if bytes.is_empty() {
                return;
            }
            let part = (HEAD - self.got).min(bytes.len());
            self.head[self.got..self.got + part].copy_from_slice(&bytes[..part]);
            self.got += part;
            bytes = &bytes[part..];
            if self.got == HEAD {
                self.got = 0;
                self.frame();
            }
        }
    }

    /// A request of this connection was handed in.
    pub fn request(&mut self) {
        self.earn(BY_REQUEST);
    }

    /// An answer of so many bytes was read.
    pub fn answer(&mut self, bytes: u64) {
        self.earn(BY_ANSWER + BY_KIB * (bytes / 1024).min(1 << 20) as i64);
    }

    /// A stream was refused: what the caller should have known from what it was told.
    pub fn refused(&mut self) {
        self.balance -= 4;
    }

    /// Whether it is too much.
    pub fn is_used_up(&self) -> bool {
        self.balance < 0
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn earn(&mut self, points: i64) {
        self.balance = (self.balance + points).min(FULL);
    }

    /// Time earns whole points; what is left over stays for the next time.
    fn pass(&mut self, now: Time) {
        let points = now.since(self.at).saturating_mul(BY_SECOND) / 1_000_000;
        if points > 0 {
            self.at = self.at.after(points * 1_000_000 / BY_SECOND);
            self.earn(points.min(FULL as u64) as i64);
        }
    }

    fn frame(&mut self) {
        let [a, b, c, kind, flags, ..] = self.head;
        let length = u32::from_be_bytes([0, a, b, c]);
        self.skip = length;
        self.counts.frames += 1;
        let acknowledges = flags & ACK != 0;
        self.balance -= match kind {
            kind::DATA if length == 0 && flags & END_STREAM == 0 => 20,
            // Small pieces cost as much to handle as large ones.
            kind::DATA => 1,
            kind::HEADERS => 6,
            // Those of a head that fits need none, or few.
            kind::CONTINUATION => 10,
            kind::PRIORITY => 4,
            kind::RST_STREAM => {
                self.counts.resets += 1;
                20
            }
            kind::SETTINGS if acknowledges => 1,
            kind::SETTINGS => 40,
            kind::PING if acknowledges => {
                self.counts.pongs += 1;
                2
            }
            kind::PING => 10,
            kind::WINDOW_UPDATE => 1,
            _ => 4,
        };
    }
}
