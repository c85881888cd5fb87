//! The front for HTTP/1.1: bytes from balancers become requests, and answers bytes. A task for each connection; a
//! slow one stalls itself.

mod answer;

use crate::front::{Answer, Arrival, Front};
use crate::pool::Permit;
use crate::request::{Asked, Draft};
use crate::response::Response;
use crate::tape::Stream;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{future, AsyncReadExt};
use heathspur_wire::http::{self, Fields, Last, Message, Reader};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bounds on a request.
const LIMITS: http::Limits = http::Limits { head: 8 * 1024, body: 2 * 1024 };
/// Bytes read at once, and bytes kept of what follows an open request.
const CHUNK: usize = 4 * 1024;
const AHEAD: usize = 16 * 1024;
/// A new connection must say something within this, and a request be whole within it from its first byte.
const WHOLE: Duration = Duration::from_secs(2);
/// The longest sleep of an idle connection before it looks at the settings again.
const LOOK: Duration = Duration::from_millis(500);
/// Why a connection's next request is none.
enum Ended {
    /// The other side closed it, it failed, or it was idle for too long.
    Closed,
    /// What came can't be taken; the status says why.
    Bad(u16),
}

/// What a whole message is.
enum Read {
    Health,
    Request(Box<Arrival>, async_channel::Receiver<Answer>),
    Bad(u16),
}

/// What serves a connection of this front.
pub(crate) fn serve(executor: Rc<LocalExecutor<'static>>, front: Rc<Front>) -> impl Fn(Stream, Permit) {
    move |stream, permit| executor.spawn(connection(stream, front.clone(), permit)).detach()
}

/// Serves one connection to its end.
async fn connection(stream: Stream, front: Rc<Front>, permit: Permit) {
    if stream.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let mut buffer = BytesMut::new();
    let mut reader = Reader::new(LIMITS);
    loop {
        let fresh = !permit.asked();
        let message = match permit.rest(next(&stream, &front, &mut buffer, &mut reader, fresh)).await {
            Some(Ok(message)) => message,
            None | Some(Err(Ended::Closed)) => return,
            Some(Err(Ended::Bad(status))) => return reject(&stream, &permit, status).await,
        };
        let close = http::says_close(Fields::over(&buffer[message.fields.clone()]));
        let whole = buffer.split_to(message.body.end).freeze();
        let mut last = if close { Last::Yes } else { Last::No };
        let asked = understand(&whole, &message, &front);
        if !matches!(asked, Read::Bad(_)) {
            permit.has_asked();
        }
        let answered = match asked {
            Read::Health => {
                answer::write(&stream, &front.desk, &Response::of_health(&front.desk), last).await
            }
            Read::Bad(status) => return reject(&stream, &permit, status).await,
            Read::Request(arrival, answers) => {
                let id = arrival.id;
                drop(whole);
                if front.requests.send(*arrival).await.is_err() {
                    return;
                }
                match wait(&stream, &mut buffer, &answers).await {
                    Some(given) => {
                        // What was read behind it is owed an answer too, which is the last then.
                        if front.desk.leaving.get() && buffer.is_empty() {
                            last = Last::Yes;
                        }
                        answer::write(&stream, &front.desk, &Response::of(&given, &front.desk), last).await
                    }
                    None => {
                        answers.close();
                        // The owner outlives all connections, or nothing is owed any more.
                        let _ = front.gone.send(id).await;
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
async fn reject(stream: &Stream, permit: &Permit, status: u16) {
    // It ends either way.
    let _ = permit.rest(answer::reject(stream, status)).await;
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
            false if front.desk.shutting.is_closed() => return Err(Ended::Closed),
            false => {
                let idle = Duration::from_micros(front.desk.idle.get().0);
                let idle = if fresh { idle.min(WHOLE) } else { idle };
                idle.checked_sub(since.elapsed()).ok_or(Ended::Closed)?.min(LOOK)
            }
        };
        let late = async {
            if begun {
                Timer::after(left).await;
            } else {
                let shut = front.desk.shut();
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
fn understand(whole: &Bytes, message: &Message, front: &Front) -> Read {
    let Ok((method, target)) = http::request_line(&whole[message.first.clone()]) else {
        return Read::Bad(400);
    };
    let class = match Asked::of(method, target, &front.desk) {
        Asked::Health => return Read::Health,
        Asked::Bad(status) => return Read::Bad(status),
        Asked::Work(class) => class,
    };
    let mut draft = Draft::new(&front.desk, |part| whole.slice_ref(part));
    for field in Fields::over(&whole[message.fields.clone()]) {
        let taken = field.ok().and_then(|(name, value)| draft.take(name, value));
        if taken.is_none() {
            return Read::Bad(400);
        }
    }
    match draft.finish(class, whole.slice(message.body.clone())) {
        Some((arrival, answers)) => Read::Request(Box::new(arrival), answers),
        None => Read::Bad(400),
    }
}
