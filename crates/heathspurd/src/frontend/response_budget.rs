//! The memory budget for responses that clients have not read yet, shared by all frontends.
//!
//! [`ResponseMemory`] decides which responses have to be dropped; this module notifies the tasks that send them.

use async_channel::{Receiver, Sender};
use heathspur_streams::response_memory::{
    ConnectionKey, MemoryLimits, ResponseKey, ResponseMemory,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The memory budget, with a channel to notify each reservation of its eviction.
pub(crate) struct ResponseBudget {
    memory: RefCell<ResponseMemory>,
    /// Notifies a reservation of its eviction. Has an entry for each response in `memory`.
    evictions: RefCell<HashMap<(ConnectionKey, ResponseKey), Sender<()>>>,
    /// The next key of a connection or response.
    next_key: Cell<u64>,
}

impl ResponseBudget {
    /// Creates a budget without reservations.
    pub fn new(limits: MemoryLimits) -> Rc<ResponseBudget> {
        Rc::new(ResponseBudget {
            memory: RefCell::new(ResponseMemory::new(limits)),
            evictions: RefCell::default(),
            next_key: Cell::new(1),
        })
    }

    fn next_key(&self) -> u64 {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        key
    }

    /// Returns a key that identifies a connection in the budget.
    pub fn new_connection_key(&self) -> ConnectionKey {
        ConnectionKey(self.next_key())
    }

    /// Reserves memory for a response of which `bytes` bytes wait to be read. Other reservations, or this one, may be
    /// evicted to stay within the limits.
    pub fn reserve(
        self: &Rc<ResponseBudget>,
        connection: ConnectionKey,
        bytes: usize,
    ) -> Reservation {
        let response = ResponseKey(self.next_key());
        let (evict, evicted) = async_channel::bounded(1);
        self.evictions
            .borrow_mut()
            .insert((connection, response), evict);
        let dropped = self
            .memory
            .borrow_mut()
            .reserve(connection, response, bytes as u64);
        for reservation in dropped {
            self.evict(reservation);
        }
        Reservation {
            budget: self.clone(),
            connection,
            response,
            evicted,
        }
    }

    fn evict(&self, reservation: (ConnectionKey, ResponseKey)) {
        if let Some(evict) = self.evictions.borrow_mut().remove(&reservation) {
            // The channel has capacity for the one notification that is ever sent.
            let _ = evict.try_send(());
        }
    }
}

/// Memory reserved for the unread bytes of a response. Dropping it releases the memory.
pub(crate) struct Reservation {
    budget: Rc<ResponseBudget>,
    connection: ConnectionKey,
    response: ResponseKey,
    evicted: Receiver<()>,
}

impl Reservation {
    /// Waits until the response has to be dropped.
    pub async fn evicted(&self) {
        // The sender exists until it has sent the notification, so an error also means that the response was dropped.
        let _ = self.evicted.recv().await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let key = (self.connection, self.response);
        self.budget.evictions.borrow_mut().remove(&key);
        self.budget
            .memory
            .borrow_mut()
            .release(self.connection, self.response);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/response_budget.rs"]
mod tests;
