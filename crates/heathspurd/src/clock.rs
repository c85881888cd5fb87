//! The admission controller's monotonic clock, the Unix clock for timestamps from other processes, and a timeout for
//! I/O.

use async_io::Timer;
use futures_lite::future;
use heathspur::{Span, Time};
use std::future::Future;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The controller's time at the start of the process, in microseconds: one hour, so that events before the start, such
/// as the start of the interpreter, have a time too.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// The controller's clock. It is monotonic and counts microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the controller's current time.
    pub fn now(&self) -> Time {
        Time(ORIGIN_MICROS + self.start.elapsed().as_micros() as u64)
    }

    /// Converts a controller's time to an instant; a time before the start of the clock becomes that start.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.0.saturating_sub(ORIGIN_MICROS))
    }
}

/// Returns the current Unix time in microseconds.
pub(crate) fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Returns the time from `timestamp` to `now`, both in Unix microseconds; zero if the timestamp is ahead of our clock.
pub(crate) fn elapsed_since(timestamp: u64, now: u64) -> Span {
    Span(now.saturating_sub(timestamp))
}

/// Runs `work`, or fails with [`io::ErrorKind::TimedOut`] if it takes longer than `limit`.
pub(crate) async fn within<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, timeout).await
}
