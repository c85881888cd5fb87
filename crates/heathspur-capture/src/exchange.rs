//! Requests and answers out of the bytes of connections, each whole, with the capture times of its first and
//! last byte, and answers matched to requests.
//!
//! Where bytes are missing, reading goes on at the next message that can be recognised, and what was passed
//! over is told with its cause. After that answers are matched by time until none is open.

use crate::reassembly::Event;
use crate::{ConnId, Side, Stamp};
use bytes::{Bytes, BytesMut};
use heathspur_wire::framing::{self, Chunks, Head, Kind, Length};
use heathspur_wire::http::{self, request_line, status_line, Fields};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// Bounds on messages and on what is kept of them.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a head at most.
    pub head: usize,
    /// Bytes of a message at most; longer ones are passed over and told.
    pub message: usize,
    /// Bytes of incomplete messages over all connections.
    pub memory: usize,
    /// Requests of one connection that may be open at once.
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

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// All its bytes.
    pub bytes: Bytes,
    /// Its first line.
    pub line: Range<usize>,
    /// Its fields.
    pub fields: Range<usize>,
    /// Its body, in chunks where it came so.
    pub body: Range<usize>,
    /// When its first byte was captured.
    pub first: Stamp,
    /// When its last byte was.
    pub last: Stamp,
}

impl Message {
    /// The first field of that name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        let fields = Fields::over(&self.bytes[self.fields.clone()]).filter_map(Result::ok);
        fields
            .into_iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Its body's bytes.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }

    /// Method and target, if it is a request.
    pub fn request_line(&self) -> Option<(&[u8], &[u8])> {
        request_line(&self.bytes[self.line.clone()]).ok()
    }

    /// Status, if it is an answer.
    pub fn status(&self) -> Option<u16> {
        status_line(&self.bytes[self.line.clone()]).ok()
    }
}

/// Why bytes were passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Bytes of the message, or before it, are missing.
    Hole,
    /// It is past the bound on messages.
    TooLarge,
    /// It is no HTTP/1.1.
    NotHttp,
    /// The connection ended in the middle of it.
    Cut,
    /// The memory for incomplete messages was used up.
    Memory,
}

/// What is found, in order for each side of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// A request.
    Request {
        /// Its connection.
        conn: ConnId,
        /// Its number there, from 0; those passed over as too large have one too.
        index: u64,
        /// The request.
        message: Message,
    },
    /// A final answer.
    Answer {
        /// Its connection.
        conn: ConnId,
        /// The number of the request that it answers, where that is known.
        to: Option<u64>,
        /// The answer.
        message: Message,
    },
    /// Bytes that belong to no whole message.
    Passed {
        /// Their connection.
        conn: ConnId,
        /// Who sent them.
        side: Side,
        /// Why.
        cause: Cause,
        /// How many were there.
        bytes: u64,
        /// When the first of them was captured.
        time: Stamp,
    },
}

/// Where one side's reading stands.
#[derive(Debug)]
enum Mode {
    /// Looks for the start of a message, after this.
    Seeking(Cause),
    /// At the start of a message, or in its head.
    Head,
    /// In the body of one whose head is known.
    Body(Head, Chunks),
    /// In one that is passed over, with so many bytes left.
    Passing(u64, Cause),
    /// Nothing more is read.
    Over,
}

#[derive(Debug)]
struct Stream {
    mode: Mode,
    buffer: BytesMut,
    /// Lengths and times of what is in the buffer, in order.
    times: VecDeque<(usize, Stamp)>,
    /// Bytes passed over and not told yet, and since when.
    passed: (u64, Option<Stamp>),
    /// Whether its bytes were HTTP once.
    known: bool,
}

impl Stream {
    fn new(mode: Mode) -> Stream {
        Stream {
            mode,
            buffer: BytesMut::new(),
            times: VecDeque::new(),
            passed: (0, None),
            known: false,
        }
    }

    fn push(&mut self, time: Stamp, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.times.push_back((bytes.len(), time));
    }

    /// The time of the first byte in the buffer, and the latest of the first `count`.
    fn span(&self, count: usize) -> (Stamp, Stamp) {
        let first = self
            .times
            .front()
            .map_or(Stamp::default(), |&(_, time)| time);
        let (mut seen, mut last) = (0, first);
        for &(length, time) in &self.times {
            if seen >= count {
                break;
            }
            seen += length;
            last = last.max(time);
        }
        (first, last)
    }

    fn use_up(&mut self, count: usize) -> Bytes {
        let mut left = count;
        while let Some((length, _)) = self.times.front_mut() {
            if *length > left {
                *length -= left;
                break;
            }
            left -= *length;
            self.times.pop_front();
        }
        self.buffer.split_to(count).freeze()
    }

