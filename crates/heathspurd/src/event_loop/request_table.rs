//! The table of all requests that the admission controller knows.

use crate::event_loop::execution::ExecutionState;
use crate::frontend::{Answer, AttemptId, IncomingRequest};
use crate::idempotency::Key;
use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, RequestId};
use std::collections::{BTreeMap, HashMap};

/// One request, from its admission until its release.
#[derive(Debug)]
pub(crate) struct Entry {
    pub attempt: AttemptId,
    pub class: ClassId,
    pub body: Bytes,
    /// Where its answer goes, until it is answered or its client is gone.
    reply: Option<Sender<Answer>>,
    /// The key that it shares with its repeats.
    pub key: Option<Key>,
    pub execution: ExecutionState,
}

impl Entry {
    /// Whether an answer is due.
    pub fn owes_reply(&self) -> bool {
        self.reply.is_some()
    }

    /// Takes the sender of the answer, after which none is due.
    pub fn take_reply(&mut self) -> Option<Sender<Answer>> {
        self.reply.take()
    }
}

/// All requests from their admission until their release. Bounded by the connections, and for requests that are
/// answered and still run by the controller's concurrency limit.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    entries: BTreeMap<RequestId, Entry>,
    attempts: HashMap<AttemptId, RequestId>,
}

impl RequestTable {
    /// The number of requests in any state.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The request with this id, for a change.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    /// The request with this id.
    pub fn get(&self, id: RequestId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// The request with this attempt id on the wire.
    pub fn find_attempt(&self, attempt: &AttemptId) -> Option<RequestId> {
        self.attempts.get(attempt).copied()
    }

    /// The requests that match a predicate, oldest first.
    pub fn find(&self, predicate: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.entries
            .iter()
            .filter(|(_, entry)| predicate(entry))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Whether an answer is due to any request.
    pub fn owes_reply(&self) -> bool {
        self.entries.values().any(Entry::owes_reply)
    }

    /// Applies a change to the execution of all requests, oldest first.
    pub fn for_each_execution(&mut self, change: impl Fn(&mut ExecutionState)) {
        self.entries
            .values_mut()
            .for_each(|entry| change(&mut entry.execution));
    }

    /// Adds a queued request.
    pub fn insert(&mut self, request: IncomingRequest, key: Option<Key>) {
        self.attempts.insert(request.attempt, request.id);
        self.entries.insert(
            request.id,
            Entry {
                attempt: request.attempt,
                class: request.class,
                body: request.body,
                reply: Some(request.reply),
                key,
                execution: ExecutionState::Queued,
            },
        );
    }

    /// Removes a request; only the event loop's `release` does.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.attempts.remove(&entry.attempt);
        Some(entry)
    }
}
