//! Link types of captured packets.

/// How the first bytes of a packet are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// Ethernet II, with or without VLAN tags.
    Ethernet,
    /// IPv4 or IPv6 without a link header.
    Ip,
    /// Linux cooked capture, with a header of 16 bytes.
    Cooked,
    /// Linux cooked capture v2, with a header of 20 bytes.
    Cooked2,
    /// BSD loopback, with four bytes of address family.
    Loopback,
    /// Any other type; its packets are skipped.
    Other(i32),
}

impl Link {
    /// The link type of a number in a file (registry of link types at tcpdump.org).
    pub fn of(number: i32) -> Link {
        match number {
            1 => Link::Ethernet,
            12 | 14 | 101 | 228 | 229 => Link::Ip,
            0 | 108 => Link::Loopback,
            113 => Link::Cooked,
            276 => Link::Cooked2,
            other => Link::Other(other),
        }
    }

    /// The number that is written for the link type.
    pub fn number(self) -> i32 {
        match self {
            Link::Ethernet => 1,
            Link::Ip => 101,
            Link::Loopback => 0,
            Link::Cooked => 113,
            Link::Cooked2 => 276,
            Link::Other(number) => number,
        }
    }
}
