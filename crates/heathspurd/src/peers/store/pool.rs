//! The pool of connections to the store: a bounded number of slots, and the idle connections that may be reused.

use crate::peers::store::connection::Connection;
use crate::peers::store::Call;
use crate::recording::RecorderHandle;
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Owns the idle connections and the slots. The total number of busy and idle connections never exceeds the number of
/// slots.
pub(super) struct Pool {
    /// The idle connections, least recently used first.
    idle: RefCell<VecDeque<Connection>>,
    returned_slots: Sender<()>,
    free_slots: Receiver<()>,
    recorder: Option<Rc<RecorderHandle>>,
    /// Whether calls go to several addresses at the same time, so that an idle connection to another address than the
    /// current call's is retained.
    multiple_addresses: bool,
}

impl Pool {
    /// Creates a pool with `max_connections` slots, at least one.
    pub fn new(
        max_connections: usize,
        multiple_addresses: bool,
        recorder: Option<Rc<RecorderHandle>>,
    ) -> Pool {
        let (returned_slots, free_slots) = async_channel::bounded(max_connections.max(1));
        while returned_slots.try_send(()).is_ok() {}
        Pool {
            idle: RefCell::default(),
            returned_slots,
            free_slots,
            recorder,
            multiple_addresses,
        }
    }

    /// Waits for a free slot. Each call occupies one for its connection.
    pub async fn acquire_slot(&self) -> Slot<'_> {
        // The pool owns both ends of the channel, so it is never closed.
        let _ = self.free_slots.recv().await;
        Slot(&self.returned_slots)
    }

    /// Returns a connection for a call: the most recently used idle one that can carry it, or a new one. Fails if a new
    /// connection is not established within `timeout`. The caller must occupy a slot.
    pub async fn connect(
        &self,
        call: &Call,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Connection> {
        match self.take_idle(call, address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, timeout, self.recorder.as_ref()).await,
        }
    }

    /// Takes the most recently used idle connection that can carry the call. If there is none, closes as many idle
    /// connections as needed for a new one. In either case, connections that can no longer be reused are closed.
    fn take_idle(&self, call: &Call, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            (connection.address() == address || self.multiple_addresses) && connection.is_recent()
        });
        let reusable = match call.new_connection {
            true => None,
            false => idle
                .iter()
                .rposition(|connection| connection.can_carry(call.attempt, address))
                .and_then(|index| idle.remove(index)),
        };
        if reusable.is_none() {
            // Without a free slot, the new connection replaces the least recently used idle one.
            while idle.len() > self.free_slots.len() {
                idle.pop_front();
            }
        }
        reusable
    }

    /// Adds a connection to the idle ones, and closes the least recently used one if there is no slot for it. The caller
    /// must still occupy the connection's slot.
    pub fn put_back(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        idle.push_back(connection);
        // The caller's slot, which is not free yet, counts as well.
        while idle.len() > self.free_slots.len() + 1 {
            idle.pop_front();
        }
    }

    /// Closes the connections whose reuse window has passed.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(Connection::is_recent);
    }
}

/// An occupied slot of the pool. Dropping it frees the slot.
pub(super) struct Slot<'a>(&'a Sender<()>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        // The channel has capacity for all slots.
        let _ = self.0.try_send(());
    }
}
