//! TCP segments in packets: link headers, VLAN tags, IPv4 with options, IPv6 with extension headers, and fragments
//! of both.

mod fragments;
mod headers;

use crate::file::Packet;
use crate::Stamp;
use etherparse::{IpNumber, LaxNetSlice, TcpSlice, TransportSlice};
use fragments::{DatagramId, FragmentHeader, Fragments};
use headers::{ip_header, slice, IpHeader};
use std::borrow::Cow;
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// A TCP segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment<'a> {
    /// When its packet was captured; the last fragment's if it was fragmented.
    pub time: Stamp,
    /// The sender.
    pub from: SocketAddr,
    /// The receiver.
    pub to: SocketAddr,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number, if it carries one.
    pub ack: Option<u32>,
    /// SYN.
    pub syn: bool,
    /// FIN.
    pub fin: bool,
    /// RST.
    pub rst: bool,
    /// The captured bytes of its payload.
    pub payload: Cow<'a, [u8]>,
    /// Number of bytes behind these by which the capture truncated the payload.
    pub lost: u32,
}

/// The reason why a packet contains no segment.
///
/// `heathspurctl` prints the [`Debug`] text, so that text is fixed and differs from the names.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SkipReason {
    /// The link type is not supported.
    UnsupportedLinkType,
    /// The packet is not TCP over IP.
    NotTcp,
    /// The headers are invalid or truncated.
    InvalidHeaders,
    /// The checksum is wrong, where checksums are verified.
    WrongChecksum,
    /// The packet is a fragment, which is buffered until its datagram is complete.
    Fragment,
    /// The packet is a fragment that contradicts the others.
    ConflictingFragment,
}

impl fmt::Debug for SkipReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SkipReason::UnsupportedLinkType => "Link",
            SkipReason::NotTcp => "Other",
            SkipReason::InvalidHeaders => "Headers",
            SkipReason::WrongChecksum => "Checksum",
            SkipReason::Fragment => "Piece",
            SkipReason::ConflictingFragment => "BadPiece",
        })
    }
}

/// Finds segments in packets. Buffers fragments, within bounds.
#[derive(Debug)]
pub struct Frames {
    verifies_checksums: bool,
    fragments: Fragments,
}

impl Frames {
    /// With `checksums`, segments with wrong checksums are rejected. Captures made on a sender are full of these,
    /// because its network card computes them later, so verify them only in captures made in the network.
    pub fn new(checksums: bool) -> Frames {
        Frames {
            verifies_checksums: checksums,
            fragments: Fragments::default(),
        }
    }

    /// Number of fragmented datagrams that were discarded incomplete.
    pub fn incomplete_datagrams(&self) -> u64 {
        self.fragments.incomplete_datagrams
    }

    /// The segment in a packet, or why there is none.
    pub fn segment<'a>(&mut self, packet: &Packet<'a>) -> Result<Segment<'a>, SkipReason> {
        let sliced = slice(packet)?;
        let ip = ip_header(&sliced)?;
        let payload = sliced
            .net
            .as_ref()
            .and_then(LaxNetSlice::ip_payload_ref)
            .ok_or(SkipReason::InvalidHeaders)?;
        if payload.ip_number != IpNumber::TCP {
            return Err(SkipReason::NotTcp);
        }
        if let Some(fragment) = &ip.fragment {
            if payload.incomplete {
                return Err(SkipReason::InvalidHeaders);
            }
            return self.fragment(packet.time, &ip, fragment, payload.payload);
        }
        let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else {
            return Err(SkipReason::InvalidHeaders);
        };
        let lost = if payload.incomplete {
            ip.payload_len.saturating_sub(payload.payload.len())
        } else {
            0
        };
        if lost == 0 {
            self.verify_checksum(tcp, &ip)?;
        }
        Ok(Segment {
            payload: Cow::Borrowed(tcp.payload()),
            lost: lost as u32,
            ..segment_header(packet.time, &ip, tcp)
        })
    }

    /// The segment of a fragmented datagram, once that is complete.
    fn fragment<'a>(
        &mut self,
        time: Stamp,
        ip: &IpHeader,
        fragment: &FragmentHeader,
        payload: &[u8],
    ) -> Result<Segment<'a>, SkipReason> {
        let id = DatagramId {
            from: ip.from,
            to: ip.to,
            identification: fragment.identification,
        };
        let datagram = self.fragments.add(time, id, fragment, payload)?;
        let tcp = TcpSlice::from_slice(&datagram).map_err(|_| SkipReason::InvalidHeaders)?;
        self.verify_checksum(&tcp, ip)?;
        Ok(Segment {
            payload: Cow::Owned(tcp.payload().to_vec()),
            ..segment_header(time, ip, &tcp)
        })
    }

    fn verify_checksum(&self, tcp: &TcpSlice<'_>, ip: &IpHeader) -> Result<(), SkipReason> {
        if !self.verifies_checksums || has_valid_checksum(tcp, ip) {
            Ok(())
        } else {
            Err(SkipReason::WrongChecksum)
        }
    }
}

/// A segment without its payload.
fn segment_header<'a>(time: Stamp, ip: &IpHeader, tcp: &TcpSlice<'_>) -> Segment<'a> {
    Segment {
        time,
        from: SocketAddr::new(ip.from, tcp.source_port()),
        to: SocketAddr::new(ip.to, tcp.destination_port()),
        seq: tcp.sequence_number(),
        ack: tcp.ack().then(|| tcp.acknowledgment_number()),
        syn: tcp.syn(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        payload: Cow::Borrowed(&[]),
        lost: 0,
    }
}

fn has_valid_checksum(tcp: &TcpSlice<'_>, ip: &IpHeader) -> bool {
    let expected = match (ip.from, ip.to) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            tcp.calc_checksum_ipv4(from.octets(), to.octets()).ok()
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            tcp.calc_checksum_ipv6(from.octets(), to.octets()).ok()
        }
        _ => None,
    };
    expected == Some(tcp.checksum())
}
