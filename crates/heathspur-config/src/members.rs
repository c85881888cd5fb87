//! The fleet's view kept by the servers: where a server listens for its peers, and how it probes them.

use crate::units::Span;
use crate::Mistake;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Membership by SWIM over UDP. Off where the element is missing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// This server's name in the fleet; 1 to 48 bytes.
    #[serde(rename = "@id")]
    pub id: String,
    /// Where its datagrams are read (IPv4).
    #[serde(rename = "@listen")]
    pub listen: SocketAddr,
    /// Where others send to it, where that differs (behind a relay); else `listen`.
    #[serde(rename = "@advertise", default)]
    pub advertise: Option<SocketAddr>,
    /// Its zone; up to 48 bytes.
    #[serde(rename = "@zone", default)]
    pub zone: String,
    /// Its region; up to 48 bytes.
    #[serde(rename = "@region", default)]
    pub region: String,
    /// One probe each period; 50 ms to 60 s.
    #[serde(rename = "@period", default = "period")]
    pub period: Span,
    /// A direct probe waits so long before asking others; 10 ms and under the period.
    #[serde(rename = "@probe-timeout", default = "probe_timeout")]
    pub probe_timeout: Span,
    /// Suspicion lasts at least this many periods times log10 of the members; 1 to 20.
    #[serde(rename = "@suspicion", default = "suspicion")]
    pub suspicion: u64,
    /// Members in the table at most; 2 to 65,536.
    #[serde(rename = "@most", default = "most")]
    pub most: usize,
    /// Lifeguard's parts; off only to compare.
    #[serde(rename = "@lifeguard", default = "lifeguard")]
    pub lifeguard: bool,
    /// Members to join through.
    #[serde(default)]
    pub seed: Vec<Seed>,
}

/// A member to join through.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Its address (IPv4).
    #[serde(rename = "@address")]
    pub address: SocketAddr,
}

fn period() -> Span {
    Span(Duration::from_secs(1))
}

fn probe_timeout() -> Span {
    Span(Duration::from_millis(500))
}

fn suspicion() -> u64 {
    4
}

fn most() -> usize {
    4_096
}

fn lifeguard() -> bool {
    true
}

impl Members {
    pub(crate) fn check(&self) -> Result<(), Mistake> {
        let mistake =
            |path: &str, what: &str| Err(Mistake(format!("members.{path}"), what.to_string()));
        if self.id.is_empty() || self.id.len() > 48 {
            return mistake("@id", "1 to 48 bytes are expected");
        }
        if self.zone.len() > 48 || self.region.len() > 48 {
            return mistake("@zone", "48 bytes at most are expected, in zone and region");
        }
        let v4 = |a: &SocketAddr| a.is_ipv4();
        if !v4(&self.listen)
            || !self.advertise.as_ref().is_none_or(v4)
            || !self.seed.iter().all(|s| v4(&s.address))
        {
            return mistake(
                "@listen",
                "IPv4 addresses are expected, here, in advertise and in seeds",
            );
        }
        let period = self.period.0.as_millis();
        if !(50..=60_000).contains(&period) {
            return mistake("@period", "50 ms to 60 s is expected");
        }
        let timeout = self.probe_timeout.0.as_millis();
        if timeout < 10 || timeout >= period {
            return mistake(
                "@probe-timeout",
                "10 ms or more, and under the period, is expected",
            );
        }
        if !(1..=20).contains(&self.suspicion) {
            return mistake("@suspicion", "1 to 20 is expected");
        }
        if !(2..=65_536).contains(&self.most) {
            return mistake("@most", "2 to 65536 is expected");
        }
        Ok(())
    }
}
