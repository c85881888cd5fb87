//! Stage one: bytes from balancers become requests. A task for each connection; a slow one stalls itself.

use crate::clock;
use crate::crowd::Place;
use crate::inbox::{Answer, Arrival, Front, News, Txn};
use crate::relay;
use crate::tape::Stream;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{future, AsyncReadExt};
use heathspur::{ClassId, RequestId, Span, TenantId};
use heathspur_wire::http::{self, Fields, Last, Message, Reader};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::error;

/// Bounds on a request.
const LIMITS: http::Limits = http::Limits { head: 8 * 1024, body: 2 * 1024 };
/// Bytes read at once, and bytes kept of what follows an open request.
const CHUNK: usize = 4 * 1024;
const AHEAD: usize = 16 * 1024;
/// A new connection must say something within this, and a request be whole within it from its first byte.
const WHOLE: Duration = Duration::from_secs(2);
/// How far ahead of our clock a request's stamp may lie, in Unix microseconds.
const AHEAD_OF_US: u64 = 60_000_000;
/// The longest sleep of an idle connection before it looks at the settings again.
const LOOK: Duration = Duration::from_millis(500);
/// Time to wait for room or descriptors before accepting again.
const BACK_OFF: Duration = Duration::from_millis(20);
/// Where requests and health checks go.
const SERVICE: &[u8] = b"/svc/";
const HEALTH: &[u8] = b"/status/live";

/// Why a connection's next request is none.
enum Ended {
    /// The other side closed it, it failed, or it was idle for too long.
    Closed,
    /// What came can't be taken; the status says why.
    Bad(u16),
}

/// What a whole message asks for.
enum Asked {
    Health,
    Request(Box<Arrival>, async_channel::Receiver<Answer>),
    Bad(u16),
}

/// Serves one connection to its end.
pub(crate) async fn connection(stream: Stream, front: Rc<Front>, place: Place) {
    if stream.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let mut buffer = BytesMut::new();
    let mut reader = Reader::new(LIMITS);
    loop {
        let fresh = !place.asked();
        let message = match place.rest(next(&stream, &front, &mut buffer, &mut reader, fresh)).await {
            Some(Ok(message)) => message,
            None | Some(Err(Ended::Closed)) => return,
            Some(Err(Ended::Bad(status))) => return turn_away(&stream, &place, status).await,
        };
        let close = http::says_close(Fields::over(&buffer[message.fields.clone()]));
        let whole = buffer.split_to(message.body.end).freeze();
        let mut last = if close { Last::Yes } else { Last::No };
        let asked = understand(&whole, &message, &front);
        if !matches!(asked, Asked::Bad(_)) {
            place.has_asked();
        }
        let answered = match asked {
            Asked::Health => relay::health(&stream, &front, last).await,
            Asked::Bad(status) => return turn_away(&stream, &place, status).await,
            Asked::Request(arrival, answers) => {
                let id = arrival.id;
                drop(whole);
                if front.requests.send(*arrival).await.is_err() {
                    return;
                }
                match wait(&stream, &mut buffer, &answers).await {
                    Some(answer) => {
                        if front.leaving.get() {
                            last = Last::Yes;
                        }
                        relay::write(&stream, &front, &answer, last).await
                    }
                    None => {
                        answers.close();
                        // The owner outlives all connections, or nothing is owed any more.
                        let _ = front.news.send(News::Gone(id)).await;
                        return;
                    }
                }
            }
        };
        if answered.is_err() || last == Last::Yes {
            return;
        }
    }
}

/// Answers what can't be taken; its place is free for others at once.
async fn turn_away(stream: &Stream, place: &Place, status: u16) {
    // It ends either way.
    let _ = place.rest(relay::turn_away(stream, status)).await;
}

