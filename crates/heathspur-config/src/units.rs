//! Sizes and durations with units. The patterns of the schema accept the same forms.

use serde::{de, Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

/// The units of sizes, in bytes.
pub(crate) const KIB: u64 = 1 << 10;
pub(crate) const MIB: u64 = 1 << 20;
pub(crate) const GIB: u64 = 1 << 30;

/// The maximum number of digits, as in the schema.
const MAX_DIGITS: usize = 12;

const SIZE_UNITS: [(&str, u64); 4] = [("B", 1), ("KiB", KIB), ("MiB", MIB), ("GiB", GIB)];

/// The units of durations, in milliseconds.
const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];

/// A number of bytes, written as `64 MiB`. The units are `B`, `KiB`, `MiB` and `GiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A duration, written as `500 ms`. The units are `ms`, `s`, `min` and `h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// Writes the size in the largest unit that divides it.
impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, bytes) = SIZE_UNITS
            .into_iter()
            .rev()
            .find(|(_, bytes)| self.0 > 0 && self.0 % bytes == 0)
            .unwrap_or(SIZE_UNITS[0]);
        write!(f, "{} {unit}", self.0 / bytes)
    }
}

/// Parses digits, at most one space and a unit. Returns the number times the unit's factor.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits_end = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(digits_end);
    let unit = unit.strip_prefix(' ').unwrap_or(unit);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    if !(1..=MAX_DIGITS).contains(&digits.len()) {
        return None;
    }
    digits.parse::<u64>().ok()?.checked_mul(*factor)
}

impl Size {
    /// Parses a size such as `64 MiB`.
    pub fn parse(text: &str) -> Option<Size> {
        parse_with_unit(text, &SIZE_UNITS).map(Size)
    }
}

impl Span {
    /// Parses a duration such as `500 ms`.
    pub fn parse(text: &str) -> Option<Span> {
        let milliseconds = parse_with_unit(text, &TIME_UNITS)?;
        Some(Span(Duration::from_millis(milliseconds)))
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Size, D::Error> {
        let text = String::deserialize(deserializer)?;
        Size::parse(&text)
            .ok_or_else(|| unexpected(&text, "a size such as `64 MiB` (B, KiB, MiB, GiB)"))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
        let text = String::deserialize(deserializer)?;
        Span::parse(&text)
            .ok_or_else(|| unexpected(&text, "a time such as `500 ms` (ms, s, min, h)"))
    }
}

fn unexpected<E: de::Error>(text: &str, expected: &str) -> E {
    E::custom(format_args!("`{text}` where {expected} is expected"))
}
