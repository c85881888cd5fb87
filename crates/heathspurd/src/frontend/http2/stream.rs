//! One stream: events from the library, the owner and the clock go to its [`Life`], and what that says is done.

use super::{Conn, Taken};
use crate::frontend::request::{Asked, Draft};
use crate::frontend::response;
use crate::frontend::response_buffer::Held;
use crate::frontend::{Answer, Arrival};
use async_channel::Receiver;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use heathspur::{ClassId, RequestId};
use heathspur_streams::life::{Action, Event, Life, State};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

/// What a head counts for among the bytes that wait to be sent.
const HEAD: usize = 64;

/// What a stream has at hand.
struct Stream {
    conn: Rc<Conn>,
    life: Life,
    respond: SendResponse<Bytes>,
    body: RecvStream,
    /// What has come of the body.
    kept: BytesMut,
    /// What its head asks for.
    asked: Asked,
    fields: HeaderMap,
    /// By when it must be whole, and later by when its answer must be read.
    until: Instant,
    /// Where its answer comes, once it is handed in.
    given: Option<(RequestId, Receiver<Answer>)>,
    reply: Option<response::Response>,
    /// Where the answer's body goes, how far it has gone, and what of it waits in the budget.
    out: Option<SendStream<Bytes>>,
    sent: usize,
    held: Option<Held>,
}

/// Serves a stream to its end.
pub(super) async fn serve(
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    taken: Taken,
) {
    let conn = taken.0.clone();
    let (head, body) = request.into_parts();
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let desk = &conn.shared.front.desk;
    let asked = Asked::of(head.method.as_str().as_bytes(), target.as_bytes(), desk);
    let bounds = &conn.shared.bounds;
    let (most, until) = (
        bounds.request.body.0 as u32,
        Instant::now() + bounds.request.receive_timeout.0,
    );
    let mut stream = Stream {
        life: Life::new(most),
        respond,
        body,
        kept: BytesMut::new(),
        asked,
        fields: head.headers,
        until,
        given: None,
        reply: None,
        out: None,
        sent: 0,
        held: None,
        conn,
    };
    let mut first = match stream.asked {
        // It is answered by the front alone, so it needs to be read no further.
        Asked::Health => {
            stream.conn.seen.meter.borrow_mut().request();
            let reply = response::Response::of_health(&stream.conn.shared.front.desk);
            let _ = stream.head(&reply, true);
            return;
        }
        Asked::Bad(status) => Some(Event::Wrong { status }),
        Asked::Work(_) => None,
    };
    while !matches!(stream.life.state(), State::Over(_)) {
        let event = match first.take() {
            Some(event) => event,
            None => stream.next().await,
        };
        let action = stream.life.on(event);
        first = stream.carry_out(action).await;
    }
    // Its place is taken for as long as the library holds something of it.
    stream.conn.seen.settled().await;
}

impl Stream {
    /// Waits for what happens next.
    async fn next(&mut self) -> Event {
        match self.life.state() {
            State::Body { .. } => self.read().await,
            State::Given => self.wait().await,
            State::Answering { left } | State::Blocked { left } => self.window(left as usize).await,
            State::Over(_) => future::pending().await,
        }
    }

    /// The next bytes of the body.
    async fn read(&mut self) -> Event {
        let desk = self.conn.shared.front.desk.clone();
        let (body, kept) = (&mut self.body, &mut self.kept);
        let data = async {
            match body.data().await {
                Some(Ok(bytes)) => {
                    // What is kept is bounded by the life's own bound: past it nothing is read any more.
                    kept.extend_from_slice(&bytes);
                    let count = bytes.len();
                    let _ = body.flow_control().release_capacity(count);
                    Event::Data {
                        bytes: count as u32,
                        end: body.is_end_stream(),
                    }
                }
                Some(Err(e)) => ended(&e),
                // Trailers may follow; nobody asks for them.
                None => Event::Data {
                    bytes: 0,
                    end: true,
                },
            }
        };
        let late = async {
            Timer::at(self.until).await;
            Event::Late
        };
        let shut = async {
            desk.shut().await;
            Event::Shut
        };
        future::or(data, future::or(late, shut)).await
    }

    /// The module's answer, or the caller's going.
    async fn wait(&mut self) -> Event {
        let Some((_, answers)) = &self.given else {
            return Event::Lost;
        };
        let desk = &self.conn.shared.front.desk;
        let answer = async {
            match answers.recv().await {
                Ok(answer) => {
                    let reply = response::Response::of(&answer, desk);
                    let bytes = reply.body.len() as u32;
                    self.reply = Some(reply);
                    Event::Answer { bytes }
                }
                // The owner gives every request an answer, or has been told that its caller is gone.
                Err(_) => future::pending().await,
            }
        };
        let respond = &mut self.respond;
        future::or(
            answer,
            future::poll_fn(|cx| respond.poll_reset(cx).map(|reset| reset_by(&reset))),
        )
        .await
    }