/// Waits for the answer while it watches the connection; none once the caller is gone.
async fn wait(
    stream: &Stream,
    buffer: &mut BytesMut,
    answers: &async_channel::Receiver<Answer>,
) -> Option<Answer> {
    let gone = async {
        while buffer.len() < AHEAD {
            match read(stream, buffer).await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
        future::pending().await
    };
    future::or(async { answers.recv().await.ok() }, gone).await
}

/// Reads until the buffer starts with a whole message.
async fn next(
    stream: &Stream,
    front: &Front,
    buffer: &mut BytesMut,
    reader: &mut Reader,
    fresh: bool,
) -> Result<Message, Ended> {
    let mut since = Instant::now();
    loop {
        // An empty line before a request is skipped.
        while buffer.starts_with(b"\r\n") {
            buffer.advance(2);
        }
        if let Some(message) = reader.read(buffer).map_err(|fault| Ended::Bad(fault.status()))? {
            return Ok(message);
        }
        let begun = !buffer.is_empty();
        let left = match begun {
            true => WHOLE.checked_sub(since.elapsed()).ok_or(Ended::Bad(408))?,
            false if front.shutting.is_closed() => return Err(Ended::Closed),
            false => {
                let idle = Duration::from_micros(front.idle.get().0);
                let idle = if fresh { idle.min(WHOLE) } else { idle };
                idle.checked_sub(since.elapsed()).ok_or(Ended::Closed)?.min(LOOK)
            }
        };
        let late = async {
            if begun {
                Timer::after(left).await;
            } else {
                // The channel is closed when the front is shut; nothing is ever sent on it.
                let shut = async { front.shutting.recv().await.unwrap_or(()) };
                let tired = async {
                    Timer::after(left).await;
                };
                future::or(shut, tired).await;
            }
            Ok(None)
        };
        match future::or(async { read(stream, buffer).await.map(Some) }, late).await {
            Ok(Some(0)) | Err(_) => return Err(Ended::Closed),
            Ok(Some(_)) if !begun => since = Instant::now(),
            Ok(_) => {}
        }
    }
}

/// Appends what has come.
async fn read(mut stream: &Stream, buffer: &mut BytesMut) -> io::Result<usize> {
    stream.readable().await?;
    let held = buffer.len();
    buffer.resize(held + CHUNK, 0);
    let read = stream.read(&mut buffer[held..]).await;
    buffer.truncate(held + read.as_ref().map_or(0, |n| *n));
    read
}

/// Makes a request of a message, or says why it is none. `whole` holds the message and nothing else.
fn understand(whole: &Bytes, message: &Message, front: &Front) -> Asked {
    let Ok((method, target)) = http::request_line(&whole[message.first.clone()]) else {
        return Asked::Bad(400);
    };
    let path = target.split(|&b| b == b'?').next().unwrap_or(target);
    if path == HEALTH {
        return if method == b"GET" || method == b"HEAD" { Asked::Health } else { Asked::Bad(405) };
    }
    let class = path.strip_prefix(SERVICE);
    let class = class.and_then(|name| front.names.classes.iter().position(|c| c.as_bytes() == name));
    let Some(class) = class else { return Asked::Bad(404) };
    if method != b"POST" {
        return Asked::Bad(405);
    }
    match request(whole, message, front, ClassId(class)) {
        Some((arrival, answers)) => Asked::Request(Box::new(arrival), answers),
        None => Asked::Bad(400),
    }
}

/// The request's fields; none when a needed one is missing or one that is there makes no sense.
fn request(
    whole: &Bytes,
    message: &Message,
    front: &Front,
    class: ClassId,
) -> Option<(Arrival, async_channel::Receiver<Answer>)> {
    let (mut txn, mut ingress, mut held_kb) = (None, None, None);
    let (mut key, mut row, mut tenant, mut retry) = (None, None, None, false);
    let (mut left, mut cost, mut rank, mut router) = (None, None, None, None);
    let latest = clock::unix() + AHEAD_OF_US;
    for field in Fields::over(&whole[message.fields.clone()]) {
        let (name, value) = field.ok()?;
        let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
        // Each stands there once; a second one is as bad as none.
        let again = if is("X-Txn") {
            txn.replace(Txn::read(value)?).is_some()
        } else if is("X-Ingress-Time") {
            let stamp = http::number(value)?.checked_mul(1000).filter(|&stamp| stamp <= latest)?;
            ingress.replace(stamp).is_some()
        } else if is("X-Working-Set-Kb") {
            held_kb.replace(decimal(value).filter(|kb| *kb > 0.0 && *kb < 2000.0)?).is_some()
        } else if is("X-Shed-Order") {
            rank.replace(decimal(value).filter(|rank| *rank < 1.0)?).is_some()
        } else if is("X-Router") {
            router.replace(http::number(value)?).is_some()
        } else if is("X-Merchant") {
            tenant.replace(front.names.tenants.iter().position(|t| t.as_bytes() == value)?).is_some()
        } else if is("X-Second-Try") {
            std::mem::replace(&mut retry, (value == b"1").then_some(true)?)
        } else if is("X-Txn-Key") {
            key.replace(subject(whole, value)?).is_some()
        } else if is("X-Ttl-Ms") {
            left.replace(Span::from_secs(decimal(value)? / 1000.0)).is_some()
        } else if is("X-Cpu-Hint") {
            cost.replace(decimal(value)? / 1000.0).is_some()
        } else if is("X-Row") {
            row.replace(subject(whole, value)?).is_some()
        } else {
            false
        };
        if again {
            return None;
        }
    }
    let (Some(_), Some(_)) = (rank, router) else { return None };
    let keyed = front.keyed[class.0];
    // A key belongs to keyed classes, a subject to the others, and a tenant to all where there are tenants.
    if keyed != key.is_some() || keyed && row.is_some() || front.names.tenants.is_empty() != tenant.is_none()
    {
        return None;
    }
    let (reply, answers) = async_channel::bounded(1);
    let id = RequestId(front.next_id.get());
    front.next_id.set(id.0 + 1);
    let arrival = Arrival {
        id,
        txn: txn?,
        class,
        tenant: tenant.map(TenantId),
        ingress: ingress?,
        row: row.is_some(),
        key: key.or(row),
        retry,
        left,
        cost,
        held_kb: held_kb?,
        body: whole.slice(message.body.clone()),
        reply,
    };
    Some((arrival, answers))
}

/// What tells repeats: from 1 to 64 bytes.
fn subject(whole: &Bytes, value: &[u8]) -> Option<Bytes> {
    (1..=64).contains(&value.len()).then(|| whole.slice_ref(value))
}

/// Decimal digits with at most one point among them.
fn decimal(text: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(text).ok()?;
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n: &f64| plain && n.is_finite())
}

