//! The permits of connections from load balancers: how many connections there may be, and which one is evicted when
//! another needs its permit.

use std::collections::BTreeMap;
use std::time::Duration;

/// Permits kept free for new connections.
const MAX_RESERVED_PERMITS: usize = 16;
/// At most this part of all permits is reserved: a quarter.
const RESERVED_PART: usize = 4;
/// A new connection without a complete request after this time loses its protection from eviction: a first request
/// immediately follows its connection, in one segment or two.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// What a connection was doing when it was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It was idle. A request that has arrived since is a reason to stay.
    Idle,
    /// A part of a request had arrived.
    ReadingRequest,
    /// It was lingering before its close.
    Lingering,
}

/// A connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction<T> {
    /// The handle passed with the connection.
    pub handle: T,
    /// What the connection was doing.
    pub phase: ConnectionPhase,
}

/// All permits, and the connections that can be evicted, each with a handle `T` to notify it. Only connections that
/// wait for a request (idle) or linger before their close can be evicted.
#[derive(Debug)]
pub struct Permits<T> {
    acquired: usize,
    limit: usize,
    next_token: u64,
    /// The token grows with the time at which the connection became idle: the longest idle is first.
    idle: BTreeMap<u64, IdleConnection<T>>,
    /// Connections that shut down their write side and drain what still arrives; the longest lingering is first. They
    /// end by themselves.
    lingering: BTreeMap<u64, T>,
}

#[derive(Debug)]
struct IdleConnection<T> {
    /// A complete request arrived earlier.
    served_request: bool,
    /// A part of a request has arrived.
    reading_request: bool,
    since: Duration,
    handle: T,
}

/// The order in which idle connections are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// Nothing arrived before the first request's timeout.
    SilentPastTimeout,
    /// Only a part of a request arrived before the first request's timeout.
    SlowPastTimeout,
    /// Between requests, or new.
    Idle,
    /// In the middle of a request: evicted only if no permit is left.
    ReadingRequest,
}

impl<T> IdleConnection<T> {
    fn eviction_order(&self, now: Duration) -> EvictionOrder {
        let waiting = now.saturating_sub(self.since);
        let past_timeout = !self.served_request && waiting >= FIRST_REQUEST_TIMEOUT;
        match (past_timeout, self.reading_request) {
            (true, false) => EvictionOrder::SilentPastTimeout,
            (true, true) => EvictionOrder::SlowPastTimeout,
            (false, false) => EvictionOrder::Idle,
            (false, true) => EvictionOrder::ReadingRequest,
        }
    }

    fn into_eviction(self) -> Eviction<T> {
        let phase = if self.reading_request {
            ConnectionPhase::ReadingRequest
        } else {
            ConnectionPhase::Idle
        };
        Eviction {
            handle: self.handle,
            phase,
        }
    }
}

impl<T> Permits<T> {
    /// Creates so many permits, at least one.
    pub fn new(limit: usize) -> Permits<T> {
        Permits {
            acquired: 0,
            limit: limit.max(1),
            next_token: 0,
            idle: BTreeMap::new(),
            lingering: BTreeMap::new(),
        }
    }

    /// The number of permits in use.
    pub fn acquired(&self) -> usize {
        self.acquired
    }

    /// Acquires a permit if one is free.
    pub fn try_acquire(&mut self) -> bool {
        let is_free = self.acquired < self.limit;
        self.acquired += usize::from(is_free);
        is_free
    }

    /// Releases an acquired permit.
    pub fn release(&mut self) {
        self.acquired = self.acquired.saturating_sub(1);
    }

    /// Registers a connection as idle, after a complete request or as a new one. Returns its token while it is idle.
    pub fn mark_idle(&mut self, now: Duration, served_request: bool, handle: T) -> u64 {
        let token = self.allocate_token();
        self.idle.insert(
            token,
            IdleConnection {
                served_request,
                reading_request: false,
                since: now,
                handle,
            },
        );
        token
    }

    /// Records that a part of a request has arrived on the idle connection.
    pub fn mark_reading(&mut self, token: u64) {
        if let Some(connection) = self.idle.get_mut(&token) {
            connection.reading_request = true;
        }
    }

    /// Removes a connection that is no longer idle; no effect if it was evicted already.
    pub fn remove_idle(&mut self, token: u64) {
        self.idle.remove(&token);
    }

    /// Registers a connection as lingering before its close. Returns its token until it has ended.
    pub fn mark_lingering(&mut self, handle: T) -> u64 {
        let token = self.allocate_token();
        self.lingering.insert(token, handle);
        token
    }

    /// Removes a lingering connection that has ended; no effect if it was evicted already.
    pub fn remove_lingering(&mut self, token: u64) {
        self.lingering.remove(&token);
    }

    /// Whether fewer permits are free than are reserved for new connections.
    pub fn is_scarce(&self) -> bool {
        self.free() < self.reserve()
    }

    /// Selects the connections to evict, in order, if permits are scarce or about to be: a lingering one if no permit
    /// is free, and an idle one. A connection is selected once only.
    pub fn evict(&mut self, now: Duration) -> [Option<Eviction<T>>; 2] {
        let lingering = if self.free() == 0 {
            self.evict_lingering()
        } else {
            None
        };
        let soon_free = self.free() + self.lingering.len();
        if soon_free >= self.reserve() {
            return [lingering, None];
        }
        [lingering, self.evict_idle(now, soon_free == 0)]
    }

    fn free(&self) -> usize {
        self.limit - self.acquired
    }

    fn reserve(&self) -> usize {
        MAX_RESERVED_PERMITS.min(self.limit / RESERVED_PART)
    }

    fn evict_lingering(&mut self) -> Option<Eviction<T>> {
        let (_, handle) = self.lingering.pop_first()?;
        Some(Eviction {
            handle,
            phase: ConnectionPhase::Lingering,
        })
    }

    /// Evicts the first idle connection in eviction order; one in the middle of a request only if `must_evict`.
    fn evict_idle(&mut self, now: Duration, must_evict: bool) -> Option<Eviction<T>> {
        let (order, token) = self
            .idle
            .iter()
            .map(|(&token, connection)| (connection.eviction_order(now), token))
            .min()?;
        if order == EvictionOrder::ReadingRequest && !must_evict {
            return None;
        }
        self.idle.remove(&token).map(IdleConnection::into_eviction)
    }

    fn allocate_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        token
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection_permits.rs"]
mod tests;
