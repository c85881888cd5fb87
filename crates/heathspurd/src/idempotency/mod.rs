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

/// What a request shares with its repeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    /// The index of the request's class.
    class: usize,
    bytes: Box<[u8]>,
}

impl Key {
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

/// What a new attempt is to its key.
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
            let window_ends_at = attempt.window_ends_at();
            entry.fingerprint_expires_at = entry.fingerprint_expires_at.max(window_ends_at);
            if let Some(repeated) = entry.repeated_by(&attempt) {
                entry.live.push(LiveAttempt {
                    id: attempt.id,
                    window_ends_at,
                });
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
            (entry.owner, entry.retained_until) = (id, until);
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

    /// An attempt starts to run. A retained entry lasts at least for the window from when that attempt reached the
    /// machine by its own timestamp, the window's end included, also where our clock is behind that timestamp.
    pub fn run_started(&mut self, key: &Key, id: RequestId) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let attempt = entry.live.iter().find(|attempt| attempt.id == id);
        if let Some(attempt) = attempt.filter(|_| entry.retained_until > 0) {
            let past_window = attempt.window_ends_at.saturating_add(1);
            entry.retained_until = entry.retained_until.max(past_window);
        }
        self.result_bytes -= entry.run.result_len();
        entry.run = Run::Running(id);
    }

    /// An attempt's run has ended. Returns the attempts that waited for it.
    pub fn run_ended(
        &mut self,
        key: &Key,
        id: RequestId,
        result: Option<&Bytes>,
    ) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        if !matches!(entry.run, Run::Running(running) if running == id) {
            return Vec::new();
        }
        let cached = result.filter(|r| self.result_bytes + r.len() <= self.max_result_bytes);
        self.result_bytes += cached.map_or(0, |r| r.len());
        entry.run = Run::Ended(id, cached.cloned());
        std::mem::take(&mut entry.waiting)
    }

    /// Attaches a repeat to the result of the attempt that it repeats.
    pub fn attach(&mut self, key: &Key, id: RequestId) -> Attachment {
        let Some(entry) = self.entries.get_mut(key) else {
            return Attachment::Failed;
        };
        match &entry.run {
            Run::Ended(_, Some(result)) => Attachment::Result(result.clone()),
            Run::Ended(_, None) => Attachment::Failed,
            // All others wait as well, so no attempt is left to run.
            Run::NotStarted if entry.live.len() <= entry.waiting.len() + 1 => Attachment::Failed,
            Run::NotStarted | Run::Running(_) => {
                entry.waiting.push(id);
                Attachment::Pending
            }
        }
    }

    /// Removes an attempt that leaves the request table. Returns those that wait for a run that will never end now.
    pub fn remove_attempt(&mut self, key: &Key, id: RequestId) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        entry.live.retain(|attempt| attempt.id != id);
        entry.waiting.retain(|&waiting| waiting != id);
        if entry.live.is_empty() && entry.retained_until == 0 {
            // No attempt can ask for its result any more.
            self.result_bytes -= entry.run.result_len();
            entry.run = Run::NotStarted;
        }
        // A run that is given up while it is stopped never ends.
        let is_abandoned = matches!(entry.run, Run::Running(running) if running == id);
        if is_abandoned {
            entry.run = Run::Ended(id, None);
        }
        let all_wait =
            matches!(entry.run, Run::NotStarted) && entry.live.len() == entry.waiting.len();
        if all_wait || is_abandoned {
            std::mem::take(&mut entry.waiting)
        } else {
            Vec::new()
        }
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
