//! Groups of attempts that repeat one keyed request.
//!
//! Attempts enter their group when they are read, so that a retry is recognized while the first
//! attempt is queued, runs, or has a retained result. A group whose request has run never starts
//! another run.

use crate::event::RequestId;
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// A group is kept for this many deduplication windows after its last attempt.
const RETENTION_WINDOWS: u64 = 2;

/// All groups, and the group of each attempt.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyGroups {
    groups: BTreeMap<RequestId, AttemptGroup>,
    first_attempts: BTreeMap<RequestId, RequestId>,
    /// Entries that the groups have in the idempotency store.
    entries: usize,
}

#[derive(Debug)]
struct AttemptGroup {
    has_run: bool,
    entry: Option<StoreEntry>,
    /// Attempts that have not ended and were entered before the request ran.
    waiting: Vec<RequestId>,
    forget_at: Time,
}

/// An entry in the idempotency store, under the attempt that was entered last.
#[derive(Debug)]
struct StoreEntry {
    attempt: RequestId,
    expires_at: Time,
}

/// Result of entering an attempt into its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinOutcome {
    /// An attempt of the group has run, so this one must not.
    AlreadyRan,
    /// The attempt has the group's entry in the idempotency store.
    Entered {
        /// The group had no entry before.
        is_new_entry: bool,
    },
    /// The idempotency store has no capacity, so the attempt must not run.
    NoCapacity,
}

impl IdempotencyGroups {
    /// Returns the number of entries in the idempotency store.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Returns the first attempt of the request that an attempt repeats.
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

    /// Enters an attempt into the group of `first_attempt`. `has_capacity` tells whether a new
    /// entry fits into the idempotency store.
    pub fn join(
        &mut self,
        id: RequestId,
        first_attempt: RequestId,
        is_repeat: bool,
        window: Span,
        now: Time,
        has_capacity: bool,
    ) -> JoinOutcome {
        let forget_at = now + Span(RETENTION_WINDOWS * window.0);
        // A repeat of an unknown attempt: the store knows its result, so it has run.
        let group = self
            .groups
            .entry(first_attempt)
            .or_insert_with(|| AttemptGroup {
                has_run: is_repeat,
                entry: None,
                waiting: Vec::new(),
                forget_at,
            });
        group.forget_at = forget_at;
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

    /// Returns whether an attempt of the group has run.
    pub fn has_run(&self, first_attempt: RequestId) -> bool {
        self.groups
            .get(&first_attempt)
            .is_some_and(|group| group.has_run)
    }

    /// Records that an attempt of the group starts, and returns the attempts that waited with it.
    pub fn mark_run(&mut self, first_attempt: RequestId) -> Vec<RequestId> {
        let Some(group) = self.groups.get_mut(&first_attempt) else {
            return Vec::new();
        };
        group.has_run = true;
        std::mem::take(&mut group.waiting)
    }

    /// Removes an attempt that ended without a run. With the last such attempt the group's entry
    /// is released; returns the attempt under which it is stored.
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

    /// Drops expired entries and groups that are no longer needed; returns the number of entries
    /// dropped. `is_known` tells whether an attempt is still in the request table.
    pub fn expire(&mut self, now: Time, is_known: impl Fn(RequestId) -> bool) -> usize {
        let expired = self.expire_entries(now);
        self.groups.retain(|_, group| {
            group.forget_at > now
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
