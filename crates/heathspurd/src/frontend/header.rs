//! Maps the names of the platform's HTTP header fields to the terms of the code.

/// A header field of requests that the server evaluates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestHeader {
    /// The client's identifier of the attempt.
    AttemptId,
    /// When the request reached the machine, in milliseconds since the Unix epoch.
    ReceivedAt,
    /// Kilobytes of memory that the request occupies.
    MemoryKb,
    /// Rank of the request for load shedding, below 1. The field is required; its value is only validated.
    ShedRank,
    /// Number of the router that forwarded the request. The field is required; its value is only validated.
    Router,
    /// Name of the tenant. Required if the settings have tenants, and not allowed otherwise.
    Tenant,
    /// 1 if the request is a retry; the field has no other valid value.
    IsRetry,
    /// Identifies retries of the same request. Required in classes with idempotency keys, and not allowed in others.
    IdempotencyKey,
    /// How long the client still waits, in milliseconds.
    ClientTimeout,
    /// Estimated work of the request, in milliseconds.
    CostHint,
    /// Identifies what a read request reads. Requests of classes without an idempotency key may carry it.
    Subject,
}

impl RequestHeader {
    /// Returns the field with this name, compared case-insensitively, or `None` for a field that the server ignores.
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

/// Field of a rejection: delay after which the client should retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "X-Throttle-Ms";
/// Field of a rejection: 1 if the client should not retry at all.
pub(crate) const NO_RETRY: &str = "X-Give-Up";
/// Field of answers and health checks: the server's load signal.
pub(crate) const LOAD_SIGNAL: &str = "X-Capacity";
