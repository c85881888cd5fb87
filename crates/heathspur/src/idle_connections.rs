//! The idle timeout after which the server closes client connections.
//!
//! Idle connections that rarely serve a second request are closed early, since a full connection
//! table takes processor time and prevents callers from connecting. During a flood of requests,
//! most of which have to be rejected, the table is left full on purpose, since refused connections
//! cost nothing. After requests had to wait unread, the table is left full for one idle timeout of
//! the clients, since accepting and reading more requests would compete with running ones. While
//! cores are idle, the timeout is lowered again.

use crate::ewma::{Ewma, FAST_WEIGHT};
use crate::settings::Settings;
use crate::time::{Span, Time};

/// Idle connections per request read in one idle timeout above which most connections serve a
/// single request.
const MANY_IDLE_PER_READ: f64 = 0.5;
/// Idle connections per request read in one idle timeout below which most connections are reused.
const FEW_IDLE_PER_READ: f64 = 0.2;
/// Least number of requests read in one idle timeout that shows whether connections are reused.
const MIN_READS: f64 = 8.0;
/// Fraction of rejected requests above which the table is left full.
const FLOOD_REJECTION_RATE: f64 = 0.7;
/// Factor on the idle timeout in each control period in which cores are idle although the table is
/// left full.
const REOPEN_FACTOR: f64 = 0.9;
/// Fraction of busy cores below which cores count as idle and the table need not stay full.
const REOPEN_CPU_UTILIZATION: f64 = 0.7;
/// Time that requests wait unread, as a fraction of the tightest latency objective, above which the
/// server cannot read requests fast enough.
const UNREAD_PRESSURE: f64 = 0.1;
/// Factor on the idle timeout in each control period in which connections are rarely reused.
const SHRINK_FACTOR: f64 = 0.5;
/// Factor on the idle timeout in each control period in which most connections are reused, or in
/// which the table is left to fill up during a flood of requests.
const GROW_FACTOR: f64 = 2.0;

/// The idle timeout of connections and the measurements that it follows from.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    client_idle_timeout: Span,
    callers: f64,
    /// Current idle timeout, in seconds.
    idle_timeout_s: f64,
    /// Requests read in this control period.
    reads: f64,
    reads_per_s: Ewma,
    open_connections: f64,
    /// Until when the connection table is left full after requests waited unread.
    keep_full_until: Time,
}

/// Measurements of the server, other than of its connections, that the idle timeout depends on.
pub(crate) struct ServerPressure {
    /// Number of unfinished requests.
    pub requests: usize,
    /// Age of the server, in seconds.
    pub age_s: f64,
    /// Time that recent requests waited unread, as a fraction of the tightest latency objective.
    pub unread_delay: f64,
    /// Fraction of the cores that are busy; `None` if there is no such gauge.
    pub cpu_utilization: Option<f64>,
    /// Fraction of recent requests that were rejected.
    pub rejection_rate: f64,
}

impl IdleConnections {
    /// Creates the state of a server that leaves it to clients to close idle connections.
    pub fn new(settings: &Settings) -> IdleConnections {
        IdleConnections {
            client_idle_timeout: settings.client_idle_timeout,
            callers: settings.callers as f64,
            idle_timeout_s: settings.client_idle_timeout.secs(),
            reads: 0.0,
            reads_per_s: Ewma::default(),
            open_connections: 0.0,
            keep_full_until: Time::default(),
        }
    }

    /// Records that a request was read.
    pub fn record_read(&mut self) {
        self.reads += 1.0;
    }

    /// Records the number of open connections.
    pub fn set_open(&mut self, open_connections: f64) {
        self.open_connections = open_connections;
    }

    /// Ends a control period. Returns the new idle timeout, or `None` if it does not change.
    pub fn update(&mut self, now: Time, period_s: f64, pressure: &ServerPressure) -> Option<Span> {
        self.reads_per_s.add(self.reads / period_s, FAST_WEIGHT);
        self.reads = 0.0;
        let factor = self.factor(now, pressure);
        let idle_timeout_s = (self.idle_timeout_s * factor).min(self.client_idle_timeout.secs());
        if idle_timeout_s == self.idle_timeout_s {
            return None;
        }
        self.idle_timeout_s = idle_timeout_s;
        Some(Span::from_secs(idle_timeout_s))
    }

    /// Returns the factor by which the idle timeout changes.
    fn factor(&mut self, now: Time, pressure: &ServerPressure) -> f64 {
        let is_under_read_pressure = pressure.unread_delay > UNREAD_PRESSURE;
        if is_under_read_pressure {
            self.keep_full_until = now + self.client_idle_timeout;
        }
        // With open connections for half of the callers, no caller is prevented from connecting.
        let has_spare_connections = 2.0 * self.open_connections >= self.callers;
        if has_spare_connections || is_under_read_pressure {
            return f64::MAX;
        }
        let is_busy = pressure
            .cpu_utilization
            .is_none_or(|busy| busy >= REOPEN_CPU_UTILIZATION);
        if now < self.keep_full_until {
            return if is_busy { 1.0 } else { REOPEN_FACTOR };
        }
        if pressure.rejection_rate > FLOOD_REJECTION_RATE && is_busy {
            return GROW_FACTOR;
        }
        self.factor_for_reuse(pressure)
    }

    /// Returns the factor by which the idle timeout changes with the reuse of connections.
    fn factor_for_reuse(&self, pressure: &ServerPressure) -> f64 {
        let reads = self.reads_per_s.value() * self.idle_timeout_s.min(pressure.age_s);
        let idle = self.open_connections - pressure.requests as f64;
        let idle_per_read = idle / reads.max(1.0);
        if idle_per_read > MANY_IDLE_PER_READ && reads >= MIN_READS {
            SHRINK_FACTOR
        } else if idle_per_read < FEW_IDLE_PER_READ && reads >= FEW_IDLE_PER_READ * MIN_READS {
            GROW_FACTOR
        } else {
            1.0
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/idle_connections.rs"]
mod tests;
