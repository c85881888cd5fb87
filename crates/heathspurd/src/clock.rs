//! The two clocks: a monotonic one for the module, the system's Unix clock for what others stamp; and work that
//! has to be done in time.

use async_io::Timer;
use futures_lite::future;
use heathspur::{Span, Time};
use std::future::Future;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The module's time at the start of the process, so that what came before it has a time as well.
const ORIGIN: u64 = 3_600_000_000;

/// Module time: microseconds on a clock that only advances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Time {
        Time(ORIGIN + self.start.elapsed().as_micros() as u64)
    }

    /// When that module time is on the executor's clock; at once for what lies before the start.
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.0.saturating_sub(ORIGIN))
    }
}

/// Microseconds of the Unix clock.
pub(crate) fn unix() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// The time from a stamp until now on the Unix clock; none when the stamp lies ahead.
pub(crate) fn since(stamp: u64, unix_now: u64) -> Span {
    Span(unix_now.saturating_sub(stamp))
}

/// Does the work, or fails once the time is over.
pub(crate) async fn within<T>(
    time: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let late = async {
        Timer::after(time).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, late).await
}
