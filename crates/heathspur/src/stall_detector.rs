//! Detects that running work has stopped making progress.

use crate::time::Time;

/// Least time without progress that counts as a stall, in seconds.
const MIN_STALL_S: f64 = 1.0;
/// Time without progress that counts as a stall, in mean run times of the slowest class.
const STALL_RUN_TIMES: f64 = 3.0;
/// Time without progress after which a stall continues, in seconds.
const STALL_CONTINUES_S: f64 = 0.5;

/// Tracks the last progress of running requests.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    last_progress_at: Time,
    is_stalled: bool,
}

impl StallDetector {
    /// Records that running work made progress.
    pub fn record_progress(&mut self, now: Time) {
        self.last_progress_at = now;
    }

    /// Returns whether work is stalled.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Returns the time without progress, in seconds.
    pub fn idle_s(&self, now: Time) -> f64 {
        (now - self.last_progress_at).secs()
    }

    /// Checks for a stall, which takes at least half of the cores to be occupied. Returns whether
    /// the state has changed.
    pub fn update(&mut self, now: Time, running: usize, cores: u64, slowest_run_s: f64) -> bool {
        let idle_s = self.idle_s(now);
        let is_occupied = 2 * running >= cores as usize;
        let has_no_progress = idle_s > MIN_STALL_S.max(STALL_RUN_TIMES * slowest_run_s);
        let continues = self.is_stalled && idle_s > STALL_CONTINUES_S;
        let is_stalled = running > 0 && (is_occupied && has_no_progress || continues);
        let has_changed = is_stalled != self.is_stalled;
        self.is_stalled = is_stalled;
        has_changed
    }
}
