//! Failover between the zones of a dependency that has a replica in each, without I/O or clocks.
//!
//! Calls stay in the local zone while its replica is healthy. Each instance observes the local replica
//! ([`replica_health`]), and a quorum of the zone's instances decides how much traffic stays in the zone
//! ([`decision_register`]). The rest is split among other zones ([`traffic_split`]), limited by the spare capacity that
//! they report ([`call_budget`]). [`zone_failover`] composes these parts into a routing plan, from which
//! [`replica_picker`] picks a replica for each call.
//!
//! A level is the part of a zone's own traffic that stays in the zone, in tenths from 0 to [`ALL_TRAFFIC_TENTHS`].
//! Times are elapsed milliseconds.
#![forbid(unsafe_code)]

pub mod call_budget;
pub mod decision_register;
pub mod replica_health;
pub mod replica_picker;
pub mod traffic_split;
pub mod zone_failover;

/// The level at which all traffic of a zone stays in the zone.
pub const ALL_TRAFFIC_TENTHS: u8 = 10;

/// All calls of an instance, in thousandths, the unit of the shares in a routing plan.
pub const ALL_CALLS_THOUSANDTHS: u16 = 1_000;
