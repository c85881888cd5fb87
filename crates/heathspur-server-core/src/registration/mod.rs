//! The schedule of reports of this server's readiness to the registration service: one per interval, immediately after
//! a change, and after a short delay following a failure.
//!
//! The service removes an entry 3 s after the last accepted report, so no single fault may delay reports for that long.
//! A report without an answer and a pending connection attempt are therefore not aborted early but hedged on a second
//! connection.
//!
//! The service may accept reports on two connections in either order. A report counts as current only if it was sent
//! after the last change, and after every report with another readiness had ended. After a change, the next report is
//! due immediately until a current one is in flight, regardless of outdated reports in flight. A report that timed out
//! can still be accepted late; the next report, at most one interval later, corrects that.

mod connections;

pub use connections::ConnectionId;

use connections::{Connection, ConnectionState, Connections, FinishedReport, Report};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Time until the next report or connection attempt after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A report or connection attempt that takes longer is hedged on another connection.
const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Timeout of the answer to a report.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a hedged connection attempt. It is longer than 1 s, after which the kernel resends a lost SYN.
const HEDGED_CONNECT_TIMEOUT: Duration = Duration::from_millis(1250);
/// Maximum number of connections, including connection attempts.
const MAX_CONNECTIONS: usize = 2;
/// Status of the answer to an accepted report.
const STATUS_NO_CONTENT: u16 = 204;

/// An input of the schedule. Events of a closed connection, and events that do not match the state of their connection,
/// are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Sets the readiness to report from now on.
    Ready(bool),
    /// The service's address changed. All connections are closed and the schedule is reset; [`Event::Ready`] has to
    /// follow.
    AddressChanged,
    /// A connection attempt succeeded.
    Connected(ConnectionId),
    /// A connection attempt failed, or a connection broke before the answer to its report.
    Failed {
        /// The connection.
        connection: ConnectionId,
        /// Whether the attempt or the report timed out.
        timed_out: bool,
    },
    /// The report requested by [`Action::SendReport`] was sent.
    ReportSent(ConnectionId),
    /// An idle connection is unusable: the peer closed it, or unexpected bytes arrived.
    Closed(ConnectionId),
    /// A report was answered.
    ReportCompleted {
        /// The connection.
        connection: ConnectionId,
        /// The status of the answer.
        status: u16,
        /// Whether the connection stays open and no further bytes arrived on it.
        reusable: bool,
    },
}

/// An output of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start a connection attempt to the service.
    Connect(ConnectionId),
    /// Send a report on an idle connection, then pass [`Event::ReportSent`], or [`Event::Closed`] if the connection is
    /// unusable.
    SendReport {
        /// The connection.
        connection: ConnectionId,
        /// The readiness to report.
        ready: bool,
    },
    /// Close the connection and abort whatever is in progress on it.
    Close(ConnectionId),
    /// Log a failure.
    LogFailure(Failure),
}

/// Why a report or a connection attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The schedule's timeout passed.
    TimedOut,
    /// The connection or the attempt failed, as reported by the last [`Event::Failed`].
    ConnectionFailed,
    /// The peer closed a new connection or sent unexpected bytes on it.
    ConnectionClosed,
    /// The status of the answer was not 204.
    UnexpectedStatus(u16),
}

/// The schedule of reports.
///
/// After each [`handle`](Schedule::handle), and at the time returned by [`next_wakeup`](Schedule::next_wakeup), call
/// [`poll`](Schedule::poll) until it returns `None`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    connections: Connections,
    /// The readiness to report; `None` until the first [`Event::Ready`].
    ready: Option<bool>,
    /// When the next report is due.
    report_due: Duration,
    /// Earliest time of the next connection attempt.
    connect_not_before: Duration,
    /// Duration of the last successful connection attempt.
    connect_latency: Duration,
    /// Actions that events have caused and that were not polled yet.
    actions: VecDeque<Action>,
}

