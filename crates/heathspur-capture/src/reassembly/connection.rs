//! The state of one TCP connection.

use super::direction::{Anomalies, Direction, Payload};
use super::event::Start;
use crate::frame::Segment;
use crate::{ConnectionId, Side, Timestamp};
use std::net::SocketAddr;

#[derive(Debug)]
pub(super) struct Connection {
    pub id: ConnectionId,
    pub client: SocketAddr,
    /// The directions from the client and from the server, in this order.
    pub directions: [Direction; 2],
    /// The sequence numbers of the SYNs that were captured, in the same order.
    syn: [Option<u32>; 2],
    /// The capture time of the latest segment.
    pub last_segment: Timestamp,
    /// The capture time at which the connection ended.
    pub closed_at: Option<Timestamp>,
    /// The number of bytes buffered behind gaps, as last added to the assembler's total.
    pub buffered_bytes: usize,
}

impl Connection {
    pub fn new(
        id: ConnectionId,
        client: SocketAddr,
        segment: &Segment<'_>,
        start: Start,
    ) -> Connection {
        let mut connection = Connection {
            id,
            client,
            directions: Default::default(),
            syn: [None, None],
            last_segment: segment.time,
            closed_at: None,
            buffered_bytes: 0,
        };
        if start == Start::Handshake {
            connection.first_syn(segment);
        }
        connection
    }

    pub fn is_open(&self) -> bool {
        self.closed_at.is_none()
    }

    /// Returns whether this connection continues after a SYN. Returns false if the SYN belongs to a new connection,
    /// which replaces this one.
    pub fn accepts_syn(&mut self, segment: &Segment<'_>) -> bool {
        let side = self.sender(segment);
        let is_syn_ack = segment.ack.is_some();
        match self.syn[side.index()] {
            // The SYN is a retransmission.
            Some(seq) if seq == segment.seq => true,
            None if is_syn_ack && self.is_open() && !self.directions[side.index()].is_started() => {
                self.record_syn(side, segment);
                true
            }
            // A SYN-ACK for a SYN other than the known one does not affect this connection.
            _ => is_syn_ack && self.is_open(),
        }
    }

    /// Processes a segment's payload and end.
    pub fn process(&mut self, segment: &Segment<'_>, anomalies: &mut Anomalies) {
        let side = self.sender(segment);
        let direction = &mut self.directions[side.index()];
        // A SYN occupies the sequence number before the payload, and a FIN the one after it.
        let seq = segment.seq.wrapping_add(u32::from(segment.syn));
        let payload = Payload {
            time: segment.time,
            seq,
            bytes: &segment.payload,
            truncated: segment.truncated.into(),
        };
        direction.add_payload(payload, anomalies);
        if segment.rst {
            // The RST that rejects a SYN has the sequence number 0.
            let rejects_syn = segment.seq == 0 && !direction.is_started();
            direction.end_at(if rejects_syn { 0 } else { seq }, true);
        } else if segment.fin {
            let payload_end = seq
                .wrapping_add(segment.payload.len() as u32)
                .wrapping_add(segment.truncated);
            direction.end_at(payload_end, false);
        }
    }

    fn first_syn(&mut self, segment: &Segment<'_>) {
        let side = self.sender(segment);
        self.record_syn(side, segment);
        if let (Some(ack), Side::Server) = (segment.ack, side) {
            // The client's SYN was not captured, but the SYN-ACK acknowledges it.
            self.directions[Side::Client.index()].start_at(ack);
        }
    }

    fn record_syn(&mut self, side: Side, segment: &Segment<'_>) {
        self.syn[side.index()] = Some(segment.seq);
        self.directions[side.index()].start_at(segment.seq.wrapping_add(1));
    }

    fn sender(&self, segment: &Segment<'_>) -> Side {
        if segment.from == self.client {
            Side::Client
        } else {
            Side::Server
        }
    }
}

/// Guesses whether the client sent a segment with payload, for connections whose handshake was not captured.
pub(super) fn is_probably_from_client(segment: &Segment<'_>, server_ports: &[u16]) -> bool {
    let is_server = |address: SocketAddr| server_ports.contains(&address.port());
    if is_server(segment.from) != is_server(segment.to) {
        return is_server(segment.to);
    }
    if segment.payload.starts_with(b"HTTP/1.") {
        return false;
    }
    if memchr::memmem::find(&segment.payload, b" HTTP/1.1\r\n").is_some() {
        return true;
    }
    // Clients usually have the higher, ephemeral port.
    segment.from.port() >= segment.to.port()
}
