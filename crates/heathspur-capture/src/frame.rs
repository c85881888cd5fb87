//! TCP segments out of packets: link headers, VLAN tags, IPv4 with options, IPv6 with extension headers, and
//! fragments of both put together. Headers are read by `etherparse`, which goes on where a packet was cut.

use crate::file::{Link, Packet};
use crate::Stamp;
use etherparse::defrag::IpDefragBuf;
use etherparse::{
    EtherType, IpFragOffset, IpNumber, Ipv6ExtensionSlice, LaxNetSlice, LaxSlicedPacket, TcpSlice,
    TransportSlice,
};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Datagrams in pieces at most; the one begun first makes room.
const DATAGRAMS: usize = 64;
/// Pieces of a datagram wait so long for the rest, in nanoseconds of capture time (RFC 791 suggests 15 s).
const PATIENCE: u64 = 15_000_000_000;

/// One segment of TCP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment<'a> {
    /// When its packet was captured; the last piece's where it came in pieces.
    pub time: Stamp,
    /// Where it comes from.
    pub from: SocketAddr,
    /// Where it goes.
    pub to: SocketAddr,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number, where it carries one.
    pub ack: Option<u32>,
    /// SYN.
    pub syn: bool,
    /// FIN.
    pub fin: bool,
    /// RST.
    pub rst: bool,
    /// What was kept of its payload.
    pub payload: Cow<'a, [u8]>,
    /// Bytes of payload that were on the wire and not kept, behind those that were.
    pub lost: u32,
}

/// Why a packet gave no segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Passed {
    /// A link type that is not read.
    Link,
    /// No IP, or no TCP in it.
    Other,
    /// Its headers make no sense or were cut.
    Headers,
    /// Its checksum is wrong, where these are looked at.
    Checksum,
    /// A piece of a datagram; kept until the others are there.
    Piece,
    /// A piece that contradicts the others.
    BadPiece,
}

/// What belongs to one datagram: ends, identification, protocol.
type DatagramId = (IpAddr, IpAddr, u32, u8);

#[derive(Debug)]
struct Datagram {
    begun: Stamp,
    whole: IpDefragBuf,
}

/// Finds segments in packets. It keeps pieces of datagrams, within bounds.
#[derive(Debug)]
pub struct Frames {
    checksums: bool,
    datagrams: BTreeMap<DatagramId, Datagram>,
    given_up: u64,
}

struct Piece {
    id: u32,
    offset: IpFragOffset,
    more: bool,
}

impl Frames {
    /// With checksums looked at or not. Captures on a sender are full of wrong ones, since its network card
    /// fills them in later, so they are better left alone unless the capture was made on a tap.
    pub fn new(checksums: bool) -> Frames {
        Frames {
            checksums,
            datagrams: BTreeMap::new(),
            given_up: 0,
        }
    }

    /// Datagrams of which pieces never came.
    pub fn given_up(&self) -> u64 {
        self.given_up
    }

