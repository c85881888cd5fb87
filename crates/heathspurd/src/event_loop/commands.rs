//! Stage four: what the interpreter and the store are told of a request.

use crate::event_loop::request_table::{Delivery, Halting, Need, Told, Work};
use crate::event_loop::state::Owner;
use crate::peers::store::{Call, CallId};
use heathspur::{Idempotency, RequestId, Span};
use heathspur_wire::interpreter::Command;

/// Time past its limit at which a call that nothing was heard of is given up here: the store tells first.
const BACKSTOP: Span = Span(20_000);

impl Owner {
    /// Starts a held request, or goes on with a paused one.
    pub(crate) fn run(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let (since, told) = match entry.work {
            Work::Held => (self.now, Told::Apply),
            Work::Paused { since } => (since, Told::Continue),
            _ => return,
        };
        let delivery = Delivery::Here {
            before: self.next_nonce,
        };
        entry.work = Work::Running {
            since,
            told,
            halting: Halting::No,
            delivery,
        };
        if let Some(key) = &entry.key {
            self.keys.runs(key, id);
        }
        self.tell(id);
    }

    /// Stops a run.
    pub(crate) fn stop(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if let Work::Running { halting, .. } = &mut entry.work {
            *halting = Halting::Asked;
            if self.link.is_up() {
                self.interpreter.send(Command::Stop(entry.txn.as_str()));
            }
        }
    }

    /// Makes the call that a run waits for.
    pub(crate) fn call(&mut self, id: RequestId, limit: Span) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let Work::AtCall {
            since,
            need,
            halting,
        } = entry.work.clone()
        else {
            return;
        };
        let call = CallId(self.next_call);
        self.next_call += 1;
        let until = self.now + limit + BACKSTOP;
        let fresh = self.settings.classes[entry.class.0].idempotency != Idempotency::Idempotent;
        let (txn, limit_ms, body) = (entry.txn, (limit.0 / 1000).max(1), need.body.clone());
        self.store.call(Call {
            id,
            call,
            txn,
            limit_ms,
            body,
            fresh,
        });
        self.call_timers.insert((until, id));
        entry.work = Work::Calling {
            since,
            need,
            halting,
            call,
            made: self.now,
            until,
        };
    }

    /// Goes on with the reply to the call, or without it.
    pub(crate) fn go_on(&mut self, id: RequestId, told: impl FnOnce(&Need) -> Told) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let (Work::AtCall {
            since,
            need,
            halting,
        }
        | Work::Calling {
            since,
            need,
            halting,
            ..
        }) = &entry.work
        else {
            return;
        };
        let delivery = Delivery::Here {
            before: self.next_nonce,
        };
        entry.work = Work::Running {
            since: *since,
            told: told(need),
            halting: *halting,
            delivery,
        };
        self.tell(id);
    }

    /// Tells the interpreter where a running request stands; once more after the link was made again, but for what it
    /// is known to have.
    pub(crate) fn tell(&self, id: RequestId) {
        let Some(entry) = self.table.get(id).filter(|_| self.link.is_up()) else {
            return;
        };
        let Work::Running {
            told,
            halting,
            delivery,
            ..
        } = &entry.work
        else {
            return;
        };
        let task = entry.txn.as_str();
        let command = match told {
            Told::Apply => Command::Run {
                request_id: task,
                class: &self.desk.names.classes[entry.class.0],
                body: &entry.body,
            },
            Told::Continue => Command::Resume(task),
            Told::Resolve(body) => Command::CompleteCall {
                request_id: task,
                body,
            },
            Told::Stub(index) => Command::SkipCall {
                request_id: task,
                index: *index,
            },
        };
        if *delivery != Delivery::Taken {
            self.interpreter.send(command);
        }
        if *halting == Halting::Asked {
            self.interpreter.send(Command::Stop(task));
        }
    }
}
