//! Where an instance sends its calls to a dependency that has a replica in each zone, and which zone it hands a
//! request to, without I/O or clocks.
//!
//! Near (its own zone) is kept while that is safe. What is safe is seen by each instance ([`health`]), decided by a
//! quorum of its zone and held in common ([`register`]), turned into shares ([`shares`]), and bounded by the spare
//! capacity that the far side reports ([`spare`]).
//!
//! Levels are tenths of a zone's own traffic that stay near, 0 to 10. Times are milliseconds that passed.
#![forbid(unsafe_code)]

pub mod call_budget;
pub mod decision_register;
pub mod replica_health;
pub mod replica_picker;
pub mod traffic_split;
pub mod zone_failover;

/// All traffic stays near.
pub const ALL_TRAFFIC_TENTHS: u8 = 10;
