//! The link to the store. Each call has a connection to itself while it lasts, so what spoils one reply, or
//! breaks one connection, costs that call alone. Connections that brought a whole reply and nothing else are
//! used again for a moment; giving a call up closes its connection.

use crate::frontend::Txn;
use crate::membership::failover::{Routes, Way};
use crate::peers::connection::{connect, is_quiet, Inflow};
use crate::recording::recorded_stream::{Stream, Tap};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use heathspur::{Outcome, RequestId};
use heathspur_record::recorder::Leg;
use heathspur_wire::store::{self as wire, CallStatus};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// A connection is used again within this: the other side may close or forget one that stands idle.
const REUSE: Duration = Duration::from_millis(250);

/// One call of one request; numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CallId(pub u64);

/// A call to be made.
pub(crate) struct Call {
    pub id: RequestId,
    pub call: CallId,
    pub txn: Txn,
    pub limit_ms: u64,
    pub body: Bytes,
    /// Takes a new connection: one that was idle may be forgotten by the other side, and breaking under the
    /// call it would prove nothing.
    pub fresh: bool,
}

/// What the link tells the owner: how a call ended, with the reply where it went well.
#[derive(Debug)]
pub(crate) struct Event {
    pub id: RequestId,
    pub call: CallId,
    pub outcome: Outcome,
    pub body: Bytes,
}

/// A connection, to be used for one call at a time.
struct Line {
    stream: Stream,
    inflow: Inflow,
    address: SocketAddr,
    /// Whose call it carried last, and when that ended. Late copies of that reply bear the same name.
    last: Option<(Txn, Instant)>,
}

impl Line {
    /// It may carry a call of this request to this address: it is young, open, and nothing came unasked.
    fn serves(&self, txn: Txn, address: SocketAddr) -> bool {
        let other = self.last.is_some_and(|(t, _)| t != txn);
        self.address == address && other && self.is_young() && is_quiet(&self.stream)
    }

    fn is_young(&self) -> bool {
        self.last.is_some_and(|(_, at)| at.elapsed() < REUSE)
    }
}

/// A call in hand. Dropping the task closes the connection.
struct Open {
    task: Task<()>,
    written: Rc<Cell<bool>>,
    way: Option<Rc<Way>>,
}

/// The owner's end of the link. Calls in hand are bounded by the requests that stand at calls, and those that
/// have a connection by the places.
pub(crate) struct Link<N> {
    executor: Rc<LocalExecutor<'static>>,
    address: Cell<Option<SocketAddr>>,
    idle: RefCell<VecDeque<Line>>,
    open: RefCell<HashMap<CallId, Open>>,
    give_back: Sender<()>,
    places: Receiver<()>,
    events: Sender<N>,
    tap: Option<Rc<Tap>>,
    /// Where calls go by zones; else all to the one address.
    routes: Option<Rc<Routes>>,
}

