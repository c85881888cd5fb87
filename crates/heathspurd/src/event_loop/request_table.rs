//! The table of requests: where each stands, from its admission until nothing of it is left.

use crate::frontend::{Answer, AttemptId, IncomingRequest};
use crate::idempotency::Key;
use crate::peers::store::CallId;
use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, RequestId, Time};
use std::collections::{BTreeMap, HashMap};

/// What the interpreter was told last, in case it must be told again.
#[derive(Clone, Debug)]
pub(crate) enum LastCommand {
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
pub(crate) enum CommandDelivery {
    /// On no link that broke: on this one, before the question of this number, or on none yet.
    Here { before: u64 },
    /// On a link that broke, so it may be lost; and what is not heard yet may be that the run has ended.
    InDoubt,
    /// On a link that broke after it had answered a later question: the interpreter has it.
    Taken,
}

/// The call that a run waits for.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    /// The number of the notice that asked for it.
    pub index: u64,
    pub body: Bytes,
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub(crate) enum ExecutionState {
    Held,
    Running {
        since: Time,
        told: LastCommand,
        halting: Halting,
        delivery: CommandDelivery,
    },
    Paused {
        since: Time,
    },
    AtCall {
        since: Time,
        need: PendingCall,
        halting: Halting,
    },
    Calling {
        since: Time,
        need: PendingCall,
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
    pub txn: AttemptId,
    pub class: ClassId,
    pub body: Bytes,
    /// The way to its caller while an answer is owed.
    pub reply: Option<Sender<Answer>>,
    pub key: Option<Key>,
    pub work: ExecutionState,
}

/// All requests that the module knows. Bounded by the connections, and for those that are answered and
/// still run by the module's cap.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    entries: BTreeMap<RequestId, Entry>,
    names: HashMap<AttemptId, RequestId>,
}

impl RequestTable {
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

    pub fn named(&self, txn: &AttemptId) -> Option<RequestId> {
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

    pub fn insert(&mut self, arrival: IncomingRequest, key: Option<Key>) {
        let IncomingRequest {
            id,
            attempt: txn,
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
                work: ExecutionState::Held,
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
