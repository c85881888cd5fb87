//! The server's load, which the event loop sets and the membership thread samples.

use heathspur_members::Load;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The length of a window in which rejections are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// The server's load, shared between the event loop and the membership thread.
#[derive(Default)]
pub(super) struct LoadGauge {
    in_flight: AtomicU32,
    concurrency_limit: AtomicU32,
    /// Number of requests rejected since the start.
    rejections: AtomicU64,
}

impl LoadGauge {
    /// Sets the number of requests in flight and the limit on it.
    pub(super) fn set(&self, in_flight: usize, concurrency_limit: f64) {
        self.in_flight.store(in_flight as u32, Ordering::Relaxed);
        self.concurrency_limit
            .store(concurrency_limit as u32, Ordering::Relaxed);
    }

    /// Counts a rejected request.
    pub(super) fn count_rejection(&self) {
        self.rejections.fetch_add(1, Ordering::Relaxed);
    }
}

/// Samples a [`LoadGauge`] and computes the rate of rejections from its counter.
pub(super) struct LoadSampler {
    gauge: Arc<LoadGauge>,
    window_started_at: Instant,
    /// Number of rejections before the current window.
    rejections_before: u64,
    /// Number of rejections in the previous window.
    rejections_per_second: u32,
}

impl LoadSampler {
    /// Creates a sampler whose first window starts now.
    pub(super) fn new(gauge: Arc<LoadGauge>) -> LoadSampler {
        LoadSampler {
            gauge,
            window_started_at: Instant::now(),
            rejections_before: 0,
            rejections_per_second: 0,
        }
    }

    /// Returns the current load, with the rate of rejections in the last complete window.
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
