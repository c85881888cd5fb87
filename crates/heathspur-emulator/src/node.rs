//! One emulated member: its membership state machine, its clock and the faults of its process.

use heathspur_members::{Load, Member, MemberId, Membership};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The UDP port of every member.
const PORT: u16 = 7946;
/// The incarnation of every member at its first start.
pub(crate) const FIRST_INCARNATION: u64 = 1;
/// The number of regions of the fleet. Zones are assigned to them in turn.
const REGIONS: usize = 2;

/// One member of the emulated fleet.
pub struct Node {
    /// Its membership state machine; `None` while the process is down.
    pub membership: Option<Membership>,
    /// The record that it publishes about itself.
    pub member: Member,
    /// The true time until which its process is paused and neither receives nor sends, in milliseconds.
    pub paused_until: u64,
    /// The extra delay of every datagram that it sends or receives, in milliseconds.
    pub extra_delay_ms: u64,
    /// The rate of its clock relative to true time; 1.0 is exact.
    pub clock_rate: f64,
    /// The true time at which its process ends after a graceful leave, in milliseconds; `None` unless it is leaving.
    pub(crate) stops_at: Option<u64>,
    /// The time of its clock, in milliseconds.
    clock_ms: f64,
    /// The incarnation at its next start.
    pub(crate) next_incarnation: u64,
}

impl Node {
    /// Creates a member that is down, in one of `zones` zones.
    pub(crate) fn new(index: usize, zones: usize) -> Node {
        let zone = index % zones.max(1);
        Node {
            membership: None,
            member: Member {
                id: member_id(index),
                address: address_of(index),
                zone: format!("z{zone}"),
                region: format!("r{}", zone % REGIONS),
                version: 1,
                load: Load::default(),
                average_round_trip_ms: 0,
                decision_epoch: 0,
                local_traffic_tenths: 10,
                preferred_local_traffic_tenths: 10,
            },
            paused_until: 0,
            extra_delay_ms: 0,
            clock_rate: 1.0,
            stops_at: None,
            clock_ms: 0.0,
            next_incarnation: FIRST_INCARNATION,
        }
    }

    /// Returns the time of its clock, in milliseconds.
    pub(crate) fn clock(&self) -> u64 {
        self.clock_ms as u64
    }

    /// Advances its clock by `true_ms` of true time.
    pub(crate) fn advance_clock(&mut self, true_ms: u64) {
        self.clock_ms += true_ms as f64 * self.clock_rate;
    }
}

/// Returns the address of the member with this index.
pub(crate) fn address_of(index: usize) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(10, (index >> 16) as u8, (index >> 8) as u8, index as u8);
    SocketAddrV4::new(ip, PORT)
}

/// Returns the index of the member at this address.
pub(crate) fn index_of_address(address: SocketAddrV4) -> usize {
    let [_, high, middle, low] = address.ip().octets().map(usize::from);
    (high << 16) | (middle << 8) | low
}

fn member_id(index: usize) -> MemberId {
    MemberId(format!("m{index}"))
}

/// Returns the index of the member with this id; `None` for an id that is not of this fleet.
pub(crate) fn index_of_id(id: &MemberId) -> Option<usize> {
    id.0.strip_prefix('m')?.parse().ok()
}
