//! A request as all fronts hand it in: its fields checked, whatever protocol they came by.

use crate::clock;
use crate::frontend::{Answer, Arrival, Desk, Txn};
use bytes::Bytes;
use heathspur::{ClassId, Span, TenantId};
use heathspur_wire::http;

/// Where requests and health checks go.
const SERVICE: &[u8] = b"/svc/";
const HEALTH: &[u8] = b"/status/live";
/// How far ahead of our clock a request's stamp may lie, in Unix microseconds.
const AHEAD_OF_US: u64 = 60_000_000;

/// What a method and a target ask for.
pub(crate) enum Asked {
    Health,
    Work(ClassId),
    /// Nothing that is here; the status says so.
    Bad(u16),
}

impl Asked {
    pub fn of(method: &[u8], target: &[u8], desk: &Desk) -> Asked {
        let path = target.split(|&b| b == b'?').next().unwrap_or(target);
        if path == HEALTH {
            return if method == b"GET" || method == b"HEAD" {
                Asked::Health
            } else {
                Asked::Bad(405)
            };
        }
        let class = path.strip_prefix(SERVICE);
        let class =
            class.and_then(|name| desk.names.classes.iter().position(|c| c.as_bytes() == name));
        match class {
            None => Asked::Bad(404),
            Some(_) if method != b"POST" => Asked::Bad(405),
            Some(class) => Asked::Work(ClassId(class)),
        }
    }
}

/// The fields of a request as they come. `keep` makes what outlives the message of a part of it.
pub(crate) struct Draft<'a, K> {
    desk: &'a Desk,
    keep: K,
    latest: u64,
    txn: Option<Txn>,
    ingress: Option<u64>,
    held_kb: Option<f64>,
    key: Option<Bytes>,
    row: Option<Bytes>,
    tenant: Option<usize>,
    retry: bool,
    left: Option<Span>,
    cost: Option<f64>,
    rank: Option<f64>,
    router: Option<u64>,
}

impl<'a, K: Fn(&[u8]) -> Bytes> Draft<'a, K> {
    pub fn new(desk: &'a Desk, keep: K) -> Draft<'a, K> {
        let latest = clock::unix() + AHEAD_OF_US;
        let (txn, ingress, held_kb, key, row, tenant) = (None, None, None, None, None, None);
        let (left, cost, rank, router) = (None, None, None, None);
        let retry = false;
        Draft {
            desk,
            keep,
            latest,
            txn,
            ingress,
            held_kb,
            key,
            row,
            tenant,
            retry,
            left,
            cost,
            rank,
            router,
        }
    }

    /// Takes a field; none when it makes no sense, or stands there a second time. Unknown ones are passed over.
    pub fn take(&mut self, name: &[u8], value: &[u8]) -> Option<()> {
        let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
        let again = if is("X-Txn") {
            self.txn.replace(Txn::read(value)?).is_some()
        } else if is("X-Ingress-Time") {
            let stamp = http::parse_decimal(value)?
                .checked_mul(1000)
                .filter(|&stamp| stamp <= self.latest)?;
            self.ingress.replace(stamp).is_some()
        } else if is("X-Working-Set-Kb") {
            self.held_kb
                .replace(decimal(value).filter(|kb| *kb > 0.0 && *kb < 2000.0)?)
                .is_some()
        } else if is("X-Shed-Order") {
            self.rank
                .replace(decimal(value).filter(|rank| *rank < 1.0)?)
                .is_some()
        } else if is("X-Router") {
            self.router.replace(http::parse_decimal(value)?).is_some()
        } else if is("X-Merchant") {
            let tenants = &self.desk.names.tenants;
            self.tenant
                .replace(tenants.iter().position(|t| t.as_bytes() == value)?)
                .is_some()
        } else if is("X-Second-Try") {
            std::mem::replace(&mut self.retry, (value == b"1").then_some(true)?)
        } else if is("X-Txn-Key") {
            self.key.replace(self.subject(value)?).is_some()
        } else if is("X-Ttl-Ms") {
            self.left
                .replace(Span::from_secs(decimal(value)? / 1000.0))
                .is_some()
        } else if is("X-Cpu-Hint") {
            self.cost.replace(decimal(value)? / 1000.0).is_some()
        } else if is("X-Row") {
            self.row.replace(self.subject(value)?).is_some()
        } else {
            false
        };
        (!again).then_some(())
    }

    /// The request with its body, and where its answer will come; none when a field that is needed is missing.
    pub fn finish(
        self,
        class: ClassId,
        body: Bytes,
    ) -> Option<(Arrival, async_channel::Receiver<Answer>)> {
        let (Some(_), Some(_)) = (self.rank, self.router) else {
            return None;
        };
        let keyed = self.desk.keyed[class.0];
        let (has_key, row, has_tenant) = (
            self.key.is_some(),
            self.row.is_some(),
            self.tenant.is_some(),
        );
        // A key belongs to keyed classes, a subject to the others, and a tenant to all where there are tenants.
        if keyed != has_key || keyed && row || self.desk.names.tenants.is_empty() == has_tenant {
            return None;
        }
        let (txn, ingress, held_kb) = (self.txn?, self.ingress?, self.held_kb?);
        let (reply, answers) = async_channel::bounded(1);
        let arrival = Arrival {
            id: self.desk.next_id(),
            txn,
            class,
            tenant: self.tenant.map(TenantId),
            ingress,
            row,
            key: self.key.or(self.row),
            retry: self.retry,
            left: self.left,
            cost: self.cost,
            held_kb,
            body,
            reply,
        };
        Some((arrival, answers))
    }

    /// What tells repeats: from 1 to 64 bytes.
    fn subject(&self, value: &[u8]) -> Option<Bytes> {
        (1..=64).contains(&value.len()).then(|| (self.keep)(value))
    }
}

/// Decimal digits with at most one point among them.
fn decimal(text: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(text).ok()?;
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| plain && n.is_finite())
}
