//! Fresh IDs, keys and time stamps for replayed requests, because a server rejects the recorded ones.
//!
//! [`FieldNames`] selects the header fields whose values are replaced; all other bytes are unchanged. Requests recorded
//! with the same key get the same fresh key within one copy of the recording, so that retries remain retries.
//! Different copies never share a key.

use bytes::{BufMut, Bytes, BytesMut};
use heathspur_wire::http::{parse_decimal, Fields};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// Spare capacity for time stamps that have more digits than the recorded ones.
const SPARE_BYTES: usize = 16;
/// Number of hexadecimal digits of 64 bits.
const DIGITS_PER_BLOCK: usize = 16;

/// Names of the header fields whose values are replaced; an empty name stands for none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldNames {
    /// The ID of an attempt: a new one for each request, with as many hexadecimal digits as the recorded value.
    pub attempt_id: String,
    /// The idempotency key: the new one has as many hexadecimal digits as the recorded value.
    pub idempotency_key: String,
    /// The ingress time in Unix milliseconds: the new one is as long before the sending time as it was recorded
    /// before the first byte.
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

/// Recorded time and sending time of a request.
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
        let mut copied_end = 0;
        let base = bytes.as_ptr() as usize;
        for (name, value) in Fields::over(&bytes[fields]).filter_map(Result::ok) {
            let Some(fresh) = self.fresh_value(name, value, request, times, &mut renewed) else {
                continue;
            };
            let start = value.as_ptr() as usize - base;
            output.put_slice(&bytes[copied_end..start]);
            output.put_slice(fresh.as_bytes());
            copied_end = start + value.len();
        }
        output.put_slice(&bytes[copied_end..]);
        (output.freeze(), renewed)
    }

    /// Returns the fresh value of a field and counts it, or `None` if the value is not replaced.
    fn fresh_value(
        &self,
        name: &[u8],
        value: &[u8],
        request: RequestIdentity,
        times: RequestTimes,
        renewed: &mut RenewedValues,
    ) -> Option<String> {
        let is_field =
            |field: &str| !field.is_empty() && name.eq_ignore_ascii_case(field.as_bytes());
        if is_field(&self.names.attempt_id) {
            renewed.ids += 1;
            let block = |block| hash((self.seed, "id", request.index, block));
            return Some(hexadecimal_digits(value.len(), block));
        }
        if is_field(&self.names.idempotency_key) {
            renewed.keys += 1;
            let block = |block| hash((self.seed, "key", request.copy, value, block));
            return Some(hexadecimal_digits(value.len(), block));
        }
        if !is_field(&self.names.ingress_time) {
            return None;
        }
        let ingress_ms = parse_decimal(value)?;
        renewed.stamps += 1;
        let recorded_ms = times.recorded_at / NANOS_PER_MILLISECOND;
        let age_ms = recorded_ms.saturating_sub(ingress_ms);
        Some(times.sent_at_ms.saturating_sub(age_ms).to_string())
    }
}

/// Returns `count` hexadecimal digits; `block` returns 64 bits by block index.
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
    // The hasher has fixed keys, so the same seed gives the same values in each replay.
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
