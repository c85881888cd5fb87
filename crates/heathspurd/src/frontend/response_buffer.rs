//! The memory budget for answers that wait for slow readers, shared by all frontends.
//!
//! The ledger decides which answers have to be dropped; this module delivers the decision to those that hold them.

use async_channel::{Receiver, Sender};
use heathspur_streams::response_memory::{
    ConnectionKey, MemoryLimits, ResponseKey, ResponseMemory,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The budget. Owns the ledger and a channel to each reservation in it.
pub(crate) struct ResponseBudget {
    ledger: RefCell<ResponseMemory>,
    /// Notifies a reservation of its eviction; one entry for each that the ledger holds.
    evictions: RefCell<HashMap<(ConnectionKey, ResponseKey), Sender<()>>>,
    next_number: Cell<u64>,
}

impl ResponseBudget {
    pub fn new(bounds: MemoryLimits) -> Rc<ResponseBudget> {
        Rc::new(ResponseBudget {
            ledger: RefCell::new(ResponseMemory::new(bounds)),
            evictions: RefCell::default(),
            next_number: Cell::new(1),
        })
    }

    fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Identifies a connection in the ledger.
    pub fn new_holder(&self) -> ConnectionKey {
        ConnectionKey(self.next_number())
    }

    /// Reserves memory for bytes of a connection that wait to be read. Other reservations, or this one, may be evicted
    /// for it.
    pub fn reserve(self: &Rc<ResponseBudget>, holder: ConnectionKey, bytes: usize) -> Reservation {
        let part = ResponseKey(self.next_number());
        let (evict, evicted) = async_channel::bounded(1);
        self.evictions.borrow_mut().insert((holder, part), evict);
        let evictions = self.ledger.borrow_mut().reserve(holder, part, bytes as u64);
        for reservation in evictions {
            self.evict(reservation);
        }
        Reservation {
            budget: self.clone(),
            holder,
            part,
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

/// Memory reserved for waiting bytes; released when it is dropped.
pub(crate) struct Reservation {
    budget: Rc<ResponseBudget>,
    holder: ConnectionKey,
    part: ResponseKey,
    evicted: Receiver<()>,
}

impl Reservation {
    /// Waits until the bytes have to be dropped.
    pub async fn evicted(&self) {
        // The sender exists until a notification was sent or the reservation is dropped.
        let _ = self.evicted.recv().await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let key = (self.holder, self.part);
        self.budget.evictions.borrow_mut().remove(&key);
        self.budget
            .ledger
            .borrow_mut()
            .release(self.holder, self.part);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/response_buffer.rs"]
mod tests;
