//! Admission of infrequent calls.
//!
//! A share of the dependency can be too small to pay for one slow call in each averaging window.
//! Such a server draws by lot, once per window, whether it may call in that window. The chance is
//! so low that the calls of all servers are expected to stay within the sum of the shares, even if
//! requests reach all servers at the same time after an idle period and the dependency then answers
//! no call before its timeout.

use super::RESERVED_FOR_REQUIRED_CALLS;
use crate::random::Random;
use crate::time::{Span, Time};

/// Number of standard deviations by which the number of calling servers may exceed its mean before
/// their calls exceed the sum of the shares.
const LOAD_DEVIATIONS: f64 = 2.5;
/// Mean number of calling servers in a window that the shares need not pay for with a margin. A
/// fleet whose shares pay for a single call would make almost none otherwise.
const MIN_EXPECTED_SERVERS: f64 = 0.5;
/// Longest interval in which each server has a turn without a lot, in averaging windows.
const MAX_TURN_WINDOWS: f64 = 5.0;
/// Time in which a call may start that needs no lot or follows a successful call, as a fraction of
/// the averaging window.
const SLOT_WINDOW_FRACTION: f64 = 0.25;

/// A fleet of servers with equal shares of a dependency.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fleet {
    /// Number of servers.
    pub servers: f64,
    /// Capacity share of each server, as a mean number of calls in flight.
    pub capacity_share: f64,
    /// Window over which the calls in flight are averaged, in seconds.
    pub averaging_window_s: f64,
}

impl Fleet {
    /// Returns the chance with which a server may call in a window if it then uses
    /// `window_call_s` call seconds.
    fn chance(&self, window_call_s: f64) -> f64 {
        if self.is_single_server() {
            return 1.0;
        }
        let capacity_s = self.servers * self.capacity_share * self.averaging_window_s;
        let affordable = capacity_s / window_call_s;
        let expected = self
            .expected_servers(affordable)
            .max(affordable.min(MIN_EXPECTED_SERVERS));
        expected / self.servers
    }

    /// Returns the time between two lots, in seconds. A single server needs no lots: its calls
    /// cannot coincide with those of others, so that it only has to space them.
    fn lot_interval_s(&self, window_call_s: f64) -> f64 {
        if self.is_single_server() {
            window_call_s / self.capacity_share
        } else {
            self.averaging_window_s
        }
    }

    fn is_single_server(&self) -> bool {
        self.servers <= 1.0
    }

    /// Returns the mean of a binomially distributed number of servers that is [`LOAD_DEVIATIONS`]
    /// standard deviations below `limit`.
    fn expected_servers(&self, limit: f64) -> f64 {
        // The solution of: mean + deviations * sqrt(mean * (1 - mean / servers)) = limit.
        let variance = LOAD_DEVIATIONS * LOAD_DEVIATIONS;
        let quadratic = 1.0 + variance / self.servers;
        let linear = 2.0 * limit + variance;
        let discriminant = linear * linear - 4.0 * quadratic * limit * limit;
        (linear - discriminant.max(0.0).sqrt()) / (2.0 * quadratic)
    }
}

/// The lots of one server.
#[derive(Debug)]
pub(super) struct InfrequentCalls {
    fleet: Fleet,
    /// The lot of the current window, at least 0 and below 1. The server may call if it is below
    /// the chance.
    lot: f64,
    /// Set if the next call needs no lot: the first after the start, or one after a rejection. All
    /// servers have such a turn in an interval of this length.
    turn_interval_s: Option<f64>,
    /// Least time from the start of the current window to the next lot, in seconds.
    least_interval_s: f64,
    /// When the next lot may be drawn.
    next_lot_at: Time,
    /// Until when a part of the chance is reserved for calls that cannot be skipped.
    reserved_until: Time,
    /// Whether the window's first call has started.
    has_called: bool,
    /// Call seconds used in the current window.
    used_s: f64,
    /// Until when another call may follow the latest, if that succeeded.
    may_follow_until: Option<Time>,
}

