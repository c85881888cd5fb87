//! The entry of one key: its attempts, its run, and the time for which it is retained.

use crate::idempotency::{Attachment, Attempt, UnixMicros};
use bytes::Bytes;
use heathspur::{RequestId, Span};

/// The state of a key's run: which attempt runs or ran, and its result.
#[derive(Debug)]
pub(super) enum Run {
    NotStarted,
    /// This attempt runs.
    Running(RequestId),
    /// The run has ended; the result is `None` if the run failed or was abandoned, or if its result is not cached.
    Ended(RequestId, Option<Bytes>),
}

impl Run {
    /// Returns the attempt that runs or ran.
    pub fn attempt(&self) -> Option<RequestId> {
        match self {
            Run::NotStarted => None,
            Run::Running(id) | Run::Ended(id, _) => Some(*id),
        }
    }

    /// Returns the size of the cached result in bytes.
    pub fn result_len(&self) -> usize {
        match self {
            Run::Ended(_, Some(result)) => result.len(),
            Run::NotStarted | Run::Running(_) | Run::Ended(_, None) => 0,
        }
    }
}

/// An attempt that is in the request table.
#[derive(Clone, Copy, Debug)]
pub(super) struct LiveAttempt {
    pub id: RequestId,
    /// When the attempt's deduplication window ends.
    pub window_ends_at: UnixMicros,
}

/// The run of an entry that was replaced.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreviousRun {
    /// The attempt that runs or ran.
    pub attempt: RequestId,
    /// Until when the replaced entry was retained.
    pub retained_until: UnixMicros,
}

impl LiveAttempt {
    /// Creates the record of a new attempt in the request table.
    pub fn new(attempt: &Attempt) -> LiveAttempt {
        LiveAttempt {
            id: attempt.id,
            window_ends_at: attempt.window_ends_at(),
        }
    }
}

/// The state of one key.
#[derive(Debug)]
pub(super) struct Entry {
    /// The attempts that are in the request table.
    pub live: Vec<LiveAttempt>,
    /// The live attempts that wait for the result.
    pub waiting: Vec<RequestId>,
    /// The attempt for which the entry was last retained, or the first attempt if it has not been retained.
    pub owner: RequestId,
    /// Until when the entry is retained; 0 while it is not retained.
    pub retained_until: UnixMicros,
    pub run: Run,
    /// The run of the entry that this one replaced, if any. An attempt that reached the machine while that entry was
    /// retained, but is read only now, must not run.
    pub previous_run: Option<PreviousRun>,
    /// The digest of the first attempt's body.
    pub body_digest: u64,
    /// Until when an attempt with the same key and another body is rejected.
    pub fingerprint_expires_at: UnixMicros,
}

impl Entry {
    /// Creates an entry for the first attempt of a key.
    pub fn new(attempt: Attempt, previous_run: Option<PreviousRun>) -> Entry {
        Entry {
            live: vec![LiveAttempt::new(&attempt)],
            waiting: Vec::new(),
            owner: attempt.id,
            retained_until: 0,
            run: Run::NotStarted,
            previous_run,
            body_digest: attempt.body_digest,
            fingerprint_expires_at: attempt.window_ends_at(),
        }
    }

    /// Returns whether an attempt that reached the machine at `received_at` repeats those of this entry.
    pub fn covers(&self, received_at: UnixMicros) -> bool {
        !self.live.is_empty() || received_at < self.retained_until
    }

    /// Returns whether an attempt must be rejected because its body differs from that of the entry.
    pub fn has_body_mismatch(&self, attempt: &Attempt) -> bool {
        attempt.body_digest != self.body_digest
            && (self.covers(attempt.received_at)
                || attempt.received_at < self.fingerprint_expires_at)
    }

