//! Encodes capture files: pcap records, pcapng blocks, and synthesised TCP conversations around the bytes that two
//! sides exchanged. Conversations have handshakes, sequence numbers, checksums and ends, so that any capture tool can
//! read them.

use crate::{Side, Timestamp};
use etherparse::PacketBuilder;
use pcap_parser::pcapng::{
    EnhancedPacketBlock, InterfaceDescriptionBlock, InterfaceStatisticsBlock, OptionCode,
    PcapNGOption, SectionHeaderBlock,
};
use pcap_parser::{LegacyPcapBlock, Linktype, PcapHeader, ToVec};
use std::borrow::Cow;
use std::net::{IpAddr, SocketAddr};

/// Codes of the options of interface statistics for the packets received and dropped.
const INTERFACE_RECEIVED: OptionCode = OptionCode(4);
const INTERFACE_DROPPED: OptionCode = OptionCode(5);
/// The number of the link type of packets that begin with an IP header.
pub const RAW_IP: i32 = 101;
/// The longest payload of a synthesised segment, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 16 * 1024;

/// Encodes the header of a pcap file with time stamps in nanoseconds. `snap` is the maximum length of captured packets.
pub fn pcap_header(link: i32, snap: u32) -> Vec<u8> {
    let header = PcapHeader {
        magic_number: 0xa1b2_3c4d,
        version_major: 2,
        version_minor: 4,
        thiszone: 0,
        sigfigs: 0,
        snaplen: snap,
        network: Linktype(link),
    };
    header.to_vec_raw().unwrap_or_default()
}

/// Encodes a record of a pcap file. `data` is the captured part of a packet of `wire_len` bytes.
pub fn pcap_record(time: Timestamp, data: &[u8], wire_len: u32) -> Vec<u8> {
    let record = LegacyPcapBlock {
        ts_sec: (time.0 / 1_000_000_000) as u32,
        ts_usec: (time.0 % 1_000_000_000) as u32,
        caplen: data.len() as u32,
        origlen: wire_len,
        data,
    };
    record.to_vec_raw().unwrap_or_default()
}

/// Encodes the section header of a pcapng file.
pub fn pcapng_section() -> Vec<u8> {
    let mut section = SectionHeaderBlock {
        block_type: 0,
        block_len1: 0,
        bom: 0,
        major_version: 0,
        minor_version: 0,
        section_len: -1,
        options: Vec::new(),
        block_len2: 0,
    };
    section.to_vec().unwrap_or_default()
}

/// Encodes an interface description of a pcapng file, with time stamps in nanoseconds. Packets refer to an interface by
/// its position among all interfaces.
pub fn pcapng_interface(link: i32, name: &str) -> Vec<u8> {
    let mut interface = InterfaceDescriptionBlock {
        block_type: 0,
        block_len1: 0,
        linktype: Linktype(link),
        reserved: 0,
        snaplen: 0,
        options: vec![
            option(OptionCode::IfName, name.as_bytes()),
            option(OptionCode::IfTsresol, &[9]),
        ],
        block_len2: 0,
        if_tsresol: 9,
        if_tsoffset: 0,
    };
    interface.to_vec().unwrap_or_default()
}

/// Encodes the start of a pcapng file: the section header and the interfaces of these names, all with raw IP.
pub fn pcapng_start(interfaces: &[&str]) -> Vec<u8> {
    let described = interfaces
        .iter()
        .flat_map(|name| pcapng_interface(RAW_IP, name));
    pcapng_section().into_iter().chain(described).collect()
}

/// Encodes an enhanced packet block of a pcapng file, with a comment unless `comment` is empty.
pub fn pcapng_packet(
    interface: u32,
    time: Timestamp,
    data: &[u8],
    wire_len: u32,
    comment: &str,
) -> Vec<u8> {
    let options = match comment {
        "" => Vec::new(),
        text => vec![option(OptionCode::Comment, text.as_bytes())],
    };
    let mut block = EnhancedPacketBlock {
        block_type: 0,
        block_len1: 0,
        if_id: interface,
        ts_high: (time.0 >> 32) as u32,
        ts_low: time.0 as u32,
        caplen: data.len() as u32,
        origlen: wire_len,
        data,
        options,
        block_len2: 0,
    };
    block.to_vec().unwrap_or_default()
}

/// Encodes an interface statistics block of a pcapng file: the number of packets that an interface received and dropped
/// up to a time (`isb_ifrecv`, `isb_ifdrop`).
pub fn pcapng_statistics(interface: u32, time: Timestamp, received: u64, dropped: u64) -> Vec<u8> {
    let (received, dropped) = (received.to_le_bytes(), dropped.to_le_bytes());
    let mut block = InterfaceStatisticsBlock {
        block_type: 0,
        block_len1: 0,
        if_id: interface,
        ts_high: (time.0 >> 32) as u32,
        ts_low: time.0 as u32,
        options: vec![
            option(INTERFACE_RECEIVED, &received),
            option(INTERFACE_DROPPED, &dropped),
        ],
        block_len2: 0,
    };
    block.to_vec().unwrap_or_default()
}

