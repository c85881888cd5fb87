//! The table of requests: where each stands, from its admission until nothing of it is left.

use crate::event_loop::execution::ExecutionState;
use crate::frontend::{Answer, AttemptId, IncomingRequest};
use crate::idempotency::Key;
use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, RequestId};
use std::collections::{BTreeMap, HashMap};

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
