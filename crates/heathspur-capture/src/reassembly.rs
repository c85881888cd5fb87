//! TCP connections out of segments: who connected, what each side sent, in order, with the time at which each
//! byte was captured first; what is missing, and how the connection ended.
//!
//! All decisions about damaged captures stand here and in the directions: how long a gap is waited for, what
//! makes room when memory runs out, when a port is a new connection. Time is capture time throughout.

use crate::frame::Segment;
use crate::half::{Given, Half};
use crate::{ConnId, Side, Stamp};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

pub use crate::half::Odd;

/// Bounds of the reassembly.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections that are kept at once; those not seen for longest make room.
    pub connections: usize,
    /// Bytes that wait for a gap to be filled, over all connections.
    pub memory: usize,
    /// Bytes that wait behind one gap before it is given up.
    pub gap_bytes: usize,
    /// Nanoseconds of capture time before a gap is given up.
    pub gap_time: u64,
    /// Nanoseconds for which a connection that is over is remembered, so that late copies are known.
    pub linger: u64,
    /// Ports that are servers', for connections whose start was not captured and whose bytes do not tell.
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

/// How much of a connection's start was captured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its SYN was seen.
    Handshake,
    /// The capture starts in the middle of it.
    Middle,
}

/// How a direction or a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// FIN.
    Closed,
    /// RST.
    Reset,
    /// Its ports were used by another connection.
    Replaced,
    /// It made room for others.
    Evicted,
    /// The capture ended.
    CaptureEnd,
}

/// What is found, in order within each connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection; all else about it comes later.
    Opened {
        /// Its number.
        conn: ConnId,
        /// The address that connected.
        client: SocketAddr,
        /// The address that was connected to.
        server: SocketAddr,
        /// When it was seen first.
        time: Stamp,
        /// Whether its start was.
        start: Start,
    },
    /// The next bytes of one side.
    Bytes {
        /// The connection.
        conn: ConnId,
        /// Who sent them.
        side: Side,
        /// When they were captured first.
        time: Stamp,
        /// The bytes.
        bytes: Bytes,
    },
    /// Bytes of one side are missing here.
    Hole {
        /// The connection.
        conn: ConnId,
        /// Who sent them.
        side: Side,
        /// How many, where that is known.
        length: Option<u64>,
    },
    /// One side sends nothing more.
    Ended {
        /// The connection.
        conn: ConnId,
        /// That side.
        side: Side,
        /// How.
        end: End,
        /// When that was settled.
        time: Stamp,
    },
    /// Nothing more comes of a connection.
    Closed {
        /// The connection.
        conn: ConnId,
        /// How it ended.
        end: End,
        /// When that was settled.
        time: Stamp,
    },
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Segments taken.
    pub segments: u64,
    /// Connections found.
    pub connections: u64,
    /// Those of them whose start was not captured.
    pub from_the_middle: u64,
    /// Connections that made room for others.
    pub evicted: u64,
    /// Gaps given up for the bytes or the time that waited behind them.
    pub gaps_given_up: u64,
    /// Gaps given up because the memory was used up.
    pub gaps_for_memory: u64,
    /// Segments that belong to no connection that is known, without payload.
    pub without_connection: u64,
    /// What was odd about segments.
    pub odd: Odd,
}

type Pair = (SocketAddr, SocketAddr);

#[derive(Debug)]
struct Connection {
    id: ConnId,
    client: SocketAddr,
    /// The client's, then the server's.
    halves: [Half; 2],
    syn: [Option<u32>; 2],
    seen: Stamp,
    /// Since when it is over.
    over: Option<Stamp>,
    held: usize,
}

/// Puts segments of any number of connections together.
#[derive(Debug)]
pub struct Assembler {
    limits: Limits,
    table: HashMap<Pair, Connection>,
    /// Connections in which something waits, by number, so that gaps are found without a search.
    waiting: BTreeMap<ConnId, Pair>,
    next_id: u64,
    held: usize,
    now: Stamp,
    /// When gaps were looked through last.
    swept: Stamp,
    events: VecDeque<Event>,
    counts: Counts,
}

