//! Groups of the attempts of one keyed request.
//!
//! An attempt joins its group when it is read, so that a retry is recognized while the first
//! attempt is queued or running or has a retained result. Once an attempt of a group has started to
//! run, no other attempt of the group is run.

use crate::event::RequestId;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// Number of deduplication windows for which a group is retained after its last attempt.
const RETENTION_WINDOWS: u64 = 2;

/// All groups, and the group of each attempt.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyGroups {
    groups: BTreeMap<RequestId, AttemptGroup>,
    first_attempts: BTreeMap<RequestId, RequestId>,
    /// Number of entries that the groups have in the idempotency store.
    entries: usize,
}

#[derive(Debug)]
struct AttemptGroup {
    /// Whether an attempt of the group has started to run.
    has_run: bool,
    entry: Option<StoreEntry>,
    /// Unfinished attempts that joined before any attempt started to run.
    waiting: Vec<RequestId>,
    retained_until: Time,
}

/// An entry in the idempotency store, under the attempt that joined last.
#[derive(Debug)]
struct StoreEntry {
    attempt: RequestId,
    expires_at: Time,
}

/// The result of joining an attempt to its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinOutcome {
    /// An attempt of the group is running or has run, so this one must not run.
    AlreadyRan,
    /// The attempt joined, and the group's entry in the idempotency store is now under it.
    Entered {
        /// Whether the group had no entry before.
        is_new_entry: bool,
    },
    /// The idempotency store has no capacity for an entry, so the attempt must not run.
    NoCapacity,
}

impl IdempotencyGroups {
    /// Returns the number of entries in the idempotency store.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Returns the first attempt of the same request, which is the attempt itself if it repeats
    /// none.
    pub fn first_attempt(&self, id: RequestId, previous: Option<RequestId>) -> RequestId {
        match previous {
            None => id,
            Some(previous) => self
                .first_attempts
                .get(&previous)
                .copied()
                .unwrap_or(previous),
        }
    }

    /// Joins an attempt to the group of `first_attempt`. `is_repeat` is whether it repeats an
    /// earlier attempt, `window` is the deduplication window of its class, and `has_capacity` is
    /// whether a new entry fits into the idempotency store.
    pub fn join(
        &mut self,
        id: RequestId,
        first_attempt: RequestId,
        is_repeat: bool,
        window: Span,
        now: Time,
        has_capacity: bool,
    ) -> JoinOutcome {
        let retained_until = now + Span(RETENTION_WINDOWS * window.0);
        // A repeat without a group was found in the idempotency store, so its request has run.
        let group = self
            .groups
            .entry(first_attempt)
            .or_insert_with(|| AttemptGroup {
                has_run: is_repeat,
                entry: None,
                waiting: Vec::new(),
                retained_until,
            });
        group.retained_until = retained_until;
        self.first_attempts.insert(id, first_attempt);
        if group.has_run {
            return JoinOutcome::AlreadyRan;
        }
        let is_new_entry = group.entry.is_none();
        if is_new_entry && !has_capacity {
            return JoinOutcome::NoCapacity;
        }
        if is_new_entry {
            self.entries += 1;
        }
        group.entry = Some(StoreEntry {
            attempt: id,
            expires_at: now + window,
        });
        group.waiting.push(id);
        JoinOutcome::Entered { is_new_entry }
    }

    /// Returns whether an attempt of the group has started to run.
    pub fn has_run(&self, first_attempt: RequestId) -> bool {
        self.groups
            .get(&first_attempt)
            .is_some_and(|group| group.has_run)
    }

    /// Records that an attempt of the group starts to run, and returns the group's waiting
    /// attempts.
    pub fn mark_run(&mut self, first_attempt: RequestId) -> Vec<RequestId> {
        let Some(group) = self.groups.get_mut(&first_attempt) else {
            return Vec::new();
        };
        group.has_run = true;
        std::mem::take(&mut group.waiting)
    }

    /// Removes an attempt that ended without a run. If it was the last one and none has run, the
    /// group's entry is released, and the attempt under which it is stored is returned.
    pub fn leave(&mut self, id: RequestId) -> Option<RequestId> {
        let first_attempt = self.first_attempts.get(&id)?;
        let group = self.groups.get_mut(first_attempt)?;
        group.waiting.retain(|&other| other != id);
        if group.has_run || !group.waiting.is_empty() {
            return None;
        }
        let entry = group.entry.take()?;
        self.entries -= 1;
        Some(entry.attempt)
    }

    /// Removes expired entries and groups that are no longer needed, and returns the number of
    /// removed entries. `is_known` returns whether an attempt is still in the request table.
    pub fn expire(&mut self, now: Time, is_known: impl Fn(RequestId) -> bool) -> usize {
        let expired = self.expire_entries(now);
        self.groups.retain(|_, group| {
            group.retained_until > now
                || group.entry.is_some()
                || group.waiting.iter().any(|&attempt| is_known(attempt))
        });
        let groups = &self.groups;
        self.first_attempts
            .retain(|_, first_attempt| groups.contains_key(first_attempt));
        expired
    }

    fn expire_entries(&mut self, now: Time) -> usize {
        let mut expired = 0;
        for group in self.groups.values_mut() {
            let is_expired = |entry: &StoreEntry| entry.expires_at < now;
            if group.entry.as_ref().is_some_and(is_expired) {
                group.entry = None;
                expired += 1;
            }
        }
        self.entries -= expired;
        expired
    }
}

#[cfg(test)]
#[path = "../tests/unit/idempotency_groups.rs"]
mod tests;