    /// Returns the attempt that a new one repeats, if any.
    pub fn attempt_repeated_by(&self, attempt: &Attempt) -> Option<RequestId> {
        let previous_run = self
            .previous_run
            .filter(|previous| attempt.received_at < previous.retained_until);
        match previous_run {
            Some(previous) => Some(previous.attempt),
            None if self.covers(attempt.received_at) => {
                Some(self.run.attempt().unwrap_or(self.owner))
            }
            None => None,
        }
    }

    /// Extends the time in which other bodies are rejected to the end of the attempt's window.
    pub fn extend_fingerprint(&mut self, attempt: &Attempt) {
        self.fingerprint_expires_at = self.fingerprint_expires_at.max(attempt.window_ends_at());
    }

    /// Starts the run of an attempt. A retained entry is then retained at least until that attempt's window has passed,
    /// its end included. The window starts at the attempt's own timestamp, even if that is ahead of our clock.
    pub fn start_run(&mut self, id: RequestId) {
        let attempt = self.live.iter().find(|attempt| attempt.id == id);
        if let Some(attempt) = attempt.filter(|_| self.retained_until > 0) {
            let past_window = attempt.window_ends_at.saturating_add(1);
            self.retained_until = self.retained_until.max(past_window);
        }
        self.run = Run::Running(id);
    }

    /// Returns whether this attempt is running.
    pub fn is_running(&self, id: RequestId) -> bool {
        matches!(self.run, Run::Running(running) if running == id)
    }

    /// Attaches a repeat to the run. The repeat waits if the run has not ended and can still end.
    pub fn attach(&mut self, id: RequestId) -> Attachment {
        match &self.run {
            Run::Ended(_, Some(result)) => Attachment::Result(result.clone()),
            Run::Ended(_, None) => Attachment::Failed,
            // All other attempts wait too, so none is left to run.
            Run::NotStarted if self.live.len() <= self.waiting.len() + 1 => Attachment::Failed,
            Run::NotStarted | Run::Running(_) => {
                self.waiting.push(id);
                Attachment::Pending
            }
        }
    }

    /// Removes an attempt that has left the request table.
    pub fn remove_live(&mut self, id: RequestId) {
        self.live.retain(|attempt| attempt.id != id);
        self.waiting.retain(|&waiting| waiting != id);
    }

    /// Returns whether an attempt can still request the result.
    pub fn is_reachable(&self) -> bool {
        !self.live.is_empty() || self.retained_until > 0
    }

    /// Removes and returns the waiting attempts if their run will never end now that the attempt `removed` has been
    /// removed: either that attempt was running and is abandoned, or only waiting attempts are left.
    pub fn take_unanswerable(&mut self, removed: RequestId) -> Vec<RequestId> {
        let is_abandoned = self.is_running(removed);
        if is_abandoned {
            self.run = Run::Ended(removed, None);
        }
        let all_wait = matches!(self.run, Run::NotStarted) && self.live.len() == self.waiting.len();
        if all_wait || is_abandoned {
            std::mem::take(&mut self.waiting)
        } else {
            Vec::new()
        }
    }

    /// Converts the entry to the run that the entry which replaces it must record.
    pub fn into_previous_run(self) -> Option<PreviousRun> {
        match self.run.attempt() {
            None => self.previous_run,
            Some(attempt) => Some(PreviousRun {
                attempt,
                retained_until: self.retained_until,
            }),
        }
    }

    /// Returns whether the entry serves only to reject other bodies.
    pub fn is_fingerprint_only(&self) -> bool {
        !self.is_reachable() && self.previous_run.is_none()
    }

    /// Returns whether the entry is no longer needed. `max_read_delay` is the longest time between an attempt's arrival
    /// at the machine and its registration.
    pub fn is_expired(&self, now: UnixMicros, max_read_delay: Span) -> bool {
        let previous_until = self
            .previous_run
            .map_or(0, |previous| previous.retained_until);
        let until = self.retained_until.max(previous_until);
        self.live.is_empty()
            && now >= until.saturating_add(max_read_delay.0)
            && now >= self.fingerprint_expires_at
    }
}
