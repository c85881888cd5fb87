//! Memory of responses that wait to be read: one budget over all connections.
//!
//! When the budget is exceeded, the oldest response of the connection that uses the most is dropped,
//! so that a stalled reader pays for itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// Identifies a response of a connection. A connection uses each key once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseKey(pub u64);

#[derive(Clone, Debug, Default)]
struct Account {
    bytes: u64,
    /// Responses with their bytes, oldest first.
    responses: VecDeque<(ResponseKey, u64)>,
}

/// Limits on unread responses, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Of one connection.
    pub per_connection: u64,
    /// Of all connections together.
    pub total: u64,
}

/// The memory of all unread responses.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    limits: MemoryLimits,
    used_bytes: u64,
    accounts: BTreeMap<ConnectionKey, Account>,
    /// Connections by the bytes that they use, ascending.
    by_usage: BTreeSet<(u64, ConnectionKey)>,
}

impl ResponseMemory {
    /// Creates an empty budget.
    pub fn new(limits: MemoryLimits) -> ResponseMemory {
        ResponseMemory {
            limits,
            used_bytes: 0,
            accounts: BTreeMap::new(),
            by_usage: BTreeSet::new(),
        }
    }

    /// Returns the bytes of all unread responses.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Adds a response, and returns the responses to drop for it, in order. Their bytes are released
    /// already. The new response can be among them.
    pub fn reserve(
        &mut self,
        connection: ConnectionKey,
        response: ResponseKey,
        bytes: u64,
    ) -> Vec<(ConnectionKey, ResponseKey)> {
        self.change(connection, |account| {
            account.bytes += bytes;
            account.responses.push_back((response, bytes));
        });
        let mut dropped = Vec::new();
        while self.is_over_its_limit(connection) {
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

    /// Releases a response that was read. A response that was dropped is unknown and ignored.
    pub fn release(&mut self, connection: ConnectionKey, response: ResponseKey) {
        self.change(connection, |account| {
            let position = account
                .responses
                .iter()
                .position(|(known, _)| *known == response);
            if let Some((_, bytes)) = position.and_then(|at| account.responses.remove(at)) {
                account.bytes -= bytes;
            }
        });
    }

    fn is_over_its_limit(&self, connection: ConnectionKey) -> bool {
        self.accounts
            .get(&connection)
            .is_some_and(|account| account.bytes > self.limits.per_connection)
    }

    fn drop_oldest(&mut self, connection: ConnectionKey) -> Option<(ConnectionKey, ResponseKey)> {
        let mut dropped = None;
        self.change(connection, |account| {
            if let Some((response, bytes)) = account.responses.pop_front() {
                account.bytes -= bytes;
                dropped = Some((connection, response));
            }
        });
        dropped
    }

    /// Changes an account and keeps the total and the order by usage in step with it.
    fn change(&mut self, connection: ConnectionKey, change: impl FnOnce(&mut Account)) {
        let account = self.accounts.entry(connection).or_default();
        let before = account.bytes;
        change(account);
        let after = account.bytes;
        let is_empty = account.responses.is_empty();
        self.used_bytes = self.used_bytes - before + after;
        self.by_usage.remove(&(before, connection));
        if is_empty {
            self.accounts.remove(&connection);
        } else {
            self.by_usage.insert((after, connection));
        }
    }
}
