//! Memory for answers that wait for their readers, over all fronts: one budget, and who gives way when it is used
//! up. A stalled reader pays for itself: of the connections it is the one that holds most whose oldest answer goes.

use std::collections::{BTreeMap, VecDeque};

/// A connection, by any number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder(pub u64);

/// One answer of a connection, by any number that the connection uses once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u64);

#[derive(Clone, Debug, Default)]
struct Account {
    bytes: u64,
    /// Oldest first.
    parts: VecDeque<(Part, u64)>,
}

/// Bounds, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Of one connection.
    pub connection: u64,
    /// Of all.
    pub all: u64,
}

/// What waits to be read.
#[derive(Clone, Debug)]
pub struct Ledger {
    bounds: Bounds,
    held: u64,
    accounts: BTreeMap<Holder, Account>,
    /// Holders by bytes: the last one holds most.
    order: std::collections::BTreeSet<(u64, Holder)>,
}

impl Ledger {
    /// An empty one.
    pub fn new(bounds: Bounds) -> Ledger {
        Ledger {
            bounds,
            held: 0,
            accounts: BTreeMap::new(),
            order: Default::default(),
        }
    }

    /// Bytes that wait over all connections.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// An answer of so many bytes begins to wait. The answer is who gives way for it, in order; their bytes are
    /// given back already. It may be among them itself.
    pub fn hold(&mut self, holder: Holder, part: Part, bytes: u64) -> Vec<(Holder, Part)> {
        self.change(holder, |account| {
            account.bytes += bytes;
            account.parts.push_back((part, bytes));
        });
        let mut gone = Vec::new();
        while self
            .accounts
            .get(&holder)
            .is_some_and(|account| account.bytes > self.bounds.connection)
        {
            self.drop_oldest(holder, &mut gone);
        }
        while self.held > self.bounds.all {
            let Some(&(_, most)) = self.order.last() else {
                break;
            };
            self.drop_oldest(most, &mut gone);
        }
        gone
    }

    /// An answer waits no longer. One that gave way is not known any more, and nothing happens.
    pub fn give_back(&mut self, holder: Holder, part: Part) {
        self.change(holder, |account| {
            if let Some(at) = account.parts.iter().position(|(known, _)| *known == part) {
                let (_, bytes) = account.parts.remove(at).unwrap_or((part, 0));
                account.bytes -= bytes;
            }
        });
    }

    fn drop_oldest(&mut self, holder: Holder, gone: &mut Vec<(Holder, Part)>) {
        let mut dropped = None;
        self.change(holder, |account| {
            if let Some((part, bytes)) = account.parts.pop_front() {
                account.bytes -= bytes;
                dropped = Some(part);
            }
        });
        gone.extend(dropped.map(|part| (holder, part)));
    }

    fn change(&mut self, holder: Holder, change: impl FnOnce(&mut Account)) {
        let account = self.accounts.entry(holder).or_default();
        let before = account.bytes;
        change(account);
        let (after, empty) = (account.bytes, account.parts.is_empty());
        self.held = self.held - before + after;
        self.order.remove(&(before, holder));
        if empty {
            self.accounts.remove(&holder);
        } else {
            self.order.insert((after, holder));
        }
    }
}
