//! Room for answers that wait for their readers, one budget over all fronts. The ledger decides who gives way;
//! here those are told.

use async_channel::{Receiver, Sender};
use heathspur_streams::ledger::{Bounds, Holder, Ledger, Part};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// The budget.
pub(crate) struct ResponseBudget {
    ledger: RefCell<Ledger>,
    /// How those that wait are told to give way; as many as the ledger knows.
    told: RefCell<HashMap<(Holder, Part), Sender<()>>>,
    next: Cell<u64>,
}

impl ResponseBudget {
    pub fn new(bounds: Bounds) -> Rc<ResponseBudget> {
        Rc::new(ResponseBudget {
            ledger: RefCell::new(Ledger::new(bounds)),
            told: RefCell::default(),
            next: Cell::new(1),
        })
    }

    fn number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        number
    }

    /// A connection, for the account.
    pub fn holder(&self) -> Holder {
        Holder(self.number())
    }

    /// So many bytes of a connection begin to wait; others, or they themselves, may have to give way for it.
    pub fn hold(self: &Rc<ResponseBudget>, holder: Holder, bytes: usize) -> Held {
        let part = Part(self.number());
        let (tell, told) = async_channel::bounded(1);
        self.told.borrow_mut().insert((holder, part), tell);
        let gone = self.ledger.borrow_mut().hold(holder, part, bytes as u64);
        for who in gone {
            if let Some(tell) = self.told.borrow_mut().remove(&who) {
                // There is room for the one thing that is ever told.
                let _ = tell.try_send(());
            }
        }
        Held {
            room: self.clone(),
            holder,
            part,
            told,
        }
    }
}

/// Bytes that wait; given back when it is dropped.
pub(crate) struct Held {
    room: Rc<ResponseBudget>,
    holder: Holder,
    part: Part,
    told: Receiver<()>,
}

impl Held {
    /// Ends when they have to give way.
    pub async fn crowded(&self) {
        // The other end stays until something was told, or this is dropped.
        let _ = self.told.recv().await;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room
            .told
            .borrow_mut()
            .remove(&(self.holder, self.part));
        self.room
            .ledger
            .borrow_mut()
            .give_back(self.holder, self.part);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/response_buffer.rs"]
mod tests;
