//! The pcap format (draft-ietf-opsawg-pcap).

use super::error::FileErrorKind;
use super::link::LinkType;
use super::{read_u32, PacketRecord, Parsed, MAX_PACKET_BYTES};
use crate::Timestamp;
use pcap_parser::pcap::{parse_pcap_frame, parse_pcap_frame_be, parse_pcap_header};

/// Length of the file header, in bytes.
pub(super) const FILE_HEADER_LEN: usize = 24;
/// Length of the header of a record, in bytes.
const RECORD_HEADER_LEN: usize = 16;
/// Offset of the captured length in the header of a record, in bytes.
const CAPTURED_LENGTH_OFFSET: usize = 8;
/// The magic numbers of micro- and nanosecond files in both byte orders, read as little-endian.
const MAGIC_NUMBERS: [u32; 4] = [0xa1b2_c3d4, 0xd4c3_b2a1, 0xa1b2_3c4d, 0x4d3c_b2a1];
/// The bits of the network field that contain the link type. The others describe a frame check sequence, which can be
/// ignored because IP headers state the length.
const LINK_TYPE_MASK: i32 = 0xffff;
const NANOS_PER_SECOND: u32 = 1_000_000_000;
const MICROS_PER_SECOND: u32 = 1_000_000;

/// The header of a pcap file.
#[derive(Clone, Copy, Debug)]
pub(super) struct FileHeader {
    is_big_endian: bool,
    has_nanoseconds: bool,
    link: LinkType,
}

pub(super) fn is_magic_number(bytes: [u8; 4]) -> bool {
    MAGIC_NUMBERS.contains(&u32::from_le_bytes(bytes))
}

/// Parses the file header. Returns `None` while the header is incomplete.
pub(super) fn parse_file_header(bytes: &[u8]) -> Result<Option<FileHeader>, FileErrorKind> {
    if bytes.len() < FILE_HEADER_LEN {
        return Ok(None);
    }
    let (_, header) = parse_pcap_header(bytes).map_err(|_| FileErrorKind::UnknownFormat)?;
    Ok(Some(FileHeader {
        is_big_endian: header.is_bigendian(),
        has_nanoseconds: header.is_nanosecond_precision(),
        link: LinkType::from_number(header.network.0 & LINK_TYPE_MASK),
    }))
}

/// Parses the record at the start of `bytes`.
pub(super) fn parse_record(bytes: &[u8], header: FileHeader) -> Result<Parsed, FileErrorKind> {
    if bytes.len() < RECORD_HEADER_LEN {
        return Ok(Parsed::NeedsBytes);
    }
    // The length is checked before more bytes are awaited, because damaged files may claim gigabytes.
    let claimed = read_u32(bytes, CAPTURED_LENGTH_OFFSET, header.is_big_endian);
    if claimed as usize > MAX_PACKET_BYTES {
        return Err(FileErrorKind::TooLong(claimed.into()));
    }
    let parse = if header.is_big_endian {
        parse_pcap_frame_be
    } else {
        parse_pcap_frame
    };
    let Ok((_, record)) = parse(bytes) else {
        return Ok(Parsed::NeedsBytes);
    };
    let units_per_second = if header.has_nanoseconds {
        NANOS_PER_SECOND
    } else {
        MICROS_PER_SECOND
    };
    if record.ts_usec >= units_per_second || record.origlen < record.caplen {
        return Err(FileErrorKind::Malformed);
    }
    let nanos_per_unit = u64::from(NANOS_PER_SECOND / units_per_second);
    let seconds = u64::from(record.ts_sec) * u64::from(NANOS_PER_SECOND);
    let record_len = RECORD_HEADER_LEN + record.data.len();
    Ok(Parsed::Packet(PacketRecord {
        record_len,
        data: RECORD_HEADER_LEN..record_len,
        time: Timestamp(seconds + u64::from(record.ts_usec) * nanos_per_unit),
        link: header.link,
        wire_len: record.origlen,
        leg: None,
    }))
}
