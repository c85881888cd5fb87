//! Configuration of failover between zones: the dependency's replicas, and the hysteresis of a zone's decisions.

use crate::members::MAX_NAME_BYTES;
use crate::units::Span;
use crate::{InvalidValue, Members};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Failover of calls to the dependency between zones. Calls go to the replica of the server's own zone while that is
/// safe; the servers of a zone fail over together. Off if the element is missing; requires `members`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failover {
    /// The minimum time for which a decision stays in force; 1 s to 10 min.
    #[serde(rename = "@dwell", default = "default_minimum_hold")]
    pub minimum_hold: Span,
    /// How long a worse level must be observed before a failover; 100 ms to 1 min.
    #[serde(rename = "@leave", default = "default_failover_delay")]
    pub failover_delay: Span,
    /// How long a better level must be observed before a recovery; 100 ms to 10 min.
    #[serde(rename = "@back", default = "default_recovery_delay")]
    pub recovery_delay: Span,
    /// The interval of health checks of a replica without calls, each of which opens a connection; 100 ms to 1 min.
    #[serde(rename = "@check", default = "default_health_check_interval")]
    pub health_check_interval: Span,
    /// The dependency's replicas, one per zone; 2 to 32. They replace the store from the platform's settings.
    #[serde(default)]
    pub replica: Vec<Replica>,
}

/// A replica of the dependency.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The zone of the replica.
    #[serde(rename = "@zone")]
    pub zone: String,
    /// The replica's address (IPv4).
    #[serde(rename = "@address")]
    pub address: SocketAddr,
}

fn default_minimum_hold() -> Span {
    Span(Duration::from_secs(30))
}

fn default_failover_delay() -> Span {
    Span(Duration::from_secs(1))
}

fn default_recovery_delay() -> Span {
    Span(Duration::from_secs(10))
}

fn default_health_check_interval() -> Span {
    Span(Duration::from_secs(1))
}

impl Failover {
    /// Returns the index of the zone's replica.
    pub fn replica_of(&self, zone: &str) -> Option<usize> {
        self.replica.iter().position(|replica| replica.zone == zone)
    }

    pub(crate) fn check(&self, members: Option<&Members>) -> Result<(), InvalidValue> {
        let Some(members) = members else {
            return invalid(
                "",
                "an element `members` is expected with it, because zones decide by the members' view of the fleet",
            );
        };
        if !(2..=32).contains(&self.replica.len()) {
            return invalid("", "2 to 32 elements `replica` are expected");
        }
        for index in 0..self.replica.len() {
            self.check_replica(index)?;
        }
        if self.replica_of(&members.zone).is_none() {
            let zone = &members.zone;
            return invalid(
                "",
                &format!("a replica of the server's own zone, `{zone}`, is expected"),
            );
        }
        self.check_delays()
    }

    fn check_replica(&self, index: usize) -> Result<(), InvalidValue> {
        let replica = &self.replica[index];
        let path = |attribute| format!(".replica[{index}].@{attribute}");
        if replica.zone.is_empty() || replica.zone.len() > MAX_NAME_BYTES {
            return invalid(&path("zone"), "1 to 48 bytes are expected");
        }
        if self.replica_of(&replica.zone) != Some(index) {
            return invalid(&path("zone"), "one replica per zone is expected");
        }
        if !replica.address.is_ipv4() {
            return invalid(&path("address"), "an IPv4 address is expected");
        }
        Ok(())
    }

    fn check_delays(&self) -> Result<(), InvalidValue> {
        if !(1_000..=600_000).contains(&self.minimum_hold.0.as_millis()) {
            return invalid(".@dwell", "1 s to 10 min is expected");
        }
        if !(100..=60_000).contains(&self.failover_delay.0.as_millis()) {
            return invalid(".@leave", "100 ms to 1 min is expected");
        }
        if !(100..=600_000).contains(&self.recovery_delay.0.as_millis()) {
            return invalid(".@back", "100 ms to 10 min is expected");
        }
        if !(100..=60_000).contains(&self.health_check_interval.0.as_millis()) {
            return invalid(".@check", "100 ms to 1 min is expected");
        }
        Ok(())
    }
}

fn invalid(path: &str, reason: &str) -> Result<(), InvalidValue> {
    Err(InvalidValue::new(format!("failover{path}"), reason))
}
