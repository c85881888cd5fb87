//! Counts of what was dropped, told once a period with the last sender.

use std::net::SocketAddrV4;

/// What was dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedInput {
    /// Datagrams over the largest size.
    pub oversized: u64,
    /// Datagrams not ours, cut short or not decodable.
    pub garbage: u64,
    /// Datagrams of another version.
    pub version: u64,
    /// Datagrams over one address's share of a second.
    pub rate: u64,
    /// Updates that claim a known member's id from another address.
    pub conflict: u64,
    /// Updates whose incarnation lies too far ahead.
    pub future: u64,
    /// News of members past the table's bound.
    pub table_full: u64,
    /// Updates dropped from a full queue.
    pub gossip_queue_full: u64,
    /// Datagrams that could not be made under the largest size.
    pub unsent: u64,
}

impl RejectedInput {
    /// All counts together.
    pub fn total(&self) -> u64 {
        self.oversized
            + self.garbage
            + self.version
            + self.rate
            + self.conflict
            + self.future
            + self.table_full
            + self.gossip_queue_full
            + self.unsent
    }
}

/// What is told of refusals once a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionReport {
    /// The counts since the start.
    pub counts: RejectedInput,
    /// Refusals since the last time told.
    pub new: u64,
    /// The last address that sent what was dropped.
    pub last_sender: Option<SocketAddrV4>,
}
