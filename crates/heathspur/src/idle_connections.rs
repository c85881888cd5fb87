//! How long idle client connections stay open.
//!
//! Connections that rarely serve a second request are closed early, since a full connection table
//! takes processor time and keeps callers out. In a flood a full table is kept on purpose: it
//! rejects work at no cost. The table stays full for one idle timeout after requests had to wait
//! unread, since accepting and reading would compete with running work, and opens again while
//! cores are idle.

use crate::ewma::{Ewma, FAST_WEIGHT};
use crate::settings::Settings;
use crate::time::{Span, Time};

/// Idle connections per request read in one idle time, above which most serve one request only.
const MANY_IDLE_PER_READ: f64 = 0.5;
/// Idle connections per request read in one idle time, below which most are reused.
const FEW_IDLE_PER_READ: f64 = 0.2;
/// Requests read in one idle time that are enough to judge by.
const MIN_READS: f64 = 8.0;
/// Fraction of rejected requests above which the table is kept full.
const FLOOD_REJECTION_RATE: f64 = 0.7;
/// Factor on the idle time in each period in which a full table opens again.
const REOPEN_FACTOR: f64 = 0.9;
/// Fraction of busy cores below which a full table opens again.
const REOPEN_CPU_UTILIZATION: f64 = 0.7;
/// Time that requests wait unread, as a fraction of the tightest objective, above which reading
/// is under pressure.
const UNREAD_PRESSURE: f64 = 0.1;
const SHRINK_FACTOR: f64 = 0.5;
const GROW_FACTOR: f64 = 2.0;

/// The idle time that connections are granted.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    client_idle_timeout: Span,
    callers: f64,
    /// Idle time granted now, in seconds.
    idle_time_s: f64,
    /// Requests read in this control period.
    reads: f64,
    reads_per_s: Ewma,
    open_connections: f64,
    keep_full_until: Time,
}

/// What the decision on idle connections depends on beside their own state.
pub(crate) struct ServerPressure {
    /// Requests in the server.
    pub requests: usize,
    /// Age of the server, in seconds.
    pub age_s: f64,
    /// Time that recent requests waited unread, as a fraction of the tightest objective.
    pub unread_delay: f64,
    /// Fraction of the cores that are busy; `None` without such a gauge.
    pub cpu_utilization: Option<f64>,
    /// Fraction of recent requests that were rejected.
    pub rejection_rate: f64,
}

impl IdleConnections {
    /// Creates the state of a server whose connections stay as long as their clients leave them.
    pub fn new(settings: &Settings) -> IdleConnections {
        IdleConnections {
            client_idle_timeout: settings.client_idle_timeout,
            callers: settings.callers as f64,
            idle_time_s: settings.client_idle_timeout.secs(),
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

    /// Ends a control period; returns the idle time to grant if it changes.
    pub fn update(&mut self, now: Time, period_s: f64, pressure: &ServerPressure) -> Option<Span> {
        self.reads_per_s.add(self.reads / period_s, FAST_WEIGHT);
        self.reads = 0.0;
        let factor = self.factor(now, pressure);
        let idle_time_s = (self.idle_time_s * factor).min(self.client_idle_timeout.secs());
        if idle_time_s == self.idle_time_s {
            return None;
        }
        self.idle_time_s = idle_time_s;
        Some(Span::from_secs(idle_time_s))
    }

    /// Returns the factor on the granted idle time.
    fn factor(&mut self, now: Time, pressure: &ServerPressure) -> f64 {
        let is_under_read_pressure = pressure.unread_delay > UNREAD_PRESSURE;
        if is_under_read_pressure {
            self.keep_full_until = now + self.client_idle_timeout;
        }
        // With a connection for every other caller no caller is kept out.
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

    /// Returns the factor by how often idle connections are reused.
    fn factor_for_reuse(&self, pressure: &ServerPressure) -> f64 {
        let reads = self.reads_per_s.value() * self.idle_time_s.min(pressure.age_s);
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
