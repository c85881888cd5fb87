//! Limits on the memory of responses that clients have not read yet, per connection and in total.
//!
//! When the total is exceeded, the oldest response of the connection that uses the most memory is
//! dropped, so that a client that does not read loses its own responses and not those of others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// Identifies a response of a connection. A connection uses each key once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseKey(pub u64);

/// Unread responses of one connection.
#[derive(Clone, Debug, Default)]
struct ConnectionUsage {
    /// Bytes of all `responses`.
    bytes: u64,
    /// Responses with their sizes in bytes, oldest first.
    responses: VecDeque<(ResponseKey, u64)>,
}

/// Limits on unread responses, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Limit of one connection.
    pub per_connection: u64,
    /// Limit of all connections together.
    pub total: u64,
}

/// Accounts for the memory of all unread responses.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    limits: MemoryLimits,
    used_bytes: u64,
    /// Connections that have unread responses.
    connections: BTreeMap<ConnectionKey, ConnectionUsage>,
    /// The same connections, in ascending order of the bytes that they use.
    by_usage: BTreeSet<(u64, ConnectionKey)>,
}

impl ResponseMemory {
    /// Creates the accounting without any responses.
    pub fn new(limits: MemoryLimits) -> ResponseMemory {
        ResponseMemory {
            limits,
            used_bytes: 0,
            connections: BTreeMap::new(),
            by_usage: BTreeSet::new(),
        }
    }

    /// Returns the memory of all unread responses, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Adds a response and returns the responses that have to be dropped to stay within the limits,
    /// in the order of dropping. They are already released here. The new response can be among
    /// them.
    pub fn reserve(
        &mut self,
        connection: ConnectionKey,
        response: ResponseKey,
        bytes: u64,
    ) -> Vec<(ConnectionKey, ResponseKey)> {
        self.update(connection, |usage| {
            usage.bytes += bytes;
            usage.responses.push_back((response, bytes));
        });
        let mut dropped = Vec::new();
        while self.exceeds_connection_limit(connection) {
            dropped.extend(self.drop_oldest(connection));
        }
        while self.used_bytes > self.limits.total {
            let Some(&(_, largest)) = self.by_usage.last() else {
                break;
            };
            dropped.extend(self.drop_oldest(largest));
        }
        dropped
    }

    /// Releases a response that was read. Does nothing if the response was dropped before.
    pub fn release(&mut self, connection: ConnectionKey, response: ResponseKey) {
        self.update(connection, |usage| {
            let position = usage.responses.iter().position(|(key, _)| *key == response);
            if let Some((_, bytes)) = position.and_then(|index| usage.responses.remove(index)) {
                usage.bytes -= bytes;
            }
        });
    }

    fn exceeds_connection_limit(&self, connection: ConnectionKey) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(|usage| usage.bytes > self.limits.per_connection)
    }

    fn drop_oldest(&mut self, connection: ConnectionKey) -> Option<(ConnectionKey, ResponseKey)> {
        let mut dropped = None;
        self.update(connection, |usage| {
            if let Some((response, bytes)) = usage.responses.pop_front() {
                usage.bytes -= bytes;
                dropped = Some((connection, response));
            }
        });
        dropped
    }

    /// Applies a change to a connection's usage and updates the total and the order by usage with
    /// it.
    fn update(&mut self, connection: ConnectionKey, change: impl FnOnce(&mut ConnectionUsage)) {
        let usage = self.connections.entry(connection).or_default();
        let bytes_before = usage.bytes;
        change(usage);
        let bytes_after = usage.bytes;
        let is_empty = usage.responses.is_empty();
        self.used_bytes = self.used_bytes - bytes_before + bytes_after;
        self.by_usage.remove(&(bytes_before, connection));
        if is_empty {
            self.connections.remove(&connection);
        } else {
            self.by_usage.insert((bytes_after, connection));
        }
    }
}
