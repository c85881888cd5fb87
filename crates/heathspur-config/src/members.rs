//! Configuration of fleet membership: the addresses that a server uses for its peers, and how it probes them.

use crate::units::Span;
use crate::InvalidValue;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest name of a member, a zone or a region, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 48;

/// Membership by SWIM over UDP. Off if the element is missing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// The server's name in the fleet; 1 to 48 bytes.
    #[serde(rename = "@id")]
    pub id: String,
    /// The local address for the protocol's datagrams (IPv4).
    #[serde(rename = "@listen")]
    pub listen: SocketAddr,
    /// The address that peers send to, if it differs from `listen`, as behind a relay.
    #[serde(rename = "@advertise", default)]
    pub advertise: Option<SocketAddr>,
    /// The server's zone; up to 48 bytes.
    #[serde(rename = "@zone", default)]
    pub zone: String,
    /// The server's region; up to 48 bytes.
    #[serde(rename = "@region", default)]
    pub region: String,
    /// The protocol period, in which the server sends one probe; 50 ms to 60 s.
    #[serde(rename = "@period", default = "default_period")]
    pub period: Span,
    /// The timeout of a direct probe, after which indirect probes are sent; at least 10 ms, and less than the period.
    #[serde(rename = "@probe-timeout", default = "default_probe_timeout")]
    pub probe_timeout: Span,
    /// The minimum suspicion timeout as a multiple of the period times log10 of the number of members; 1 to 20.
    #[serde(rename = "@suspicion", default = "default_suspicion")]
    pub suspicion: u64,
    /// The largest number of members in the table; 2 to 65,536.
    #[serde(rename = "@most", default = "default_max_members")]
    pub max_members: usize,
    /// Whether the Lifeguard extensions are enabled. Disable them only to compare with plain SWIM.
    #[serde(rename = "@lifeguard", default = "default_lifeguard")]
    pub lifeguard: bool,
    /// The members through which the server joins the fleet.
    #[serde(default)]
    pub seed: Vec<Seed>,
}

/// A member through which the server joins the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// The member's address (IPv4).
    #[serde(rename = "@address")]
    pub address: SocketAddr,
}

fn default_period() -> Span {
    Span(Duration::from_secs(1))
}

fn default_probe_timeout() -> Span {
    Span(Duration::from_millis(500))
}

fn default_suspicion() -> u64 {
    4
}

fn default_max_members() -> usize {
    4_096
}

fn default_lifeguard() -> bool {
    true
}

impl Members {
    pub(crate) fn check(&self) -> Result<(), InvalidValue> {
        self.check_names()?;
        self.check_addresses()?;
        self.check_timing()?;
        if !(1..=20).contains(&self.suspicion) {
            return invalid("@suspicion", "1 to 20 is expected");
        }
        if !(2..=65_536).contains(&self.max_members) {
            return invalid("@most", "2 to 65536 is expected");
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), InvalidValue> {
        if self.id.is_empty() || self.id.len() > MAX_NAME_BYTES {
            return invalid("@id", "1 to 48 bytes are expected");
        }
        if self.zone.len() > MAX_NAME_BYTES || self.region.len() > MAX_NAME_BYTES {
            return invalid(
                "@zone",
                "at most 48 bytes are expected, in zone and in region",
            );
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), InvalidValue> {
        let seeds = self.seed.iter().map(|seed| &seed.address);
        let mut addresses = seeds.chain(&self.advertise).chain([&self.listen]);
        if addresses.all(SocketAddr::is_ipv4) {
            return Ok(());
        }
        invalid(
            "@listen",
            "IPv4 addresses are expected in listen, in advertise and in seeds",
        )
    }

    fn check_timing(&self) -> Result<(), InvalidValue> {
        let period_ms = self.period.0.as_millis();
        if !(50..=60_000).contains(&period_ms) {
            return invalid("@period", "50 ms to 60 s is expected");
        }
        if !(10..period_ms).contains(&self.probe_timeout.0.as_millis()) {
            return invalid(
                "@probe-timeout",
                "at least 10 ms, and less than the period, is expected",
            );
        }
        Ok(())
    }
}

fn invalid(path: &str, reason: &str) -> Result<(), InvalidValue> {
    Err(InvalidValue::new(format!("members.{path}"), reason))
}