impl<N: From<Event> + 'static> Link<N> {
    /// A link that holds so many connections at most.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        address: Option<SocketAddr>,
        most: usize,
        events: Sender<N>,
        tap: Option<Rc<Tap>>,
        routes: Option<Rc<Routes>>,
    ) -> Rc<Link<N>> {
        let (give_back, places) = async_channel::bounded(most.max(1));
        while give_back.try_send(()).is_ok() {}
        Rc::new(Link {
            executor,
            address: Cell::new(address),
            idle: RefCell::default(),
            open: RefCell::default(),
            give_back,
            places,
            events,
            tap,
            routes,
        })
    }

    /// New calls go there from now on; those in hand stay where they are.
    pub fn set(&self, address: Option<SocketAddr>) {
        self.address.set(address);
    }

    /// Makes a call.
    pub fn call(self: &Rc<Self>, call: Call) {
        let (link, number, written) = (self.clone(), call.call, Rc::new(Cell::new(false)));
        let way = self
            .routes
            .as_ref()
            .map(|routes| routes.pick().map(Rc::new));
        let (mark, goes) = (written.clone(), way.clone());
        let made = Instant::now();
        let task = self.executor.spawn(async move {
            let (outcome, body) = match &goes {
                // Who is due for it has no room: turned away here, before anything of it was sent.
                Some(None) => (Outcome::Rejected, Bytes::new()),
                Some(Some(way)) => {
                    let ended = link.carry(&call, made, Some(way.address()), &mark).await;
                    way.ended(ended.0);
                    ended
                }
                None => link.carry(&call, made, link.address.get(), &mark).await,
            };
            let id = call.id;
            // From here on it can't be given up: the owner is told.
            if let Some(open) = link.open.borrow_mut().remove(&number) {
                open.task.detach();
            }
            // It fails once the server has ended.
            let _ = link
                .events
                .send(
                    Event {
                        id,
                        call: number,
                        outcome,
                        body,
                    }
                    .into(),
                )
                .await;
        });
        let way = way.flatten();
        self.open
            .borrow_mut()
            .insert(number, Open { task, written, way });
    }

    /// Gives a call up that took too long, which tells of who was called.
    pub fn give_up_late(&self, call: CallId) -> Outcome {
        if let Some(way) = self
            .open
            .borrow()
            .get(&call)
            .and_then(|open| open.way.as_ref())
        {
            way.ended(Outcome::Timeout);
        }
        self.give_up(call)
    }

    /// Gives a call up: nothing more is heard of it. The outcome says what that proves.
    pub fn give_up(&self, call: CallId) -> Outcome {
        let open = self.open.borrow_mut().remove(&call);
        match open {
            Some(open) if !open.written.get() => Outcome::ConnectFailed,
            _ => Outcome::Timeout,
        }
    }

    /// Closes connections that will not be used again.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(Line::is_young);
    }

    async fn carry(
        &self,
        call: &Call,
        made: Instant,
        to: Option<SocketAddr>,
        written: &Cell<bool>,
    ) -> (Outcome, Bytes) {
        let never = (Outcome::ConnectFailed, Bytes::new());
        let Some(address) = to else { return never };
        // The link holds both ends, so a place comes.
        let _ = self.places.recv().await;
        let _place = Taken(&self.give_back);
        // A place and a dial take their time from the call's, which has no other bound.
        let left = || Duration::from_millis(call.limit_ms).saturating_sub(made.elapsed());
        let mut line = match self.line(call, address, left()).await {
            Ok(line) => line,
            Err(e) => {
                warn!(error = %e, "no connection to the store: {e}");
                return never;
            }
        };
        written.set(true);
        match exchange(&mut line, call, left()).await {
            Ok((outcome, body, only)) => {
                if only {
                    line.last = Some((call.txn, Instant::now()));
                    self.keep(line);
                }
                (outcome, body)
            }
            Err(why) => {
                warn!(cause = %why, "the store's connection broke under a call: {why}");
                (Outcome::Reset, Bytes::new())
            }
        }
    }

    /// A connection for a call: the one that was used last, else a new one.
    async fn line(
        &self,
        call: &Call,
        address: SocketAddr,
        limit: Duration,
    ) -> std::io::Result<Line> {
        let mut idle = self.idle.take();
        idle.retain(|line| (line.address == address || self.routes.is_some()) && line.is_young());
        let found = match call.fresh {
            true => None,
            false => idle
                .iter()
                .rposition(|line| line.serves(call.txn, address))
                .and_then(|i| idle.remove(i)),
        };
        if found.is_none() {
            // A new connection takes the room of an idle one where all places are taken up.
            while idle.len() > self.places.len() {
                idle.pop_front();
            }
        }
        self.idle.replace(idle);
        if let Some(line) = found {
            return Ok(line);
        }
        Ok(Line {
            stream: connect(
                address,
                limit,
                self.tap.as_ref().map(|tap| (tap, Leg::Store)),
            )
            .await?,
            inflow: Inflow::new(),
            address,
            last: None,
        })
    }

    /// Keeps a connection. All of them, at work or idle, are no more than the places.
    fn keep(&self, line: Line) {
        let mut idle = self.idle.borrow_mut();
        idle.push_back(line);
        while idle.len() > self.places.len() + 1 {
            idle.pop_front();
        }
    }
}

/// A place among the connections; given back when it is dropped.
struct Taken<'a>(&'a Sender<()>);

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        // There is room for all places.
        let _ = self.0.try_send(());
    }
}

/// Writes a call, with the time left to it, and reads its reply; true at the end when nothing else came.
async fn exchange(
    line: &mut Line,
    call: &Call,
    left: Duration,
) -> Result<(Outcome, Bytes, bool), String> {
    let mut out = Vec::new();
    let left_ms = (left.as_millis() as u64).max(1);
    wire::write_call(&mut out, call.txn.as_str(), left_ms, &call.body);
    let mut stream = &line.stream;
    stream.write_all(&out).await.map_err(|e| e.to_string())?;
    let mut only = true;
    loop {
        while let Some(reply) = wire::parse_reply(line.inflow.bytes()).map_err(|e| e.to_string())? {
            let bytes = line.inflow.bytes();
            // A reply to anything else is no answer, but a sign that the connection is not to be trusted.
            let ours = bytes[reply.request_id.clone()] == *call.txn.as_str().as_bytes();
            let body = Bytes::copy_from_slice(&bytes[reply.body.clone()]);
            line.inflow.use_up(reply.end);
            if !ours {
                only = false;
                continue;
            }
            let outcome = match reply.status {
                CallStatus::Ok => Outcome::Ok,
                CallStatus::Rejected => Outcome::Rejected,
                CallStatus::Failed => Outcome::Error,
                CallStatus::TimedOut => Outcome::Timeout,
                CallStatus::NoRun => Outcome::NoLongerNeeded,
            };
            return Ok((outcome, body, only && line.inflow.bytes().is_empty()));
        }
        line.inflow
            .fill(&line.stream)
            .await
            .map_err(|e| e.to_string())?;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/store.rs"]
mod tests;