    /// Room to send, in the caller's window and in what may lie in the connection's buffers.
    async fn window(&mut self, left: usize) -> Event {
        let (conn, until) = (self.conn.clone(), self.until);
        let Some(out) = &mut self.out else {
            return Event::Lost;
        };
        out.reserve_capacity(left);
        let room = out.capacity().min(conn.seen.room());
        if room > 0 {
            return Event::Window { room: room as u32 };
        }
        if self.held.is_none() {
            self.held = Some(conn.shared.room.hold(conn.holder, left));
            return Event::Window { room: 0 };
        }
        let flows = async {
            loop {
                let turned = future::poll_fn(|cx| {
                    if let Poll::Ready(reset) = out.poll_reset(cx) {
                        return Poll::Ready(Some(reset_by(&reset)));
                    }
                    match out.capacity() {
                        0 => match out.poll_capacity(cx) {
                            Poll::Ready(Some(Ok(_))) => Poll::Ready(None),
                            Poll::Ready(Some(Err(e))) => Poll::Ready(Some(ended(&e))),
                            Poll::Ready(None) => Poll::Ready(Some(Event::Lost)),
                            Poll::Pending => Poll::Pending,
                        },
                        _ => Poll::Ready(None),
                    }
                });
                if let Some(event) = turned.await {
                    return event;
                }
                if out.capacity() > 0 {
                    let flowed = async {
                        conn.seen.flowed().await;
                        None
                    };
                    let reset = future::poll_fn(|cx| {
                        out.poll_reset(cx).map(|reset| Some(reset_by(&reset)))
                    });
                    if let Some(event) = future::or(reset, flowed).await {
                        return event;
                    }
                    return Event::Window {
                        room: out.capacity().min(conn.seen.room()) as u32,
                    };
                }
            }
        };
        let late = async {
            let timed = async {
                Timer::at(until).await;
            };
            future::or(timed, conn.shared.front.desk.released()).await;
            Event::Late
        };
        let crowded = async {
            match &self.held {
                Some(held) => held.crowded().await,
                None => future::pending().await,
            }
            Event::Crowded
        };
        future::or(flows, future::or(late, crowded)).await
    }

    /// Does what is to be done; an event where that has one at once.
    async fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::None | Action::Keep => None,
            Action::HandIn => self.hand_in().await,
            Action::TellGone => {
                if let Some((id, answers)) = self.given.take() {
                    answers.close();
                    // The owner outlives all connections, or nothing is owed any more.
                    let _ = self.conn.shared.front.gone.send(id).await;
                }
                None
            }
            Action::Say { status } => {
                let reply = response::Response {
                    status,
                    fields: Vec::new(),
                    body: Bytes::new(),
                };
                self.head(&reply, true).err()
            }
            Action::Head => {
                let reply = self.reply.take()?;
                self.until = Instant::now() + self.conn.shared.bounds.client_timeouts.stalled.0;
                let failed = self.head(&reply, reply.body.is_empty()).err();
                self.conn.shared.share.borrow_mut().answered();
                self.conn
                    .seen
                    .meter
                    .borrow_mut()
                    .answer(reply.body.len() as u64);
                self.reply = Some(reply);
                failed
            }
            Action::Send { bytes, end } => {
                let (reply, out) = (self.reply.as_ref()?, self.out.as_mut()?);
                let to = self.sent + bytes as usize;
                let part = reply.body.slice(self.sent..to);
                self.sent = to;
                self.held = None;
                self.conn.seen.queue(part.len());
                out.send_data(part, end).err().map(|e| ended(&e))
            }
            Action::Refuse => {
                self.respond.send_reset(Reason::REFUSED_STREAM);
                None
            }
            Action::Drop => {
                self.held = None;
                match &mut self.out {
                    Some(out) => out.send_reset(Reason::ENHANCE_YOUR_CALM),
                    None => self.respond.send_reset(Reason::ENHANCE_YOUR_CALM),
                }
                None
            }
        }
    }

    /// Makes a request of what was read and hands it in; the front's own answer where it is none.
    async fn hand_in(&mut self) -> Option<Event> {
        let Asked::Work(class) = self.asked else {
            return None;
        };
        let conn = self.conn.clone();
        let front = &conn.shared.front;
        let Some((arrival, answers)) = self.draft(class) else {
            // It is answered as one that the owner found wrong, and never reached it.
            self.reply = Some(response::Response {
                status: 400,
                fields: Vec::new(),
                body: Bytes::new(),
            });
            return Some(Event::Answer { bytes: 0 });
        };
        conn.seen.meter.borrow_mut().request();
        self.given = Some((arrival.id, answers));
        if let Err(full) = front.requests.try_send(arrival) {
            conn.shared.share.borrow_mut().waited(conn.shared.now());
            // The owner outlives all connections, or nothing is owed any more.
            let _ = front.requests.send(full.into_inner()).await;
        }
        None
    }

    fn draft(&mut self, class: ClassId) -> Option<(Arrival, Receiver<Answer>)> {
        let mut draft = Draft::new(&self.conn.shared.front.desk, Bytes::copy_from_slice);
        for (name, value) in &self.fields {
            draft.take(name.as_str().as_bytes(), value.as_bytes())?;
        }
        let request = draft.finish(class, std::mem::take(&mut self.kept).freeze());
        // The head may be large, and the request may wait for long.
        self.fields = HeaderMap::new();
        request
    }

    /// Sends a head; the event is what it failed with.
    fn head(&mut self, reply: &response::Response, end: bool) -> Result<(), Event> {
        let mut response = Response::new(());
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        for (name, value) in &reply.fields {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.to_string())) {
                response.headers_mut().insert(name, value);
            }
        }
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, reply.body.len().into());
        self.conn.seen.queue(HEAD);
        let sent = self
            .respond
            .send_response(response, end)
            .map_err(|e| ended(&e))?;
        self.out = (!end).then_some(sent);
        Ok(())
    }
}

/// Whether an error is a reset of the stream by its caller, or the end of the connection.
fn ended(error: &h2::Error) -> Event {
    match error.is_reset() {
        true => Event::Reset,
        false => Event::Lost,
    }
}

fn reset_by(reset: &Result<Reason, h2::Error>) -> Event {
    match reset {
        Ok(_) => Event::Reset,
        Err(error) => ended(error),
    }
}
