//! One connection of a replay: bytes out as they come, answers in. It decides nothing.

use crate::source::digest;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use heathspur_replay::event::{ConnectFailure, Event};
use heathspur_wire::framing::{self, Chunks, Head, Kind, Length};
use heathspur_wire::http::{self, status_line};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection must come up within this.
const CONNECT: Duration = Duration::from_secs(2);
const CHUNK: usize = 16 * 1024;
/// Bytes of an answer at most.
const ANSWER: usize = 8 << 20;

/// What a connection reports: its number in the order of their making, the event, when it happened.
pub struct Report {
    /// Tells a lane's connection from one that it had before.
    pub life: u64,
    /// What happened.
    pub event: Event,
    /// When.
    pub at: Instant,
}

/// What a lane is told to write. Bounded by the runner's budget of open requests.
pub type Outbox = Receiver<Outgoing>;

/// A request to be written.
pub struct Outgoing {
    /// Its bytes.
    pub bytes: Bytes,
    /// Whether it is a HEAD, whose answer has no body.
    pub head: bool,
}

/// Runs one connection to its end. It ends when the outbox is closed.
pub async fn run(
    target: SocketAddr,
    (lane, life): (usize, u64),
    outbox: Outbox,
    start: Instant,
    reports: Sender<Report>,
) {
    let report = |event| Report {
        life,
        event,
        at: Instant::now(),
    };
    let connect = async {
        let stream = Async::<TcpStream>::connect(target).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok::<_, io::Error>(stream)
    };
    let late = async {
        Timer::after(CONNECT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = match future::or(connect, late).await {
        Ok(stream) => stream,
        Err(e) => {
            let exhausted = matches!(e.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL));
            let failure = if exhausted {
                ConnectFailure::Exhausted
            } else {
                ConnectFailure::Refused
            };
            let _ = reports
                .send(report(Event::ConnectFailed(lane, failure)))
                .await;
            return;
        }
    };
    if reports.send(report(Event::Connected(lane))).await.is_err() {
        return;
    }
    let heads = Rc::new(RefCell::new(VecDeque::new()));
    let writing = write(&stream, &outbox, &heads);
    let reading = read(&stream, lane, life, start, &heads, &reports);
    if future::or(writing, reading).await == Over::ByPeer {
        let _ = reports.send(report(Event::Closed(lane))).await;
    }
}

/// Too many files of this process, of the machine; no port left.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    /// We were told to close it.
    ByUs,
    /// It was closed, broke, or made no sense.
    ByPeer,
}

async fn write(
    mut stream: &Async<TcpStream>,
    outbox: &Outbox,
    heads: &RefCell<VecDeque<bool>>,
) -> Over {
    while let Ok(Outgoing { bytes, head }) = outbox.recv().await {
        heads.borrow_mut().push_back(head);
        if stream.write_all(&bytes).await.is_err() {
            return Over::ByPeer;
        }
    }
    Over::ByUs
}

async fn read(
    mut stream: &Async<TcpStream>,
    lane: usize,
    life: u64,
    start: Instant,
    heads: &RefCell<VecDeque<bool>>,
    reports: &Sender<Report>,
) -> Over {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; CHUNK]);
    let mut first = None;
    let mut body: Option<(Head, Chunks, u16)> = None;
    loop {
        while !buffer.is_empty() {
            if body.is_none() {
                let to_head = heads.borrow().front().copied().unwrap_or(false);
                let mut status = 0;
                let kind = |line: &[u8]| -> Result<Kind, http::Error> {
                    status = status_line(line)?;
                    Ok(Kind::Response { status, to_head })
                };
                match framing::parse_head(&buffer, 64 * 1024, kind) {
                    Err(_) => return Over::ByPeer,
                    Ok(None) => break,
                    Ok(Some(head)) => {
                        let chunks = Chunks::new(head.end);
                        body = Some((head, chunks, status));
                    }
                }
            }
            let Some((head, chunks, status)) = &mut body else {
                break;
            };
            let end = match head.length {
                Length::Bytes(length) => usize::try_from(length).ok().map(|n| head.end + n),
                Length::Chunked => match chunks.end(&buffer) {
                    Ok(end) => end,
                    Err(_) => return Over::ByPeer,
                },
                Length::UntilClose => None,
            };
            let Some(end) = end.filter(|end| *end <= buffer.len()) else {
                break;
            };
            let (status, close) = (*status, head.close);
            let digest = digest(&buffer[head.end..end]);
            buffer.drain(..end);
            body = None;
            let begun: Instant = first.take().unwrap_or_else(Instant::now);
            if !buffer.is_empty() {
                first = Some(Instant::now());
            }
            if (100..200).contains(&status) {
                continue;
            }
            heads.borrow_mut().pop_front();
            let first = begun.saturating_duration_since(start).as_nanos() as u64;
            let event = Event::Response {
                connection: lane,
                status,
                body_digest: digest,
                first_byte_at: first,
                close,
            };
            if reports
                .send(Report {
                    life,
                    event,
                    at: Instant::now(),
                })
                .await
                .is_err()
            {
                return Over::ByUs;
            }
        }
        if buffer.len() > ANSWER {
            return Over::ByPeer;
        }
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => {
                // An answer without a length ends with its connection.
                if let Some((
                    Head {
                        length: Length::UntilClose,
                        end,
                        ..
                    },
                    _,
                    status,
                )) = body
                {
                    let first = first.map_or(0, |at| {
                        at.saturating_duration_since(start).as_nanos() as u64
                    });
                    let digest = digest(&buffer[end..]);
                    let event = Event::Response {
                        connection: lane,
                        status,
                        body_digest: digest,
                        first_byte_at: first,
                        close: true,
                    };
                    let _ = reports
                        .send(Report {
                            life,
                            event,
                            at: Instant::now(),
                        })
                        .await;
                }
                return Over::ByPeer;
            }
            Ok(n) => {
                first.get_or_insert_with(Instant::now);
                buffer.extend_from_slice(&chunk[..n]);
            }
        }
    }
}
