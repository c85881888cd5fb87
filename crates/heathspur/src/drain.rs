//! The state of a graceful shutdown.

use crate::time::{Span, Time};

/// Whether the server is draining, and the period of the drain.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    period: Option<DrainPeriod>,
}

#[derive(Clone, Copy, Debug)]
struct DrainPeriod {
    began_at: Time,
    stops_at: Time,
}

impl DrainState {
    /// Begins a drain that ends after `remaining`.
    pub fn begin(&mut self, now: Time, remaining: Span) {
        self.period = Some(DrainPeriod {
            began_at: now,
            stops_at: now + remaining,
        });
    }

    /// Returns whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.period.is_some()
    }

    /// Returns the earlier of a request's deadline and the end of the drain, if there is one.
    pub fn bound_deadline(&self, deadline: Time) -> Time {
        match self.period {
            Some(period) => deadline.min(period.stops_at),
            None => deadline,
        }
    }

    /// Returns whether a request arrived after the grace period of a drain and must not run.
    pub fn is_past_grace(&self, arrived_at: Time, grace: Span) -> bool {
        self.period
            .is_some_and(|period| arrived_at > period.began_at + grace)
    }
}