impl Schedule {
    /// Creates a schedule without connections, and without a readiness to report.
    pub fn new(now: Duration) -> Schedule {
        Schedule {
            connections: Connections::default(),
            ready: None,
            report_due: now,
            connect_not_before: now,
            connect_latency: Duration::ZERO,
            actions: VecDeque::new(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Ready(ready) => self.on_ready(now, ready),
            Event::AddressChanged => self.on_address_changed(now),
            Event::Connected(connection) => self.on_connected(now, connection),
            Event::Failed {
                connection,
                timed_out,
            } => self.on_failed(now, connection, timed_out, Failure::ConnectionFailed),
            Event::ReportSent(connection) => self.on_report_sent(now, connection),
            Event::Closed(connection) => self.on_closed(now, connection),
            Event::ReportCompleted {
                connection,
                status,
                reusable,
            } => self.on_report_completed(now, connection, status, reusable),
        }
    }

    /// Returns the next action. Actions caused by events come first, then the closing of connections whose state timed
    /// out, then a report, then a connection attempt.
    pub fn poll(&mut self, now: Duration) -> Option<Action> {
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        let ready = self.ready?;
        if let Some(connection) = self.connections.expired(now) {
            self.on_failed(now, connection, true, Failure::TimedOut);
            return Some(Action::Close(connection));
        }
        if self.report_due <= now {
            if let Some(connection) = self.connections.idle() {
                return Some(Action::SendReport { connection, ready });
            }
        }
        let connect_due = self.next_connect().is_some_and(|at| at <= now);
        connect_due.then(|| Action::Connect(self.connections.add_connecting(now)))
    }

    /// Returns when to poll again if no event occurs before. The time may be in the past.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.ready?;
        let report = self.connections.idle().map(|_| self.report_due);
        [
            self.connections.next_deadline(),
            report,
            self.next_connect(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns when the next connection attempt is due, if any: early enough for the connection to be established when
    /// the next report is due. Beside another connection, it is due only once that one exceeds the hedge delay or its
    /// report is outdated.
    fn next_connect(&self) -> Option<Duration> {
        if self.connections.is_full() || self.connections.idle().is_some() {
            return None;
        }
        let for_report = self.report_due.saturating_sub(self.connect_latency);
        let earliest = self.connect_not_before.max(for_report);
        Some(match self.connections.oldest() {
            Some(Connection {
                state: ConnectionState::Reporting(Report { current: false, .. }),
                ..
            }) => earliest,
            Some(connection) => earliest.max(connection.since + HEDGE_DELAY),
            None => earliest,
        })
    }

    fn on_ready(&mut self, now: Duration, ready: bool) {
        if self.ready.replace(ready) != Some(ready) {
            self.report_immediately(now);
        }
    }

    /// Closes all connections and resets the schedule, except for the next connection identifier and the actions that
    /// were not polled yet.
    fn on_address_changed(&mut self, now: Duration) {
        let closed = self.connections.remove_all();
        self.close(closed);
        *self = Schedule {
            connections: std::mem::take(&mut self.connections),
            actions: std::mem::take(&mut self.actions),
            ..Schedule::new(now)
        };
    }

    fn on_connected(&mut self, now: Duration, id: ConnectionId) {
        if let Some(connection) = self.connections.remove_connecting(id) {
            self.connect_latency = now.saturating_sub(connection.since);
            self.connections.add_idle(id, now, false);
        }
    }

    /// Handles the failure of a connection attempt or a report.
    fn on_failed(&mut self, now: Duration, id: ConnectionId, timed_out: bool, failure: Failure) {
        if let Some(finished) = self.connections.remove_reporting(id) {
            self.on_report_failed(now, finished, timed_out, failure);
        } else if self.connections.remove_connecting(id).is_some() {
            self.record_failure(now, failure);
        }
    }

    fn on_report_failed(
        &mut self,
        now: Duration,
        finished: FinishedReport,
        timed_out: bool,
        failure: Failure,
    ) {
        // The service may close a reused connection at any time. This is no failure; the report is repeated at once on
        // a new connection.
        let closed_between_reports = finished.reused && !timed_out;
        let next_due = if closed_between_reports {
            now
        } else {
            self.record_failure(now, failure);
            now + RETRY_DELAY
        };
        self.finish_report(now, finished.report, next_due);
    }

    fn on_report_sent(&mut self, now: Duration, id: ConnectionId) {
        let Some(ready) = self.ready else { return };
        if let Some(connection) = self.connections.remove_idle(id) {
            let report = Report {
                ready,
                current: true,
            };
            self.connections
                .add_reporting(id, now, report, connection.reused);
            self.report_due = now + HEDGE_DELAY;
        }
    }

    fn on_closed(&mut self, now: Duration, id: ConnectionId) {
        let removed = self.connections.remove_idle(id);
        // The service may close a reused connection at any time. This is no failure.
        if removed.is_some_and(|connection| !connection.reused) {
            self.record_failure(now, Failure::ConnectionClosed);
        }
    }

    fn on_report_completed(
        &mut self,
        now: Duration,
        id: ConnectionId,
        status: u16,
        reusable: bool,
    ) {
        let Some(finished) = self.connections.remove_reporting(id) else {
            return;
        };
        // One connection is enough now. The others are closed, except those with a report in flight. If this connection
        // is not reusable and its report was outdated, the next report is due at once and needs one of the others.
        if reusable || finished.report.current {
            let closed = self.connections.remove_all_but_reporting();
            self.close(closed);
        }
        if reusable {
            self.connections.add_idle(id, now, true);
        }
        let next_due = if status == STATUS_NO_CONTENT {
            now + REPORT_INTERVAL
        } else {
            self.record_failure(now, Failure::UnexpectedStatus(status));
            now + RETRY_DELAY
        };
        self.finish_report(now, finished.report, next_due);
    }

    /// Schedules the next report after `report` has ended; it is due at `next_due` if `report` was current.
    fn finish_report(&mut self, now: Duration, report: Report, next_due: Duration) {
        // The end of an outdated report does not delay the next one, which is due at once or at the time set by a
        // current report.
        if report.current {
            self.report_due = next_due;
        }
        // The service may have accepted this outdated report after the current one, so the readiness is reported again.
        if self.ready != Some(report.ready) {
            self.report_immediately(now);
        }
    }

    /// Makes a report due now, and marks all reports in flight as outdated.
    fn report_immediately(&mut self, now: Duration) {
        self.report_due = now;
        self.connections.mark_reports_outdated();
    }

    fn record_failure(&mut self, now: Duration, failure: Failure) {
        self.actions.push_back(Action::LogFailure(failure));
        self.connect_not_before = now + RETRY_DELAY;
    }

    fn close(&mut self, connections: Vec<ConnectionId>) {
        self.actions
            .extend(connections.into_iter().map(Action::Close));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/registration.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/registration_model.rs"]
mod model;
