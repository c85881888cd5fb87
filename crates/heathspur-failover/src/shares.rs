//! From what zones hold and report to shares: how much stays near, how much goes to which other zone.

use crate::WHOLE;

/// Another zone as the view has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Other {
    /// Its name.
    pub zone: String,
    /// Whether it is in the same region.
    pub same_region: bool,
    /// What its members report to have spare, in requests.
    pub spare: u32,
    /// The level that it holds for its own traffic: one that moves its own away is no place for others'.
    pub near: u8,
}

/// Parts of an instance's calls, in thousandths; they add up to 1,000.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shares {
    /// What stays in the own zone.
    pub near: u16,
    /// What goes to other zones.
    pub far: Vec<(String, u16)>,
    /// Nobody far is fit to take anything, so all stays near although that is not healthy (Envoy's panic).
    pub panic: bool,
}

/// The shares at a level. What moves goes to the own region while anyone there can take it, by what they have
/// spare and how healthy they are, and elsewhere only then.
pub fn shares(near: u8, others: &[Other]) -> Shares {
    let moved = u32::from(WHOLE - near.min(WHOLE)) * 100;
    let weight = |other: &Other| u64::from(other.spare) * u64::from(other.near.min(WHOLE));
    let fit = |same_region: bool| -> Vec<&Other> {
        others
            .iter()
            .filter(|o| o.same_region == same_region && weight(o) > 0)
            .collect()
    };
    let mut chosen = fit(true);
    if chosen.is_empty() {
        chosen = fit(false);
    }
    if moved == 0 || chosen.is_empty() {
        return Shares {
            near: 1_000,
            far: Vec::new(),
            panic: moved > 0,
        };
    }
    let all: u64 = chosen.iter().map(|o| weight(o)).sum();
    let part = |o: &Other| (u64::from(moved) * weight(o) / all) as u16;
    let mut far: Vec<(String, u16)> = chosen.iter().map(|o| (o.zone.clone(), part(o))).collect();
    // What rounding left goes to the first.
    let given: u32 = far.iter().map(|(_, part)| u32::from(*part)).sum();
    far[0].1 += (moved - given) as u16;
    far.retain(|(_, part)| *part > 0);
    Shares {
        near: 1_000 - moved as u16,
        far,
        panic: false,
    }
}
