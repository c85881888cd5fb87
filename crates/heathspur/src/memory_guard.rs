//! Memory use of requests and idempotency entries, and its limits.

use crate::ewma::{Ewma, SLOW_WEIGHT};
use crate::settings::Settings;

/// Fraction of the memory up to which runs are started.
const RUN_FRACTION: f64 = 0.85;
/// Fraction of the memory up to which requests are queued and idempotency entries are made.
const QUEUE_FRACTION: f64 = 0.93;
/// Runs per core whose memory is reserved and not available to idempotency entries.
const RESERVED_RUNS_PER_CORE: f64 = 1.5;

/// Memory in use and the limits on it, in kilobytes.
#[derive(Debug)]
pub(crate) struct MemoryGuard {
    capacity_kb: f64,
    used_kb: f64,
    dedup_entry_kb: f64,
    run_memory_factor: f64,
    cores: f64,
    mean_request_kb: Ewma,
}

impl MemoryGuard {
    /// Creates the state of a server without requests and idempotency entries.
    pub fn new(settings: &Settings) -> MemoryGuard {
        MemoryGuard {
            capacity_kb: settings.memory_kb,
            used_kb: 0.0,
            dedup_entry_kb: settings.dedup_entry_kb,
            run_memory_factor: settings.run_memory_factor,
            cores: settings.cores as f64,
            mean_request_kb: Ewma::default(),
        }
    }

    /// Adds a request that has been read.
    pub fn add_queued(&mut self, request_kb: f64) {
        self.used_kb += request_kb;
        self.mean_request_kb.add(request_kb, SLOW_WEIGHT);
    }

    /// Returns whether the run of a queued request still fits in memory.
    pub fn fits_run(&self, request_kb: f64) -> bool {
        self.used_kb + self.extra_run_kb(request_kb) <= RUN_FRACTION * self.capacity_kb
    }

    /// Adds the extra memory that a queued request takes when it starts.
    pub fn add_run(&mut self, request_kb: f64) {
        self.used_kb += self.extra_run_kb(request_kb);
    }

    /// Releases the memory of a request that never started.
    pub fn release_queued(&mut self, request_kb: f64) {
        self.used_kb -= request_kb;
    }

    /// Releases the memory of a request that was started.
    pub fn release_run(&mut self, request_kb: f64) {
        self.used_kb -= request_kb * self.run_memory_factor.max(1.0);
    }

    /// Returns whether one more idempotency entry fits in memory in addition to `entries` existing
    /// ones and the memory reserved for runs.
    pub fn fits_idempotency_entry(&self, entries: usize) -> bool {
        let reserved_kb = RESERVED_RUNS_PER_CORE
            * self.cores
            * self.mean_request_kb.value()
            * self.run_memory_factor;
        let limit_kb = self.queue_limit_kb();
        let entries_kb = (entries + 1) as f64 * self.dedup_entry_kb;
        entries_kb <= limit_kb - reserved_kb && self.used_kb + self.dedup_entry_kb <= limit_kb
    }

    /// Adds an idempotency entry.
    pub fn add_idempotency_entry(&mut self) {
        self.used_kb += self.dedup_entry_kb;
    }

    /// Releases an idempotency entry.
    pub fn release_idempotency_entry(&mut self) {
        self.used_kb -= self.dedup_entry_kb;
    }

    /// Returns whether the memory in use exceeds the limit for queueing requests.
    pub fn is_over_queue_limit(&self) -> bool {
        self.used_kb > self.queue_limit_kb()
    }

    fn queue_limit_kb(&self) -> f64 {
        QUEUE_FRACTION * self.capacity_kb
    }

    fn extra_run_kb(&self, request_kb: f64) -> f64 {
        request_kb * (self.run_memory_factor - 1.0).max(0.0)
    }
}
