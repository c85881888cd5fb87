//! Finds TCP segments in packets. Supports several link types, VLAN tags, IPv4 with options, IPv6 with extension
//! headers, and fragments of both.

mod fragments;
mod headers;

use crate::file::Packet;
use crate::Timestamp;
use etherparse::{IpNumber, LaxNetSlice, TcpSlice, TransportSlice};
use fragments::{DatagramId, FragmentHeader, Fragments};
use headers::{ip_header, slice, IpHeader};
use std::borrow::Cow;
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// A TCP segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment<'a> {
    /// The capture time of its packet, or of the last fragment.
    pub time: Timestamp,
    /// The sender.
    pub from: SocketAddr,
    /// The receiver.
    pub to: SocketAddr,
    /// The sequence number.
    pub seq: u32,
    /// The acknowledgement number, if the ACK flag is set.
    pub ack: Option<u32>,
    /// The SYN flag.
    pub syn: bool,
    /// The FIN flag.
    pub fin: bool,
    /// The RST flag.
    pub rst: bool,
    /// The captured bytes of the payload.
    pub payload: Cow<'a, [u8]>,
    /// The number of bytes after `payload` that the capture truncated.
    pub truncated: u32,
}

/// The reason why a packet contains no segment.
///
/// `heathspurctl` prints the [`Debug`](fmt::Debug) text, so that text is fixed and differs from the names.
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

/// Finds segments in packets, and buffers a bounded number of fragments.
#[derive(Debug)]
pub struct Frames {
    verifies_checksums: bool,
    fragments: Fragments,
}

impl Frames {
    /// Creates an instance without fragments. With `checksums`, segments with wrong checksums are rejected. Verify
    /// checksums only in captures made in the network: captures made on a sender contain many wrong ones, because the
    /// network card computes them after the capture.
    pub fn new(checksums: bool) -> Frames {
        Frames {
            verifies_checksums: checksums,
            fragments: Fragments::default(),
        }
    }

    /// Returns the number of fragmented datagrams that expired or were evicted incomplete. Those with conflicting
    /// fragments do not count.
    pub fn incomplete_datagrams(&self) -> u64 {
        self.fragments.incomplete_datagrams
    }

    /// Returns the segment in a packet, or the reason why there is none.
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
        let truncated = if payload.incomplete {
            ip.payload_len.saturating_sub(payload.payload.len())
        } else {
            0
        };
        if truncated == 0 {
            self.verify_checksum(tcp, &ip)?;
        }
        Ok(Segment {
            payload: Cow::Borrowed(tcp.payload()),
            truncated: truncated as u32,
            ..segment_header(packet.time, &ip, tcp)
        })
    }

    /// Returns the segment of a fragmented datagram once the datagram is complete.
    fn fragment<'a>(
        &mut self,
        time: Timestamp,
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

/// Returns a segment without its payload.
fn segment_header<'a>(time: Timestamp, ip: &IpHeader, tcp: &TcpSlice<'_>) -> Segment<'a> {
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
        truncated: 0,
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
