//! The store's connections: a bounded number of slots, and the idle connections that may be reused.

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

/// Owns the idle connections and the slots. Busy and idle connections together never exceed the slots.
pub(super) struct Pool {
    /// In the order in which they became idle.
    idle: RefCell<VecDeque<Connection>>,
    returned_slots: Sender<()>,
    free_slots: Receiver<()>,
    recorder: Option<Rc<RecorderHandle>>,
    /// Calls go to several addresses at once, so a connection to another address stays useful.
    several_addresses: bool,
}

impl Pool {
    pub fn new(
        max_connections: usize,
        several_addresses: bool,
        recorder: Option<Rc<RecorderHandle>>,
    ) -> Pool {
        let (returned_slots, free_slots) = async_channel::bounded(max_connections.max(1));
        while returned_slots.try_send(()).is_ok() {}
        Pool {
            idle: RefCell::default(),
            returned_slots,
            free_slots,
            recorder,
            several_addresses,
        }
    }

    /// Waits for a slot, which a call needs for its connection.
    pub async fn acquire_slot(&self) -> Slot<'_> {
        // The pool owns both ends of the channel, so it is never closed.
        let _ = self.free_slots.recv().await;
        Slot(&self.returned_slots)
    }

    /// A connection for a call: the idle one that was used last, else a new one.
    pub async fn connect(
        &self,
        call: &Call,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Connection> {
        match self.take_idle(call, address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, limit, self.recorder.as_ref()).await,
        }
    }

    fn take_idle(&self, call: &Call, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            (connection.address() == address || self.several_addresses) && connection.is_recent()
        });
        let reusable = match call.new_connection {
            true => None,
            false => idle
                .iter()
                .rposition(|connection| connection.can_carry(call.attempt, address))
                .and_then(|index| idle.remove(index)),
        };
        if reusable.is_none() {
            // The new connection replaces an idle one where no slot is free.
            while idle.len() > self.free_slots.len() {
                idle.pop_front();
            }
        }
        reusable
    }

    /// Keeps a connection for reuse. The caller still occupies its slot.
    pub fn put_back(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        idle.push_back(connection);
        while idle.len() > self.free_slots.len() + 1 {
            idle.pop_front();
        }
    }

    /// Closes the connections whose reuse window has passed.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(Connection::is_recent);
    }
}

/// A connection's slot; returned when it is dropped.
pub(super) struct Slot<'a>(&'a Sender<()>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        // The channel has capacity for all slots.
        let _ = self.0.try_send(());
    }
}
