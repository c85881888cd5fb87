//! The pcapng format (draft-ietf-opsawg-pcapng).

use super::error::FileErrorKind;
use super::link::LinkType;
use super::{read_u32, PacketRecord, Parsed, MAX_PACKET_BYTES};
use crate::{Leg, Timestamp};
use pcap_parser::pcapng::{
    parse_block_be, parse_block_le, Block, EnhancedPacketBlock, InterfaceDescriptionBlock,
    OptionCode, SimplePacketBlock,
};
use pcap_parser::traits::PcapNGPacketBlock;

/// The first bytes of a file: the type of a section header block, the same in both byte orders.
pub(super) const FIRST_BYTES: [u8; 4] = [0x0a, 0x0d, 0x0d, 0x0a];
/// The maximum number of interfaces in a section. More than these are a sign of damage.
pub(super) const MAX_INTERFACES: usize = 4096;
/// The longest block that is buffered, in bytes: a packet with its options.
const MAX_BLOCK_BYTES: usize = MAX_PACKET_BYTES + 64 * 1024;
/// The length of the shortest block, in bytes: its type and its length, which is stated twice.
const MIN_BLOCK_LEN: usize = 12;
/// Blocks are padded to a multiple of this length, in bytes.
const BLOCK_ALIGNMENT: usize = 4;
/// Offset of the packet in an enhanced packet block, in bytes.
const ENHANCED_DATA_OFFSET: usize = 28;
/// Offset of the packet in a simple packet block, in bytes.
const SIMPLE_DATA_OFFSET: usize = 12;
const NANOS_PER_SECOND: u32 = 1_000_000_000;

/// Types of the blocks that are parsed. Others are skipped, including the obsolete packet block (type 2).
mod block_type {
    pub const SECTION_HEADER: u32 = 0x0a0d_0d0a;
    pub const INTERFACE_DESCRIPTION: u32 = 1;
    pub const SIMPLE_PACKET: u32 = 3;
    pub const ENHANCED_PACKET: u32 = 6;
    pub const PARSED: [u32; 4] = [
        SECTION_HEADER,
        INTERFACE_DESCRIPTION,
        SIMPLE_PACKET,
        ENHANCED_PACKET,
    ];
}

/// The state of the current section.
#[derive(Debug, Default)]
pub(super) struct Section {
    is_big_endian: bool,
    interfaces: Vec<Interface>,
}

impl Section {
    /// Parses the block at the start of `bytes`.
    pub fn parse_block(&mut self, bytes: &[u8]) -> Result<Parsed, FileErrorKind> {
        if bytes.len() < MIN_BLOCK_LEN {
            return Ok(Parsed::NeedsBytes);
        }
        let block_type = read_u32(bytes, 0, self.is_big_endian);
        if block_type == block_type::SECTION_HEADER {
            self.is_big_endian = is_big_endian_section(bytes)?;
        }
        let length = read_u32(bytes, 4, self.is_big_endian) as usize;
        if length < MIN_BLOCK_LEN || length % BLOCK_ALIGNMENT != 0 {
            return Err(FileErrorKind::Malformed);
        }
        if !block_type::PARSED.contains(&block_type) {
            return Ok(Parsed::Skip(length as u64));
        }
        if length > MAX_BLOCK_BYTES {
            return Err(FileErrorKind::TooLong(length as u64));
        }
        if bytes.len() < length {
            return Ok(Parsed::NeedsBytes);
        }
        if read_u32(bytes, length - 4, self.is_big_endian) as usize != length {
            return Err(FileErrorKind::Malformed);
        }
        self.parse_complete_block(&bytes[..length])
    }

    fn parse_complete_block(&mut self, bytes: &[u8]) -> Result<Parsed, FileErrorKind> {
        let parse = if self.is_big_endian {
            parse_block_be
        } else {
            parse_block_le
        };
        let (_, block) = parse(bytes).map_err(|_| FileErrorKind::Malformed)?;
        match block {
            Block::SectionHeader(_) => self.interfaces.clear(),
            Block::InterfaceDescription(block) => self.add_interface(&block)?,
            Block::EnhancedPacket(block) => {
                return self
                    .enhanced_packet(&block, bytes.len())
                    .map(Parsed::Packet);
            }
            Block::SimplePacket(block) => {
                return self.simple_packet(&block, bytes.len()).map(Parsed::Packet);
            }
            _ => {}
        }
        Ok(Parsed::Skip(bytes.len() as u64))
    }

    fn add_interface(
        &mut self,
        block: &InterfaceDescriptionBlock<'_>,
    ) -> Result<(), FileErrorKind> {
        if self.interfaces.len() == MAX_INTERFACES {
            return Err(FileErrorKind::TooManyInterfaces);
        }
        let interface = Interface::parse(block, self.is_big_endian)?;
        self.interfaces.push(interface);
        Ok(())
    }

