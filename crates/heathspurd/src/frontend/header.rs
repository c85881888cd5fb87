//! Names of the platform's HTTP header fields, mapped here to the terms of the code.

/// A header field of requests that the server evaluates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestHeader {
    AttemptId,
    /// Unix milliseconds at which the request reached the machine.
    ReceivedAt,
    /// Kilobytes of memory that the request occupies.
    MemoryKb,
    /// The request's shedding rank, below 1. Required, but not evaluated further.
    ShedRank,
    /// The number of the router that forwarded the request. Required, but not evaluated further.
    Router,
    Tenant,
    IsRetry,
    IdempotencyKey,
    /// Milliseconds that the client still waits.
    ClientTimeout,
    /// Estimated milliseconds of work.
    CostHint,
    /// What a read is about.
    Subject,
}

impl RequestHeader {
    /// The field with this name, compared without case; `None` for fields that are ignored.
    pub fn from_name(name: &[u8]) -> Option<RequestHeader> {
        const NAMES: [(&str, RequestHeader); 11] = [
            ("X-Txn", RequestHeader::AttemptId),
            ("X-Ingress-Time", RequestHeader::ReceivedAt),
            ("X-Working-Set-Kb", RequestHeader::MemoryKb),
            ("X-Shed-Order", RequestHeader::ShedRank),
            ("X-Router", RequestHeader::Router),
            ("X-Merchant", RequestHeader::Tenant),
            ("X-Second-Try", RequestHeader::IsRetry),
            ("X-Txn-Key", RequestHeader::IdempotencyKey),
            ("X-Ttl-Ms", RequestHeader::ClientTimeout),
            ("X-Cpu-Hint", RequestHeader::CostHint),
            ("X-Row", RequestHeader::Subject),
        ];
        NAMES
            .iter()
            .find(|(known, _)| name.eq_ignore_ascii_case(known.as_bytes()))
            .map(|(_, header)| *header)
    }
}

/// Retry-After advice of a rejection, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "X-Throttle-Ms";
/// Set to 1 where a rejected request should not be retried at all.
pub(crate) const NO_RETRY: &str = "X-Give-Up";
/// The server's load signal.
pub(crate) const LOAD_SIGNAL: &str = "X-Capacity";
