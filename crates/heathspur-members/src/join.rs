//! Joining the fleet: the seeds are contacted with backoff until a member answers.

use crate::settings::Settings;
use rand::rngs::StdRng;
use rand::RngExt;
use std::net::SocketAddrV4;

/// The number of protocol periods during which a member counts as a newcomer after it starts to join.
const NEWCOMER_PERIODS: u64 = 10;

/// The progress of joining the fleet.
pub(crate) struct Join {
    seeds: Vec<SocketAddrV4>,
    joined: bool,
    next_attempt_at: Option<u64>,
    backoff_ms: u64,
    newcomer_until: u64,
}

impl Join {
    pub(crate) fn new(seeds: Vec<SocketAddrV4>, settings: &Settings) -> Join {
        Join {
            seeds,
            joined: false,
            next_attempt_at: None,
            backoff_ms: settings.initial_join_backoff_ms,
            newcomer_until: 0,
        }
    }

    /// Starts to join; the first attempt is due at once.
    pub(crate) fn start(&mut self, now: u64, settings: &Settings) {
        self.next_attempt_at = Some(now);
        self.backoff_ms = settings.initial_join_backoff_ms;
        self.newcomer_until = now + NEWCOMER_PERIODS * settings.protocol_period_ms;
    }

    pub(crate) fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Returns whether the local member has joined: it has received a message of another member that is not
    /// a nack, or was given known members.
    pub(crate) fn joined(&self) -> bool {
        self.joined
    }

    pub(crate) fn mark_joined(&mut self) {
        self.joined = true;
    }

    /// Returns whether the local member started to join so recently that the fleet already has the members that it
    /// receives by push-pull.
    pub(crate) fn is_newcomer(&self, now: u64) -> bool {
        now < self.newcomer_until
    }

    /// Returns the seeds to contact if an attempt is due, and schedules the next attempt.
    pub(crate) fn take_due_seeds(
        &mut self,
        now: u64,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Vec<SocketAddrV4> {
        let due = self.next_attempt_at.is_some_and(|at| now >= at);
        if self.joined || !due {
            return Vec::new();
        }
        let jitter = rng.random_range(0..=self.backoff_ms / 2);
        self.next_attempt_at = Some(now + self.backoff_ms + jitter);
        self.backoff_ms = (self.backoff_ms * 2).min(settings.max_join_backoff_ms);
        self.seeds.clone()
    }
}
