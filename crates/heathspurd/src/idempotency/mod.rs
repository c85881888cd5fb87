//! The idempotency store: recognizes repeated attempts of keyed requests and of reads of one subject, and caches their
//! results.
//!
//! An entry exists at least while one of its attempts is in the request table, and for as long as it is retained. Its
//! cached result is dropped when neither is the case any more.

mod entry;

use crate::idempotency::entry::{Entry, LiveAttempt, Run};
use bytes::Bytes;
use heathspur::{ClassId, RequestId, Span};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasher;

/// Unix time in microseconds.
type UnixMicros = u64;

/// The key that a request shares with its repeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    /// The index of the request's class. Equal keys of different classes are distinct.
    class: usize,
    bytes: Box<[u8]>,
}

impl Key {
    /// Creates the key of a request of this class.
    pub fn new(class: ClassId, bytes: &[u8]) -> Key {
        Key {
            class: class.0,
            bytes: bytes.into(),
        }
    }
}

/// An attempt to register.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub id: RequestId,
    /// When it reached the machine.
    pub received_at: UnixMicros,
    /// The digest of its body.
    pub body_digest: u64,
    /// The time after `received_at` in which the attempt may be repeated.
    pub dedup_window: Span,
}

impl Attempt {
    /// Returns the end of the attempt's deduplication window.
    fn window_ends_at(&self) -> UnixMicros {
        self.received_at.saturating_add(self.dedup_window.0)
    }
}

/// The relation of a new attempt to the earlier attempts of its key.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Registration {
    /// The attempt repeats no other.
    First,
    /// The attempt repeats this earlier one.
    RepeatOf(RequestId),
}

/// The reason why an attempt cannot be registered.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RegisterError {
    #[error("the idempotency store is full ({max_entries} entries)")]
    StoreFull { max_entries: usize },
    #[error("the idempotency key was already used with a different body")]
    BodyMismatch,
}

/// How a repeat receives another attempt's result.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Attachment {
    /// The run has not ended; the repeat waits for it.
    Pending,
    /// The result is cached.
    Result(Bytes),
    /// There is no result and there will be none.
    Failed,
}

/// The idempotency store. Bounded in the number of entries and in the bytes of cached results.
#[derive(Debug)]
pub(crate) struct IdempotencyStore {
    entries: HashMap<Key, Entry>,
    /// The keys of the retained entries, by the attempts that own them.
    owners: BTreeMap<RequestId, Key>,
    max_entries: usize,
    /// The total size of the cached results.
    result_bytes: usize,
    max_result_bytes: usize,
    /// The longest time between an attempt's arrival at the machine and its registration. Entries are stored for this
    /// time after their retention ends, for attempts that arrived before that.
    max_read_delay: Span,
    digest_keys: RandomState,
}

impl IdempotencyStore {
    /// Creates an empty store. `max_read_delay` is the longest time between a request's arrival at the machine and its
    /// registration.
    pub fn new(
        max_entries: usize,
        max_result_bytes: usize,
        max_read_delay: Span,
    ) -> IdempotencyStore {
        IdempotencyStore {
            entries: HashMap::new(),
            owners: BTreeMap::new(),
            max_entries,
            result_bytes: 0,
            max_result_bytes,
            max_read_delay,
            digest_keys: RandomState::new(),
        }
    }

    /// Returns the digest of a body. The hash keys are random, so that no client can predict it or construct a
    /// collision.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.digest_keys.hash_one(body)
    }

    /// Registers an attempt of a key. Fails if the body differs from that of the key's earlier attempts, or if the
    /// store is full.
    pub fn register(&mut self, key: &Key, attempt: Attempt) -> Result<Registration, RegisterError> {
        if let Some(entry) = self.entries.get_mut(key) {
            if entry.has_body_mismatch(&attempt) {
                return Err(RegisterError::BodyMismatch);
            }
            entry.extend_fingerprint(&attempt);
            if let Some(repeated) = entry.attempt_repeated_by(&attempt) {
                entry.live.push(LiveAttempt::new(&attempt));
                return Ok(Registration::RepeatOf(repeated));
            }
        }
        let previous_run = self.remove(key).and_then(Entry::into_previous_run);
        self.ensure_free_entry()?;
        self.entries
            .insert(key.clone(), Entry::new(attempt, previous_run));
        Ok(Registration::First)
    }

    /// Ensures that an entry can be added. If the store is full, removes the entries that serve only to reject other
    /// bodies.
    fn ensure_free_entry(&mut self) -> Result<(), RegisterError> {
        if self.entries.len() >= self.max_entries {
            self.remove_matching(Entry::is_fingerprint_only);
        }
        if self.entries.len() >= self.max_entries {
            return Err(RegisterError::StoreFull {
                max_entries: self.max_entries,
            });
        }
        Ok(())
    }

    /// Retains an entry until the given time and makes this attempt its owner.
    pub fn retain(&mut self, key: &Key, id: RequestId, until: UnixMicros) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.owners.remove(&entry.owner);
            entry.owner = id;
            entry.retained_until = until;
            self.owners.insert(id, key.clone());
        }
    }

    /// Ends the retention of the entry that this attempt owns. The attempt itself may have been released before.
    pub fn evict(&mut self, id: RequestId) {
        let Some(key) = self.owners.remove(&id) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.retained_until = 0;
        }
    }

    /// Records that an attempt has started to run. Drops the result of an earlier run.
    pub fn run_started(&mut self, key: &Key, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.result_bytes -= entry.run.result_len();
            entry.start_run(id);
        }
    }

    /// Records that an attempt's run has ended. Caches the result if the limit on result bytes permits. Returns the
    /// attempts that waited for the run.
    pub fn run_ended(
        &mut self,
        key: &Key,
        id: RequestId,
        result: Option<&Bytes>,
    ) -> Vec<RequestId> {
        let Some(entry) = self
            .entries
            .get_mut(key)
            .filter(|entry| entry.is_running(id))
        else {
            return Vec::new();
        };
        let used_bytes = self.result_bytes;
        let cached = result.filter(|result| used_bytes + result.len() <= self.max_result_bytes);
        entry.run = Run::Ended(id, cached.cloned());
        self.result_bytes += entry.run.result_len();
        std::mem::take(&mut entry.waiting)
    }

    /// Attaches a repeat to the run of the attempt that it repeats.
    pub fn attach(&mut self, key: &Key, id: RequestId) -> Attachment {
        match self.entries.get_mut(key) {
            Some(entry) => entry.attach(id),
            None => Attachment::Failed,
        }
    }

    /// Removes an attempt that leaves the request table, and drops the cached result if no attempt can request it any
    /// more. Returns the attempts that wait for a run that will never end now.
    pub fn remove_attempt(&mut self, key: &Key, id: RequestId) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        entry.remove_live(id);
        if !entry.is_reachable() {
            self.result_bytes -= entry.run.result_len();
            entry.run = Run::NotStarted;
        }
        entry.take_unanswerable(id)
    }

    /// Removes expired entries.
    pub fn prune(&mut self, now: UnixMicros) {
        let max_read_delay = self.max_read_delay;
        self.remove_matching(|entry| entry.is_expired(now, max_read_delay));
    }

    fn remove_matching(&mut self, predicate: impl Fn(&Entry) -> bool) {
        let matching: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| predicate(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &matching {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &Key) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.owners.remove(&entry.owner);
        self.result_bytes -= entry.run.result_len();
        Some(entry)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/idempotency.rs"]
mod tests;
