//! The front for HTTP/1.1: bytes from balancers become requests, and answers bytes. A task for each connection; a
//! slow one stalls itself.

mod answer;

use crate::frontend::connection_pool::{Asked as Leave, Permit};
use crate::frontend::lingering_close;
use crate::frontend::request::{Asked, Draft};
use crate::frontend::response::Response;
use crate::frontend::{Answer, Arrival, Front};
use crate::recording::recorded_stream::Stream;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{future, AsyncRead};
use heathspur_wire::http::{self, ConnectionOption, Fields, Message, Reader};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Bounds on a request.
const LIMITS: http::Limits = http::Limits {
    head: 8 * 1024,
    body: 2 * 1024,
};
/// Bytes read at once, and bytes kept of what follows an open request.
const CHUNK: usize = 4 * 1024;
const AHEAD: usize = 16 * 1024;
/// A new connection must say something within this, and a request be whole within it from its first byte.
const WHOLE: Duration = Duration::from_secs(2);
/// The longest sleep of an idle connection before it looks at the settings again.
const LOOK: Duration = Duration::from_millis(500);

thread_local! {
    /// What is read lies here until its connection's buffer takes it, within one look: room made for it in the
    /// buffer itself would have to be cleared for each read, and is many times what a request needs.
    static READ: RefCell<[u8; CHUNK]> = const { RefCell::new([0; CHUNK]) };
}

/// Why a connection's next request is none.
enum Ended {
    /// The other side closed it, or it failed.
    Closed,
    /// It was idle for too long, or nothing new is taken: ours to close.
    Idle,
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
pub(crate) fn serve(
    executor: Rc<LocalExecutor<'static>>,
    front: Rc<Front>,
) -> impl Fn(Stream, Permit) {
    move |stream, permit| {
        executor
            .spawn(connection(stream, front.clone(), permit))
            .detach()
    }
}

/// Serves one connection to its end.
async fn connection(stream: Stream, front: Rc<Front>, permit: Permit) {
    // It fails on a connection that is gone, which the first read tells.
    let _ = stream.get_ref().set_nodelay(true);
    let (mut buffer, mut reader) = (BytesMut::new(), Reader::new(LIMITS));
    loop {
        let ended = match permit
            .idle(next(&stream, &front, &permit, &mut buffer, &mut reader))
            .await
        {
            Ok(Ok(message)) => {
                let close = http::has_close_option(Fields::over(&buffer[message.fields.clone()]));
                let whole = buffer.split_to(message.body.end).freeze();
                match respond(
                    &stream,
                    &front,
                    &permit,
                    &mut buffer,
                    whole,
                    &message,
                    close,
                )
                .await
                {
                    Ok(ConnectionOption::KeepAlive) => continue,
                    Ok(ConnectionOption::Close) => Ended::Idle,
                    Err(ended) => ended,
                }
            }
            Ok(Err(Ended::Idle)) => match look(&stream, &mut buffer).await {
                Some(Ok(1..)) => continue,
                Some(_) => Ended::Closed,
                None => Ended::Idle,
            },
            // Its permit is needed, but for one of whose next request something has come meanwhile. What is whole
            // by now is a request that this server has; a part is none.
            Err(asked) => match look(&stream, &mut buffer).await {
                Some(Ok(0) | Err(_)) => Ended::Closed,
                None if buffer.is_empty() => Ended::Idle,
                _ if asked == Leave::Idle || matches!(reader.read(&buffer), Ok(Some(_))) => {
                    continue
                }
                _ => Ended::Bad(408),
            },
            Ok(Err(ended)) => ended,
        };
        return match ended {
            Ended::Closed => {}
            Ended::Idle => permit.linger(lingering_close::close(&stream)).await,
            Ended::Bad(status) => permit.linger(answer::reject(&stream, status)).await,
        };
    }
}

/// Has a whole message answered; says whether the answer was the connection's last.
async fn respond(
    stream: &Stream,
    front: &Front,
    permit: &Permit,
    buffer: &mut BytesMut,
    whole: Bytes,
    message: &Message,
    close: bool,
) -> Result<ConnectionOption, Ended> {
    let desk = &front.desk;
    let mut last = if close {
        ConnectionOption::Close
    } else {
        ConnectionOption::KeepAlive
    };
    let asked = understand(&whole, message, front);
    drop(whole);
    let response = match asked {
        Read::Bad(status) => return Err(Ended::Bad(status)),
        Read::Health => {
            permit.heard();
            Response::of_health(desk)
        }
        Read::Request(arrival, answers) => {
            permit.heard();
            let id = arrival.id;
            // The owner outlives all connections, or nothing is owed any more.
            front
                .requests
                .send(*arrival)
                .await
                .map_err(|_| Ended::Closed)?;
            let Some(given) = wait(stream, buffer, &answers).await else {
                answers.close();
                let _ = front.gone.send(id).await;
                return Err(Ended::Closed);
            };
            if desk.leaving.get() && buffer.is_empty() {
                // What came behind it is owed an answer too, which is the last then.
                last = match look(stream, buffer).await {
                    Some(Ok(1..)) => last,
                    _ => ConnectionOption::Close,
                };
            }
            Response::of(&given, desk)
        }
    };
    answer::write(stream, desk, &response, last)
        .await
        .map_err(|_| Ended::Closed)?;
    Ok(last)
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
    permit: &Permit,
    buffer: &mut BytesMut,
    reader: &mut Reader,
) -> Result<Message, Ended> {
    let mut since = Instant::now();
    loop {
        // An empty line before a request is skipped.
        while buffer.starts_with(b"\r\n") {
            buffer.advance(2);
        }
        if let Some(message) = reader
            .read(buffer)
            .map_err(|fault| Ended::Bad(fault.status()))?
        {
            return Ok(message);
        }
        let begun = !buffer.is_empty();
        if begun {
            permit.begun();
        }
        let left = match begun {
            true => WHOLE.checked_sub(since.elapsed()).ok_or(Ended::Bad(408))?,
            false if front.desk.shutting.is_closed() => return Err(Ended::Idle),
            false => {
                let idle = Duration::from_micros(front.desk.idle.get().0);
                let idle = if permit.was_heard() {
                    idle
                } else {
                    idle.min(WHOLE)
                };
                idle.checked_sub(since.elapsed())
                    .ok_or(Ended::Idle)?
                    .min(LOOK)
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

/// Waits for bytes and appends them.
async fn read(stream: &Stream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if let Some(read) = look(stream, buffer).await {
            return read;
        }
    }
}

/// Appends what has come already; none where nothing has. It never waits, so nothing can break it off half-way
/// and leave bytes in the buffer that nobody sent.
async fn look(mut stream: &Stream, buffer: &mut BytesMut) -> Option<io::Result<usize>> {
    let looked = future::poll_fn(|cx| {
        let read = READ.with_borrow_mut(|chunk| {
            let read = Pin::new(&mut stream).poll_read(cx, chunk);
            if let Poll::Ready(Ok(count)) = read {
                buffer.extend_from_slice(&chunk[..count]);
            }
            read
        });
        Poll::Ready(match read {
            Poll::Ready(read) => Some(read),
            Poll::Pending => None,
        })
    });
    looked.await
}

/// Makes a request of a message, or says why it is none. `whole` holds the message and nothing else.
fn understand(whole: &Bytes, message: &Message, front: &Front) -> Read {
    let Ok((method, target)) = http::request_line(&whole[message.start_line.clone()]) else {
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
