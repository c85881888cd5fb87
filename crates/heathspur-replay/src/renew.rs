//! Fresh IDs, keys and time stamps for requests that are sent again: a server rejects old ones.
//!
//! The caller names the header fields whose values are replaced. Everything else stays byte for byte. Requests that
//! share a key share the fresh one within one copy of the recording, so retries stay retries; copies share no key.

use bytes::{BufMut, Bytes, BytesMut};
use heathspur_wire::http::{parse_decimal, Fields};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// Spare capacity for time stamps that have more digits than the recorded ones.
const SPARE_BYTES: usize = 16;
/// Hexadecimal digits of 64 bits.
const DIGITS_PER_BLOCK: usize = 16;

/// Names of the header fields whose values are replaced; an empty name stands for none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldNames {
    /// The ID of an attempt: fresh for each request, with as many hexadecimal digits as recorded.
    pub attempt_id: String,
    /// The idempotency key: with as many hexadecimal digits as recorded.
    pub idempotency_key: String,
    /// The ingress time in Unix milliseconds: as long before the sending time as recorded.
    pub ingress_time: String,
}

/// Number of values replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RenewedValues {
    /// Attempt IDs.
    pub ids: u64,
    /// Idempotency keys.
    pub keys: u64,
    /// Time stamps.
    pub stamps: u64,
}

impl RenewedValues {
    /// Adds the values replaced in another request.
    pub fn add(&mut self, other: RenewedValues) {
        self.ids += other.ids;
        self.keys += other.keys;
        self.stamps += other.stamps;
    }
}

/// Identifies a request of a replay.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity {
    /// Index of the request in the plan.
    pub index: u64,
    /// Number of the copy of the recording that it belongs to.
    pub copy: u64,
}

/// When a request was recorded and is sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// Capture time of its first byte, in Unix nanoseconds.
    pub recorded_at: u64,
    /// Sending time by the wall clock, in Unix milliseconds.
    pub sent_at_ms: u64,
}

/// Replaces values of requests. The same seed and request give the same IDs and keys.
#[derive(Clone, Debug)]
pub struct Renewer {
    names: FieldNames,
    seed: u64,
}

impl Renewer {
    /// Creates a renewer of the named fields.
    pub fn new(names: FieldNames, seed: u64) -> Renewer {
        Renewer { names, seed }
    }

    /// Returns the request with fresh values. `fields` is the range of its header fields.
    pub fn renew(
        &self,
        bytes: &Bytes,
        fields: Range<usize>,
        request: RequestIdentity,
        times: RequestTimes,
    ) -> (Bytes, RenewedValues) {
        let mut renewed = RenewedValues::default();
        let mut output = BytesMut::with_capacity(bytes.len() + SPARE_BYTES);
        let mut copied_to = 0;
        let base = bytes.as_ptr() as usize;
        for (name, value) in Fields::over(&bytes[fields]).filter_map(Result::ok) {
            let Some(fresh) = self.fresh_value(name, value, request, times, &mut renewed) else {
                continue;
            };
            let start = value.as_ptr() as usize - base;
            output.put_slice(&bytes[copied_to..start]);
            output.put_slice(fresh.as_bytes());
            copied_to = start + value.len();
        }
        output.put_slice(&bytes[copied_to..]);
        (output.freeze(), renewed)
    }

    /// Returns the fresh value of a field, and counts it; `None` if the field keeps its value.
    fn fresh_value(
        &self,
        name: &[u8],
        value: &[u8],
        request: RequestIdentity,
        times: RequestTimes,
        renewed: &mut RenewedValues,
    ) -> Option<String> {
        let is = |known: &str| !known.is_empty() && name.eq_ignore_ascii_case(known.as_bytes());
        if is(&self.names.attempt_id) {
            renewed.ids += 1;
            let block = |block| hash((self.seed, "id", request.index, block));
            return Some(hexadecimal_digits(value.len(), block));
        }
        if is(&self.names.idempotency_key) {
            renewed.keys += 1;
            let block = |block| hash((self.seed, "key", request.copy, value, block));
            return Some(hexadecimal_digits(value.len(), block));
        }
        if !is(&self.names.ingress_time) {
            return None;
        }
        let ingress_ms = parse_decimal(value)?;
        renewed.stamps += 1;
        let recorded_ms = times.recorded_at / NANOS_PER_MILLISECOND;
        let age_ms = recorded_ms.saturating_sub(ingress_ms);
        Some(times.sent_at_ms.saturating_sub(age_ms).to_string())
    }
}

/// Returns `count` hexadecimal digits from numbered blocks of 64 bits.
fn hexadecimal_digits(count: usize, block: impl Fn(u64) -> u64) -> String {
    let mut digits = String::with_capacity(count + DIGITS_PER_BLOCK);
    let mut index = 0;
    while digits.len() < count {
        digits += &format!("{:016x}", block(index));
        index += 1;
    }
    digits.truncate(count);
    digits
}

fn hash(value: impl Hash) -> u64 {
    // The keys of this hasher are fixed, so the same seed gives the same replay.
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
