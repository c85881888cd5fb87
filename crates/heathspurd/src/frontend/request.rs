//! Validates the target and the header fields of a message and builds a request from them, independent of the HTTP
//! version.

use crate::clock;
use crate::frontend::header::RequestHeader;
use crate::frontend::{Answer, AttemptId, FrontendContext, IncomingRequest};
use bytes::Bytes;
use heathspur::{ClassId, Span, TenantId};
use heathspur_wire::http;

/// Path prefix of requests. The rest of the path is the name of the class.
const SERVICE_PATH_PREFIX: &[u8] = b"/svc/";
/// Path of health checks.
const HEALTH_CHECK_PATH: &[u8] = b"/status/live";
/// How far a request's timestamp may be ahead of the local clock.
const MAX_CLOCK_SKEW_MICROS: u64 = 60_000_000;
/// Exclusive upper bound of the memory that a request may declare, in kilobytes.
const MAX_MEMORY_KB: f64 = 2000.0;
/// Maximum length of an idempotency key or subject, in bytes.
const MAX_KEY_BYTES: usize = 64;

/// What a request is directed to, by its method and path.
pub(crate) enum RequestTarget {
    /// A health check.
    HealthCheck,
    /// A service request of this class.
    Service(ClassId),
    /// The path names no resource of this server, or the method is not allowed for it. Contains the status of the
    /// response.
    Invalid(u16),
}

impl RequestTarget {
    /// Determines the target from a method and a request target with an optional query.
    pub fn of(method: &[u8], target: &[u8], context: &FrontendContext) -> RequestTarget {
        let path = target.split(|&b| b == b'?').next().unwrap_or(target);
        if path == HEALTH_CHECK_PATH {
            return match method {
                b"GET" | b"HEAD" => RequestTarget::HealthCheck,
                _ => RequestTarget::Invalid(405),
            };
        }
        let class = path
            .strip_prefix(SERVICE_PATH_PREFIX)
            .and_then(|name| position(&context.names.classes, name));
        match class {
            None => RequestTarget::Invalid(404),
            Some(_) if method != b"POST" => RequestTarget::Invalid(405),
            Some(class) => RequestTarget::Service(ClassId(class)),
        }
    }
}

/// The values of a request's header fields. They take little memory, however large the message's fields are.
#[derive(Debug, Default)]
pub(crate) struct RequestFields {
    attempt: Option<AttemptId>,
    received_unix_micros: Option<u64>,
    memory_kb: Option<f64>,
    idempotency_key: Option<Bytes>,
    subject: Option<Bytes>,
    tenant: Option<usize>,
    is_retry: bool,
    client_timeout: Option<Span>,
    cost_hint: Option<f64>,
    shed_rank: Option<f64>,
    router: Option<u64>,
}

/// A request whose header fields are being read.
pub(crate) struct RequestDraft<'a, F> {
    context: &'a FrontendContext,
    /// Returns a field's value as bytes that outlive the message.
    to_bytes: F,
    /// The latest timestamp that is accepted, in microseconds since the Unix epoch.
    latest_unix_micros: u64,
    values: RequestFields,
}

