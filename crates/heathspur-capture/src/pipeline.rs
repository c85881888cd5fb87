//! The pipeline that turns the bytes of a capture file into requests and responses.

use crate::exchange::{self, Exchanges, Found};
use crate::file::{FileError, Packet, Reader};
use crate::frame::{Frames, SkipReason};
use crate::reassembly::{self, Assembler, Counts, Event};
use crate::{Leg, Timestamp};
use std::collections::BTreeMap;

/// Options for reading a capture.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Whether segments with wrong checksums are rejected; see [`Frames::new`].
    pub checksums: bool,
    /// Bounds of the reassembly.
    pub reassembly: reassembly::Limits,
    /// Bounds on messages.
    pub exchange: exchange::Limits,
}

/// Counts of what was read, and of what was skipped, by cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Bytes that were fed.
    pub bytes: u64,
    /// Packets that were read.
    pub packets: u64,
    /// Packets that the capture truncated.
    pub truncated_packets: u64,
    /// Packets without a segment, by cause.
    pub skipped_packets: BTreeMap<SkipReason, u64>,
    /// The number of packets and of bytes on a recording's interpreter and store connections. These do not carry HTTP
    /// and are not parsed.
    pub links: BTreeMap<Leg, (u64, u64)>,
    /// Fragmented datagrams that expired or were evicted incomplete; see [`Frames::incomplete_datagrams`].
    pub incomplete_datagrams: u64,
    /// Counters of the reassembly.
    pub tcp: Counts,
    /// Bytes missing in connections. Holes of unknown length count as 0.
    pub missing_bytes: u64,
    /// Places in connections where bytes are missing.
    pub holes: u64,
    /// The capture time of the first packet that has one.
    pub first: Option<Timestamp>,
    /// The latest capture time.
    pub last: Timestamp,
    /// The error that stopped reading before the end of the file.
    pub error: Option<FileError>,
}

impl Tally {
    fn count_packet(&mut self, packet: &Packet<'_>) {
        let is_truncated = (packet.data.len() as u64) < packet.wire_len.into();
        self.packets += 1;
        self.truncated_packets += u64::from(is_truncated);
        if packet.time > Timestamp::default() {
            self.first.get_or_insert(packet.time);
            self.last = self.last.max(packet.time);
        }
    }

    fn count_link_packet(&mut self, leg: Leg, packet: &Packet<'_>) {
        let (packets, bytes) = self.links.entry(leg).or_default();
        *packets += 1;
        *bytes += packet.data.len() as u64;
    }
}

/// An item that was found in a capture.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// An event of a connection, except [`Event::Bytes`]: bytes are reported as messages.
    Connection(Event),
    /// A message, or bytes that belong to no message.
    Message(Found),
}

/// Reads a capture that is fed in chunks of any size.
#[derive(Debug)]
pub struct Pipeline {
    reader: Reader,
    frames: Frames,
    assembler: Assembler,
    exchanges: Exchanges,
    tally: Tally,
}

impl Pipeline {
    /// Creates a pipeline at the start of a file.
    pub fn new(options: Options) -> Pipeline {
        Pipeline {
            reader: Reader::new(),
            frames: Frames::new(options.checksums),
            assembler: Assembler::new(options.reassembly),
            exchanges: Exchanges::new(options.exchange),
            tally: Tally::default(),
        }
    }

    /// Returns the counts so far.
    pub fn tally(&self) -> Tally {
        Tally {
            tcp: self.assembler.counts(),
            incomplete_datagrams: self.frames.incomplete_datagrams(),
            ..self.tally.clone()
        }
    }

    /// Returns the number of buffered bytes: those of incomplete messages and those behind gaps.
    pub fn buffered_bytes(&self) -> usize {
        self.assembler.buffered_bytes() + self.exchanges.buffered_bytes()
    }

    /// Processes the next bytes of the file and passes the items found in them to `found`. Returns false if the file is
    /// damaged, in which case its rest can't be read.
    pub fn feed(&mut self, bytes: &[u8], mut found: impl FnMut(Item)) -> bool {
        self.tally.bytes += bytes.len() as u64;
        self.reader.feed(bytes);
        loop {
            let packet = match self.reader.next_packet() {
                Ok(Some(packet)) => packet,
                Ok(None) => return true,
                Err(error) => {
                    self.tally.error = Some(error);
                    return false;
                }
            };
            self.tally.count_packet(&packet);
            if let Some(leg @ (Leg::Interpreter | Leg::Store)) = packet.leg {
                self.tally.count_link_packet(leg, &packet);
                continue;
            }
            match self.frames.segment(&packet) {
                Ok(segment) => {
                    self.assembler.process(&segment);
                    deliver(
                        &mut self.assembler,
                        &mut self.exchanges,
                        &mut self.tally,
                        &mut found,
                    );
                }
                Err(cause) => *self.tally.skipped_packets.entry(cause).or_default() += 1,
            }
        }
    }

    /// Ends the file and passes the remaining items to `found`.
    pub fn finish(&mut self, mut found: impl FnMut(Item)) {
        if let Err(error) = self.reader.finish() {
            self.tally.error = Some(error);
        }
        self.assembler.finish();
        deliver(
            &mut self.assembler,
            &mut self.exchanges,
            &mut self.tally,
            &mut found,
        );
    }
}

/// Processes the assembler's events and passes the items found in them to `found`.
fn deliver(
    assembler: &mut Assembler,
    exchanges: &mut Exchanges,
    tally: &mut Tally,
    found: &mut impl FnMut(Item),
) {
    while let Some(event) = assembler.next_event() {
        exchanges.process(&event);
        if let Event::Hole { length, .. } = event {
            tally.holes += 1;
            tally.missing_bytes += length.unwrap_or(0);
        }
        let opened = matches!(event, Event::Opened { .. });
        if opened {
            found(Item::Connection(event));
            continue;
        }
        while let Some(message) = exchanges.next_found() {
            found(Item::Message(message));
        }
        if !matches!(event, Event::Bytes { .. }) {
            found(Item::Connection(event));
        }
    }
}
