//! Detection of stalls, in which running requests make no progress.

use crate::time::Time;

/// Least time without progress that counts as a stall, in seconds.
const MIN_STALL_S: f64 = 1.0;
/// Time without progress that counts as a stall, in mean run times of the slowest class.
const STALL_RUN_TIMES: f64 = 3.0;
/// Least time without progress for which a detected stall continues, in seconds.
const MIN_ONGOING_STALL_S: f64 = 0.5;

/// Tracks the last progress of running requests.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    last_progress_at: Time,
    is_stalled: bool,
}

impl StallDetector {
    /// Records that a running request made progress.
    pub fn record_progress(&mut self, now: Time) {
        self.last_progress_at = now;
    }

    /// Returns whether running requests are stalled.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Returns the time since the last progress, in seconds.
    pub fn time_since_progress_s(&self, now: Time) -> f64 {
        (now - self.last_progress_at).secs()
    }

    /// Updates whether running requests are stalled, and returns whether that has changed. A stall
    /// begins only while at least half of the cores are occupied.
    pub fn update(&mut self, now: Time, running: usize, cores: u64, slowest_run_s: f64) -> bool {
        let time_since_progress_s = self.time_since_progress_s(now);
        let cores_are_occupied = 2 * running >= cores as usize;
        let has_no_progress =
            time_since_progress_s > MIN_STALL_S.max(STALL_RUN_TIMES * slowest_run_s);
        let continues = self.is_stalled && time_since_progress_s > MIN_ONGOING_STALL_S;
        let is_stalled = running > 0 && (cores_are_occupied && has_no_progress || continues);
        let has_changed = is_stalled != self.is_stalled;
        self.is_stalled = is_stalled;
        has_changed
    }
}