impl<'a, F: Fn(&[u8]) -> Bytes> RequestDraft<'a, F> {
    pub fn new(context: &'a FrontendContext, to_bytes: F) -> RequestDraft<'a, F> {
        RequestDraft {
            context,
            to_bytes,
            latest_unix_micros: clock::unix_micros() + MAX_CLOCK_SKEW_MICROS,
            values: RequestFields::default(),
        }
    }

    /// Adds a header field. Returns `None` if its value is invalid or the field occurred before. Unknown fields are
    /// ignored.
    pub fn add_header(&mut self, name: &[u8], value: &[u8]) -> Option<()> {
        let Some(header) = RequestHeader::from_name(name) else {
            return Some(());
        };
        let is_duplicate = self.set(header, value)?;
        (!is_duplicate).then_some(())
    }

    /// Sets the value of a field. Returns whether it replaced an earlier value, or `None` if the value is invalid.
    fn set(&mut self, header: RequestHeader, value: &[u8]) -> Option<bool> {
        let is_duplicate = match header {
            RequestHeader::AttemptId => {
                let attempt = AttemptId::parse(value)?;
                self.values.attempt.replace(attempt).is_some()
            }
            RequestHeader::ReceivedAt => {
                let received = self.timestamp(value)?;
                self.values.received_unix_micros.replace(received).is_some()
            }
            RequestHeader::MemoryKb => {
                let memory_kb = decimal(value).filter(|kb| *kb > 0.0 && *kb < MAX_MEMORY_KB)?;
                self.values.memory_kb.replace(memory_kb).is_some()
            }
            RequestHeader::ShedRank => {
                let rank = decimal(value).filter(|rank| *rank < 1.0)?;
                self.values.shed_rank.replace(rank).is_some()
            }
            RequestHeader::Router => {
                let router = http::parse_decimal(value)?;
                self.values.router.replace(router).is_some()
            }
            RequestHeader::Tenant => {
                let tenant = position(&self.context.names.tenants, value)?;
                self.values.tenant.replace(tenant).is_some()
            }
            RequestHeader::IsRetry => {
                let is_retry = (value == b"1").then_some(true)?;
                std::mem::replace(&mut self.values.is_retry, is_retry)
            }
            RequestHeader::IdempotencyKey => {
                let key = self.key(value)?;
                self.values.idempotency_key.replace(key).is_some()
            }
            RequestHeader::ClientTimeout => {
                let timeout = Span::from_secs(decimal(value)? / 1000.0);
                self.values.client_timeout.replace(timeout).is_some()
            }
            RequestHeader::CostHint => {
                let cost_seconds = decimal(value)? / 1000.0;
                self.values.cost_hint.replace(cost_seconds).is_some()
            }
            RequestHeader::Subject => {
                let subject = self.key(value)?;
                self.values.subject.replace(subject).is_some()
            }
        };
        Some(is_duplicate)
    }

    /// Parses a timestamp in milliseconds and returns it in microseconds. Returns `None` if it is too far ahead of the
    /// clock.
    fn timestamp(&self, value: &[u8]) -> Option<u64> {
        http::parse_decimal(value)?
            .checked_mul(1000)
            .filter(|&micros| micros <= self.latest_unix_micros)
    }

    /// Returns an idempotency key or subject, or `None` if its length is invalid.
    fn key(&self, value: &[u8]) -> Option<Bytes> {
        (1..=MAX_KEY_BYTES)
            .contains(&value.len())
            .then(|| (self.to_bytes)(value))
    }

    /// Returns the values of the fields that were added.
    pub fn into_fields(self) -> RequestFields {
        self.values
    }
}

impl RequestFields {
    /// Builds the request from the fields and the body, with a channel for its answer. Returns `None` if a required
    /// field is missing or a field does not belong to the class.
    pub fn into_request(
        self,
        class: ClassId,
        body: Bytes,
        context: &FrontendContext,
    ) -> Option<(IncomingRequest, async_channel::Receiver<Answer>)> {
        if !self.are_complete(class, context) {
            return None;
        }
        let attempt = self.attempt?;
        let received_unix_micros = self.received_unix_micros?;
        let queued_memory_kb = self.memory_kb?;
        let (reply, answers) = async_channel::bounded(1);
        let request = IncomingRequest {
            id: context.next_id(),
            attempt,
            class,
            tenant: self.tenant.map(TenantId),
            received_unix_micros,
            has_subject: self.subject.is_some(),
            idempotency_key: self.idempotency_key.or(self.subject),
            is_retry: self.is_retry,
            client_timeout: self.client_timeout,
            cost_hint: self.cost_hint,
            queued_memory_kb,
            body,
            reply,
        };
        Some((request, answers))
    }

    /// Returns whether the fields are complete and match the class. An idempotency key is required in keyed classes and
    /// not allowed in others; a subject is not allowed in keyed classes. A tenant is required if the settings have
    /// tenants, and not allowed otherwise.
    fn are_complete(&self, class: ClassId, context: &FrontendContext) -> bool {
        let is_keyed = context.keyed_classes[class.0];
        let has_tenants = !context.names.tenants.is_empty();
        self.shed_rank.is_some()
            && self.router.is_some()
            && self.idempotency_key.is_some() == is_keyed
            && !(is_keyed && self.subject.is_some())
            && self.tenant.is_some() == has_tenants
    }
}

/// Returns the index of a name.
fn position(names: &[String], name: &[u8]) -> Option<usize> {
    names.iter().position(|known| known.as_bytes() == name)
}

/// Parses a number of decimal digits with at most one decimal point. Returns `None` if it is not finite.
fn decimal(text: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(text).ok()?;
    let is_plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse()
        .ok()
        .filter(|number: &f64| is_plain && number.is_finite())
}