    fn pass(&mut self, count: usize) {
        if count > 0 {
            let time = self.span(1).0;
            self.passed.1.get_or_insert(time);
            self.passed.0 += count as u64;
            drop(self.use_up(count));
        }
    }
}

#[derive(Debug)]
struct Open {
    index: u64,
    head: bool,
    last: Stamp,
}

#[derive(Debug)]
struct Conn {
    streams: [Stream; 2],
    requests: u64,
    open: VecDeque<Open>,
    /// Answers captured before their request was whole.
    early: VecDeque<Message>,
    /// Bytes were missing while requests were open: order alone tells nothing until none is.
    by_time: bool,
}

/// Finds messages in the events of an [`crate::reassembly::Assembler`].
#[derive(Debug)]
pub struct Exchanges {
    limits: Limits,
    table: BTreeMap<ConnId, Conn>,
    held: usize,
    found: VecDeque<Found>,
}

impl Exchanges {
    /// One that has seen nothing.
    pub fn new(limits: Limits) -> Exchanges {
        Exchanges {
            limits,
            table: BTreeMap::new(),
            held: 0,
            found: VecDeque::new(),
        }
    }

    /// The next of what was found. They should be taken after each event: nothing else bounds them.
    pub fn take(&mut self) -> Option<Found> {
        self.found.pop_front()
    }

    /// Bytes of incomplete messages.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Takes the next event.
    pub fn event(&mut self, event: &Event) {
        match event {
            Event::Opened { conn, start, .. } => {
                let middle = *start == crate::reassembly::Start::Middle;
                // Of one that began earlier, the first bytes may be the middle of anything.
                let mode = || {
                    if middle {
                        Mode::Seeking(Cause::Hole)
                    } else {
                        Mode::Head
                    }
                };
                let conn_state = Conn {
                    streams: [Stream::new(mode()), Stream::new(mode())],
                    requests: 0,
                    open: VecDeque::new(),
                    early: VecDeque::new(),
                    by_time: middle,
                };
                self.table.insert(*conn, conn_state);
            }
            Event::Bytes {
                conn,
                side,
                time,
                bytes,
            } => {
                self.with(*conn, *side, |work| work.bytes(*time, bytes));
            }
            Event::Hole { conn, side, length } => {
                self.with(*conn, *side, |work| work.hole(*length))
            }
            Event::Ended { conn, side, .. } => self.with(*conn, *side, |work| work.ended()),
            Event::Closed { conn, .. } => {
                for side in [Side::Client, Side::Server] {
                    self.with(*conn, side, |work| work.ended());
                }
                if let Some(gone) = self.table.remove(conn) {
                    for message in gone.early {
                        self.found.push_back(Found::Answer {
                            conn: *conn,
                            to: None,
                            message,
                        });
                    }
                }
            }
        }
    }

    fn with(&mut self, id: ConnId, side: Side, work: impl FnOnce(&mut Work<'_>)) {
        let Some(conn) = self.table.get_mut(&id) else {
            return;
        };
        let at = usize::from(side == Side::Server);
        let before = conn.streams[at].buffer.len();
        work(&mut Work {
            id,
            side,
            at,
            limits: &self.limits,
            conn,
            found: &mut self.found,
        });
        self.held = self.held + conn.streams[at].buffer.len() - before;
        if self.held > self.limits.memory {
            let held = conn.streams[at].buffer.len();
            Work {
                id,
                side,
                at,
                limits: &self.limits,
                conn,
                found: &mut self.found,
            }
            .lose(Cause::Memory);
            self.held = self.held + conn.streams[at].buffer.len() - held;
        }
    }
}

/// One side of one connection while something is done to it.
struct Work<'a> {
    id: ConnId,
    side: Side,
    at: usize,
    limits: &'a Limits,
    conn: &'a mut Conn,
    found: &'a mut VecDeque<Found>,
}

