//! The server's load, set by the event loop and sampled by the membership thread.

use heathspur_members::Load;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Rejections are counted over this window.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// The load that the event loop sets.
#[derive(Default)]
pub(super) struct LoadGauge {
    in_flight: AtomicU32,
    concurrency_limit: AtomicU32,
    /// Requests rejected since the start.
    rejections: AtomicU64,
}

impl LoadGauge {
    pub(super) fn set(&self, in_flight: usize, concurrency_limit: f64) {
        self.in_flight.store(in_flight as u32, Ordering::Relaxed);
        self.concurrency_limit
            .store(concurrency_limit as u32, Ordering::Relaxed);
    }

    pub(super) fn count_rejection(&self) {
        self.rejections.fetch_add(1, Ordering::Relaxed);
    }
}

/// Samples the gauge, with rejections counted by the window.
pub(super) struct LoadSampler {
    gauge: Arc<LoadGauge>,
    window_started_at: Instant,
    /// Rejections before the current window.
    rejections_before: u64,
    /// Rejections in the previous window.
    rejections_per_second: u32,
}

impl LoadSampler {
    pub(super) fn new(gauge: Arc<LoadGauge>) -> LoadSampler {
        LoadSampler {
            gauge,
            window_started_at: Instant::now(),
            rejections_before: 0,
            rejections_per_second: 0,
        }
    }

    pub(super) fn sample(&mut self, now: Instant) -> Load {
        let rejections = self.gauge.rejections.load(Ordering::Relaxed);
        if now.duration_since(self.window_started_at) >= REJECTION_WINDOW {
            self.window_started_at = now;
            self.rejections_per_second = (rejections - self.rejections_before) as u32;
            self.rejections_before = rejections;
        }
        Load {
            in_flight: self.gauge.in_flight.load(Ordering::Relaxed),
            concurrency_limit: self.gauge.concurrency_limit.load(Ordering::Relaxed),
            rejections_per_second: self.rejections_per_second,
        }
    }
}
