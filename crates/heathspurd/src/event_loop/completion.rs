//! Stage five: the one final answer of each request, and the one place where what a request held is given back.

use crate::event_loop::request_table::Work;
use crate::event_loop::state::Owner;
use crate::frontend::Answer;
use bytes::Bytes;
use heathspur::{Event, Outcome, RequestId};

impl Owner {
    /// Hands the answer to the request's front, once; later ones go nowhere.
    pub(crate) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.table.get_mut(id).and_then(|entry| entry.reply.take()) {
            // A front that closed the way back has told us, or will, that the caller is gone.
            let _ = reply.try_send(answer);
        }
    }

    /// Takes a request off the table and gives back all that it held: its bytes, its call with the timer,
    /// its place among the tries of its key. Its connection is its own owner.
    pub(crate) fn book_out(&mut self, id: RequestId) {
        let Some(entry) = self.table.remove(id) else {
            return;
        };
        if let Work::Calling { call, until, .. } = entry.work {
            let _ = self.store.give_up(call);
            self.call_timers.remove(&(until, id));
        }
        if let Some(key) = &entry.key {
            for orphan in self.keys.leave(key, id) {
                self.end_waiting(orphan, None);
            }
        }
    }

    /// A request that waited for another try's result has it, or never will.
    pub(crate) fn end_waiting(&mut self, id: RequestId, result: Option<&Bytes>) {
        let Some(Work::Waiting { since }) = self.table.get(id).map(|e| e.work.clone()) else {
            return;
        };
        let (answer, outcome) = match result {
            Some(body) => (Answer::Served(body.clone()), Outcome::Ok),
            None => (Answer::Failed, Outcome::Error),
        };
        self.answer(id, answer);
        self.events.push(Event::RunCompleted {
            id,
            outcome,
            latency: self.now - since,
        });
        self.book_out(id);
    }

    /// The caller of a request is gone: nothing is owed, and what does not run is over.
    pub(crate) fn gone(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry.reply.take().is_none() || !self.desk.names.reports_cancellation {
            return;
        }
        self.events.push(Event::ClientCancelled(id));
        self.discard(id);
    }

    /// After its answer, or without one to give: what is held, paused or waiting is over; a call is given
    /// up, and the interpreter ends its run; what runs goes on.
    pub(crate) fn discard(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        match entry.work.clone() {
            Work::Held | Work::Paused { .. } | Work::Waiting { .. } => self.book_out(id),
            Work::Calling {
                since,
                need,
                halting,
                call,
                until,
                ..
            } => {
                entry.work = Work::AtCall {
                    since,
                    need,
                    halting,
                };
                let _ = self.store.give_up(call);
                self.call_timers.remove(&(until, id));
            }
            Work::Running { .. } | Work::AtCall { .. } => {}
        }
    }
}
