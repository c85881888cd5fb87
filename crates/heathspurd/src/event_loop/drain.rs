//! The graceful shutdown: when accepting stops and when the process exits, whatever is left.

use async_channel::Sender;
use heathspur::{Span, Time};
use std::time::Duration;

/// The process exits this long before the platform kills it.
const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Accepting stops at least this long before the exit.
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
    /// The time that the controller has for all requests.
    pub controller_limit: Span,
    /// When responses that no client reads are abandoned.
    pub abandon_responses: Time,
}

/// The state of the graceful shutdown.
pub(crate) struct Drain {
    /// From the signal to the end of the process.
    stop_timeout: Duration,
    deadlines: Option<Deadlines>,
    /// Closed once no new request is accepted; nothing is sent on it.
    stop_accepting: Sender<()>,
}

impl Drain {
    /// A server that does not drain yet.
    pub fn new(stop_timeout: Duration, stop_accepting: Sender<()>) -> Drain {
        Drain {
            stop_timeout,
            deadlines: None,
            stop_accepting,
        }
    }

    /// Whether a drain has begun.
    pub fn has_begun(&self) -> bool {
        self.deadlines.is_some()
    }

    /// Begins the drain. New requests are accepted for the grace period of the settings at most.
    pub fn begin(&mut self, now: Time, grace: Span) -> DrainPlan {
        let limit = self.stop_timeout.saturating_sub(EXIT_MARGIN);
        let accepting = span(limit.saturating_sub(STOP_ACCEPTING_MARGIN));
        self.deadlines = Some(Deadlines {
            stop_accepting: now + accepting.min(grace),
            // The controller's last answers, given at its limit, are on their way by then.
            exit: now + span(limit + EXIT_MARGIN / 2),
        });
        DrainPlan {
            controller_limit: span(limit),
            abandon_responses: now + accepting,
        }
    }

    /// Stops accepting once that is due.
    pub fn stop_accepting_if_due(&self, now: Time) {
        if self.deadlines.is_some_and(|due| now >= due.stop_accepting) {
            self.stop_accepting.close();
        }
    }

    /// Whether no new request is accepted.
    pub fn has_stopped_accepting(&self) -> bool {
        self.stop_accepting.is_closed()
    }

    /// Whether the process has to exit with whatever is left.
    pub fn is_exit_due(&self, now: Time) -> bool {
        self.deadlines.is_some_and(|due| now >= due.exit)
    }

    /// The next deadline of a drain that has begun.
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
