//! The link to the store: calls go out on one connection, made when there is something to say.

use crate::inbox::{self, Txn};
use crate::link::{connect, Bell, Inflow};
use async_channel::Sender;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{future, AsyncWriteExt};
use heathspur::{Outcome, RequestId};
use heathspur_wire::store::{self as wire, Word};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// An idle connection is closed here before the other side does, so that no call crosses that.
const IDLE: Duration = Duration::from_secs(5);

/// One call of one request; numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallId(pub u64);

/// What the link tells the owner: how a call ended, with the reply where it went well.
#[derive(Debug)]
pub(crate) struct News {
    pub id: RequestId,
    pub call: CallId,
    pub outcome: Outcome,
    pub body: Bytes,
}

enum Item {
    Call { id: RequestId, call: CallId, txn: Txn, limit_ms: u64, body: Bytes },
    Drop(Txn, CallId),
}

/// The owner's end of the link. What waits here is bounded by the requests that stand at calls.
pub(crate) struct Link {
    queue: RefCell<VecDeque<Item>>,
    bell: Bell,
}

impl Link {
    pub fn new() -> Rc<Link> {
        Rc::new(Link { queue: RefCell::default(), bell: Bell::new() })
    }

    /// Makes a call, which may take so long.
    pub fn call(&self, id: RequestId, call: CallId, txn: Txn, limit_ms: u64, body: Bytes) {
        self.push(Item::Call { id, call, txn, limit_ms, body });
    }

    /// Gives a call up: nothing more is heard of it. The outcome says what that proves.
    pub fn give_up(&self, txn: Txn, call: CallId) -> Outcome {
        let is_it = |item: &Item| matches!(item, Item::Call { call: c, .. } if *c == call);
        let waits = self.queue.borrow().iter().position(is_it);
        if let Some(at) = waits {
            self.queue.borrow_mut().remove(at);
            return Outcome::ConnectFailed;
        }
        self.push(Item::Drop(txn, call));
        Outcome::Timeout
    }

    fn push(&self, item: Item) {
        self.queue.borrow_mut().push_back(item);
        self.bell.ring();
    }
}

type Sent = RefCell<HashMap<Txn, (RequestId, CallId)>>;

/// Carries calls for ever.
pub(crate) async fn keep(address: SocketAddr, link: Rc<Link>, news: Sender<inbox::News>) {
    let tell = |id, call, outcome, body| news.send(inbox::News::Store(News { id, call, outcome, body }));
    loop {
        // What is given up without a connection is given up already.
        link.queue.borrow_mut().retain(|item| matches!(item, Item::Call { .. }));
        if link.queue.borrow().is_empty() {
            link.bell.rung().await;
            continue;
        }
        let ended = match connect(address).await {
            Ok(stream) => {
                let sent = Sent::default();
                talk(&stream, &link, &sent, &news).await;
                sent.into_inner().into_values().map(|(id, call)| (id, call, Outcome::Reset)).collect()
            }
            Err(e) => {
                log!("no connection to the store: {e}");
                let items = std::mem::take(&mut *link.queue.borrow_mut());
                let calls = items.into_iter().filter_map(|item| match item {
                    Item::Call { id, call, .. } => Some((id, call, Outcome::ConnectFailed)),
                    Item::Drop(..) => None,
                });
                calls.collect::<Vec<_>>()
            }
        };
        for (id, call, outcome) in ended {
            if tell(id, call, outcome, Bytes::new()).await.is_err() {
                return;
            }
        }
    }
}

/// Carries one connection to its end.
async fn talk(stream: &Async<TcpStream>, link: &Link, sent: &Sent, news: &Sender<inbox::News>) {
    let ended = future::or(listen(stream, sent, news), speak(stream, link, sent)).await;
    if !sent.borrow().is_empty() {
        log!("the store's connection broke under {} calls: {ended}", sent.borrow().len());
    }
}

async fn speak(mut stream: &Async<TcpStream>, link: &Link, sent: &Sent) -> String {
    let mut out = Vec::new();
    loop {
        out.clear();
        while let Some(item) = link.queue.borrow_mut().pop_front() {
            match item {
                Item::Call { id, call, txn, limit_ms, body } => {
                    sent.borrow_mut().insert(txn, (id, call));
                    wire::write_call(&mut out, txn.as_str(), limit_ms, &body);
                }
                Item::Drop(txn, call) => {
                    let mut sent = sent.borrow_mut();
                    if sent.get(&txn).is_some_and(|s| s.1 == call) {
                        sent.remove(&txn);
                        wire::write_drop(&mut out, txn.as_str());
                    }
                }
            }
        }
        if out.is_empty() {
            let idle = async {
                Timer::after(IDLE).await;
                true
            };
            let woken = async {
                link.bell.rung().await;
                false
            };
            let idle = future::or(woken, idle).await;
            if idle && sent.borrow().is_empty() && link.queue.borrow().is_empty() {
                return "idle".to_string();
            }
        } else if let Err(e) = stream.write_all(&out).await {
            return e.to_string();
        }
    }
}

async fn listen(stream: &Async<TcpStream>, sent: &Sent, news: &Sender<inbox::News>) -> String {
    let mut inflow = Inflow::new();
    loop {
        if let Err(e) = inflow.fill(stream).await {
            return e.to_string();
        }
        loop {
            let bytes = inflow.bytes();
            let reply = match wire::read(bytes) {
                Ok(Some(reply)) => reply,
                Ok(None) => break,
                Err(e) => return e.to_string(),
            };
            // A reply to a call that was given up is no news.
            let known = Txn::read(&bytes[reply.id]).and_then(|txn| sent.borrow_mut().remove(&txn));
            if let Some((id, call)) = known {
                let outcome = match reply.word {
                    Word::Ok => Outcome::Ok,
                    Word::Busy => Outcome::Full,
                    Word::Failed => Outcome::Error,
                    Word::Late => Outcome::Timeout,
                    Word::Void => Outcome::Moot,
                };
                let body = Bytes::copy_from_slice(&bytes[reply.body]);
                if news.send(inbox::News::Store(News { id, call, outcome, body })).await.is_err() {
                    return "the server has ended".to_string();
                }
            }
            inflow.use_up(reply.end);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_that_was_never_written_is_proven_not_to_have_run() {
        let link = Link::new();
        let txn = Txn::read(b"9b1f03aa5c7e2d41").unwrap();
        link.call(RequestId(1), CallId(1), txn, 250, Bytes::new());
        link.call(RequestId(1), CallId(2), txn, 250, Bytes::new());
        assert_eq!(link.give_up(txn, CallId(1)), Outcome::ConnectFailed);
        link.queue.borrow_mut().pop_front();
        assert_eq!(link.give_up(txn, CallId(2)), Outcome::Timeout);
        assert!(matches!(link.queue.borrow()[0], Item::Drop(_, CallId(2))));
    }
}
