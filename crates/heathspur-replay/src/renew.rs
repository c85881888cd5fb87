//! Fresh ids, keys and stamps for requests that are sent again: a server refuses old ones.
//!
//! What is renewed is told by the names of fields, which are the caller's to give. Everything else stays byte
//! for byte. Requests that shared a key share the fresh one within one copy of the recording, so repeats stay
//! repeats; no key is shared between copies.

use bytes::{BufMut, Bytes, BytesMut};
use heathspur_wire::http::{parse_decimal, Fields};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The fields whose values are renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// The id of a try: fresh for each, in as many hexadecimal digits.
    pub id: String,
    /// The idempotency key: in as many hexadecimal digits.
    pub key: String,
    /// When it came to the machine, in Unix milliseconds: as long before the send as it was recorded.
    pub stamp: String,
}

/// What was changed in a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Changed {
    /// Ids.
    pub ids: u64,
    /// Keys.
    pub keys: u64,
    /// Stamps.
    pub stamps: u64,
}

impl Changed {
    /// Adds what was changed elsewhere.
    pub fn add(&mut self, other: Changed) {
        self.ids += other.ids;
        self.keys += other.keys;
        self.stamps += other.stamps;
    }
}

/// When a request was recorded and is sent.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Capture time of its first byte, in Unix nanoseconds.
    pub recorded: u64,
    /// The wall clock at its send, in Unix milliseconds.
    pub now_ms: u64,
}

/// Renews requests. The same seed, copy and place give the same ids and keys.
#[derive(Clone, Debug)]
pub struct Renewer {
    names: Names,
    seed: u64,
}

impl Renewer {
    /// For fields of these names.
    pub fn new(names: Names, seed: u64) -> Renewer {
        Renewer { names, seed }
    }

    /// The request with its fresh values. `place` tells sends of the whole replay apart; `copy` is that of
    /// [`crate::plan::PlannedRequest`]. `fields` is where its fields stand.
    pub fn renew(
        &self,
        bytes: &Bytes,
        fields: std::ops::Range<usize>,
        (place, copy): (u64, u64),
        times: Times,
    ) -> (Bytes, Changed) {
        let mut changed = Changed::default();
        let mut out = BytesMut::with_capacity(bytes.len() + 16);
        let mut done = 0;
        let base = bytes.as_ptr() as usize;
        for (name, value) in Fields::over(&bytes[fields]).filter_map(Result::ok) {
            let is = |known: &str| !known.is_empty() && name.eq_ignore_ascii_case(known.as_bytes());
            let fresh = if is(&self.names.id) {
                changed.ids += 1;
                digits(value.len(), |block| hash((self.seed, "id", place, block)))
            } else if is(&self.names.key) {
                changed.keys += 1;
                digits(value.len(), |block| {
                    hash((self.seed, "key", copy, value, block))
                })
            } else if let (true, Some(stamp)) = (is(&self.names.stamp), parse_decimal(value)) {
                changed.stamps += 1;
                let waited = (times.recorded / 1_000_000).saturating_sub(stamp);
                times.now_ms.saturating_sub(waited).to_string()
            } else {
                continue;
            };
            let start = value.as_ptr() as usize - base;
            out.put_slice(&bytes[done..start]);
            out.put_slice(fresh.as_bytes());
            done = start + value.len();
        }
        out.put_slice(&bytes[done..]);
        (out.freeze(), changed)
    }
}

/// So many hexadecimal digits, from blocks of 64 bits.
fn digits(count: usize, block: impl Fn(u64) -> u64) -> String {
    let mut text = String::with_capacity(count + 16);
    for n in 0.. {
        if text.len() >= count {
            break;
        }
        text += &format!("{:016x}", block(n));
    }
    text.truncate(count);
    text
}

fn hash(value: impl Hash) -> u64 {
    // Its keys are fixed, so the same seed gives the same replay.
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
