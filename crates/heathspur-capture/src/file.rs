//! Packets out of the bytes of a capture file: pcap (both byte orders, micro- and nanoseconds) and pcapng.
//!
//! Sources: the pcap and pcapng internet drafts (draft-ietf-opsawg-pcap, draft-ietf-opsawg-pcapng). Headers
//! and blocks are read by `pcap-parser`; what it leaves open is settled here: lengths are checked before
//! anything waits for them, blocks that hold no packet are passed over without being kept, and time stamps in
//! powers of two and offsets in big-endian sections are right.

use crate::{Leg, Stamp};
use pcap_parser::pcapng::{Block, InterfaceDescriptionBlock, OptionCode};
use pcap_parser::traits::PcapNGPacketBlock;
use std::fmt;

/// The longest packet that is taken, in bytes: what capture programs write at most by default.
pub const PACKET: usize = 256 * 1024;
/// The longest block of pcapng that is kept while it is incomplete: a packet with its options.
const BLOCK: usize = PACKET + 64 * 1024;
/// Interfaces of one section at most; what names more is damage.
const INTERFACES: usize = 4096;
/// Bytes used up at the front of the buffer before it is moved together.
const SLACK: usize = 1024 * 1024;

/// How the first bytes of a packet are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// Ethernet II, with or without VLAN tags.
    Ethernet,
    /// IPv4 or IPv6 without anything before it.
    Ip,
    /// Linux cooked capture, 16 bytes of header.
    Cooked,
    /// Linux cooked capture v2, 20 bytes of header.
    Cooked2,
    /// BSD loopback: four bytes of address family.
    Loopback,
    /// Any other; its packets are passed over.
    Other(i32),
}

impl Link {
    /// By the number that files carry (the registry of link types at tcpdump.org).
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

    /// A number that files carry for it.
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

/// One packet as it stands in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// When it was captured.
    pub time: Stamp,
    /// How it begins.
    pub link: Link,
    /// What was kept of it.
    pub data: &'a [u8],
    /// Its length on the wire, in bytes; more than is kept where it was cut.
    pub wire_len: u32,
    /// Where a recording of ours saw it, by the name of its interface.
    pub leg: Option<Leg>,
}

/// What makes the rest of a file unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its first bytes are those of no capture file.
    NoCapture,
    /// A record or block claims more bytes than any may have.
    Length(u64),
    /// A block's lengths or fields contradict each other.
    Garbled,
    /// A packet names an interface that was not described.
    Interface(u32),
    /// A section describes more interfaces than are taken.
    Interfaces,
    /// It ends in the middle of a record or block; so many bytes of it are there.
    Cut(u64),
}

/// Where and why reading ended; all packets before it were given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The place in the file, in bytes from its start, where the record or block begins.
    pub offset: u64,
    /// What is wrong there.
    pub cause: Cause,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at byte {}: ", self.offset)?;
        match self.cause {
            Cause::NoCapture => write!(f, "neither pcap nor pcapng"),
            Cause::Length(n) => write!(f, "a record claims {n} bytes, more than any may have"),
            Cause::Garbled => write!(f, "a block whose parts contradict each other"),
            Cause::Interface(n) => write!(f, "a packet of interface {n}, which was not described"),
            Cause::Interfaces => write!(f, "more than {INTERFACES} interfaces"),
            Cause::Cut(n) => write!(f, "the file ends {n} bytes into a record"),
        }
    }
}

impl std::error::Error for Damage {}

#[derive(Clone, Copy, Debug)]
struct Interface {
    link: Link,
    leg: Option<Leg>,
    snap: u32,
    /// Units of its time stamps per second, as a power of ten or of two.
    resolution: Resolution,
    /// Seconds added to each of its time stamps.
    offset: i64,
}

#[derive(Clone, Copy, Debug)]
enum Resolution {
    Ten(u32),
    Two(u32),
}

