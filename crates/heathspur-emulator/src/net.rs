//! The emulated network's faults, all drawn from one seeded source.

use std::collections::HashSet;

/// What the network does to datagrams now; changed between steps by a plan.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// The least delay of a datagram, in milliseconds.
    pub delay_ms: u64,
    /// Added to the delay, drawn evenly from 0 to this: reordering comes of it.
    pub jitter_ms: u64,
    /// The share of datagrams delivered twice, 0 to 1.
    pub duplicate: f64,
    /// A side for each member; datagrams between different sides are lost. Empty: no partition.
    pub sides: Vec<u8>,
    /// Links cut one way, as (from, to) members.
    pub cut: HashSet<(usize, usize)>,
}

impl Faults {
    /// Whether a datagram from `from` can reach `to` at all.
    pub fn passes(&self, from: usize, to: usize) -> bool {
        if self.cut.contains(&(from, to)) {
            return false;
        }
        match (self.sides.get(from), self.sides.get(to)) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        }
    }

    /// Splits the members into two sides: those below `at` and the rest.
    pub fn split(members: usize, at: usize) -> Vec<u8> {
        (0..members).map(|i| (i >= at) as u8).collect()
    }
}
