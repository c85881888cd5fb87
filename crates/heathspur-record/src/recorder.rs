//! Encodes the events of connections as pcapng blocks.
//!
//! Each connection is written as a synthesised TCP conversation around the bytes that its peers exchanged.

use crate::conversation::{Conversation, Packet};
use crate::redaction::RedactionPolicy;
use bytes::Bytes;
use heathspur_capture::write;
pub use heathspur_capture::Leg;
use heathspur_capture::{Side, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The most connections that are tracked at once. Another one evicts the connection that was idle for longest.
const MAX_CONNECTIONS: usize = 4096;

/// Identity and addresses of a recorded connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// A number that no other connection of the recording has.
    pub id: u64,
    /// The part of the server that the connection belongs to.
    pub leg: Leg,
    /// The address of the peer that opened the connection.
    pub client: SocketAddr,
    /// The address of the peer that accepted the connection.
    pub server: SocketAddr,
}

/// The kind of an event on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The connection was established.
    Opened,
    /// One side sent bytes.
    Data {
        /// The sender.
        side: Side,
        /// The bytes that it sent.
        bytes: Bytes,
        /// The number of bytes sent directly before these that were not recorded.
        skipped: u64,
    },
    /// The connection ended.
    Closed {
        /// The side that closed it.
        by: Side,
        /// Whether it was reset.
        reset: bool,
    },
}

/// An event on a connection, with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The connection.
    pub connection: ConnectionInfo,
    /// The time of the event.
    pub time: Timestamp,
    /// The kind of the event.
    pub kind: EventKind,
}

impl Event {
    /// Returns the approximate memory that the event occupies while it is queued, in bytes.
    pub fn weight(&self) -> usize {
        let payload = match &self.kind {
            EventKind::Data { bytes, .. } => bytes.len(),
            EventKind::Opened | EventKind::Closed { .. } => 0,
        };
        payload + std::mem::size_of::<Event>()
    }
}

/// Counters of one leg, which its interface statistics report.
#[derive(Clone, Copy, Debug, Default)]
struct LegCounters {
    recorded_packets: u64,
    dropped_events: u64,
    /// The value of `dropped_events` in the last statistics block that was written because of drops.
    reported_drops: u64,
}

/// Encodes events as pcapng blocks.
#[derive(Debug)]
pub struct Recorder {
    policy: RedactionPolicy,
    conversations: BTreeMap<u64, Conversation>,
    counters: [LegCounters; Leg::ALL.len()],
    /// The number of connections that were evicted because too many were tracked.
    pub evicted: u64,
}

impl Recorder {
    /// Creates a recorder without connections.
    pub fn new(policy: RedactionPolicy) -> Recorder {
        Recorder {
            policy,
            conversations: BTreeMap::new(),
            counters: [LegCounters::default(); Leg::ALL.len()],
            evicted: 0,
        }
    }

    /// Returns the blocks at the start of each file.
    pub fn file_header(&self) -> Vec<u8> {
        write::pcapng_start(&Leg::ALL.map(Leg::name))
    }

    /// Adds to the number of events of a leg that were dropped before they reached the recorder.
    pub fn add_dropped(&mut self, leg: Leg, events: u64) {
        self.counters[leg as usize].dropped_events += events;
    }

    /// Encodes an event as blocks, in order. Dropped events are reported in interface statistics, and bytes that were
    /// not recorded in a comment on the first packet after them.
    pub fn encode(&mut self, event: &Event) -> Vec<u8> {
        let leg = event.connection.leg;
        let mut blocks = self.unreported_drops(leg, event.time);
        for packet in self.packets(event) {
            self.counters[leg as usize].recorded_packets += 1;
            blocks.extend(packet_block(leg, &packet));
        }
        blocks
    }

    /// Returns the interface statistics of all legs, which end a file.
    pub fn final_statistics(&self, time: Timestamp) -> Vec<u8> {
        Leg::ALL
            .into_iter()
            .flat_map(|leg| self.statistics(leg, time))
            .collect()
    }

    /// Returns the statistics of a leg if events were dropped since the last report of drops.
    fn unreported_drops(&mut self, leg: Leg, time: Timestamp) -> Vec<u8> {
        let counters = &mut self.counters[leg as usize];
        if counters.dropped_events <= counters.reported_drops {
            return Vec::new();
        }
        counters.reported_drops = counters.dropped_events;
        self.statistics(leg, time)
    }

    fn statistics(&self, leg: Leg, time: Timestamp) -> Vec<u8> {
        let counters = self.counters[leg as usize];
        let received = counters.recorded_packets + counters.dropped_events;
        write::pcapng_statistics(leg as u32, time, received, counters.dropped_events)
    }

    fn packets(&mut self, event: &Event) -> Vec<Packet> {
        let id = event.connection.id;
        let is_opening = event.kind == EventKind::Opened;
        if is_opening || !self.conversations.contains_key(&id) {
            self.evict_if_full();
            let conversation = if is_opening {
                Conversation::new(&event.connection, event.time)
            } else {
                Conversation::without_start(&event.connection, event.time)
            };
            self.conversations.insert(id, conversation);
        }
        let Some(conversation) = self.conversations.get_mut(&id) else {
            return Vec::new();
        };
        let packets = conversation.packets(&self.policy, event);
        if matches!(event.kind, EventKind::Closed { .. }) {
            self.conversations.remove(&id);
        }
        packets
    }

    /// Evicts the least recently used connection if the table is full. The linear search is rare: the limit on file
    /// descriptors usually keeps the server below [`MAX_CONNECTIONS`].
    fn evict_if_full(&mut self) {
        if self.conversations.len() < MAX_CONNECTIONS {
            return;
        }
        let least_recent = self
            .conversations
            .iter()
            .min_by_key(|(_, conversation)| conversation.last_event)
            .map(|(&id, _)| id);
        if let Some(id) = least_recent {
            self.conversations.remove(&id);
            self.evicted += 1;
        }
    }
}

fn packet_block(leg: Leg, packet: &Packet) -> Vec<u8> {
    let wire_len = packet.bytes.len() as u32;
    write::pcapng_packet(
        leg as u32,
        packet.time,
        &packet.bytes,
        wire_len,
        &packet.comment,
    )
}
