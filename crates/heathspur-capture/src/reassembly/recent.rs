//! The last bytes that a direction delivered, which distinguish retransmissions from conflicting copies.

use std::collections::VecDeque;

/// The maximum number of delivered bytes that are retained for each direction.
const MAX_RECENT_BYTES: usize = 512;

/// The last bytes that a direction delivered.
#[derive(Debug, Default)]
pub(super) struct RecentBytes(VecDeque<u8>);

impl RecentBytes {
    pub fn push(&mut self, bytes: &[u8]) {
        let retained = bytes.len().min(MAX_RECENT_BYTES);
        self.0.extend(&bytes[bytes.len() - retained..]);
        let excess = self.0.len().saturating_sub(MAX_RECENT_BYTES);
        self.0.drain(..excess);
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns whether a copy that begins `distance` bytes before the end of the delivered bytes equals them, as far as
    /// they are retained.
    pub fn agrees_with(&self, copy: &[u8], distance: usize) -> bool {
        let discarded = distance.saturating_sub(self.0.len());
        let retained = self.0.iter().skip(self.0.len() - (distance - discarded));
        let comparable = copy.get(discarded..).unwrap_or(&[]);
        comparable.iter().zip(retained).all(|(a, b)| a == b)
    }
}