impl InfrequentCalls {
    /// Creates the state of a server that has made no calls.
    pub fn new(fleet: Fleet) -> InfrequentCalls {
        InfrequentCalls {
            fleet,
            lot: 1.0,
            turn_interval_s: None,
            least_interval_s: 0.0,
            next_lot_at: Time::default(),
            reserved_until: Time::default(),
            has_called: false,
            used_s: 0.0,
            may_follow_until: None,
        }
    }

    /// Draws the time of the first call, which needs no lot: after a random part of `interval_s`. If
    /// that is very long, the server draws lots instead, after a random part of a window.
    pub fn delay_first_call(&mut self, now: Time, interval_s: f64, random: &mut Random) {
        let window_s = self.fleet.averaging_window_s;
        let has_turn = interval_s <= MAX_TURN_WINDOWS * window_s;
        let longest_s = if has_turn { interval_s } else { window_s };
        let delay_s = random.next_fraction() * longest_s;
        self.next_lot_at = now + Span::from_secs(delay_s);
        self.turn_interval_s = has_turn.then_some(interval_s);
    }

    /// Returns whether the first call of a window may start now, if the server then uses
    /// `window_call_s` call seconds in the window. Draws a lot if the last window has ended.
    pub fn may_call(
        &mut self,
        now: Time,
        can_skip: bool,
        window_call_s: f64,
        random: &mut Random,
    ) -> bool {
        if now >= self.next_lot_at {
            // A turn that no request has used lapses: after an idle period all servers would have one.
            let turn = self.turn_interval_s.take();
            let turn = turn.filter(|_| now <= self.next_lot_at + self.slot());
            // Lots begin once the other servers have had their turns.
            self.least_interval_s = turn.unwrap_or_default();
            self.lot = match turn {
                Some(_) => 0.0,
                None => random.next_fraction(),
            };
            self.begin_window(now, window_call_s);
        }
        let reserved = if can_skip && now < self.reserved_until {
            RESERVED_FOR_REQUIRED_CALLS
        } else {
            0.0
        };
        let chance = (1.0 - reserved) * self.fleet.chance(window_call_s);
        !self.has_called && self.lot < chance
    }

    /// Returns the call seconds used in the current window if another call may follow the latest:
    /// the success of that call shows that the dependency is not slow.
    pub fn used_before_follow_up_s(&self, now: Time) -> Option<f64> {
        let may_follow = self.may_follow_until.is_some_and(|until| now <= until);
        may_follow.then_some(self.used_s)
    }

    /// Records the start of a call that uses at most `call_s` call seconds. The window begins with
    /// its first call.
    pub fn record_start(&mut self, now: Time, call_s: f64) {
        if !self.has_called || now >= self.next_lot_at {
            self.begin_window(now, call_s);
        }
        self.has_called = true;
        self.may_follow_until = None;
    }

    /// Records the end of a call that is charged `call_s` call seconds.
    pub fn record_end(&mut self, now: Time, has_succeeded: bool, call_s: f64) {
        self.used_s += call_s;
        let may_follow = has_succeeded && self.least_interval_s == 0.0;
        self.may_follow_until = may_follow.then_some(now + self.slot());
    }

    /// Records that the latest call was rejected, so that the server has not used its turn. Its next
    /// call needs no lot and may start after `interval_s`; servers whose calls are spread stay so.
    pub fn record_rejection(&mut self, now: Time, interval_s: f64) {
        if interval_s <= MAX_TURN_WINDOWS * self.fleet.averaging_window_s {
            self.next_lot_at = now + Span::from_secs(interval_s);
            self.turn_interval_s = Some(interval_s);
        }
    }

    /// Returns the time in which a turn may be used.
    fn slot(&self) -> Span {
        Span::from_secs(SLOT_WINDOW_FRACTION * self.fleet.averaging_window_s)
    }

    fn begin_window(&mut self, now: Time, window_call_s: f64) {
        let lot_interval_s = self.fleet.lot_interval_s(window_call_s);
        let interval_s = lot_interval_s.max(self.least_interval_s);
        let reserved_s = RESERVED_FOR_REQUIRED_CALLS * interval_s;
        self.next_lot_at = now + Span::from_secs(interval_s);
        self.reserved_until = now + Span::from_secs(reserved_s);
        self.has_called = false;
        self.used_s = 0.0;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/infrequent_calls.rs"]
mod tests;
