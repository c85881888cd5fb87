//! Link and IP headers of a packet, read with `etherparse`, which tolerates truncated packets.

use super::fragments::FragmentHeader;
use super::SkipReason;
use crate::file::{LinkType, Packet};
use etherparse::{
    EtherType, Ipv4HeaderSlice, Ipv6ExtensionSlice, LaxIpv6Slice, LaxNetSlice, LaxSlicedPacket,
};
use std::net::IpAddr;

/// Length of the address family before a packet of BSD loopback, in bytes.
const LOOPBACK_HEADER_LEN: usize = 4;

/// The fields that are needed of an IP header.
#[derive(Debug)]
pub(super) struct IpHeader {
    pub from: IpAddr,
    pub to: IpAddr,
    /// The length of the payload on the wire, in bytes. It is 0 in packets that the sender's network card segments
    /// after the capture.
    pub payload_len: usize,
    /// Present if the packet is a fragment of a datagram.
    pub fragment: Option<FragmentHeader>,
}

/// Parses a packet according to its link type.
pub(super) fn slice<'a>(packet: &Packet<'a>) -> Result<LaxSlicedPacket<'a>, SkipReason> {
    let data = packet.data;
    match packet.link {
        LinkType::Ethernet => {
            LaxSlicedPacket::from_ethernet(data).map_err(|_| SkipReason::InvalidHeaders)
        }
        LinkType::Ip => LaxSlicedPacket::from_ip(data).map_err(|_| SkipReason::InvalidHeaders),
        LinkType::Loopback => {
            // The numbers of address families differ between systems, so the IP version is used instead.
            let ip = data
                .get(LOOPBACK_HEADER_LEN..)
                .ok_or(SkipReason::InvalidHeaders)?;
            LaxSlicedPacket::from_ip(ip).map_err(|_| SkipReason::InvalidHeaders)
        }
        LinkType::LinuxCooked => slice_cooked(data, 14, 16),
        LinkType::LinuxCookedV2 => slice_cooked(data, 0, 20),
        LinkType::Other(_) => Err(SkipReason::UnsupportedLinkType),
    }
}

/// Parses a packet of a Linux cooked capture, whose header has the protocol at `protocol_offset`.
fn slice_cooked(
    data: &[u8],
    protocol_offset: usize,
    header_len: usize,
) -> Result<LaxSlicedPacket<'_>, SkipReason> {
    let protocol = data
        .get(protocol_offset..)
        .and_then(|rest| rest.first_chunk::<2>())
        .ok_or(SkipReason::InvalidHeaders)?;
    let payload = data.get(header_len..).ok_or(SkipReason::InvalidHeaders)?;
    let protocol = EtherType(u16::from_be_bytes(*protocol));
    Ok(LaxSlicedPacket::from_ether_type(protocol, payload))
}

pub(super) fn ip_header(packet: &LaxSlicedPacket<'_>) -> Result<IpHeader, SkipReason> {
    match &packet.net {
        Some(LaxNetSlice::Ipv4(ip)) => Ok(ipv4_header(&ip.header())),
        Some(LaxNetSlice::Ipv6(ip)) => Ok(ipv6_header(ip)),
        Some(LaxNetSlice::Arp(_)) | None if packet.stop_err.is_some() => {
            Err(SkipReason::InvalidHeaders)
        }
        Some(LaxNetSlice::Arp(_)) | None => Err(SkipReason::NotTcp),
    }
}

fn ipv4_header(header: &Ipv4HeaderSlice<'_>) -> IpHeader {
    let fragment = header.is_fragmenting_payload().then(|| FragmentHeader {
        identification: header.identification().into(),
        offset: header.fragments_offset(),
        more_fragments: header.more_fragments(),
    });
    IpHeader {
        from: IpAddr::V4(header.source_addr()),
        to: IpAddr::V4(header.destination_addr()),
        payload_len: usize::from(header.total_len()).saturating_sub(header.slice().len()),
        fragment,
    }
}

fn ipv6_header(ip: &LaxIpv6Slice<'_>) -> IpHeader {
    let header = ip.header();
    let mut extensions = ip.extensions().clone().into_iter();
    let fragment = extensions.find_map(|extension| match extension {
        Ipv6ExtensionSlice::Fragment(fragment) if fragment.is_fragmenting_payload() => {
            let fragment = fragment.to_header();
            Some(FragmentHeader {
                identification: fragment.identification,
                offset: fragment.fragment_offset,
                more_fragments: fragment.more_fragments,
            })
        }
        _ => None,
    });
    let extensions_len = ip.extensions().slice().len();
    IpHeader {
        from: IpAddr::V6(header.source_addr()),
        to: IpAddr::V6(header.destination_addr()),
        payload_len: usize::from(header.payload_length()).saturating_sub(extensions_len),
        fragment,
    }
}
