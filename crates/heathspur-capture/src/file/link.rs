//! Link types of captured packets.

/// The link type of a packet, which determines the header that it starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkType {
    /// Ethernet II, with or without VLAN tags.
    Ethernet,
    /// IPv4 or IPv6 without a link header.
    Ip,
    /// Linux cooked capture, with a header of 16 bytes.
    LinuxCooked,
    /// Linux cooked capture v2, with a header of 20 bytes.
    LinuxCookedV2,
    /// BSD loopback, with four bytes of address family.
    Loopback,
    /// Any other type; its packets are skipped.
    Other(i32),
}

impl LinkType {
    /// Returns the link type for a number in a file (registry of link types at tcpdump.org).
    pub fn from_number(number: i32) -> LinkType {
        match number {
            1 => LinkType::Ethernet,
            12 | 14 | 101 | 228 | 229 => LinkType::Ip,
            0 | 108 => LinkType::Loopback,
            113 => LinkType::LinuxCooked,
            276 => LinkType::LinuxCookedV2,
            other => LinkType::Other(other),
        }
    }

    /// Returns the number that is written for the link type.
    pub fn number(self) -> i32 {
        match self {
            LinkType::Ethernet => 1,
            LinkType::Ip => 101,
            LinkType::Loopback => 0,
            LinkType::LinuxCooked => 113,
            LinkType::LinuxCookedV2 => 276,
            LinkType::Other(number) => number,
        }
    }
}
