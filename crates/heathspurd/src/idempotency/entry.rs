//! The entry of one key: its attempts, its run, and for how long it is retained.

use crate::idempotency::{Attachment, Attempt, UnixMicros};
use bytes::Bytes;
use heathspur::{RequestId, Span};

/// The run of one of a key's attempts.
#[derive(Debug)]
pub(super) enum Run {
    NotStarted,
    Running(RequestId),
    /// With the result where there is one.
    Ended(RequestId, Option<Bytes>),
}

impl Run {
    /// The attempt that runs or ran.
    pub fn attempt(&self) -> Option<RequestId> {
        match self {
            Run::NotStarted => None,
            Run::Running(id) | Run::Ended(id, _) => Some(*id),
        }
    }

    /// Bytes of the cached result.
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
    pub window_ends_at: UnixMicros,
}

/// The run of an entry that was replaced.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreviousRun {
    pub attempt: RequestId,
    pub retained_until: UnixMicros,
}

impl LiveAttempt {
    /// A new attempt in the request table.
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
    pub live: Vec<LiveAttempt>,
    /// Of the live attempts, those that wait for the result.
    pub waiting: Vec<RequestId>,
    /// The attempt for which the entry is retained; the first one until then.
    pub owner: RequestId,
    /// 0 while the entry is not retained.
    pub retained_until: UnixMicros,
    pub run: Run,
    /// The run of the entry that this one replaced. An attempt that reached the machine before that entry's end and is
    /// read only now must not run.
    pub previous_run: Option<PreviousRun>,
    pub body_digest: u64,
    /// Until when another body with the same key is refused.
    pub fingerprint_expires_at: UnixMicros,
}

impl Entry {
    /// An entry for the first attempt of a key.
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

    /// Whether an attempt that arrived then repeats those of this entry.
    pub fn covers(&self, received_at: UnixMicros) -> bool {
        !self.live.is_empty() || received_at < self.retained_until
    }

    /// Whether another body with the same key is refused.
    pub fn mismatches(&self, attempt: &Attempt) -> bool {
        attempt.body_digest != self.body_digest
            && (self.covers(attempt.received_at)
                || attempt.received_at < self.fingerprint_expires_at)
    }

    /// The attempt that a new one repeats.
    pub fn repeated_by(&self, attempt: &Attempt) -> Option<RequestId> {
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

    /// Refuses other bodies until the end of the attempt's window as well.
    pub fn extend_fingerprint(&mut self, attempt: &Attempt) {
        self.fingerprint_expires_at = self.fingerprint_expires_at.max(attempt.window_ends_at());
    }

    /// Starts the run of an attempt. A retained entry lasts at least for the window from when that attempt reached the
    /// machine by its own timestamp, the window's end included, also where our clock is behind that timestamp.
    pub fn start_run(&mut self, id: RequestId) {
        let attempt = self.live.iter().find(|attempt| attempt.id == id);
        if let Some(attempt) = attempt.filter(|_| self.retained_until > 0) {
            let past_window = attempt.window_ends_at.saturating_add(1);
            self.retained_until = self.retained_until.max(past_window);
        }
        self.run = Run::Running(id);
    }

    /// Whether this attempt runs.
    pub fn runs(&self, id: RequestId) -> bool {
        matches!(self.run, Run::Running(running) if running == id)
    }

    /// Attaches a repeat to the result of the run.
    pub fn attach(&mut self, id: RequestId) -> Attachment {
        match &self.run {
            Run::Ended(_, Some(result)) => Attachment::Result(result.clone()),
            Run::Ended(_, None) => Attachment::Failed,
            // All others wait as well, so no attempt is left to run.
            Run::NotStarted if self.live.len() <= self.waiting.len() + 1 => Attachment::Failed,
            Run::NotStarted | Run::Running(_) => {
                self.waiting.push(id);
                Attachment::Pending
            }
        }
    }

    /// Removes an attempt from those in the request table.
    pub fn remove_live(&mut self, id: RequestId) {
        self.live.retain(|attempt| attempt.id != id);
        self.waiting.retain(|&waiting| waiting != id);
    }

    /// Whether an attempt can still ask for the result.
    pub fn is_reachable(&self) -> bool {
        !self.live.is_empty() || self.retained_until > 0
    }

    /// Takes the attempts that wait for a run that will never end, now that this attempt was removed: it was the one
    /// that ran, given up while it was stopped, or only waiting attempts are left.
    pub fn take_unanswerable(&mut self, removed: RequestId) -> Vec<RequestId> {
        let is_abandoned = self.runs(removed);
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

    /// The run that an entry which replaces this one has to remember.
    pub fn into_previous_run(self) -> Option<PreviousRun> {
        match self.run.attempt() {
            None => self.previous_run,
            Some(attempt) => Some(PreviousRun {
                attempt,
                retained_until: self.retained_until,
            }),
        }
    }

    /// Whether the entry serves only to refuse other bodies.
    pub fn is_fingerprint_only(&self) -> bool {
        !self.is_reachable() && self.previous_run.is_none()
    }

    /// Whether nothing refers to the entry; `late` is for how long after its end an attempt may be read.
    pub fn is_expired(&self, now: UnixMicros, late: Span) -> bool {
        let previous_until = self
            .previous_run
            .map_or(0, |previous| previous.retained_until);
        let until = self.retained_until.max(previous_until);
        self.live.is_empty()
            && now >= until.saturating_add(late.0)
            && now >= self.fingerprint_expires_at
    }
}
