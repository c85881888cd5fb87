//! The table of requests: where each stands, from its admission until nothing of it is left.

use crate::frontend::{Answer, Arrival, Txn};
use crate::idempotency::Key;
use crate::peers::store::CallId;
use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, RequestId, Time};
use std::collections::{BTreeMap, HashMap};

/// What the interpreter was told last, in case it must be told again.
#[derive(Clone, Debug)]
pub(crate) enum Told {
    Apply,
    Continue,
    Resolve(Bytes),
    Stub(u64),
}

/// Whether a run is to be stopped. It holds until the run ends, also where the run comes to a call meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Halting {
    No,
    Asked,
}

/// What is known of the command that a run was told last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// On no link that broke: on this one, before the question of this number, or on none yet.
    Here { before: u64 },
    /// On a link that broke, so it may be lost; and what is not heard yet may be that the run has ended.
    InDoubt,
    /// On a link that broke after it had answered a later question: the interpreter has it.
    Taken,
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
        delivery: Delivery,
    },
    Paused {
        since: Time,
    },
    AtCall {
        since: Time,
        need: Need,
        halting: Halting,
    },
    Calling {
        since: Time,
        need: Need,
        halting: Halting,
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
    /// Requests in it: held, running, at calls, waiting.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

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
        self.entries
            .iter()
            .filter(|(_, e)| test(e))
            .map(|(&id, _)| id)
            .collect()
    }

    pub fn insert(&mut self, arrival: Arrival, key: Option<Key>) {
        let Arrival {
            id,
            txn,
            class,
            body,
            reply,
            ..
        } = arrival;
        self.names.insert(txn, id);
        self.entries.insert(
            id,
            Entry {
                txn,
                class,
                body,
                reply: Some(reply),
                key,
                work: Work::Held,
            },
        );
    }

    /// Takes one off; only booking out does.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.names.remove(&entry.txn);
        Some(entry)
    }
}