impl Resolution {
    fn of(byte: u8) -> Option<Resolution> {
        match byte & 0x80 {
            0 => (byte <= 19).then_some(Resolution::Ten(byte.into())),
            _ => (byte & 0x7f <= 63).then_some(Resolution::Two((byte & 0x7f).into())),
        }
    }

    fn nanos(self, units: u64) -> u128 {
        let units = u128::from(units);
        match self {
            Resolution::Ten(n) => units * 1_000_000_000 / 10u128.pow(n),
            Resolution::Two(n) => (units * 1_000_000_000) >> n,
        }
    }
}

#[derive(Debug)]
enum Format {
    /// Not known before the first bytes are there.
    Unknown,
    Pcap {
        big: bool,
        nanos: bool,
        link: Link,
    },
    Ng {
        big: bool,
        interfaces: Vec<Interface>,
    },
}

/// What stands at the front of the buffer.
enum Step {
    /// More bytes are needed.
    More,
    /// So many bytes hold no packet.
    Pass(u64),
    /// A packet: bytes in all, where its data stand, when, how long on the wire.
    Packet {
        whole: usize,
        data: std::ops::Range<usize>,
        time: Stamp,
        link: Link,
        wire_len: u32,
        leg: Option<Leg>,
    },
}

/// Finds one packet after another in bytes that come in pieces.
#[derive(Debug)]
pub struct Reader {
    format: Format,
    buffer: Vec<u8>,
    used: usize,
    /// The file's offset of the buffer's first byte.
    base: u64,
    /// Bytes still to be passed over without being kept.
    skip: u64,
    /// Where what is passed over begins.
    skip_from: u64,
    ended: Option<Damage>,
}

impl Default for Reader {
    fn default() -> Reader {
        Reader::new()
    }
}

impl Reader {
    /// A reader that has seen nothing yet.
    pub fn new() -> Reader {
        Reader {
            format: Format::Unknown,
            buffer: Vec::new(),
            used: 0,
            base: 0,
            skip: 0,
            skip_from: 0,
            ended: None,
        }
    }

