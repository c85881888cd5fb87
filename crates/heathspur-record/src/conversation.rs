//! The synthesised TCP conversation of one recorded connection.

use crate::recorder::{ConnectionInfo, Event, EventKind};
use crate::redaction::{RedactionPolicy, Redactor, TimedBytes};
use bytes::Bytes;
use heathspur_capture::write::TcpConversation;
use heathspur_capture::{Side, Timestamp};

/// Multiplier that spreads connection ids over the sequence numbers: 2^32 divided by the golden ratio.
const SEQUENCE_MULTIPLIER: u32 = 0x9e37_79b9;

/// A packet to be recorded.
#[derive(Debug)]
pub(crate) struct Packet {
    pub time: Timestamp,
    /// The packet from its IP header on.
    pub bytes: Vec<u8>,
    /// The packet's comment in the file; empty for none.
    pub comment: String,
}

impl Packet {
    fn new(time: Timestamp, bytes: Vec<u8>) -> Packet {
        Packet {
            time,
            bytes,
            comment: String::new(),
        }
    }
}

/// The state of a connection between its events.
#[derive(Debug)]
pub(crate) struct Conversation {
    tcp: TcpConversation,
    /// The redactors of the client's and of the server's bytes, in this order.
    redactors: [Redactor; 2],
    /// The time of the latest event.
    pub last_event: Timestamp,
}

impl Conversation {
    /// Creates a conversation at its start.
    pub fn new(connection: &ConnectionInfo, time: Timestamp) -> Conversation {
        // Different initial sequence numbers distinguish successive connections that use the same ports.
        let client_sequence = (connection.id as u32).wrapping_mul(SEQUENCE_MULTIPLIER);
        let sequences = [client_sequence, !client_sequence];
        Conversation {
            tcp: TcpConversation::new(connection.client, connection.server, sequences),
            redactors: [Redactor::default(), Redactor::default()],
            last_event: time,
        }
    }

    /// Creates a conversation whose start was not recorded. The positions in the current messages are unknown, so all
    /// bytes are overwritten if anything is redacted.
    pub fn without_start(connection: &ConnectionInfo, time: Timestamp) -> Conversation {
        let mut conversation = Conversation::new(connection, time);
        for redactor in &mut conversation.redactors {
            redactor.lose_position(&mut Vec::new());
        }
        conversation
    }

    /// Returns the packets that an event adds, in order.
    pub fn packets(&mut self, policy: &RedactionPolicy, event: &Event) -> Vec<Packet> {
        let time = event.time;
        self.last_event = self.last_event.max(time);
        match &event.kind {
            EventKind::Opened => self.tcp.open().map(|bytes| Packet::new(time, bytes)).into(),
            EventKind::Data {
                side,
                bytes,
                skipped,
            } => {
                let mut packets = self.skip(*side, *skipped);
                let first_data = packets.len();
                packets.extend(self.data(policy, *side, time, bytes));
                if let (Some(first), true) = (packets.get_mut(first_data), *skipped > 0) {
                    first.comment = format!("{skipped} bytes before this packet were left out");
                }
                packets
            }
            EventKind::Closed { by, reset } => self.close(*by, *reset, time),
        }
    }

    fn data(
        &mut self,
        policy: &RedactionPolicy,
        side: Side,
        time: Timestamp,
        bytes: &Bytes,
    ) -> Vec<Packet> {
        let mut released = Vec::new();
        self.redactors[index(side)].redact(policy, time, bytes, &mut released);
        self.segments(side, &released)
    }

    /// Advances past bytes that were not recorded. A message head that is buffered before them can't be completed, so
    /// it is released now.
    fn skip(&mut self, side: Side, count: u64) -> Vec<Packet> {
        if count == 0 {
            return Vec::new();
        }
        let packets = self.flush(side);
        self.tcp.skip(side, count);
        packets
    }

    fn close(&mut self, by: Side, reset: bool, time: Timestamp) -> Vec<Packet> {
        let mut packets = self.flush(Side::Client);
        packets.extend(self.flush(Side::Server));
        if reset {
            packets.push(Packet::new(time, self.tcp.reset(by)));
            return packets;
        }
        for side in [by, by.other()] {
            let fin = self.tcp.finish(side);
            packets.extend(fin.map(|bytes| Packet::new(time, bytes)));
        }
        packets
    }

    /// Releases the bytes that the redactor of a side has buffered.
    fn flush(&mut self, side: Side) -> Vec<Packet> {
        let mut released = Vec::new();
        self.redactors[index(side)].lose_position(&mut released);
        self.segments(side, &released)
    }

    fn segments(&mut self, side: Side, released: &[TimedBytes]) -> Vec<Packet> {
        let mut packets = Vec::new();
        for TimedBytes { time, bytes } in released {
            let segments = self.tcp.send(side, bytes);
            packets.extend(segments.into_iter().map(|bytes| Packet::new(*time, bytes)));
        }
        packets
    }
}

fn index(side: Side) -> usize {
    match side {
        Side::Client => 0,
        Side::Server => 1,
    }
}
