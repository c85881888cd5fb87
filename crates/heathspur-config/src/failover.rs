//! Failover between zones: where the dependency's replicas are, and how slowly a zone changes its mind.

use crate::units::Span;
use crate::{Members, Mistake};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Calls go to the own zone's replica while that is safe, and move in common with the zone. Off where the element is
/// missing; needs `members`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failover {
    /// A decision stands for at least this long; 1 s to 10 min.
    #[serde(rename = "@dwell", default = "dwell")]
    pub dwell: Span,
    /// A worse level is wanted once it was seen for this long; 100 ms to 1 min.
    #[serde(rename = "@leave", default = "leave")]
    pub leave: Span,
    /// A better one, for this long; 100 ms to 10 min.
    #[serde(rename = "@back", default = "back")]
    pub back: Span,
    /// A replica that gets no calls is checked so often, by a connection; 100 ms to 1 min.
    #[serde(rename = "@check", default = "check")]
    pub check: Span,
    /// The dependency's replicas, one a zone; 2 to 32. They stand in the place of the platform's `store`.
    #[serde(default)]
    pub replica: Vec<Replica>,
}

/// A replica of the dependency.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The zone that it is near to.
    #[serde(rename = "@zone")]
    pub zone: String,
    /// Its address (IPv4).
    #[serde(rename = "@address")]
    pub address: SocketAddr,
}

fn dwell() -> Span {
    Span(Duration::from_secs(30))
}

fn leave() -> Span {
    Span(Duration::from_secs(1))
}

fn back() -> Span {
    Span(Duration::from_secs(10))
}

fn check() -> Span {
    Span(Duration::from_secs(1))
}

impl Failover {
    /// The place of this zone's replica.
    pub fn home(&self, zone: &str) -> Option<usize> {
        self.replica.iter().position(|replica| replica.zone == zone)
    }

    pub(crate) fn check(&self, members: Option<&Members>) -> Result<(), Mistake> {
        let mistake =
            |path: &str, what: &str| Err(Mistake(format!("failover{path}"), what.to_string()));
        let Some(members) = members else {
            return mistake(
                "",
                "an element `members` is expected beside it: zones decide by the fleet's view",
            );
        };
        if !(2..=32).contains(&self.replica.len()) {
            return mistake("", "2 to 32 elements `replica` are expected");
        }
        for (at, replica) in self.replica.iter().enumerate() {
            if replica.zone.is_empty() || replica.zone.len() > 48 {
                return mistake(
                    &format!(".replica[{at}].@zone"),
                    "1 to 48 bytes are expected",
                );
            }
            if self.home(&replica.zone) != Some(at) {
                return mistake(
                    &format!(".replica[{at}].@zone"),
                    "one replica a zone is expected",
                );
            }
            if !replica.address.is_ipv4() {
                return mistake(
                    &format!(".replica[{at}].@address"),
                    "an IPv4 address is expected",
                );
            }
        }
        if self.home(&members.zone).is_none() {
            let what = format!("a replica of the own zone, `{}`, is expected", members.zone);
            return mistake("", &what);
        }
        for (name, span, least, most, said) in [
            (
                "dwell",
                self.dwell,
                1_000,
                600_000,
                "1 s to 10 min is expected",
            ),
            (
                "leave",
                self.leave,
                100,
                60_000,
                "100 ms to 1 min is expected",
            ),
            (
                "back",
                self.back,
                100,
                600_000,
                "100 ms to 10 min is expected",
            ),
            (
                "check",
                self.check,
                100,
                60_000,
                "100 ms to 1 min is expected",
            ),
        ] {
            if !(least..=most).contains(&span.0.as_millis()) {
                return mistake(&format!(".@{name}"), said);
            }
        }
        Ok(())
    }
}
