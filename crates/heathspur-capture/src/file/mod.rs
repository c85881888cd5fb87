//! Packets in the bytes of a capture file: pcap in both byte orders with micro- or nanoseconds, and pcapng.
//!
//! `pcap-parser` reads headers and blocks. This module adds what it leaves open: lengths are checked before more
//! bytes are awaited, blocks without a packet are skipped without being buffered, and time stamps in powers of
//! two and offsets in big-endian sections are converted correctly.

mod error;
mod link;
mod pcap;
mod pcapng;

pub use error::{FileError, FileErrorKind};
pub use link::LinkType;

use crate::{Leg, Stamp};
use std::ops::Range;

/// The longest packet that is accepted, in bytes: what capture programs write at most by default.
pub const MAX_PACKET_BYTES: usize = 256 * 1024;
/// Consumed bytes at the front of the buffer that trigger its compaction.
const COMPACTION_THRESHOLD: usize = 1024 * 1024;

/// A packet in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// When it was captured.
    pub time: Stamp,
    /// Its link type.
    pub link: LinkType,
    /// The bytes that were captured.
    pub data: &'a [u8],
    /// Its length on the wire, in bytes; more than the data where it was truncated.
    pub wire_len: u32,
    /// The part of the server that recorded it, by the name of its interface.
    pub leg: Option<Leg>,
}

#[derive(Debug)]
enum Format {
    /// The first bytes are not known yet.
    Unknown,
    Pcap(pcap::FileHeader),
    PcapNg(pcapng::Section),
}

/// What stands at the front of the buffer.
enum Parsed {
    /// An incomplete record.
    NeedsBytes,
    /// This many bytes without a packet.
    Skip(u64),
    Packet(PacketRecord),
}

/// A packet at the front of the buffer.
struct PacketRecord {
    /// Length of the whole record or block.
    record_len: usize,
    /// The range of the captured bytes in it.
    data: Range<usize>,
    time: Stamp,
    link: LinkType,
    wire_len: u32,
    leg: Option<Leg>,
}

/// Reads the packets of a file that arrives in pieces of any size.
#[derive(Debug)]
pub struct Reader {
    format: Format,
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that are consumed.
    consumed: usize,
    /// Offset in the file of the first byte in the buffer.
    buffer_offset: u64,
    /// Bytes that remain to be skipped; the buffer is empty while there are any.
    skip_remaining: u64,
    /// Offset in the file of the block that is being skipped.
    skip_offset: u64,
    error: Option<FileError>,
}

impl Default for Reader {
    fn default() -> Reader {
        Reader::new()
    }
}

impl Reader {
    /// Creates a reader at the start of a file.
    pub fn new() -> Reader {
        Reader {
            format: Format::Unknown,
            buffer: Vec::new(),
            consumed: 0,
            buffer_offset: 0,
            skip_remaining: 0,
            skip_offset: 0,
            error: None,
        }
    }

    /// Adds the next bytes of the file. Packets should be taken before more bytes are added: then the memory is
    /// bounded by one block and the bytes of one call.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_some() {
            return;
        }
        if self.consumed >= COMPACTION_THRESHOLD.min(self.buffer.len()) {
            self.buffer_offset += self.consumed as u64;
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        let skipped = self.skip_remaining.min(bytes.len() as u64);
        self.skip_remaining -= skipped;
        self.buffer_offset += skipped;
        self.buffer.extend_from_slice(&bytes[skipped as usize..]);
    }

    /// The offset in the file up to which all bytes were read.
    pub fn offset(&self) -> u64 {
        self.buffer_offset + self.consumed as u64
    }

    /// The next packet, or `None` when more bytes are needed. An error is repeated by each later call.
    pub fn next_packet(&mut self) -> Result<Option<Packet<'_>>, FileError> {
        loop {
            if let Some(error) = self.error {
                return Err(error);
            }
            if self.skip_remaining > 0 {
                return Ok(None);
            }
            match self.parse() {
                Err(kind) => self.fail(kind),
                Ok(Parsed::NeedsBytes) => return Ok(None),
                Ok(Parsed::Skip(count)) => self.skip(count),
                Ok(Parsed::Packet(record)) => return Ok(Some(self.consume(&record))),
            }
        }
    }

    /// Ends the file. An error means that it ended in the middle of a record, or earlier.
    pub fn finish(&mut self) -> Result<(), FileError> {
        if self.error.is_none() {
            self.error = self.error_at_end();
        }
        self.error.map_or(Ok(()), Err)
    }

    fn error_at_end(&self) -> Option<FileError> {
        if self.skip_remaining > 0 {
            let present = self.buffer_offset - self.skip_offset;
            return Some(FileError {
                offset: self.skip_offset,
                kind: FileErrorKind::Truncated(present),
            });
        }
        if matches!(self.format, Format::Unknown) {
            return Some(FileError {
                offset: 0,
                kind: FileErrorKind::UnknownFormat,
            });
        }
        let present = (self.buffer.len() - self.consumed) as u64;
        (present > 0).then(|| FileError {
            offset: self.offset(),
            kind: FileErrorKind::Truncated(present),
        })
    }

    /// Stops reading: the rest of the file is ignored.
    fn fail(&mut self, kind: FileErrorKind) {
        let offset = self.offset();
        self.error = Some(FileError { offset, kind });
        self.buffer = Vec::new();
        self.buffer_offset = offset;
        self.consumed = 0;
    }

    fn consume(&mut self, record: &PacketRecord) -> Packet<'_> {
        let start = self.consumed;
        self.consumed += record.record_len;
        Packet {
            time: record.time,
            link: record.link,
            data: &self.buffer[start + record.data.start..start + record.data.end],
            wire_len: record.wire_len,
            leg: record.leg,
        }
    }

    fn skip(&mut self, count: u64) {
        let buffered = (self.buffer.len() - self.consumed) as u64;
        if count <= buffered {
            self.consumed += count as usize;
            return;
        }
        self.skip_offset = self.offset();
        self.skip_remaining = count - buffered;
        self.buffer_offset += self.buffer.len() as u64;
        self.buffer.clear();
        self.consumed = 0;
    }

    fn parse(&mut self) -> Result<Parsed, FileErrorKind> {
        let bytes = &self.buffer[self.consumed..];
        match &mut self.format {
            Format::Unknown => self.detect_format(),
            Format::Pcap(header) => pcap::parse_record(bytes, *header),
            Format::PcapNg(section) => section.parse_block(bytes),
        }
    }

    fn detect_format(&mut self) -> Result<Parsed, FileErrorKind> {
        let bytes = &self.buffer[self.consumed..];
        let Some(first_bytes) = bytes.first_chunk::<4>() else {
            return Ok(Parsed::NeedsBytes);
        };
        if *first_bytes == pcapng::FIRST_BYTES {
            // They belong to the first block, and are parsed with it.
            self.format = Format::PcapNg(pcapng::Section::default());
            return Ok(Parsed::Skip(0));
        }
        if !pcap::is_magic_number(*first_bytes) {
            return Err(FileErrorKind::UnknownFormat);
        }
        let Some(header) = pcap::parse_file_header(bytes)? else {
            return Ok(Parsed::NeedsBytes);
        };
        self.format = Format::Pcap(header);
        Ok(Parsed::Skip(pcap::FILE_HEADER_LEN as u64))
    }
}

fn read_u32(bytes: &[u8], offset: usize, is_big_endian: bool) -> u32 {
    let word = [
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ];
    if is_big_endian {
        u32::from_be_bytes(word)
    } else {
        u32::from_le_bytes(word)
    }
}
