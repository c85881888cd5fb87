//! The seam between fronts and the owner. A front speaks a protocol with callers: it hands in checked requests,
//! each with its caller's way back, and says when a caller is gone; it gets one final answer to each. The owner
//! knows no protocol.
//!
//! What a request costs in memory and connections is told with it (`held_kb`) and by its front's places among the
//! connections ([`Pool`]).

pub(crate) mod accept;
pub(crate) mod connection_pool;
pub(crate) mod http1;
pub(crate) mod http2;
pub(crate) mod lingering_close;
pub(crate) mod request;
pub(crate) mod request_queue;
pub(crate) mod response;
pub(crate) mod response_buffer;

use crate::frontend::connection_pool::Pool;
use crate::frontend::response_buffer::Room;
use crate::recording::recorded_stream::Tap;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use heathspur::{ClassId, RequestId, Span, TenantId};
use heathspur_settings::WireNames;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The name of a try on the wire: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Txn([u8; 16]);

impl Txn {
    pub fn read(text: &[u8]) -> Option<Txn> {
        let digits: [u8; 16] = text.try_into().ok()?;
        digits
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(Txn(digits))
    }

    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

/// A request as it was read from a connection.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub id: RequestId,
    pub txn: Txn,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// Unix microseconds at which it came to the machine.
    pub ingress: u64,
    /// What tells its repeats: the idempotency key, or what a read is about.
    pub key: Option<Bytes>,
    pub row: bool,
    pub retry: bool,
    /// How long its caller waits, from `ingress` on, where that is told.
    pub left: Option<Span>,
    /// Its likely work in seconds, where that is told.
    pub cost: Option<f64>,
    pub held_kb: f64,
    pub body: Bytes,
    /// The way back to its connection; closed once the caller is gone.
    pub reply: Sender<Answer>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    /// The result of a run.
    Served(Bytes),
    /// This try never ran.
    Refused { stay_away: Option<Span>, last: bool },
    /// The run failed.
    Failed,
    /// It was given up.
    GivenUp,
    /// A request of that name is open already.
    Conflict,
    /// Its idempotency key came with another body before.
    KeyReused,
}

/// What all fronts share with the owner.
pub(crate) struct Desk {
    pub names: WireNames,
    /// Per class: whether its requests carry an idempotency key, and whether reads have a subject.
    pub keyed: Vec<bool>,
    next_id: Cell<u64>,
    /// What health checks are told.
    pub good: Cell<bool>,
    /// Idle connections are closed after this.
    pub idle: Cell<Span>,
    /// The free value that answers and checks carry, once it is set.
    pub free_value: Cell<Option<f64>>,
    /// Every answer is the last on its connection.
    pub leaving: Cell<bool>,
    /// By when fronts let go of answers that nobody reads, once nothing new is taken.
    pub release_at: Cell<Option<Instant>>,
    /// Closed, never sent on, once no new request is taken: idle connections close.
    pub shutting: Receiver<()>,
    /// Where traffic is recorded, if it is.
    pub tap: Option<Rc<Tap>>,
    /// The connections of all fronts.
    pub pool: Rc<Pool>,
    /// The budget for answers that wait for their readers, where fronts share one.
    pub room: Option<Rc<Room>>,
}

impl Desk {
    pub fn new(
        names: WireNames,
        keyed: Vec<bool>,
        idle: Span,
        shutting: Receiver<()>,
        tap: Option<Rc<Tap>>,
        pool: Rc<Pool>,
        room: Option<Rc<Room>>,
    ) -> Desk {
        Desk {
            names,
            keyed,
            next_id: Cell::new(1),
            good: Cell::new(false),
            idle: Cell::new(idle),
            free_value: Cell::new(None),
            leaving: Cell::new(false),
            release_at: Cell::new(None),
            shutting,
            tap,
            pool,
            room,
        }
    }

    /// A number that no request had before.
    pub fn next_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        RequestId(id)
    }

    /// Ends when nothing new is taken and answers that nobody reads are to be let go of.
    pub async fn released(&self) {
        self.shut().await;
        match self.release_at.get() {
            Some(at) => drop(Timer::at(at).await),
            None => future::pending().await,
        }
    }

    /// Whether that time has come.
    pub fn is_released(&self) -> bool {
        self.shutting.is_closed() && self.release_at.get().is_some_and(|at| at <= Instant::now())
    }

    /// Ends once no new request is taken. The channel is closed then; nothing is ever sent on it.
    pub async fn shut(&self) {
        self.shutting.recv().await.unwrap_or(());
    }
}

/// One front's ways to the owner. Each front has a queue of its own, and the owner takes from them by turns.
#[derive(Clone)]
pub(crate) struct Front {
    pub desk: Rc<Desk>,
    pub requests: Sender<Arrival>,
    /// Requests whose callers are gone.
    pub gone: Sender<RequestId>,
}