fn option(code: OptionCode, value: &[u8]) -> PcapNGOption<'_> {
    PcapNGOption {
        code,
        len: value.len() as u16,
        value: Cow::Borrowed(value),
    }
}

/// The flags of a synthesised segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// The SYN flag.
    pub syn: bool,
    /// The FIN flag.
    pub fin: bool,
    /// The RST flag.
    pub rst: bool,
}

/// Encodes the packet of one segment, from its IP header on, with valid checksums. `seq` and `ack` are the sequence and
/// acknowledgement numbers that the sender states.
pub fn segment(
    from: SocketAddr,
    to: SocketAddr,
    seq: u32,
    ack: Option<u32>,
    flags: Flags,
    payload: &[u8],
) -> Vec<u8> {
    let ip = match (from.ip(), to.ip()) {
        (IpAddr::V4(a), IpAddr::V4(b)) => PacketBuilder::ipv4(a.octets(), b.octets(), 64),
        (a, b) => PacketBuilder::ipv6(v6(a), v6(b), 64),
    };
    let mut tcp = ip.tcp(from.port(), to.port(), seq, 65_535);
    if let Some(ack) = ack {
        tcp = tcp.ack(ack);
    }
    if flags.syn {
        tcp = tcp.syn();
    }
    if flags.fin {
        tcp = tcp.fin();
    }
    if flags.rst {
        tcp = tcp.rst();
    }
    if !payload.is_empty() {
        tcp = tcp.psh();
    }
    let mut out = Vec::with_capacity(tcp.size(payload.len()));
    // Writing to memory fails only for payloads over 64 KiB, and callers pass shorter ones.
    if tcp.write(&mut out, payload).is_err() {
        out.clear();
    }
    out
}

fn v6(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}

/// A synthesised TCP conversation around the bytes of two sides. Each method returns the packets of one event, in
/// order.
#[derive(Clone, Debug)]
pub struct TcpConversation {
    /// The addresses of client and server. The other fields have the same order.
    addresses: [SocketAddr; 2],
    /// The next sequence numbers.
    seq: [u32; 2],
    /// Whether the side has sent a FIN, or the connection was reset.
    finished: [bool; 2],
}

impl TcpConversation {
    /// Creates a conversation that has not begun. `first` are the initial sequence numbers of client and server.
    pub fn new(client: SocketAddr, server: SocketAddr, first: [u32; 2]) -> TcpConversation {
        TcpConversation {
            addresses: [client, server],
            seq: first,
            finished: [false; 2],
        }
    }

    /// Returns the three packets of the handshake.
    pub fn open(&mut self) -> [Vec<u8>; 3] {
        let syn = Flags {
            syn: true,
            ..Flags::default()
        };
        let [client, server] = self.addresses;
        let first = segment(client, server, self.seq[0], None, syn, &[]);
        self.seq[0] = self.seq[0].wrapping_add(1);
        let second = segment(server, client, self.seq[1], Some(self.seq[0]), syn, &[]);
        self.seq[1] = self.seq[1].wrapping_add(1);
        [
            first,
            second,
            self.packet(Side::Client, Flags::default(), &[]),
        ]
    }

    /// Returns segments with the bytes that a side sends, each with at most [`MAX_SEGMENT_BYTES`].
    pub fn send(&mut self, side: Side, bytes: &[u8]) -> Vec<Vec<u8>> {
        let segments = bytes.chunks(MAX_SEGMENT_BYTES).map(|part| {
            let packet = self.packet(side, Flags::default(), part);
            self.seq[side.index()] = self.seq[side.index()].wrapping_add(part.len() as u32);
            packet
        });
        segments.collect()
    }

    /// Advances the sequence number of a side past bytes that are not recorded.
    pub fn skip(&mut self, side: Side, count: u64) {
        self.seq[side.index()] = self.seq[side.index()].wrapping_add(count as u32);
    }

    /// Returns the FIN of a side, unless the side has sent one already.
    pub fn finish(&mut self, side: Side) -> Option<Vec<u8>> {
        if std::mem::replace(&mut self.finished[side.index()], true) {
            return None;
        }
        let packet = self.packet(
            side,
            Flags {
                fin: true,
                ..Flags::default()
            },
            &[],
        );
        self.seq[side.index()] = self.seq[side.index()].wrapping_add(1);
        Some(packet)
    }

    /// Returns the RST of a side.
    pub fn reset(&mut self, side: Side) -> Vec<u8> {
        self.finished = [true; 2];
        self.packet(
            side,
            Flags {
                rst: true,
                ..Flags::default()
            },
            &[],
        )
    }

    fn packet(&self, side: Side, flags: Flags, payload: &[u8]) -> Vec<u8> {
        let (from, to) = (side.index(), side.other().index());
        segment(
            self.addresses[from],
            self.addresses[to],
            self.seq[from],
            Some(self.seq[to]),
            flags,
            payload,
        )
    }
}
