//! Points and lengths of time, in whole microseconds.

use std::ops::{Add, Sub};

const MICROS_PER_SECOND: f64 = 1e6;

/// A point on a monotonic clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// Converts seconds to a span. A negative value or NaN gives zero.
    pub fn from_secs(secs: f64) -> Span {
        Span((secs * MICROS_PER_SECOND).round().max(0.0) as u64)
    }

    /// Returns the span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }
}

impl Add<Span> for Time {
    type Output = Time;

    /// Returns the time `span` later, saturating at the end of the clock.
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    /// Returns the time `span` earlier, saturating at the clock's origin.
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;

    /// Returns the time elapsed since `earlier`, or zero if `earlier` lies ahead.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}
