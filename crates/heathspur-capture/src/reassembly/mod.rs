//! TCP reassembly: finds connections and the bytes of each side in order. Reports the time at which each byte was first
//! captured, which bytes are missing, and how the connection ended.
//!
//! This module and `direction` define how incomplete captures are handled: how long to wait for a gap to be filled,
//! what to evict when memory is exhausted, and when a segment belongs to a new connection on the same ports. All times
//! are capture times.

mod connection;
mod direction;
mod event;
mod pieces;
mod recent;

pub use direction::Anomalies;
pub use event::{Counts, End, Event, Start};

use crate::frame::Segment;
use crate::{ConnectionId, Side, Timestamp};
use connection::{is_probably_from_client, Connection};
use direction::{Direction, Output};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// The age of gaps is checked this many times within [`Limits::gap_time`].
const CHECKS_PER_GAP_TIME: u64 = 8;
/// When the table of connections is full, its capacity divided by this number is evicted at once, so that a flood of
/// connections does not cause a search of the table for each of them.
const TABLE_TO_EVICTED_RATIO: usize = 16;

/// Bounds of the reassembly.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of connections that are tracked at once. Beyond this, those idle for longest are evicted.
    pub connections: usize,
    /// The maximum number of bytes buffered behind gaps of all connections.
    pub memory: usize,
    /// The maximum number of bytes buffered behind the gaps of one direction, after which gaps are abandoned.
    pub gap_bytes: usize,
    /// The capture time after which a gap is abandoned, in nanoseconds.
    pub gap_time: u64,
    /// The time for which a closed connection is retained to recognise late segments, in nanoseconds.
    pub linger: u64,
    /// Ports of servers. They identify the server of a connection whose start was not captured.
    pub servers: Vec<u16>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 16 * 1024,
            memory: 16 * 1024 * 1024,
            gap_bytes: 256 * 1024,
            gap_time: 3_000_000_000,
            linger: 30_000_000_000,
            servers: Vec::new(),
        }
    }
}

/// The addresses of a connection, the lower one first, so that both directions have the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct FlowKey(SocketAddr, SocketAddr);

impl FlowKey {
    fn of(segment: &Segment<'_>) -> FlowKey {
        let (from, to) = (segment.from, segment.to);
        FlowKey(from.min(to), from.max(to))
    }
}

/// Reassembles the segments of any number of connections.
#[derive(Debug)]
pub struct Assembler {
    limits: Limits,
    connections: HashMap<FlowKey, Connection>,
    /// Connections with bytes buffered behind a gap, which are found without a search of the table.
    waiting: BTreeMap<ConnectionId, FlowKey>,
    next_id: u64,
    buffered_bytes: usize,
    /// The latest capture time.
    now: Timestamp,
    /// The capture time at which the age of gaps was last checked.
    gaps_checked: Timestamp,
    events: VecDeque<Event>,
    counts: Counts,
}