    /// The segment in a packet, or why there is none.
    pub fn segment<'a>(&mut self, packet: &Packet<'a>) -> Result<Segment<'a>, Passed> {
        let sliced = slice(packet)?;
        let (from, to, whole, piece) = match &sliced.net {
            Some(LaxNetSlice::Ipv4(ip)) => {
                let header = ip.header();
                let piece = header.is_fragmenting_payload().then(|| Piece {
                    id: header.identification().into(),
                    offset: header.fragments_offset(),
                    more: header.more_fragments(),
                });
                // Segments that the sender's card will cut have no length here; then what is there counts.
                let claimed = usize::from(header.total_len()).saturating_sub(header.slice().len());
                (
                    IpAddr::V4(header.source_addr()),
                    IpAddr::V4(header.destination_addr()),
                    claimed,
                    piece,
                )
            }
            Some(LaxNetSlice::Ipv6(ip)) => {
                let header = ip.header();
                let piece =
                    ip.extensions()
                        .clone()
                        .into_iter()
                        .find_map(|extension| match extension {
                            Ipv6ExtensionSlice::Fragment(f) if f.is_fragmenting_payload() => {
                                let f = f.to_header();
                                Some(Piece {
                                    id: f.identification,
                                    offset: f.fragment_offset,
                                    more: f.more_fragments,
                                })
                            }
                            _ => None,
                        });
                let claimed = usize::from(header.payload_length())
                    .saturating_sub(ip.extensions().slice().len());
                (
                    IpAddr::V6(header.source_addr()),
                    IpAddr::V6(header.destination_addr()),
                    claimed,
                    piece,
                )
            }
            Some(LaxNetSlice::Arp(_)) | None => {
                return Err(if sliced.stop_err.is_some() {
                    Passed::Headers
                } else {
                    Passed::Other
                });
            }
        };
        let payload = sliced
            .net
            .as_ref()
            .and_then(LaxNetSlice::ip_payload_ref)
            .ok_or(Passed::Headers)?;
        if payload.ip_number != IpNumber::TCP {
            return Err(Passed::Other);
        }
        if let Some(piece) = piece {
            if payload.incomplete {
                return Err(Passed::Headers);
            }
            let whole = self.piece(packet.time, (from, to), &piece, payload.payload)?;
            let tcp = TcpSlice::from_slice(&whole).map_err(|_| Passed::Headers)?;
            if self.checksums && !checks(&tcp, from, to) {
                return Err(Passed::Checksum);
            }
            let found = made(packet.time, from, to, &tcp, 0);
            return Ok(Segment {
                payload: Cow::Owned(tcp.payload().to_vec()),
                ..found
            });
        }
        let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else {
            return Err(Passed::Headers);
        };
        let lost = if payload.incomplete {
            whole.saturating_sub(payload.payload.len())
        } else {
            0
        };
        if self.checksums && lost == 0 && !checks(tcp, from, to) {
            return Err(Passed::Checksum);
        }
        let found = made(packet.time, from, to, tcp, lost as u32);
        Ok(Segment {
            payload: Cow::Borrowed(tcp.payload()),
            ..found
        })
    }

    /// Adds a piece; the whole datagram's payload once all are there.
    fn piece(
        &mut self,
        time: Stamp,
        ends: (IpAddr, IpAddr),
        piece: &Piece,
        payload: &[u8],
    ) -> Result<Vec<u8>, Passed> {
        let before = self.datagrams.len();
        self.datagrams
            .retain(|_, datagram| time.since(datagram.begun) < PATIENCE);
        self.given_up += (before - self.datagrams.len()) as u64;
        let id = (ends.0, ends.1, piece.id, IpNumber::TCP.0);
        if !self.datagrams.contains_key(&id) && self.datagrams.len() >= DATAGRAMS {
            let oldest = self
                .datagrams
                .iter()
                .min_by_key(|(_, d)| d.begun)
                .map(|(&id, _)| id);
            if let Some(oldest) = oldest {
                self.datagrams.remove(&oldest);
                self.given_up += 1;
            }
        }
        let begin = || Datagram {
            begun: time,
            whole: IpDefragBuf::new(IpNumber::TCP, Vec::new(), Vec::new()),
        };
        let datagram = self.datagrams.entry(id).or_insert_with(begin);
        if datagram
            .whole
            .add(piece.offset, piece.more, payload)
            .is_err()
        {
            // Pieces that contradict each other are how some tell two readers different things.
            self.datagrams.remove(&id);
            return Err(Passed::BadPiece);
        }
        if !datagram.whole.is_complete() {
            return Err(Passed::Piece);
        }
        let whole = self.datagrams.remove(&id).ok_or(Passed::BadPiece)?;
        Ok(whole.whole.take_bufs().0)
    }
}

fn slice<'a>(packet: &Packet<'a>) -> Result<LaxSlicedPacket<'a>, Passed> {
    let data = packet.data;
    let typed = |at: usize, header: usize| -> Result<LaxSlicedPacket<'a>, Passed> {
        let kind = data.get(at..at + 2).ok_or(Passed::Headers)?;
        let rest = data.get(header..).ok_or(Passed::Headers)?;
        Ok(LaxSlicedPacket::from_ether_type(
            EtherType(u16::from_be_bytes([kind[0], kind[1]])),
            rest,
        ))
    };
    match packet.link {
        Link::Ethernet => LaxSlicedPacket::from_ethernet(data).map_err(|_| Passed::Headers),
        Link::Ip => LaxSlicedPacket::from_ip(data).map_err(|_| Passed::Headers),
        // The family's number differs between systems, and the first four bits of IP tell the same.
        Link::Loopback => LaxSlicedPacket::from_ip(data.get(4..).ok_or(Passed::Headers)?)
            .map_err(|_| Passed::Headers),
        Link::Cooked => typed(14, 16),
        Link::Cooked2 => typed(0, 20),
        Link::Other(_) => Err(Passed::Link),
    }
}

fn made<'a>(time: Stamp, from: IpAddr, to: IpAddr, tcp: &TcpSlice<'_>, lost: u32) -> Segment<'a> {
    Segment {
        time,
        from: SocketAddr::new(from, tcp.source_port()),
        to: SocketAddr::new(to, tcp.destination_port()),
        seq: tcp.sequence_number(),
        ack: tcp.ack().then(|| tcp.acknowledgment_number()),
        syn: tcp.syn(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        payload: Cow::Borrowed(&[]),
        lost,
    }
}

fn checks(tcp: &TcpSlice<'_>, from: IpAddr, to: IpAddr) -> bool {
    let sum = match (from, to) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            tcp.calc_checksum_ipv4(from.octets(), to.octets()).ok()
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            tcp.calc_checksum_ipv6(from.octets(), to.octets()).ok()
        }
        _ => None,
    };
    sum == Some(tcp.checksum())
}
