//! The whole way from a file's bytes to requests and answers.

use crate::exchange::{self, Exchanges, Found};
use crate::file::{FileError, Reader};
use crate::frame::{Frames, Passed};
use crate::reassembly::{self, Assembler, Counts, Event};
use crate::{Leg, Stamp};
use std::collections::BTreeMap;

/// How a capture is read.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Whether segments with wrong checksums are left out; see [`Frames::new`].
    pub checksums: bool,
    /// Bounds of the reassembly.
    pub reassembly: reassembly::Limits,
    /// Bounds on messages.
    pub exchange: exchange::Limits,
}

/// What was read, and what was left out by cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Bytes of the file.
    pub bytes: u64,
    /// Packets.
    pub packets: u64,
    /// Packets of which only a part was kept.
    pub cut_packets: u64,
    /// Packets that gave no segment.
    pub passed: BTreeMap<Passed, u64>,
    /// Packets of a recording's links, and their bytes. What they say is no HTTP and is not read.
    pub links: BTreeMap<Leg, (u64, u64)>,
    /// Datagrams in pieces that were never whole.
    pub pieces_given_up: u64,
    /// What the reassembly counted.
    pub tcp: Counts,
    /// Bytes missing in the directions of connections, as far as their number is known.
    pub missing_bytes: u64,
    /// Holes.
    pub holes: u64,
    /// The time of the first packet that has one.
    pub first: Option<Stamp>,
    /// The latest time.
    pub last: Stamp,
    /// Why reading ended before the file did.
    pub damage: Option<FileError>,
}

/// Something found: what the connections did, and the messages in them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A connection began, or ended. Bytes are not given, messages are.
    Connection(Event),
    /// A message, or bytes that are none.
    Message(Found),
}

/// Reads a capture in pieces of any size.
#[derive(Debug)]
pub struct Pipeline {
    reader: Reader,
    frames: Frames,
    assembler: Assembler,
    exchanges: Exchanges,
    tally: Tally,
}

impl Pipeline {
    /// One at the start of a file.
    pub fn new(options: Options) -> Pipeline {
        Pipeline {
            reader: Reader::new(),
            frames: Frames::new(options.checksums),
            assembler: Assembler::new(options.reassembly),
            exchanges: Exchanges::new(options.exchange),
            tally: Tally::default(),
        }
    }

    /// What was read so far.
    pub fn tally(&self) -> Tally {
        Tally {
            tcp: self.assembler.counts(),
            pieces_given_up: self.frames.given_up(),
            ..self.tally.clone()
        }
    }

    /// Bytes that are held: of incomplete messages, and of what waits for a gap.
    pub fn held(&self) -> usize {
        self.assembler.held() + self.exchanges.held()
    }

    /// Takes the next bytes of the file and hands on what is found. False once the file is damaged: what
    /// follows is of no use.
    pub fn feed(&mut self, bytes: &[u8], mut found: impl FnMut(Item)) -> bool {
        self.tally.bytes += bytes.len() as u64;
        self.reader.feed(bytes);
        loop {
            let packet = match self.reader.next_packet() {
                Ok(Some(packet)) => packet,
                Ok(None) => return true,
                Err(error) => {
                    self.tally.damage = Some(error);
                    return false;
                }
            };
            self.tally.packets += 1;
            self.tally.cut_packets +=
                u64::from((packet.data.len() as u64) < packet.wire_len.into());
            if packet.time > Stamp::default() {
                self.tally.first.get_or_insert(packet.time);
                self.tally.last = self.tally.last.max(packet.time);
            }
            if let Some(leg @ (Leg::Interpreter | Leg::Store)) = packet.leg {
                let (packets, bytes) = self.tally.links.entry(leg).or_default();
                (*packets, *bytes) = (*packets + 1, *bytes + packet.data.len() as u64);
                continue;
            }
            match self.frames.segment(&packet) {
                Ok(segment) => {
                    self.assembler.segment(&segment);
                    hand_on(
                        &mut self.assembler,
                        &mut self.exchanges,
                        &mut self.tally,
                        &mut found,
                    );
                }
                Err(cause) => *self.tally.passed.entry(cause).or_default() += 1,
            }
        }
    }

    /// The file has ended.
    pub fn finish(&mut self, mut found: impl FnMut(Item)) {
        if let Err(error) = self.reader.finish() {
            self.tally.damage = Some(error);
        }
        self.assembler.finish();
        hand_on(
            &mut self.assembler,
            &mut self.exchanges,
            &mut self.tally,
            &mut found,
        );
    }
}

fn hand_on(
    assembler: &mut Assembler,
    exchanges: &mut Exchanges,
    tally: &mut Tally,
    found: &mut impl FnMut(Item),
) {
    while let Some(event) = assembler.take() {
        exchanges.event(&event);
        if let Event::Hole { length, .. } = event {
            tally.holes += 1;
            tally.missing_bytes += length.unwrap_or(0);
        }
        let opened = matches!(event, Event::Opened { .. });
        if opened {
            found(Item::Connection(event));
            continue;
        }
        while let Some(message) = exchanges.take() {
            found(Item::Message(message));
        }
        if !matches!(event, Event::Bytes { .. }) {
            found(Item::Connection(event));
        }
    }
}
