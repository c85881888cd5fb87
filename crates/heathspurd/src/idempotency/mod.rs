//! Recognizes repeats: the attempts of each keyed request and of reads of one subject, with retained results.
//!
//! An entry stays while an attempt of it is in the request table, and once it is retained until its time is over. Its
//! result goes with it.

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
    /// The index of the request's class.
    class: usize,
    bytes: Box<[u8]>,
}

impl Key {
    /// The key of a request of this class.
    pub fn new(class: ClassId, bytes: &[u8]) -> Key {
        Key {
            class: class.0,
            bytes: bytes.into(),
        }
    }
}

/// An attempt of a keyed request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub id: RequestId,
    /// When it reached the machine.
    pub received_at: UnixMicros,
    /// The digest of its body.
    pub body_digest: u64,
    /// For how long after `received_at` it may be repeated.
    pub dedup_window: Span,
}

impl Attempt {
    fn window_ends_at(&self) -> UnixMicros {
        self.received_at.saturating_add(self.dedup_window.0)
    }
}

/// The relation of a new attempt to the earlier ones of its key.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Registration {
    /// It repeats no other attempt.
    First,
    /// It repeats this attempt.
    RepeatOf(RequestId),
}

/// An attempt can't be registered.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RegisterError {
    #[error("the idempotency store is full ({max_entries} entries)")]
    StoreFull { max_entries: usize },
    #[error("its idempotency key was used with another body before")]
    BodyMismatch,
}

/// How a repeat gets another attempt's result.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Attachment {
    /// The result, or its failure, is yet to come.
    Pending,
    /// The result.
    Result(Bytes),
    /// There is no result.
    Failed,
}

/// All entries. Bounded in entries and in bytes of results.
#[derive(Debug)]
pub(crate) struct IdempotencyStore {
    entries: HashMap<Key, Entry>,
    /// The keys of retained entries, by the attempts that own them.
    owners: BTreeMap<RequestId, Key>,
    max_entries: usize,
    result_bytes: usize,
    max_result_bytes: usize,
    /// For how long after an entry's end an attempt may be read that reached the machine before it.
    late: Span,
    digest_keys: RandomState,
}

impl IdempotencyStore {
    /// An empty store; `late` is for how long a request may be read after it reached the machine.
    pub fn new(max_entries: usize, max_result_bytes: usize, late: Span) -> IdempotencyStore {
        IdempotencyStore {
            entries: HashMap::new(),
            owners: BTreeMap::new(),
            max_entries,
            result_bytes: 0,
            max_result_bytes,
            late,
            digest_keys: RandomState::new(),
        }
    }

    /// The digest of a body, under random keys: no client can predict it or construct a collision.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.digest_keys.hash_one(body)
    }

    /// Registers an attempt of a key.
    pub fn register(&mut self, key: &Key, attempt: Attempt) -> Result<Registration, RegisterError> {
        if let Some(entry) = self.entries.get_mut(key) {
            if entry.mismatches(&attempt) {
                return Err(RegisterError::BodyMismatch);
            }
            entry.extend_fingerprint(&attempt);
            if let Some(repeated) = entry.repeated_by(&attempt) {
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

    /// Ensures that an entry can be added; those that serve only to refuse other bodies are removed for it.
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

    /// Retains an entry, which this attempt owns from now on.
    pub fn retain(&mut self, key: &Key, id: RequestId, until: UnixMicros) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.owners.remove(&entry.owner);
            entry.owner = id;
            entry.retained_until = until;
            self.owners.insert(id, key.clone());
        }
    }

    /// No longer retains the entry that this attempt owns; the attempt itself may have been released.
    pub fn evict(&mut self, id: RequestId) {
        let Some(key) = self.owners.remove(&id) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.retained_until = 0;
        }
    }

    /// An attempt starts to run.
    pub fn run_started(&mut self, key: &Key, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.result_bytes -= entry.run.result_len();
            entry.start_run(id);
        }
    }

    /// An attempt's run has ended. Returns the attempts that waited for it.
    pub fn run_ended(
        &mut self,
        key: &Key,
        id: RequestId,
        result: Option<&Bytes>,
    ) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.runs(id)) else {
            return Vec::new();
        };
        let used_bytes = self.result_bytes;
        let cached = result.filter(|result| used_bytes + result.len() <= self.max_result_bytes);
        entry.run = Run::Ended(id, cached.cloned());
        self.result_bytes += entry.run.result_len();
        std::mem::take(&mut entry.waiting)
    }

    /// Attaches a repeat to the result of the attempt that it repeats.
    pub fn attach(&mut self, key: &Key, id: RequestId) -> Attachment {
        match self.entries.get_mut(key) {
            Some(entry) => entry.attach(id),
            None => Attachment::Failed,
        }
    }

    /// Removes an attempt that leaves the request table. Returns those that wait for a run that will never end now.
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
        let late = self.late;
        self.remove_matching(|entry| entry.is_expired(now, late));
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
