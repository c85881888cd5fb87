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
        let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
        match name {
            _ if is("X-Txn") => Some(RequestHeader::AttemptId),
            _ if is("X-Ingress-Time") => Some(RequestHeader::ReceivedAt),
            _ if is("X-Working-Set-Kb") => Some(RequestHeader::MemoryKb),
            _ if is("X-Shed-Order") => Some(RequestHeader::ShedRank),
            _ if is("X-Router") => Some(RequestHeader::Router),
            _ if is("X-Merchant") => Some(RequestHeader::Tenant),
            _ if is("X-Second-Try") => Some(RequestHeader::IsRetry),
            _ if is("X-Txn-Key") => Some(RequestHeader::IdempotencyKey),
            _ if is("X-Ttl-Ms") => Some(RequestHeader::ClientTimeout),
            _ if is("X-Cpu-Hint") => Some(RequestHeader::CostHint),
            _ if is("X-Row") => Some(RequestHeader::Subject),
            _ => None,
        }
    }
}

/// Retry-After advice of a rejection, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "X-Throttle-Ms";
/// Set to 1 where a rejected request should not be retried at all.
pub(crate) const NO_RETRY: &str = "X-Give-Up";
/// The server's load signal.
pub(crate) const LOAD_SIGNAL: &str = "X-Capacity";