impl Work<'_> {
    fn stream(&mut self) -> &mut Stream {
        &mut self.conn.streams[self.at]
    }

    fn bytes(&mut self, time: Stamp, bytes: &[u8]) {
        self.stream().push(time, bytes);
        while self.step() {}
    }

    /// One step of reading; false when more bytes are needed.
    fn step(&mut self) -> bool {
        let (side, limits) = (self.side, self.limits);
        let to_head = self.conn.open.front().is_some_and(|open| open.head);
        let stream = &mut self.conn.streams[self.at];
        match &mut stream.mode {
            Mode::Over => {
                let rest = stream.buffer.len();
                stream.pass(rest);
                false
            }
            Mode::Passing(left, cause) => {
                let (cause, count) = (*cause, (*left).min(stream.buffer.len() as u64));
                *left -= count;
                let done = *left == 0;
                stream.pass(count as usize);
                if done {
                    stream.mode = Mode::Head;
                    self.tell(cause);
                }
                done
            }
            Mode::Seeking(cause) => {
                let cause = *cause;
                match recognise(&stream.buffer, side) {
                    Some(at) => {
                        stream.pass(at);
                        stream.mode = Mode::Head;
                        self.tell(cause);
                        true
                    }
                    None => {
                        // A first line may be here in part.
                        let keep = limits.head.min(stream.buffer.len());
                        let over = stream.buffer.len() - keep;
                        stream.pass(over);
                        false
                    }
                }
            }
            Mode::Head => {
                // An empty line before a message is skipped, as servers do.
                while stream.buffer.starts_with(b"\r\n") {
                    drop(stream.use_up(2));
                }
                if stream.buffer.is_empty() {
                    return false;
                }
                let kind = |line: &[u8]| match side {
                    Side::Client => request_line(line).map(|_| Kind::Request),
                    Side::Server => {
                        status_line(line).map(|status| Kind::Response { status, to_head })
                    }
                };
                match framing::parse_head(&stream.buffer, limits.head, kind) {
                    Ok(None) => false,
                    Ok(Some(head)) => {
                        stream.known = true;
                        let end = head.end;
                        stream.mode = Mode::Body(head, Chunks::new(end));
                        true
                    }
                    Err(http::Error::HeadTooLarge) => {
                        self.lose(Cause::TooLarge);
                        true
                    }
                    Err(_) => {
                        // Not to find the same place again.
                        stream.pass(1);
                        self.lose(Cause::NotHttp);
                        true
                    }
                }
            }
            Mode::Body(head, chunks) => {
                let whole = match head.length {
                    Length::Bytes(length) if length > limits.message as u64 => {
                        let left = head.end as u64 + length;
                        stream.mode = Mode::Passing(left, Cause::TooLarge);
                        self.count_passed();
                        return true;
                    }
                    Length::Bytes(length) => {
                        Some(head.end + length as usize).filter(|end| stream.buffer.len() >= *end)
                    }
                    Length::Chunked => match chunks.end(&stream.buffer) {
                        Ok(end) => end,
                        Err(_) => {
                            self.lose(Cause::NotHttp);
                            return true;
                        }
                    },
                    Length::UntilClose => None,
                };
                match whole {
                    Some(end) => {
                        self.whole(end);
                        true
                    }
                    None if stream.buffer.len() > limits.message + limits.head => {
                        self.lose(Cause::TooLarge);
                        true
                    }
                    None => false,
                }
            }
        }
    }

    /// A message is whole: so many bytes at the front.
    fn whole(&mut self, end: usize) {
        let stream = self.stream();
        let Mode::Body(head, _) = std::mem::replace(&mut stream.mode, Mode::Head) else {
            return;
        };
        let (first, last) = stream.span(end);
        let bytes = stream.use_up(end);
        let message = Message {
            bytes,
            line: head.start_line,
            fields: head.fields,
            body: head.end..end,
            first,
            last,
        };
        match self.side {
            Side::Client => self.request(message),
            Side::Server => self.answer(message),
        }
    }

    fn request(&mut self, message: Message) {
        let index = self.conn.requests;
        self.conn.requests += 1;
        let head = message
            .request_line()
            .is_some_and(|(method, _)| method == b"HEAD");
        let last = message.last;
        self.found.push_back(Found::Request {
            conn: self.id,
            index,
            message,
        });
        self.open(Open { index, head, last });
    }

    fn open(&mut self, open: Open) {
        if self.conn.open.len() >= self.limits.open {
            // Nobody pipelines so many; the oldest will not be answered in this capture.
            self.conn.open.pop_front();
        }
        let (index, last) = (open.index, open.last);
        self.conn.open.push_back(open);
        // Packets may have changed places, so an answer can be there before its request is; only where bytes are
        // missing does its time tell more than its place.
        while let Some(early) = self.conn.early.pop_front() {
            if !self.conn.by_time || early.first >= last {
                self.conn.open.pop_back();
                self.found.push_back(Found::Answer {
                    conn: self.id,
                    to: Some(index),
                    message: early,
                });
                break;
            }
            self.found.push_back(Found::Answer {
                conn: self.id,
                to: None,
                message: early,
            });
        }
    }

    fn answer(&mut self, message: Message) {
        if message
            .status()
            .is_some_and(|status| (100..200).contains(&status))
        {
            // Not the final one.
            return;
        }
        let conn = &mut *self.conn;
        if conn.open.is_empty() {
            if conn.early.len() < self.limits.open {
                conn.early.push_back(message);
            } else {
                self.found.push_back(Found::Answer {
                    conn: self.id,
                    to: None,
                    message,
                });
            }
            return;
        }
        let to = if conn.by_time {
            // The latest request that was whole before it; earlier ones lost their answers.
            let before = conn
                .open
                .iter()
                .rposition(|open| open.last <= message.first);
            before.and_then(|at| conn.open.drain(..=at).next_back())
        } else {
            conn.open.pop_front()
        };
        conn.by_time &= !conn.open.is_empty();
        self.found.push_back(Found::Answer {
            conn: self.id,
            to: to.map(|open| open.index),
            message,
        });
    }

    /// A request or answer that is too large, or lost a part whose length is known, still counts in order.
    fn count_passed(&mut self) {
        match self.side {
            Side::Client => {
                let index = self.conn.requests;
                self.conn.requests += 1;
                let last = self.stream().span(1).0;
                self.open(Open {
                    index,
                    head: false,
                    last,
                });
            }
            Side::Server => {
                self.conn.open.pop_front();
            }
        }
    }

    fn hole(&mut self, length: Option<u64>) {
        let at = self.at;
        let stream = &mut self.conn.streams[at];
        match (&mut stream.mode, length) {
            (Mode::Passing(left, _), Some(length)) if length <= *left => {
                *left -= length;
                if *left == 0 {
                    let Mode::Passing(_, cause) = std::mem::replace(&mut stream.mode, Mode::Head)
                    else {
                        return;
                    };
                    self.tell(cause);
                }
                return;
            }
            (Mode::Body(head, _), Some(length)) => {
                if let Length::Bytes(body) = head.length {
                    let left = (head.end as u64 + body).saturating_sub(stream.buffer.len() as u64);
                    if length <= left {
                        // The message is lost, but where the next begins is known.
                        let there = stream.buffer.len();
                        self.count_passed();
                        let stream = self.stream();
                        stream.pass(there);
                        stream.mode = Mode::Passing(left - length, Cause::Hole);
                        while self.step() {}
                        return;
                    }
                }
            }
            _ => {}
        }
        self.conn.by_time = true;
        self.lose(Cause::Hole);
    }

    /// What is in the buffer is given up, and the next message looked for.
    fn lose(&mut self, cause: Cause) {
        let over = matches!(self.stream().mode, Mode::Over);
        let stream = self.stream();
        if let Mode::Seeking(_) | Mode::Head = stream.mode {
            if cause == Cause::NotHttp {
                stream.mode = Mode::Seeking(cause);
                return;
            }
        }
        let there = stream.buffer.len();
        stream.pass(there);
        stream.mode = Mode::Seeking(cause);
        if over {
            stream.mode = Mode::Over;
        }
        self.conn.by_time = true;
    }

    /// The side sends nothing more.
    fn ended(&mut self) {
        let stream = self.stream();
        let cause = match &stream.mode {
            Mode::Over => return,
            Mode::Body(
                Head {
                    length: Length::UntilClose,
                    ..
                },
                _,
            ) => {
                let end = stream.buffer.len();
                self.whole(end);
                self.stream().mode = Mode::Over;
                return;
            }
            Mode::Seeking(cause) | Mode::Passing(_, cause) => *cause,
            Mode::Head | Mode::Body(..) => Cause::Cut,
        };
        let left = stream.buffer.len();
        stream.pass(left);
        stream.mode = Mode::Over;
        let cause = if stream.known {
            cause
        } else {
            Cause::NotHttp.max(cause)
        };
        self.tell(cause);
    }

    /// Tells what was passed over since last time.
    fn tell(&mut self, cause: Cause) {
        let (id, side) = (self.id, self.side);
        let stream = self.stream();
        if let (bytes, Some(time)) = std::mem::take(&mut stream.passed) {
            self.found.push_back(Found::Passed {
                conn: id,
                side,
                cause,
                bytes,
                time,
            });
        }
    }
}

/// Where the first message that can be recognised begins: a known method, a path and the version, or the
/// version and three digits.
fn recognise(bytes: &[u8], side: Side) -> Option<usize> {
    const METHODS: [&[u8]; 7] = [
        b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"PATCH",
    ];
    if side == Side::Server {
        return memchr::memmem::find_iter(bytes, b"HTTP/1.1 ").find(|&at| {
            let status = bytes.get(at + 9..at + 12);
            let after = bytes.get(at + 12);
            status.is_some_and(|s| s.iter().all(u8::is_ascii_digit))
                && matches!(after, Some(b' ' | b'\r'))
        });
    }
    memchr::memmem::find_iter(bytes, b" HTTP/1.1\r\n").find_map(|at| {
        let target = bytes[..at].iter().rposition(|b| !b.is_ascii_graphic())? + 1;
        if !bytes[target..at].starts_with(b"/") {
            return None;
        }
        let before = bytes[..target].strip_suffix(b" ")?;
        let method = METHODS.iter().find(|method| before.ends_with(method))?;
        Some(before.len() - method.len())
    })
}
