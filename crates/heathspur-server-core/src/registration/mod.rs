//! The schedule of reports to the registration service: one per interval, immediately on a change, and again soon
//! after a failure.
//!
//! The service drops an entry 3 s after the last accepted report, so no single fault may delay reports for that long.
//! A report without an answer and a pending connection attempt are not aborted early: they are hedged on a second
//! connection. The service may accept reports on two connections in either order. A report is therefore current only
//! if it was sent after the last change, and after the end of each report with other content. Until a current
//! report is in flight the next one is due immediately, regardless of the others. A report that timed out can still
//! be accepted late: the next report, at most one interval later, corrects that.

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
/// The longest wait for an answer to a report.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest wait for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest wait for a connection beside another attempt: the kernel resends a lost SYN after 1 s.
const HEDGED_CONNECT_TIMEOUT: Duration = Duration::from_millis(1250);
/// Connections at once, including attempts.
const MAX_CONNECTIONS: usize = 2;
/// The answer's status to an accepted report.
const STATUS_NO_CONTENT: u16 = 204;

/// An input of the schedule. Events of a connection that is closed, or that don't fit its state, are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The readiness to report from now on.
    Ready(bool),
    /// The service's address changed: everything starts anew there.
    AddressChanged,
    /// A connection attempt succeeded.
    Connected(ConnectionId),
    /// A connection attempt failed, or a connection broke before the answer to its report.
    Failed {
        /// The connection.
        connection: ConnectionId,
        /// The attempt or the report timed out.
        timed_out: bool,
    },
    /// The report requested by [`Action::SendReport`] was sent.
    ReportSent(ConnectionId),
    /// An idle connection is unusable: the peer closed it, or unexpected bytes arrived.
    Closed(ConnectionId),
    /// A report was answered.
    ReportAnswered {
        /// The connection.
        connection: ConnectionId,
        /// The status of the answer.
        status: u16,
        /// The connection stays open, and no further bytes arrived on it.
        reusable: bool,
    },
}

/// An output of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Connect to the service.
    Connect(ConnectionId),
    /// Send a report on an idle connection, then pass [`Event::ReportSent`], or [`Event::Closed`] if the connection
    /// is unusable.
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
    /// It timed out in the schedule.
    TimedOut,
    /// The connection failed, as the last [`Event::Failed`] reported.
    ConnectionFailed,
    /// The peer closed a new connection, or sent unexpected bytes.
    ConnectionClosed,
    /// The status of the answer was not 204.
    UnexpectedStatus(u16),
}

/// The schedule. After each [`handle`](Schedule::handle), call [`poll`](Schedule::poll) until it returns `None`, and
/// again at the time returned by [`next_wakeup`](Schedule::next_wakeup).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    connections: Connections,
    /// The readiness to report, once known.
    ready: Option<bool>,
    /// When the next report is due.
    report_due: Duration,
    /// No connection attempt before this time.
    connect_not_before: Duration,
    /// How long the last successful connection attempt took.
    connect_latency: Duration,
    /// Actions that follow from events, not polled yet.
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

    /// Processes an event.
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
            Event::ReportAnswered {
                connection,
                status,
                reusable,
            } => self.on_report_answered(now, connection, status, reusable),
        }
    }

    /// Returns the next action: aborts what timed out, reports, connects.
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

    /// When to poll again without an event. The time may be in the past.
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

    /// When the next connection attempt is due, if any: early enough to have the connection when the report is
    /// due, and as a hedge when the other connection exceeds the hedge delay or its report is outdated.
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

    /// Resets everything but the connection identifiers and the pending actions.
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

    /// A connection attempt or a report failed.
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
        // The service may close a reused connection at any time: no failure, a new connection reports at once.
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
        // The service may close a reused connection at any time.
        if removed.is_some_and(|connection| !connection.reused) {
            self.record_failure(now, Failure::ConnectionClosed);
        }
    }

    fn on_report_answered(&mut self, now: Duration, id: ConnectionId, status: u16, reusable: bool) {
        let Some(finished) = self.connections.remove_reporting(id) else {
            return;
        };
        // One connection is enough from now on, unless another report is due at once and has no other connection.
        // Reports in flight may end.
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

    /// Sets the time of the next report after one has ended.
    fn finish_report(&mut self, now: Duration, report: Report, next_due: Duration) {
        // An outdated report delays nothing: the next one is due at once, or a current one has set its time.
        if report.current {
            self.report_due = next_due;
        }
        // The service may have accepted the outdated report last.
        if self.ready != Some(report.ready) {
            self.report_immediately(now);
        }
    }

    /// Makes a report due now, and outdates all reports in flight.
    fn report_immediately(&mut self, now: Duration) {
        self.report_due = now;
        self.connections.outdate_reports();
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