impl Assembler {
    /// Creates an assembler without connections.
    pub fn new(limits: Limits) -> Assembler {
        Assembler {
            limits: Limits {
                connections: limits.connections.max(1),
                ..limits
            },
            connections: HashMap::new(),
            waiting: BTreeMap::new(),
            next_id: 0,
            buffered_bytes: 0,
            now: Timestamp::default(),
            gaps_checked: Timestamp::default(),
            events: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of bytes buffered behind gaps.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Removes and returns the next event. Call this after each segment until it returns `None`, because the number of
    /// queued events is not bounded.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Processes a segment.
    pub fn process(&mut self, segment: &Segment<'_>) {
        self.counts.segments += 1;
        self.now = self.now.max(segment.time);
        let flow = FlowKey::of(segment);
        if segment.syn {
            self.handshake(flow, segment);
        }
        self.remove_if_expired(flow);
        if !self.connections.contains_key(&flow) {
            if segment.payload.is_empty() && segment.truncated == 0 {
                self.counts.without_connection += u64::from(!segment.syn);
                return;
            }
            self.open(flow, segment, Start::Midstream);
        }
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        connection.last_segment = connection.last_segment.max(segment.time);
        if !connection.is_open() {
            self.counts.anomalies.after_end += u64::from(!segment.payload.is_empty());
            return;
        }
        connection.process(segment, &mut self.counts.anomalies);
        self.emit(flow, segment.time);
        self.abandon_gaps(flow);
    }

    /// Ends the capture: delivers the buffered bytes and closes all connections.
    pub fn finish(&mut self) {
        let mut open: Vec<(ConnectionId, FlowKey)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_open())
            .map(|(&flow, connection)| (connection.id, flow))
            .collect();
        open.sort_unstable();
        for (_, flow) in open {
            self.close(flow, End::CaptureEnd);
        }
        self.connections.clear();
    }

    /// Processes a SYN, which belongs to the known connection of its flow or begins a new one.
    fn handshake(&mut self, flow: FlowKey, segment: &Segment<'_>) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            if connection.accepts_syn(segment) {
                return;
            }
            self.close(flow, End::Replaced);
            self.connections.remove(&flow);
        }
        self.open(flow, segment, Start::Handshake);
    }

    /// Removes a connection that was closed too long ago for late segments. A segment on its ports then belongs to a new
    /// connection whose SYN was not captured.
    fn remove_if_expired(&mut self, flow: FlowKey) {
        let closed_at = self.connections.get(&flow).and_then(|c| c.closed_at);
        if closed_at.is_some_and(|time| self.now.since(time) > self.limits.linger) {
            self.connections.remove(&flow);
        }
    }

    fn open(&mut self, flow: FlowKey, segment: &Segment<'_>, start: Start) {
        if self.connections.len() >= self.limits.connections {
            self.evict();
        }
        let is_from_client = match start {
            Start::Handshake => segment.ack.is_none(),
            Start::Midstream => is_probably_from_client(segment, &self.limits.servers),
        };
        let (client, server) = if is_from_client {
            (segment.from, segment.to)
        } else {
            (segment.to, segment.from)
        };
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.counts.connections += 1;
        self.counts.midstream_connections += u64::from(start == Start::Midstream);
        let connection = Connection::new(id, client, segment, start);
        self.connections.insert(flow, connection);
        self.events.push_back(Event::Opened {
            connection: id,
            client,
            server,
            time: segment.time,
            start,
        });
    }

    /// Queues the output of a connection as events, and closes the connection if it has ended.
    fn emit(&mut self, flow: FlowKey, time: Timestamp) {
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        let mut is_reset = false;
        for side in [Side::Client, Side::Server] {
            while let Some(output) = connection.directions[side.index()].next_output() {
                is_reset |= output == Output::End { reset: true };
                let event = output_event(connection.id, side, time, output);
                self.events.push_back(event);
            }
        }
        let has_ended = connection.directions.iter().all(Direction::has_ended);
        let is_open = connection.is_open();
        self.update_buffered(flow);
        if is_open && is_reset {
            self.close(flow, End::Reset);
        } else if is_open && has_ended {
            self.close(flow, End::Closed);
        }
    }

    /// Updates the total of buffered bytes and the list of connections with gaps.
    fn update_buffered(&mut self, flow: FlowKey) {
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        let directions = &connection.directions;
        let buffered_bytes = directions.iter().map(Direction::buffered_bytes).sum();
        self.buffered_bytes = self.buffered_bytes + buffered_bytes - connection.buffered_bytes;
        connection.buffered_bytes = buffered_bytes;
        if connection.directions.iter().any(Direction::is_waiting) {
            self.waiting.insert(connection.id, flow);
        } else {
            self.waiting.remove(&connection.id);
        }
    }

    /// Delivers the buffered bytes of a connection and closes it. The connection is retained for [`Limits::linger`].
    fn close(&mut self, flow: FlowKey, end: End) {
        let time = self.now;
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        if connection.closed_at.is_some() {
            return;
        }
        connection.closed_at = Some(time);
        connection.directions.iter_mut().for_each(Direction::flush);
        self.emit(flow, time);
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        let id = connection.id;
        for side in [Side::Client, Side::Server] {
            if !connection.directions[side.index()].has_ended() {
                self.events.push_back(Event::Ended {
                    connection: id,
                    side,
                    end,
                    time,
                });
            }
        }
        connection.directions = Default::default();
        self.update_buffered(flow);
        self.events.push_back(Event::Closed {
            connection: id,
            end,
            time,
        });
    }

    /// Abandons gaps after which too many bytes are buffered or too much time has elapsed, and further ones while the
    /// memory is exhausted.
    fn abandon_gaps(&mut self, flow: FlowKey) {
        self.abandon_large_gaps(flow);
        self.abandon_old_gaps();
        while self.buffered_bytes > self.limits.memory {
            if !self.abandon_largest_gap() {
                return;
            }
        }
    }

    fn abandon_large_gaps(&mut self, flow: FlowKey) {
        let max_bytes = self.limits.gap_bytes;
        let connection = self.connections.get(&flow);
        if connection.is_some_and(|connection| connection.buffered_bytes > max_bytes) {
            self.abandon_gaps_where(flow, |direction| direction.buffered_bytes() > max_bytes);
        }
    }

    /// Abandons old gaps. Checks the age of gaps only [`CHECKS_PER_GAP_TIME`] times within [`Limits::gap_time`].
    fn abandon_old_gaps(&mut self) {
        let (now, max_age) = (self.now, self.limits.gap_time);
        if now.since(self.gaps_checked) <= max_age / CHECKS_PER_GAP_TIME {
            return;
        }
        self.gaps_checked = now;
        let is_old = |direction: &Direction| {
            let since = direction.waiting_since();
            since.is_some_and(|since| now.since(since) > max_age)
        };
        let waiting: Vec<FlowKey> = self.waiting.values().copied().collect();
        for flow in waiting {
            self.abandon_gaps_where(flow, is_old);
        }
    }

    /// Abandons a gap of the connection with the most buffered bytes. Returns false if there is no gap.
    fn abandon_largest_gap(&mut self) -> bool {
        let buffered = |flow: &&FlowKey| {
            let connection = self.connections.get(flow);
            connection.map_or(0, |connection| connection.buffered_bytes)
        };
        let Some(flow) = self.waiting.values().max_by_key(buffered).copied() else {
            return false;
        };
        let Some(connection) = self.connections.get_mut(&flow) else {
            return false;
        };
        let directions = connection.directions.iter_mut();
        let Some(largest) = directions.max_by_key(|direction| direction.buffered_bytes()) else {
            return false;
        };
        self.counts.gaps_abandoned_for_memory += 1;
        if !largest.abandon_gap() {
            return false;
        }
        self.emit(flow, self.now);
        true
    }

    /// Abandons the first gap of each direction of a connection repeatedly while the condition is true.
    fn abandon_gaps_where(&mut self, flow: FlowKey, condition: impl Fn(&Direction) -> bool) {
        let Some(connection) = self.connections.get_mut(&flow) else {
            return;
        };
        let mut abandoned = 0;
        for direction in &mut connection.directions {
            while condition(direction) && direction.abandon_gap() {
                abandoned += 1;
            }
        }
        if abandoned > 0 {
            self.counts.abandoned_gaps += abandoned;
            self.emit(flow, self.now);
        }
    }

    /// Removes connections that were closed longer than [`Limits::linger`] ago. If these are too few, removes other
    /// closed connections and then closes those idle for longest.
    fn evict(&mut self) {
        let (now, linger) = (self.now, self.limits.linger);
        self.connections.retain(|_, connection| {
            let closed_at = connection.closed_at;
            closed_at.is_none_or(|time| now.since(time) < linger)
        });
        let evicted = (self.limits.connections / TABLE_TO_EVICTED_RATIO).max(1);
        let excess = self
            .connections
            .len()
            .saturating_sub(self.limits.connections - evicted);
        if excess == 0 {
            return;
        }
        for candidate in self.eviction_order().into_iter().take(excess) {
            if candidate.is_open {
                self.counts.evicted += 1;
                self.close(candidate.flow, End::Evicted);
            }
            self.connections.remove(&candidate.flow);
        }
    }

    fn eviction_order(&self) -> Vec<EvictionCandidate> {
        let mut candidates: Vec<EvictionCandidate> = self
            .connections
            .iter()
            .map(|(&flow, connection)| EvictionCandidate {
                is_open: connection.is_open(),
                last_segment: connection.last_segment,
                id: connection.id,
                flow,
            })
            .collect();
        candidates.sort_unstable();
        candidates
    }
}

/// A connection that may be evicted. Sorts closed connections first, then those idle for longest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    is_open: bool,
    last_segment: Timestamp,
    id: ConnectionId,
    flow: FlowKey,
}

fn output_event(connection: ConnectionId, side: Side, time: Timestamp, output: Output) -> Event {
    match output {
        Output::Bytes { time, bytes } => Event::Bytes {
            connection,
            side,
            time,
            bytes,
        },
        Output::Hole { length } => Event::Hole {
            connection,
            side,
            length,
        },
        Output::End { reset } => Event::Ended {
            connection,
            side,
            end: if reset { End::Reset } else { End::Closed },
            time,
        },
    }
}
