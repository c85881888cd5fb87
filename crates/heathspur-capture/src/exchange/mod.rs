//! Finds HTTP/1.1 exchanges in the bytes of connections: complete messages with the capture times of their first and
//! last byte, and responses matched to their requests.
//!
//! Where bytes are missing, parsing resumes at the next message that can be recognised, and the skipped bytes are
//! reported with the cause. From then on responses are matched by time until no request is open.

mod matching;
mod message;
mod parser;
mod resync;
mod stream;

pub use message::{Cause, Found, Message};

use crate::reassembly::{Event, Start};
use crate::{ConnectionId, Side};
use matching::Matcher;
use parser::Parser;
use std::collections::{BTreeMap, VecDeque};
use stream::{Mode, Stream};

/// Bounds on messages and on memory.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The longest message head, in bytes.
    pub head: usize,
    /// The longest message, in bytes. Longer ones are skipped and reported.
    pub message: usize,
    /// The maximum number of buffered bytes of incomplete messages of all connections.
    pub memory: usize,
    /// The maximum number of open requests of one connection.
    pub open: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: 64 * 1024,
            message: 1024 * 1024,
            memory: 16 * 1024 * 1024,
            open: 1024,
        }
    }
}

#[derive(Debug)]
struct Connection {
    /// The streams of the client and of the server, in this order.
    streams: [Stream; 2],
    matcher: Matcher,
}

impl Connection {
    fn new(id: ConnectionId, start: Start, limits: &Limits) -> Connection {
        let is_midstream = start == Start::Midstream;
        // The first captured bytes of a connection that began before the capture may be in the middle of a message.
        let mode = || match start {
            Start::Handshake => Mode::Head,
            Start::Midstream => Mode::Resynchronise(Cause::Hole),
        };
        Connection {
            streams: [Stream::new(mode()), Stream::new(mode())],
            matcher: Matcher::new(id, limits.open, is_midstream),
        }
    }
}

/// Finds messages in the events of an [`Assembler`](crate::reassembly::Assembler).
#[derive(Debug)]
pub struct Exchanges {
    limits: Limits,
    connections: BTreeMap<ConnectionId, Connection>,
    buffered_bytes: usize,
    found: VecDeque<Found>,
}

impl Exchanges {
    /// Creates an instance without connections.
    pub fn new(limits: Limits) -> Exchanges {
        Exchanges {
            limits,
            connections: BTreeMap::new(),
            buffered_bytes: 0,
            found: VecDeque::new(),
        }
    }

    /// Removes and returns the next result. Call this after each event until it returns `None`, because the number of
    /// queued results is not bounded.
    pub fn next_found(&mut self) -> Option<Found> {
        self.found.pop_front()
    }

    /// Returns the number of buffered bytes of incomplete messages.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Processes the next event.
    pub fn process(&mut self, event: &Event) {
        match event {
            Event::Opened {
                connection, start, ..
            } => {
                let state = Connection::new(*connection, *start, &self.limits);
                self.connections.insert(*connection, state);
            }
            Event::Bytes {
                connection,
                side,
                time,
                bytes,
            } => self.parse(*connection, *side, |parser| {
                parser.process_bytes(*time, bytes)
            }),
            Event::Hole {
                connection,
                side,
                length,
            } => {
                self.parse(*connection, *side, |parser| parser.process_hole(*length));
            }
            Event::Ended {
                connection, side, ..
            } => self.parse(*connection, *side, |parser| parser.process_end()),
            Event::Closed { connection, .. } => self.close(*connection),
        }
    }

    fn close(&mut self, id: ConnectionId) {
        for side in [Side::Client, Side::Server] {
            self.parse(id, side, |parser| parser.process_end());
        }
        if let Some(connection) = self.connections.remove(&id) {
            connection.matcher.finish(&mut self.found);
        }
    }

    /// Applies an event to one side of a connection, and discards its buffer if the memory is exhausted.
    fn parse(&mut self, id: ConnectionId, side: Side, apply: impl FnOnce(&mut Parser<'_>)) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let mut parser = Parser {
            connection: id,
            side,
            limits: &self.limits,
            stream: &mut connection.streams[side.index()],
            matcher: &mut connection.matcher,
            found: &mut self.found,
        };
        let buffered_elsewhere = self.buffered_bytes - parser.stream.buffer.len();
        apply(&mut parser);
        if buffered_elsewhere + parser.stream.buffer.len() > self.limits.memory {
            parser.lose_message(Cause::Memory);
        }
        self.buffered_bytes = buffered_elsewhere + parser.stream.buffer.len();
    }
}
