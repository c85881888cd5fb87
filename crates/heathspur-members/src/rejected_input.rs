//! Counts of rejected input by reason, and their periodic report.

use std::net::SocketAddrV4;

/// Why a datagram or an update was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionReason {
    Oversized,
    Malformed,
    UnsupportedVersion,
    RateLimited,
    IdConflict,
    FutureIncarnation,
}

/// Input rejected since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedInput {
    /// Datagrams larger than the maximum size.
    pub oversized: u64,
    /// Datagrams that are truncated, not decodable or of another protocol, and member records with names or levels out
    /// of bounds.
    pub malformed: u64,
    /// Datagrams of another version of the protocol.
    pub unsupported_version: u64,
    /// Datagrams that exceed the rate limit of their source address.
    pub rate_limited: u64,
    /// Datagrams that use the local member's id, and updates that change the address of a known member without being
    /// sent by it.
    pub id_conflict: u64,
    /// Updates whose incarnation is too far ahead of the known one.
    pub future_incarnation: u64,
    /// New members that were dropped because the member table was full.
    pub table_full: u64,
    /// Updates that were evicted because the gossip queue was full.
    pub gossip_queue_full: u64,
    /// Outgoing datagrams that were dropped because they exceeded the maximum size once encoded.
    pub unsent: u64,
}

impl RejectedInput {
    /// Returns the sum over all reasons.
    pub fn total(&self) -> u64 {
        self.oversized
            + self.malformed
            + self.unsupported_version
            + self.rate_limited
            + self.id_conflict
            + self.future_incarnation
            + self.table_full
            + self.gossip_queue_full
            + self.unsent
    }

    pub(crate) fn count(&mut self, reason: RejectionReason) {
        let counter = match reason {
            RejectionReason::Oversized => &mut self.oversized,
            RejectionReason::Malformed => &mut self.malformed,
            RejectionReason::UnsupportedVersion => &mut self.unsupported_version,
            RejectionReason::RateLimited => &mut self.rate_limited,
            RejectionReason::IdConflict => &mut self.id_conflict,
            RejectionReason::FutureIncarnation => &mut self.future_incarnation,
        };
        *counter += 1;
    }
}

/// A periodic report of rejected input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionReport {
    /// The counts since the start.
    pub totals: RejectedInput,
    /// Rejections since the last report.
    pub new_rejections: u64,
    /// The source address of the last rejected input.
    pub last_sender: Option<SocketAddrV4>,
}
