//! The monotonic clock of the admission controller, the system's Unix clock for timestamps of others, and work with a
//! timeout.

use async_io::Timer;
use futures_lite::future;
use heathspur::{Span, Time};
use std::future::Future;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The controller's time at the start of the process (one hour, in microseconds): earlier events have a time as well.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// The controller's clock: monotonic, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The controller's time.
    pub fn now(&self) -> Time {
        Time(ORIGIN_MICROS + self.start.elapsed().as_micros() as u64)
    }

    /// The instant of a controller's time; the start of the clock for earlier times.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.0.saturating_sub(ORIGIN_MICROS))
    }
}

/// The Unix time in microseconds.
pub(crate) fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// The time since a Unix timestamp; zero when the timestamp is ahead of our clock.
pub(crate) fn elapsed_since(timestamp: u64, now: u64) -> Span {
    Span(now.saturating_sub(timestamp))
}

/// Does the work, or fails with `TimedOut` once the time is over.
pub(crate) async fn within<T>(
    time: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        Timer::after(time).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, timeout).await
}