    /// Takes the next bytes of the file. Packets should be taken out before more is fed: what is kept is
    /// bounded by one block and what one call brings.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.ended.is_some() {
            return;
        }
        if self.used >= SLACK.min(self.buffer.len()) {
            self.base += self.used as u64;
            self.buffer.drain(..self.used);
            self.used = 0;
        }
        let over = (self.skip.min(bytes.len() as u64)) as usize;
        // Bytes to pass over are only left once the buffer is used up.
        self.skip -= over as u64;
        self.base += over as u64;
        self.buffer.extend_from_slice(&bytes[over..]);
    }

    /// The place in the file up to which all was read, in bytes.
    pub fn offset(&self) -> u64 {
        self.base + self.used as u64
    }

    /// The next packet; none when more bytes are needed. Damage is told once and again by each later call.
    pub fn next_packet(&mut self) -> Result<Option<Packet<'_>>, Damage> {
        loop {
            if let Some(damage) = self.ended {
                return Err(damage);
            }
            if self.skip > 0 {
                return Ok(None);
            }
            match self.step() {
                Err(cause) => {
                    let damage = Damage {
                        offset: self.offset(),
                        cause,
                    };
                    self.ended = Some(damage);
                    self.buffer = Vec::new();
                    self.base = damage.offset;
                    self.used = 0;
                }
                Ok(Step::More) => return Ok(None),
                Ok(Step::Pass(count)) => self.pass(count),
                Ok(Step::Packet {
                    whole,
                    data,
                    time,
                    link,
                    wire_len,
                    leg,
                }) => {
                    let start = self.used;
                    self.used += whole;
                    let data = &self.buffer[start + data.start..start + data.end];
                    return Ok(Some(Packet {
                        time,
                        link,
                        data,
                        wire_len,
                        leg,
                    }));
                }
            }
        }
    }

    /// The file has ended: damage if that was in the middle of something.
    pub fn finish(&mut self) -> Result<(), Damage> {
        if let Some(damage) = self.ended {
            return Err(damage);
        }
        let left = (self.buffer.len() - self.used) as u64;
        let damage = match &self.format {
            _ if self.skip > 0 => Damage {
                offset: self.skip_from,
                cause: Cause::Cut(self.base - self.skip_from),
            },
            Format::Unknown => Damage {
                offset: 0,
                cause: Cause::NoCapture,
            },
            _ if left > 0 => Damage {
                offset: self.offset(),
                cause: Cause::Cut(left),
            },
            _ => return Ok(()),
        };
        self.ended = Some(damage);
        Err(damage)
    }

    fn pass(&mut self, count: u64) {
        let there = (self.buffer.len() - self.used) as u64;
        if count <= there {
            self.used += count as usize;
        } else {
            self.skip_from = self.offset();
            self.skip = count - there;
            self.base += self.buffer.len() as u64;
            self.buffer.clear();
            self.used = 0;
        }
    }

    fn step(&mut self) -> Result<Step, Cause> {
        let bytes = &self.buffer[self.used..];
        match &mut self.format {
            Format::Unknown => {
                let Some(magic) = bytes.first_chunk::<4>() else {
                    return Ok(Step::More);
                };
                if *magic == [0x0a, 0x0d, 0x0d, 0x0a] {
                    self.format = Format::Ng {
                        big: false,
                        interfaces: Vec::new(),
                    };
                    return Ok(Step::Pass(0));
                }
                if !matches!(
                    u32::from_le_bytes(*magic),
                    0xa1b2_c3d4 | 0xd4c3_b2a1 | 0xa1b2_3c4d | 0x4d3c_b2a1
                ) {
                    return Err(Cause::NoCapture);
                }
                if bytes.len() < 24 {
                    return Ok(Step::More);
                }
                let (_, header) =
                    pcap_parser::pcap::parse_pcap_header(bytes).map_err(|_| Cause::NoCapture)?;
                // The upper bits tell of a frame check sequence, which lengths of IP make harmless.
                let link = Link::of(header.network.0 & 0xffff);
                let (big, nanos) = (header.is_bigendian(), header.is_nanosecond_precision());
                self.format = Format::Pcap { big, nanos, link };
                Ok(Step::Pass(24))
            }
            Format::Pcap { big, nanos, link } => record(bytes, *big, *nanos, *link),
            Format::Ng { big, interfaces } => block(bytes, big, interfaces),
        }
    }
}

fn record(bytes: &[u8], big: bool, nanos: bool, link: Link) -> Result<Step, Cause> {
    if bytes.len() < 16 {
        return Ok(Step::More);
    }
    // The length is looked at before anything is waited for: garbage claims gigabytes.
    let claimed = word(bytes, 8, big);
    if claimed as usize > PACKET {
        return Err(Cause::Length(claimed.into()));
    }
    let parse = if big {
        pcap_parser::pcap::parse_pcap_frame_be
    } else {
        pcap_parser::pcap::parse_pcap_frame
    };
    let Ok((_, found)) = parse(bytes) else {
        return Ok(Step::More);
    };
    let per_second = if nanos { 1_000_000_000 } else { 1_000_000 };
    if found.ts_usec >= per_second || found.origlen < found.caplen {
        // No program writes a part of a second past a second, nor keeps more than there was.
        return Err(Cause::Garbled);
    }
    let unit = 1_000_000_000 / u64::from(per_second);
    let time = Stamp(u64::from(found.ts_sec) * 1_000_000_000 + u64::from(found.ts_usec) * unit);
    let whole = 16 + found.data.len();
    Ok(Step::Packet {
        whole,
        data: 16..whole,
        time,
        link,
        wire_len: found.origlen,
        leg: None,
    })
}

