//! Reads the packets of a capture file: pcap in both byte orders with micro- or nanoseconds, and pcapng.
//!
//! `pcap-parser` parses headers and blocks. This module adds what the library lacks: it checks lengths before it waits
//! for more bytes, skips blocks without a packet without buffering them, and correctly converts time stamps in powers
//! of two and time offsets in big-endian sections.

mod error;
mod link;
mod pcap;
mod pcapng;

pub use error::{FileError, FileErrorKind};
pub use link::LinkType;

use crate::{Leg, Timestamp};
use std::ops::Range;

/// The longest packet that is accepted, in bytes. Capture programs write at most this by default.
pub const MAX_PACKET_BYTES: usize = 256 * 1024;
/// The number of consumed bytes at the front of the buffer that triggers its compaction.
const COMPACTION_THRESHOLD_BYTES: usize = 1024 * 1024;

/// A packet in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// The capture time.
    pub time: Timestamp,
    /// The link type.
    pub link: LinkType,
    /// The bytes that were captured.
    pub data: &'a [u8],
    /// The length on the wire, in bytes. Exceeds the length of `data` if the capture truncated the packet.
    pub wire_len: u32,
    /// The part of the server that recorded the packet, by the name of its interface.
    pub leg: Option<Leg>,
}

#[derive(Debug)]
enum Format {
    /// The first bytes of the file have not been read yet.
    Unknown,
    Pcap(pcap::FileHeader),
    PcapNg(pcapng::Section),
}

/// The result of parsing the front of the buffer.
enum Parsed {
    /// The record is incomplete.
    NeedsBytes,
    /// This many bytes contain no packet.
    Skip(u64),
    Packet(PacketRecord),
}

/// A packet at the front of the buffer.
struct PacketRecord {
    /// The length of the complete record or block.
    record_len: usize,
    /// The range of the captured bytes in the record or block.
    data: Range<usize>,
    time: Timestamp,
    link: LinkType,
    wire_len: u32,
    leg: Option<Leg>,
}

/// Reads the packets of a file that is fed in chunks of any size.
#[derive(Debug)]
pub struct Reader {
    format: Format,
    buffer: Vec<u8>,
    /// The number of consumed bytes at the front of the buffer.
    consumed: usize,
    /// The offset in the file of the first byte in the buffer.
    buffer_offset: u64,
    /// The number of bytes that remain to be skipped. The buffer is empty while it is not 0.
    skip_remaining: u64,
    /// The offset in the file of the block that is being skipped.
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

    /// Adds the next bytes of the file. If all packets are taken with [`Reader::next_packet`] before each call, the
    /// buffer is bounded by one block, the bytes of one call and 1 MiB of bytes that were already consumed.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_some() {
            return;
        }
        if self.consumed >= COMPACTION_THRESHOLD_BYTES.min(self.buffer.len()) {
            self.buffer_offset += self.consumed as u64;
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        let skipped = self.skip_remaining.min(bytes.len() as u64);
        self.skip_remaining -= skipped;
        self.buffer_offset += skipped;
        self.buffer.extend_from_slice(&bytes[skipped as usize..]);
    }

    /// Returns the offset in the file up to which all bytes were read.
    pub fn offset(&self) -> u64 {
        self.buffer_offset + self.consumed as u64
    }

    /// Returns the next packet, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns an error if the next bytes are not a record or block of a capture file, or exceed a limit. Each later
    /// call returns the same error.
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

    /// Ends the file.
    ///
    /// # Errors
    /// Returns an error if reading stopped earlier, or if the file ended in the middle of a record or before its format
    /// was recognised.
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
            // These bytes belong to the first block and are parsed with it.
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
