//! The open connections to the registration service and the state of each.

use super::{CONNECT_TIMEOUT, HEDGED_CONNECT_TIMEOUT, MAX_CONNECTIONS, RESPONSE_TIMEOUT};
use std::time::Duration;

/// Identifies a connection to the service, from the connection attempt on. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(u64);

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ConnectionState {
    Connecting,
    Idle,
    Reporting(Report),
}

/// A report in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Report {
    /// The readiness that the report carries.
    pub ready: bool,
    /// Whether the report carries the current readiness and the service will accept no earlier report after it, other
    /// than outdated ones that are still in flight.
    pub current: bool,
}

/// A report that ended.
pub(super) struct FinishedReport {
    pub report: Report,
    /// Whether its connection had carried an earlier report, so that the service may have closed it in between.
    pub reused: bool,
}

/// An open connection or a connection attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Connection {
    id: ConnectionId,
    pub state: ConnectionState,
    /// When the connection entered its state.
    pub since: Duration,
    /// When the state times out, if it does.
    deadline: Option<Duration>,
    /// Whether the connection has carried a report.
    pub reused: bool,
}

/// All connections, at most [`MAX_CONNECTIONS`], in the order in which they entered their state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Connections {
    entries: Vec<Connection>,
    next_id: u64,
}

impl Connections {
    /// Returns whether [`MAX_CONNECTIONS`] is reached.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= MAX_CONNECTIONS
    }

    /// Returns the connection that has been in its state for longest.
    pub fn oldest(&self) -> Option<&Connection> {
        self.entries.first()
    }

    /// Returns the idle connection that has been idle for longest.
    pub fn idle(&self) -> Option<ConnectionId> {
        self.find(|connection| connection.state == ConnectionState::Idle)
    }

    /// Returns a connection whose state has timed out.
    pub fn expired(&self, now: Duration) -> Option<ConnectionId> {
        self.find(|connection| connection.deadline.is_some_and(|deadline| deadline <= now))
    }

    /// Returns when the first state times out.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.entries
            .iter()
            .filter_map(|connection| connection.deadline)
            .min()
    }

    /// Adds a connection attempt. Its timeout is shorter if another attempt is in progress.
    pub fn add_connecting(&mut self, now: Duration) -> ConnectionId {
        let is_hedge = self
            .find(|connection| connection.state == ConnectionState::Connecting)
            .is_some();
        let timeout = if is_hedge {
            HEDGED_CONNECT_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        };
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.entries.push(Connection {
            id,
            state: ConnectionState::Connecting,
            since: now,
            deadline: Some(now + timeout),
            reused: false,
        });
        id
    }

    /// Adds an idle connection. `reused` states whether it has carried a report.
    pub fn add_idle(&mut self, id: ConnectionId, now: Duration, reused: bool) {
        self.entries.push(Connection {
            id,
            state: ConnectionState::Idle,
            since: now,
            deadline: None,
            reused,
        });
    }

    /// Adds a connection on which a report has been sent.
    pub fn add_reporting(&mut self, id: ConnectionId, now: Duration, report: Report, reused: bool) {
        self.entries.push(Connection {
            id,
            state: ConnectionState::Reporting(report),
            since: now,
            deadline: Some(now + RESPONSE_TIMEOUT),
            reused,
        });
    }

    /// Removes a connection attempt. Returns `None` if the connection is in another state.
    pub fn remove_connecting(&mut self, id: ConnectionId) -> Option<Connection> {
        self.remove(id, |state| *state == ConnectionState::Connecting)
    }

    /// Removes an idle connection. Returns `None` if the connection is in another state.
    pub fn remove_idle(&mut self, id: ConnectionId) -> Option<Connection> {
        self.remove(id, |state| *state == ConnectionState::Idle)
    }

    /// Removes a connection with a report in flight, and returns the report. Returns `None` if the connection is in
    /// another state.
    pub fn remove_reporting(&mut self, id: ConnectionId) -> Option<FinishedReport> {
        let is_reporting = |state: &ConnectionState| matches!(state, ConnectionState::Reporting(_));
        let connection = self.remove(id, is_reporting)?;
        let ConnectionState::Reporting(report) = connection.state else {
            return None;
        };
        Some(FinishedReport {
            report,
            reused: connection.reused,
        })
    }

    /// Removes all connections and returns them.
    pub fn remove_all(&mut self) -> Vec<ConnectionId> {
        let removed = std::mem::take(&mut self.entries);
        removed.iter().map(|connection| connection.id).collect()
    }

    /// Removes all connections without a report in flight and returns them.
    pub fn remove_all_but_reporting(&mut self) -> Vec<ConnectionId> {
        let (reporting, removed) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|connection| matches!(connection.state, ConnectionState::Reporting(_)));
        self.entries = reporting;
        let removed: Vec<Connection> = removed;
        removed.iter().map(|connection| connection.id).collect()
    }

    /// Marks every report in flight as outdated.
    pub fn mark_reports_outdated(&mut self) {
        for connection in &mut self.entries {
            if let ConnectionState::Reporting(report) = &mut connection.state {
                report.current = false;
            }
        }
    }

    fn find(&self, matches: impl Fn(&Connection) -> bool) -> Option<ConnectionId> {
        let found = self.entries.iter().find(|connection| matches(connection))?;
        Some(found.id)
    }

    /// Removes the connection if its state matches.
    fn remove(
        &mut self,
        id: ConnectionId,
        matches: impl Fn(&ConnectionState) -> bool,
    ) -> Option<Connection> {
        let index = self
            .entries
            .iter()
            .position(|connection| connection.id == id && matches(&connection.state))?;
        Some(self.entries.remove(index))
    }
}
