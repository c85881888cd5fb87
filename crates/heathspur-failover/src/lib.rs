//! Failover between the zones of a dependency that has a replica in each, without I/O or clocks.
//!
//! Calls stay in the local zone while that is safe. Each instance observes the local replica ([`replica_health`]), a
//! quorum of the zone's instances decides how much traffic stays ([`decision_register`]), the rest is split among
//! other zones ([`traffic_split`]) and bounded by the spare capacity that they report ([`call_budget`]).
//! [`zone_failover`] composes these into a routing plan, by which [`replica_picker`] picks a replica for each call.
//!
//! Levels are tenths of a zone's own traffic that stay in the zone, 0 to [`ALL_TRAFFIC_TENTHS`]. Times are elapsed
//! milliseconds.
#![forbid(unsafe_code)]

pub mod call_budget;
pub mod decision_register;
pub mod replica_health;
pub mod replica_picker;
pub mod traffic_split;
pub mod zone_failover;

/// The level at which all of a zone's traffic stays in the zone.
pub const ALL_TRAFFIC_TENTHS: u8 = 10;

/// All calls of an instance, in the unit of its routing plan's shares.
pub const ALL_CALLS_THOUSANDTHS: u16 = 1_000;