    fn enhanced_packet(
        &self,
        block: &EnhancedPacketBlock<'_>,
        record_len: usize,
    ) -> Result<PacketRecord, FileErrorKind> {
        let interface = self.interface(block.if_id)?;
        let captured = block.packet_data().len();
        if captured > MAX_PACKET_BYTES || block.caplen as usize > block.data.len() {
            return Err(FileErrorKind::Malformed);
        }
        let units = u64::from(block.ts_high) << 32 | u64::from(block.ts_low);
        Ok(PacketRecord {
            record_len,
            data: ENHANCED_DATA_OFFSET..ENHANCED_DATA_OFFSET + captured,
            time: interface.time(units),
            link: interface.link,
            wire_len: block.origlen.max(block.caplen),
            leg: interface.leg,
        })
    }

    /// Returns the packet of a simple packet block, which has no time and belongs to the first interface.
    fn simple_packet(
        &self,
        block: &SimplePacketBlock<'_>,
        record_len: usize,
    ) -> Result<PacketRecord, FileErrorKind> {
        let interface = self.interface(0)?;
        let mut captured = block.packet_data().len();
        if interface.snap_len > 0 {
            captured = captured.min(interface.snap_len as usize);
        }
        Ok(PacketRecord {
            record_len,
            data: SIMPLE_DATA_OFFSET..SIMPLE_DATA_OFFSET + captured,
            time: Timestamp::default(),
            link: interface.link,
            wire_len: block.origlen,
            leg: interface.leg,
        })
    }

    fn interface(&self, id: u32) -> Result<&Interface, FileErrorKind> {
        self.interfaces
            .get(id as usize)
            .ok_or(FileErrorKind::UnknownInterface(id))
    }
}

/// Reads the byte order magic of a section header block.
fn is_big_endian_section(bytes: &[u8]) -> Result<bool, FileErrorKind> {
    match bytes[8..MIN_BLOCK_LEN] {
        [0x1a, 0x2b, 0x3c, 0x4d] => Ok(true),
        [0x4d, 0x3c, 0x2b, 0x1a] => Ok(false),
        _ => Err(FileErrorKind::Malformed),
    }
}

/// An interface described in the current section.
#[derive(Clone, Copy, Debug)]
struct Interface {
    link: LinkType,
    leg: Option<Leg>,
    /// The maximum number of bytes that are captured of a packet; 0 if there is no limit.
    snap_len: u32,
    resolution: Resolution,
    /// Seconds to add to each time stamp.
    offset_seconds: i64,
}

impl Interface {
    fn parse(
        block: &InterfaceDescriptionBlock<'_>,
        is_big_endian: bool,
    ) -> Result<Interface, FileErrorKind> {
        let resolution = Resolution::parse(block.if_tsresol).ok_or(FileErrorKind::Malformed)?;
        // `pcap-parser` reads the offset as little-endian in all sections.
        let offset_seconds = if is_big_endian {
            block.if_tsoffset.swap_bytes()
        } else {
            block.if_tsoffset
        };
        let name = block
            .options
            .iter()
            .find(|option| option.code == OptionCode::IfName);
        let leg = name.and_then(|name| Leg::from_name(name.as_bytes().unwrap_or_default()));
        Ok(Interface {
            link: LinkType::from_number(block.linktype.0),
            leg,
            snap_len: block.snaplen,
            resolution,
            offset_seconds,
        })
    }

    fn time(&self, units: u64) -> Timestamp {
        let offset = i128::from(self.offset_seconds) * i128::from(NANOS_PER_SECOND);
        let nanos = self.resolution.nanos(units) as i128 + offset;
        Timestamp(nanos.clamp(0, u64::MAX.into()) as u64)
    }
}

/// The number of time stamp units per second, as a power of ten or of two.
#[derive(Clone, Copy, Debug)]
enum Resolution {
    PowerOfTen(u32),
    PowerOfTwo(u32),
}

impl Resolution {
    /// Parses the `if_tsresol` option: the upper bit selects the base, the others are the exponent.
    fn parse(byte: u8) -> Option<Resolution> {
        const BASE_TWO: u8 = 0x80;
        const MAX_EXPONENT_OF_TEN: u8 = 19;
        const MAX_EXPONENT_OF_TWO: u8 = 63;
        let exponent = byte & !BASE_TWO;
        if byte & BASE_TWO == 0 {
            (exponent <= MAX_EXPONENT_OF_TEN).then_some(Resolution::PowerOfTen(exponent.into()))
        } else {
            (exponent <= MAX_EXPONENT_OF_TWO).then_some(Resolution::PowerOfTwo(exponent.into()))
        }
    }

    /// Converts time stamp units to nanoseconds.
    fn nanos(self, units: u64) -> u128 {
        let scaled = u128::from(units) * u128::from(NANOS_PER_SECOND);
        match self {
            Resolution::PowerOfTen(exponent) => scaled / 10u128.pow(exponent),
            Resolution::PowerOfTwo(exponent) => scaled >> exponent,
        }
    }
}
