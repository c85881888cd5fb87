//! The deadlines of a graceful shutdown: when the server stops accepting requests, and when the process exits even if
//! requests are unanswered.

use async_channel::Sender;
use heathspur::{Span, Time};
use std::time::Duration;

/// The controller must answer all requests this long before the platform kills the process. The process itself exits
/// after half of this margin.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// The server stops accepting requests at least this long before the controller's limit.
const STOP_ACCEPTING_MARGIN: Duration = Duration::from_millis(300);

/// The deadlines of a drain that has begun.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    stop_accepting: Time,
    exit: Time,
}

/// The time limits of a drain for the other parts of the server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainPlan {
    /// The time in which the controller must answer all requests.
    pub controller_limit: Span,
    /// When responses that clients do not read are abandoned.
    pub abandon_responses: Time,
}

/// The state of the graceful shutdown.
pub(crate) struct Drain {
    /// The time from the signal until the platform kills the process.
    stop_timeout: Duration,
    deadlines: Option<Deadlines>,
    /// Closed once no new requests are accepted. Nothing is sent on it.
    stop_accepting: Sender<()>,
}

impl Drain {
    /// Creates the state of a server that is not draining.
    pub fn new(stop_timeout: Duration, stop_accepting: Sender<()>) -> Drain {
        Drain {
            stop_timeout,
            deadlines: None,
            stop_accepting,
        }
    }

    /// Returns whether the drain has begun.
    pub fn has_begun(&self) -> bool {
        self.deadlines.is_some()
    }

    /// Begins the drain. New requests are accepted for at most the time `grace`.
    pub fn begin(&mut self, now: Time, grace: Span) -> DrainPlan {
        let limit = self.stop_timeout.saturating_sub(EXIT_MARGIN);
        let accepting = span(limit.saturating_sub(STOP_ACCEPTING_MARGIN));
        self.deadlines = Some(Deadlines {
            stop_accepting: now + accepting.min(grace),
            // By then the answers that the controller gives at its limit have been sent.
            exit: now + span(limit + EXIT_MARGIN / 2),
        });
        DrainPlan {
            controller_limit: span(limit),
            abandon_responses: now + accepting,
        }
    }

    /// Stops accepting new requests if that is due.
    pub fn stop_accepting_if_due(&self, now: Time) {
        if self.deadlines.is_some_and(|due| now >= due.stop_accepting) {
            self.stop_accepting.close();
        }
    }

    /// Returns whether the server has stopped accepting new requests.
    pub fn has_stopped_accepting(&self) -> bool {
        self.stop_accepting.is_closed()
    }

    /// Returns whether the process must exit even if requests are unanswered.
    pub fn is_exit_due(&self, now: Time) -> bool {
        self.deadlines.is_some_and(|due| now >= due.exit)
    }

    /// Returns the next deadline, or `None` if the drain has not begun.
    pub fn next_deadline(&self) -> Option<Time> {
        let due = self.deadlines?;
        Some(if self.has_stopped_accepting() {
            due.exit
        } else {
            due.stop_accepting
        })
    }
}

fn span(duration: Duration) -> Span {
    Span(duration.as_micros() as u64)
}

#[cfg(test)]
#[path = "../../tests/unit/drain.rs"]
mod tests;
