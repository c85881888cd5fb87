//! Values with units, as the operator's file writes them. The schema has the same forms as patterns.

use serde::{de, Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

/// A number of bytes: `64 MiB`; units `B`, `KiB`, `MiB`, `GiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A time: `500 ms`; units `ms`, `s`, `min`, `h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [("GiB", 30), ("MiB", 20), ("KiB", 10)];
        let unit = units
            .iter()
            .find(|(_, shift)| self.0 > 0 && self.0 % (1 << shift) == 0);
        let (name, shift) = unit.copied().unwrap_or(("B", 0));
        write!(f, "{} {name}", self.0 >> shift)
    }
}

/// Digits, at most one space, a unit of the list; the value is the number times the unit's.
fn with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let unit = unit.strip_prefix(' ').unwrap_or(unit);
    let (_, times) = units.iter().find(|(name, _)| *name == unit)?;
    // Twelve digits at most, as in the schema.
    (1..=12)
        .contains(&number.len())
        .then(|| number.parse::<u64>().ok()?.checked_mul(*times))?
}

impl Size {
    /// Reads `64 MiB` and the like.
    pub fn parse(text: &str) -> Option<Size> {
        with_unit(
            text,
            &[
                ("B", 1),
                ("KiB", 1 << 10),
                ("MiB", 1 << 20),
                ("GiB", 1 << 30),
            ],
        )
        .map(Size)
    }
}

impl Span {
    /// Reads `500 ms` and the like.
    pub fn parse(text: &str) -> Option<Span> {
        let ms = with_unit(
            text,
            &[("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)],
        )?;
        Some(Span(Duration::from_millis(ms)))
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Size, D::Error> {
        let text = String::deserialize(from)?;
        Size::parse(&text)
            .ok_or_else(|| expected(&text, "a size such as `64 MiB` (B, KiB, MiB, GiB)"))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        let text = String::deserialize(from)?;
        Span::parse(&text).ok_or_else(|| expected(&text, "a time such as `500 ms` (ms, s, min, h)"))
    }
}

fn expected<E: de::Error>(text: &str, what: &str) -> E {
    E::custom(format_args!("`{text}` where {what} is expected"))
}