/// Accepts connections while there is room for them; ends when the front is shut, with the socket.
pub(crate) async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    front: Rc<Front>,
) {
    while !front.shutting.is_closed() {
        front.crowd.make_room();
        let Some(place) = Place::take(&front) else {
            let pause = async {
                Timer::after(BACK_OFF).await;
            };
            future::or(front.crowd.room(), pause).await;
            continue;
        };
        let shut = async {
            front.shutting.recv().await.unwrap_or(());
            None
        };
        match future::or(async { Some(listener.accept().await) }, shut).await {
            None => {}
            Some(Ok((stream, _))) => {
                let stream = Stream::accepted(stream, front.tap.as_ref());
                executor.spawn(connection(stream, front.clone(), place)).detach();
            }
            Some(Err(e)) => {
                error!(error = %e, "cannot accept a connection: {e}");
                drop(place);
                Timer::after(BACK_OFF).await;
            }
        }
    }
    // What the machine has accepted already is served still.
    while let (Some(place), Ok((stream, _))) = (Place::take(&front), listener.get_ref().accept()) {
        if let Ok(stream) = Async::new(stream) {
            let stream = Stream::accepted(stream, front.tap.as_ref());
            executor.spawn(connection(stream, front.clone(), place)).detach();
        }
    }
}