fn block(bytes: &[u8], big: &mut bool, interfaces: &mut Vec<Interface>) -> Result<Step, Cause> {
    const SECTION: u32 = 0x0a0d_0d0a;
    const INTERFACE: u32 = 1;
    const SIMPLE: u32 = 3;
    const ENHANCED: u32 = 6;
    if bytes.len() < 12 {
        return Ok(Step::More);
    }
    let kind = word(bytes, 0, *big);
    if kind == SECTION {
        *big = match bytes[8..12] {
            [0x1a, 0x2b, 0x3c, 0x4d] => true,
            [0x4d, 0x3c, 0x2b, 0x1a] => false,
            _ => return Err(Cause::Garbled),
        };
    }
    let length = word(bytes, 4, *big) as usize;
    if length < 12 || length % 4 != 0 {
        return Err(Cause::Garbled);
    }
    if !matches!(kind, SECTION | INTERFACE | SIMPLE | ENHANCED) {
        // The obsolete packet block (2) is passed over as well.
        return Ok(Step::Pass(length as u64));
    }
    if length > BLOCK {
        return Err(Cause::Length(length as u64));
    }
    if bytes.len() < length {
        return Ok(Step::More);
    }
    if word(bytes, length - 4, *big) as usize != length {
        return Err(Cause::Garbled);
    }
    let parse = if *big {
        pcap_parser::pcapng::parse_block_be
    } else {
        pcap_parser::pcapng::parse_block_le
    };
    let (_, found) = parse(&bytes[..length]).map_err(|_| Cause::Garbled)?;
    match found {
        Block::SectionHeader(_) => interfaces.clear(),
        Block::InterfaceDescription(found) => {
            if interfaces.len() == INTERFACES {
                return Err(Cause::Interfaces);
            }
            interfaces.push(described(&found, *big)?);
        }
        Block::EnhancedPacket(found) => {
            let interface = interfaces
                .get(found.if_id as usize)
                .ok_or(Cause::Interface(found.if_id))?;
            let data = found.packet_data();
            if data.len() > PACKET || found.caplen as usize > found.data.len() {
                return Err(Cause::Garbled);
            }
            let units = u64::from(found.ts_high) << 32 | u64::from(found.ts_low);
            let nanos = interface.resolution.nanos(units) as i128
                + i128::from(interface.offset) * 1_000_000_000;
            let time = Stamp(nanos.clamp(0, u64::MAX.into()) as u64);
            let data = 28..28 + data.len();
            let wire_len = found.origlen.max(found.caplen);
            let (link, leg) = (interface.link, interface.leg);
            return Ok(Step::Packet {
                whole: length,
                data,
                time,
                link,
                wire_len,
                leg,
            });
        }
        Block::SimplePacket(found) => {
            let interface = interfaces.first().ok_or(Cause::Interface(0))?;
            let mut kept = found.packet_data().len();
            if interface.snap > 0 {
                kept = kept.min(interface.snap as usize);
            }
            // It has no time of its own: it is of use to nobody who replays, but its bytes are.
            let (data, time) = (12..12 + kept, Stamp::default());
            return Ok(Step::Packet {
                whole: length,
                data,
                time,
                link: interface.link,
                wire_len: found.origlen,
                leg: interface.leg,
            });
        }
        _ => {}
    }
    Ok(Step::Pass(length as u64))
}

fn described(found: &InterfaceDescriptionBlock<'_>, big: bool) -> Result<Interface, Cause> {
    let resolution = Resolution::of(found.if_tsresol).ok_or(Cause::Garbled)?;
    // The library reads the offset as little-endian whatever the section is.
    let offset = if big {
        found.if_tsoffset.swap_bytes()
    } else {
        found.if_tsoffset
    };
    let name = found
        .options
        .iter()
        .find(|option| option.code == OptionCode::IfName);
    let leg = name.and_then(|name| Leg::named(name.as_bytes().unwrap_or_default()));
    Ok(Interface {
        link: Link::of(found.linktype.0),
        leg,
        snap: found.snaplen,
        resolution,
        offset,
    })
}

fn word(bytes: &[u8], at: usize, big: bool) -> u32 {
    let word = [bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]];
    if big {
        u32::from_be_bytes(word)
    } else {
        u32::from_le_bytes(word)
    }
}
