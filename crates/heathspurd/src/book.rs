//! Stage six: the table of requests, and the one place where what a request held is given back.

use crate::inbox::{Answer, Arrival, Txn};
use crate::keys::Key;
use crate::owner::Owner;
use crate::store::CallId;
use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, Event, Outcome, RequestId, Time};
use std::collections::{BTreeMap, HashMap};

/// What the interpreter was told last, in case it must be told again.
#[derive(Clone, Debug)]
pub(crate) enum Told {
    Apply,
    Continue,
    Resolve(Bytes),
    Stub(u64),
}

/// Whether a run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Halting {
    No,
    Asked,
}

/// The call that a run waits for.
#[derive(Clone, Debug)]
pub(crate) struct Need {
    /// The number of the notice that asked for it.
    pub index: u64,
    pub body: Bytes,
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    Held,
    Running {
        since: Time,
        told: Told,
        halting: Halting,
    },
    Paused {
        since: Time,
    },
    AtCall {
        since: Time,
        need: Need,
    },
    Calling {
        since: Time,
        need: Need,
        call: CallId,
        made: Time,
        until: Time,
    },
    /// Waits for the result of another try.
    Waiting {
        since: Time,
    },
}

/// One request, from its admission until nothing of it is left.
#[derive(Debug)]
pub(crate) struct Entry {
    pub txn: Txn,
    pub class: ClassId,
    pub body: Bytes,
    /// The way to its caller while an answer is owed.
    pub reply: Option<Sender<Answer>>,
    pub key: Option<Key>,
    pub work: Work,
}

/// All requests that the module knows. Bounded by the connections, and for those that are answered and
/// still run by the module's cap.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<RequestId, Entry>,
    names: HashMap<Txn, RequestId>,
}

impl Table {
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    pub fn get(&self, id: RequestId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub fn named(&self, txn: &Txn) -> Option<RequestId> {
        self.names.get(txn).copied()
    }

    /// The requests that pass a test, oldest first.
    pub fn find(&self, test: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.entries.iter().filter(|(_, e)| test(e)).map(|(&id, _)| id).collect()
    }

    pub fn insert(&mut self, arrival: Arrival, key: Option<Key>) {
        let Arrival { id, txn, class, body, reply, .. } = arrival;
        self.names.insert(txn, id);
        self.entries.insert(id, Entry { txn, class, body, reply: Some(reply), key, work: Work::Held });
    }

    fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.names.remove(&entry.txn);
        Some(entry)
    }
}

impl Owner {
    /// Takes a request off the table and gives back all that it held: its bytes, its call with the timer,
    /// its place among the tries of its key. Its connection is its own owner.
    pub(crate) fn book_out(&mut self, id: RequestId) {
        let Some(entry) = self.table.remove(id) else { return };
        if let Work::Calling { call, until, .. } = entry.work {
            let _ = self.store.give_up(call);
            self.call_timers.remove(&(until, id));
        }
        if let Some(key) = &entry.key {
            for orphan in self.keys.leave(key, id) {
                self.end_waiting(orphan, None);
            }
        }
    }

    /// A request that waited for another try's result has it, or never will.
    pub(crate) fn end_waiting(&mut self, id: RequestId, result: Option<&Bytes>) {
        let Some(Work::Waiting { since }) = self.table.get(id).map(|e| e.work.clone()) else { return };
        let (answer, outcome) = match result {
            Some(body) => (Answer::Served(body.clone()), Outcome::Ok),
            None => (Answer::Failed, Outcome::Error),
        };
        self.answer(id, answer);
        self.events.push(Event::Done { id, outcome, latency: self.now - since });
        self.book_out(id);
    }

    /// The caller of a request is gone: nothing is owed, and what does not run is over.
    pub(crate) fn gone(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        if entry.reply.take().is_none() || !self.front.names.cancel_seen {
            return;
        }
        self.events.push(Event::Gone(id));
        self.discard(id);
    }

    /// After its answer, or without one to give: what is held, paused or waiting is over; a call is given
    /// up, and the interpreter ends its run; what runs goes on.
    pub(crate) fn discard(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        match entry.work.clone() {
            Work::Held | Work::Paused { .. } | Work::Waiting { .. } => self.book_out(id),
            Work::Calling { since, need, call, until, .. } => {
                entry.work = Work::AtCall { since, need };
                let _ = self.store.give_up(call);
                self.call_timers.remove(&(until, id));
            }
            Work::Running { .. } | Work::AtCall { .. } => {}
        }
    }
}