impl Assembler {
    /// One that has seen nothing.
    pub fn new(limits: Limits) -> Assembler {
        Assembler {
            limits: Limits {
                connections: limits.connections.max(1),
                ..limits
            },
            table: HashMap::new(),
            waiting: BTreeMap::new(),
            next_id: 0,
            held: 0,
            now: Stamp::default(),
            swept: Stamp::default(),
            events: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Bytes that wait for others now.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The next event. They should be taken after each segment: nothing else bounds them.
    pub fn take(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Takes a segment.
    pub fn segment(&mut self, segment: &Segment<'_>) {
        self.counts.segments += 1;
        self.now = self.now.max(segment.time);
        let pair = pair(segment.from, segment.to);
        if segment.syn {
            self.syn(pair, segment);
        }
        let (now, linger) = (self.now, self.limits.linger);
        let over = self.table.get(&pair).and_then(|c| c.over);
        if over.is_some_and(|since| now.since(since) > linger) {
            // Too late for a copy: the ports are in use again, and the SYN was not captured.
            self.table.remove(&pair);
        }
        if !self.table.contains_key(&pair) {
            if segment.payload.is_empty() && segment.lost == 0 {
                self.counts.without_connection += u64::from(!segment.syn);
                return;
            }
            self.open(pair, segment, Start::Middle);
        }
        let Some(connection) = self.table.get_mut(&pair) else {
            return;
        };
        connection.seen = connection.seen.max(segment.time);
        if connection.over.is_some() {
            self.counts.odd.after_end += u64::from(!segment.payload.is_empty());
            return;
        }
        let side = usize::from(segment.from != connection.client);
        // The SYN takes a number of its own, and so does the FIN behind the payload.
        let seq = segment.seq.wrapping_add(u32::from(segment.syn));
        let payload = &segment.payload[..];
        let half = &mut connection.halves[side];
        half.segment(
            segment.time,
            seq,
            payload,
            segment.lost.into(),
            &mut self.counts.odd,
        );
        if segment.rst {
            // One that answers a SYN carries no number of its own.
            let at = if segment.seq == 0 && !half.started() {
                0
            } else {
                seq
            };
            half.ends_at(at, true);
        } else if segment.fin {
            half.ends_at(
                seq.wrapping_add(payload.len() as u32)
                    .wrapping_add(segment.lost),
                false,
            );
        }
        self.settle(pair, segment.time);
        self.give_up_gaps(pair);
    }

    /// The capture is over: all that waits is given, and all connections end.
    pub fn finish(&mut self) {
        let mut left: Vec<(ConnId, Pair)> = self
            .table
            .iter()
            .filter(|(_, c)| c.over.is_none())
            .map(|(&pair, c)| (c.id, pair))
            .collect();
        left.sort_unstable();
        for (_, pair) in left {
            self.close(pair, End::CaptureEnd);
        }
        self.table.clear();
    }

    fn syn(&mut self, pair: Pair, segment: &Segment<'_>) {
        let answers = segment.ack.is_some();
        if let Some(connection) = self.table.get_mut(&pair) {
            let side = usize::from(segment.from != connection.client);
            match connection.syn[side] {
                // Sent again.
                Some(seq) if seq == segment.seq => return,
                None if answers
                    && connection.over.is_none()
                    && !connection.halves[side].started() =>
                {
                    connection.syn[side] = Some(segment.seq);
                    connection.halves[side].starts_at(segment.seq.wrapping_add(1));
                    return;
                }
                // An answer to another SYN than is known proves nothing about this connection.
                _ if answers && connection.over.is_none() => return,
                _ => {}
            }
            if connection.over.is_none() {
                self.close(pair, End::Replaced);
            }
            self.table.remove(&pair);
        }
        self.open(pair, segment, Start::Handshake);
    }

    fn open(&mut self, pair: Pair, segment: &Segment<'_>, start: Start) {
        if self.table.len() >= self.limits.connections {
            self.make_room();
        }
        let from_client = match start {
            Start::Handshake => segment.ack.is_none(),
            Start::Middle => self.guess_client(segment),
        };
        let (client, server) = if from_client {
            (segment.from, segment.to)
        } else {
            (segment.to, segment.from)
        };
        let id = ConnId(self.next_id);
        self.next_id += 1;
        self.counts.connections += 1;
        self.counts.from_the_middle += u64::from(start == Start::Middle);
        let mut connection = Connection {
            id,
            client,
            halves: [Half::new(), Half::new()],
            syn: [None, None],
            seen: segment.time,
            over: None,
            held: 0,
        };
        if start == Start::Handshake {
            let side = usize::from(!from_client);
            connection.syn[side] = Some(segment.seq);
            connection.halves[side].starts_at(segment.seq.wrapping_add(1));
            if let (Some(ack), false) = (segment.ack, from_client) {
                // The SYN itself was not captured, but its answer names it.
                connection.halves[0].starts_at(ack);
            }
        }
        self.table.insert(pair, connection);
        self.events.push_back(Event::Opened {
            conn: id,
            client,
            server,
            time: segment.time,
            start,
        });
    }

    /// Whether the sender of the first payload that was seen is the client: by what it says, else by ports.
    fn guess_client(&self, segment: &Segment<'_>) -> bool {
        let known = |address: SocketAddr| self.limits.servers.contains(&address.port());
        if known(segment.from) != known(segment.to) {
            return known(segment.to);
        }
        if segment.payload.starts_with(b"HTTP/1.") {
            return false;
        }
        if memchr::memmem::find(&segment.payload, b" HTTP/1.1\r\n").is_some() {
            return true;
        }
        segment.from.port() >= segment.to.port()
    }

    /// Moves what is ready to the events, and ends what is over.
    fn settle(&mut self, pair: Pair, time: Stamp) {
        let Some(connection) = self.table.get_mut(&pair) else {
            return;
        };
        let conn = connection.id;
        let mut reset = false;
        for (half, side) in connection
            .halves
            .iter_mut()
            .zip([Side::Client, Side::Server])
        {
            while let Some(given) = half.take() {
                self.events.push_back(match given {
                    Given::Bytes { time, bytes } => Event::Bytes {
                        conn,
                        side,
                        time,
                        bytes,
                    },
                    Given::Hole { length } => Event::Hole { conn, side, length },
                    Given::End { reset: by_reset } => {
                        reset |= by_reset;
                        let end = if by_reset { End::Reset } else { End::Closed };
                        Event::Ended {
                            conn,
                            side,
                            end,
                            time,
                        }
                    }
                });
            }
        }
        let held = connection.halves.iter().map(Half::held).sum();
        self.held = self.held + held - connection.held;
        connection.held = held;
        let waits = connection.halves.iter().any(Half::waits);
        if waits {
            self.waiting.insert(conn, pair);
        } else {
            self.waiting.remove(&conn);
        }
        let over = reset || connection.halves.iter().all(Half::ended);
        if over && connection.over.is_none() {
            self.close(pair, if reset { End::Reset } else { End::Closed });
        }
    }

    /// Ends a connection: what waits is given first. It is remembered for a while.
    fn close(&mut self, pair: Pair, end: End) {
        let now = self.now;
        let Some(connection) = self.table.get_mut(&pair) else {
            return;
        };
        if connection.over.replace(now).is_some() {
            return;
        }
        let conn = connection.id;
        for half in &mut connection.halves {
            half.flush(false);
        }
        self.settle(pair, now);
        let Some(connection) = self.table.get_mut(&pair) else {
            return;
        };
        for (half, side) in connection.halves.iter().zip([Side::Client, Side::Server]) {
            if !half.ended() {
                self.events.push_back(Event::Ended {
                    conn,
                    side,
                    end,
                    time: now,
                });
            }
        }
        connection.halves = [Half::new(), Half::new()];
        self.held -= std::mem::take(&mut connection.held);
        self.waiting.remove(&conn);
        self.events.push_back(Event::Closed {
            conn,
            end,
            time: now,
        });
    }

    /// Gives up what waits for too long behind one gap, in bytes or in capture time, and the largest while
    /// memory is short. Times are looked at an eighth of the limit apart, so a segment costs no search.
    fn give_up_gaps(&mut self, pair: Pair) {
        if self
            .table
            .get(&pair)
            .is_some_and(|c| c.held > self.limits.gap_bytes)
        {
            let bytes = self.limits.gap_bytes;
            self.give_up(pair, |half| half.held() > bytes);
        }
        if self.now.since(self.swept) > self.limits.gap_time / 8 {
            self.swept = self.now;
            let (now, time) = (self.now, self.limits.gap_time);
            for pair in self.waiting.values().copied().collect::<Vec<_>>() {
                self.give_up(pair, |half| {
                    half.waits_since()
                        .is_some_and(|since| now.since(since) > time)
                });
            }
        }
        while self.held > self.limits.memory {
            let held = |pair: &&Pair| self.table.get(pair).map_or(0, |c| c.held);
            let Some(pair) = self.waiting.values().max_by_key(held).copied() else {
                return;
            };
            let Some(connection) = self.table.get_mut(&pair) else {
                return;
            };
            let Some(half) = connection.halves.iter_mut().max_by_key(|half| half.held()) else {
                return;
            };
            self.counts.gaps_for_memory += 1;
            if !half.give_up_gap() {
                return;
            }
            self.settle(pair, self.now);
        }
    }

    fn give_up(&mut self, pair: Pair, late: impl Fn(&Half) -> bool) {
        let Some(connection) = self.table.get_mut(&pair) else {
            return;
        };
        let mut given_up = 0;
        for half in &mut connection.halves {
            while late(half) && half.give_up_gap() {
                given_up += 1;
            }
        }
        if given_up > 0 {
            self.counts.gaps_given_up += given_up;
            self.settle(pair, self.now);
        }
    }

    /// Forgets connections that are over for long enough; if none is, ends those not seen for longest. A
    /// sixteenth of the table goes at once, so that a flood of new ones costs no search for each.
    fn make_room(&mut self) {
        let (now, linger) = (self.now, self.limits.linger);
        self.table
            .retain(|_, c| c.over.is_none_or(|since| now.since(since) < linger));
        let most = self.limits.connections - (self.limits.connections / 16).max(1);
        if self.table.len() <= most {
            return;
        }
        let mut by_age: Vec<(bool, Stamp, ConnId, Pair)> = self
            .table
            .iter()
            .map(|(&pair, c)| (c.over.is_none(), c.seen, c.id, pair))
            .collect();
        by_age.sort_unstable_by_key(|&(open, seen, id, _)| (open, seen, id));
        for (open, _, _, pair) in by_age.into_iter().take(self.table.len() - most) {
            if open {
                self.counts.evicted += 1;
                self.close(pair, End::Evicted);
            }
            self.table.remove(&pair);
        }
    }
}

/// The same for both directions.
fn pair(a: SocketAddr, b: SocketAddr) -> Pair {
    if a <= b {
        (a, b)
    } else {
        (b, a)
    }
}
