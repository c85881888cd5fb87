//! The table of all requests that were submitted to the admission controller and not released yet.

use crate::event_loop::execution::ExecutionState;
use crate::frontend::{Answer, AttemptId, IncomingRequest};
use crate::idempotency::Key;
use async_channel::Sender;
use bytes::Bytes;
use heathspur::{ClassId, RequestId, Time};
use std::collections::{BTreeMap, HashMap};

/// A request that was submitted and not released yet.
#[derive(Debug)]
pub(crate) struct Entry {
    pub attempt: AttemptId,
    pub class: ClassId,
    pub body: Bytes,
    /// Receives the answer; `None` once the request is answered or its client has disconnected.
    reply: Option<Sender<Answer>>,
    /// The key that the request shares with its repeats, if any.
    pub key: Option<Key>,
    pub execution: ExecutionState,
}

impl Entry {
    /// Returns whether an answer to the client is due.
    pub fn owes_reply(&self) -> bool {
        self.reply.is_some()
    }

    /// Removes and returns the sender of the answer. No answer is due afterwards.
    pub fn take_reply(&mut self) -> Option<Sender<Answer>> {
        self.reply.take()
    }
}

/// The table of requests. The number of unanswered requests is bounded by the number of connections, and that of
/// answered requests that still run by the controller's concurrency limit.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    entries: BTreeMap<RequestId, Entry>,
    attempts: HashMap<AttemptId, RequestId>,
}

impl RequestTable {
    /// Returns the number of requests in any state.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns a mutable reference to the request with this id.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    /// Returns the request with this id.
    pub fn get(&self, id: RequestId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns the request with this attempt id, which the client has assigned.
    pub fn find_attempt(&self, attempt: &AttemptId) -> Option<RequestId> {
        self.attempts.get(attempt).copied()
    }

    /// Returns the requests that match a predicate, oldest first.
    pub fn find(&self, predicate: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.entries
            .iter()
            .filter(|(_, entry)| predicate(entry))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Returns the earliest of the times that `time_of` returns for the requests.
    pub fn min_of(&self, time_of: impl Fn(&Entry) -> Option<Time>) -> Option<Time> {
        self.entries.values().filter_map(time_of).min()
    }

    /// Returns whether an answer to any request is due.
    pub fn owes_reply(&self) -> bool {
        self.entries.values().any(Entry::owes_reply)
    }

    /// Applies a change to the execution state of all requests, oldest first.
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

    /// Removes and returns a request. Called only by `EventLoop::release`, which frees its other resources.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.attempts.remove(&entry.attempt);
        Some(entry)
    }
}
