//! Permits for connections from load balancers: the limit on open connections, and the choice of the connection that is
//! evicted when another one needs its permit.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of permits reserved for new connections.
const MAX_RESERVED_PERMITS: usize = 16;
/// One permit in this many is reserved for new connections, up to [`MAX_RESERVED_PERMITS`].
const PERMITS_PER_RESERVED: usize = 4;
/// Time after which a new connection without a complete request loses its protection from eviction. Clients send the
/// first request immediately after they connect, in one or two TCP segments.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// What a connection was doing when it was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It was idle. It may stay open if a request has arrived since the decision.
    Idle,
    /// A part of a request had arrived.
    ReadingRequest,
    /// Its write side was shut down, and it was reading until the client closes.
    Lingering,
}

/// A connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction<T> {
    /// The handle that was passed for the connection.
    pub handle: T,
    /// What the connection was doing.
    pub phase: ConnectionPhase,
}

/// All permits, and the connections that can be evicted, each with a handle `T` by which the caller notifies it. Only
/// connections that wait for a request (idle) or linger before they are closed can be evicted.
#[derive(Debug)]
pub struct Permits<T> {
    acquired: usize,
    limit: usize,
    next_token: u64,
    /// Idle connections by token. Tokens ascend, so the connection that has been idle for longest is first.
    idle: BTreeMap<u64, IdleConnection<T>>,
    /// Connections by token whose write side is shut down and whose remaining input is discarded; the one that has
    /// lingered for longest is first. They end by themselves, at the latest after a timeout.
    lingering: BTreeMap<u64, T>,
}

#[derive(Debug)]
struct IdleConnection<T> {
    /// Whether a complete request has arrived on the connection.
    has_received_request: bool,
    /// Whether a part of the next request has arrived.
    reading_request: bool,
    idle_since: Duration,
    handle: T,
}

/// The order in which idle connections are evicted, first to last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// New, and [`FIRST_REQUEST_TIMEOUT`] has passed without any input.
    TimedOutWithoutInput,
    /// New, and [`FIRST_REQUEST_TIMEOUT`] has passed with only a part of a request.
    TimedOutInRequest,
    /// Between requests, or new.
    Idle,
    /// A part of a request has arrived. Evicted only if no permit is free and no lingering connection is left to free
    /// one.
    ReadingRequest,
}

impl<T> IdleConnection<T> {
    fn eviction_order(&self, now: Duration) -> EvictionOrder {
        let waiting = now.saturating_sub(self.idle_since);
        let timed_out = !self.has_received_request && waiting >= FIRST_REQUEST_TIMEOUT;
        match (timed_out, self.reading_request) {
            (true, false) => EvictionOrder::TimedOutWithoutInput,
            (true, true) => EvictionOrder::TimedOutInRequest,
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
    /// Creates `limit` permits, at least one.
    pub fn new(limit: usize) -> Permits<T> {
        Permits {
            acquired: 0,
            limit: limit.max(1),
            next_token: 0,
            idle: BTreeMap::new(),
            lingering: BTreeMap::new(),
        }
    }

    /// Returns the number of permits in use.
    pub fn acquired(&self) -> usize {
        self.acquired
    }

    /// Acquires a permit if one is free, and returns whether it did.
    pub fn try_acquire(&mut self) -> bool {
        let is_free = self.acquired < self.limit;
        self.acquired += usize::from(is_free);
        is_free
    }

    /// Releases an acquired permit.
    pub fn release(&mut self) {
        self.acquired = self.acquired.saturating_sub(1);
    }

    /// Registers a connection as idle: one that is new, or (`has_received_request`) one that has received a complete
    /// request. Returns a token that is valid while the connection is idle.
    pub fn mark_idle(&mut self, now: Duration, has_received_request: bool, handle: T) -> u64 {
        let token = self.allocate_token();
        self.idle.insert(
            token,
            IdleConnection {
                has_received_request,
                reading_request: false,
                idle_since: now,
                handle,
            },
        );
        token
    }

    /// Records that a part of a request has arrived on an idle connection. Does nothing if it was evicted.
    pub fn mark_reading(&mut self, token: u64) {
        if let Some(connection) = self.idle.get_mut(&token) {
            connection.reading_request = true;
        }
    }

    /// Removes a connection that is no longer idle. Does nothing if it was evicted.
    pub fn remove_idle(&mut self, token: u64) {
        self.idle.remove(&token);
    }

    /// Registers a connection as lingering before it is closed. Returns a token that is valid until it has ended.
    pub fn mark_lingering(&mut self, handle: T) -> u64 {
        let token = self.allocate_token();
        self.lingering.insert(token, handle);
        token
    }

    /// Removes a lingering connection that has ended. Does nothing if it was evicted.
    pub fn remove_lingering(&mut self, token: u64) {
        self.lingering.remove(&token);
    }

    /// Returns whether fewer permits are free than are reserved for new connections.
    pub fn is_scarce(&self) -> bool {
        self.free() < self.reserved()
    }

    /// Selects connections to evict. The first is a lingering one, if no permit is free; the second is an idle one, if
    /// too few permits will be free even once all other lingering connections have ended. Each connection is selected
    /// at most once.
    pub fn evict(&mut self, now: Duration) -> [Option<Eviction<T>>; 2] {
        let lingering = if self.free() == 0 {
            self.evict_lingering()
        } else {
            None
        };
        let soon_free = self.free() + self.lingering.len();
        if soon_free >= self.reserved() {
            return [lingering, None];
        }
        [lingering, self.evict_idle(now, soon_free == 0)]
    }

    fn free(&self) -> usize {
        self.limit - self.acquired
    }

    fn reserved(&self) -> usize {
        MAX_RESERVED_PERMITS.min(self.limit / PERMITS_PER_RESERVED)
    }

    fn evict_lingering(&mut self) -> Option<Eviction<T>> {
        let (_, handle) = self.lingering.pop_first()?;
        Some(Eviction {
            handle,
            phase: ConnectionPhase::Lingering,
        })
    }

    /// Evicts the first idle connection in eviction order. One that is [`EvictionOrder::ReadingRequest`] is evicted
    /// only if `must_evict`.
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
