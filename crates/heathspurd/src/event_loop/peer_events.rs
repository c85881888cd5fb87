//! What the interpreter and the store tell: ends of runs, calls that are needed, gauges, replies.

use crate::event_loop::request_table::{Delivery, Halting, Need, Told, Work};
use crate::event_loop::state::{LinkState, Owner};
use crate::frontend::Answer;
use crate::peers::interpreter::Event as Heard;
use crate::peers::store::Event as Called;
use bytes::Bytes;
use heathspur::{Event, Gauges, Idempotency, Outcome, Preemption, RequestId, Span};
use heathspur_wire::interpreter::{Command, RunOutcome, Warmth};
use tracing::warn;

/// The longest wait for notices that were missed, once a link is up again.
const RESUME: Span = Span(1_000_000);

impl Owner {
    /// Asks the interpreter for its gauges.
    pub(crate) fn ask(&mut self) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.interpreter.send(Command::QueryGauges(nonce));
        nonce
    }

    pub(crate) fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Banner { warmth, ago_ms } => {
                let ago = Span::from_secs(ago_ms / 1000.0);
                self.begin(warmth == Warmth::Cold, self.now - ago);
                let nonce = self.ask();
                self.link = LinkState::Resuming(nonce, self.now + RESUME);
            }
            Heard::Down => {
                if self.link.is_up() {
                    self.doubt();
                }
                self.link = LinkState::Down;
                for due in std::mem::take(&mut self.due) {
                    self.events.push(Event::Timer {
                        token: due.token,
                        gauges: Gauges::default(),
                    });
                }
            }
            Heard::Gauges { nonce, readings } => {
                // Questions are answered in order, after all that was missed, and after what was told before them.
                if nonce < self.next_nonce {
                    self.answered = self.answered.max(nonce);
                }
                match self.link {
                    LinkState::Resuming(asked, _) if asked == nonce => return self.resume(),
                    LinkState::Late => self.resume(),
                    _ => {}
                }
                if let Some(at) = self.due.iter().position(|due| due.nonce == nonce) {
                    let gauges = self.desk.names.gauges.read(&readings);
                    if let Some(due) = self.due.remove(at) {
                        self.events.push(Event::Timer {
                            token: due.token,
                            gauges,
                        });
                    }
                }
            }
            Heard::Ended { txn, end, body } => {
                if let Some(id) = self.table.named(&txn) {
                    self.run_ended(id, end, body);
                }
            }
            Heard::Waits { txn, index, body } => {
                if let Some(id) = self.table.named(&txn) {
                    self.waits(id, Need { index, body });
                }
            }
            Heard::Missed => self.missed(),
            Heard::Refused { command, txn } => {
                if command == "TOP"
                    && matches!(self.link, LinkState::Resuming(..) | LinkState::Late)
                {
                    self.resume();
                }
                let id = txn.and_then(|txn| self.table.named(&txn));
                let work = id.and_then(|id| self.table.get(id)).map(|e| &e.work);
                let started = matches!(
                    work,
                    Some(Work::Running {
                        told: Told::Apply,
                        ..
                    })
                );
                if let (Some(id), true, "APPLY") = (id, started, &*command) {
                    self.run_ended(id, RunOutcome::Failed, Bytes::new());
                }
                warn!(command, "the interpreter did not carry out {command:?}");
            }
        }
    }

    /// A run waits for a call. One that already did has taken a reply that was told again, of an earlier call, for this
    /// one's: it goes on by what it waits for now, or all its later replies would come one call late.
    fn waits(&mut self, id: RequestId, need: Need) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        match entry.work.clone() {
            Work::Running { since, halting, .. } => {
                entry.work = Work::AtCall {
                    since,
                    need,
                    halting,
                };
                self.events.push(Event::CallNeeded(id));
            }
            Work::AtCall { since, halting, .. } => {
                entry.work = Work::AtCall {
                    since,
                    need,
                    halting,
                }
            }
            Work::Calling {
                since,
                halting,
                call,
                until,
                ..
            } => {
                let _ = self.store.give_up(call);
                self.call_timers.remove(&(until, id));
                // What stands to be called now never was.
                self.call_ended(id, Outcome::NoLongerNeeded);
                if let Some(entry) = self.table.get_mut(id) {
                    entry.work = Work::AtCall {
                        since,
                        need,
                        halting,
                    };
                }
            }
            Work::Held | Work::Paused { .. } | Work::Waiting { .. } => {}
        }
    }

    /// All notices that were missed are in: what still runs is told again.
    fn resume(&mut self) {
        let late = std::mem::replace(&mut self.link, LinkState::Up) == LinkState::Late;
        self.tell_where(|delivery| !late || !matches!(delivery, Delivery::Here { .. }));
    }

    /// Notices that were missed may yet come: only what no link was told before is told.
    pub(crate) fn resume_late(&mut self) {
        self.link = LinkState::Late;
        self.tell_where(|delivery| matches!(delivery, Delivery::Here { .. }));
    }

    /// Tells what runs and passes the test, on this link now.
    fn tell_where(&mut self, test: impl Fn(Delivery) -> bool) {
        let passes =
            |work: &Work| matches!(work, Work::Running { delivery, .. } if test(*delivery));
        for id in self.table.find(|entry| passes(&entry.work)) {
            if let Some(Work::Running { delivery, .. }) =
                self.table.get_mut(id).map(|e| &mut e.work)
            {
                if *delivery != Delivery::Taken {
                    *delivery = Delivery::Here {
                        before: self.next_nonce,
                    };
                }
            }
            self.tell(id);
        }
    }

    /// More notices were missed than are kept, so an end may be among those that never come. What may have ended is
    /// not run again, unless that does no harm, and must not keep its place for ever: it counts as failed.
    fn missed(&mut self) {
        warn!("notices were made that the interpreter keeps no longer");
        let settings = &self.settings;
        let lost = self.table.find(|entry| match &entry.work {
            Work::Running {
                delivery: Delivery::Here { .. },
                ..
            } => false,
            Work::Running {
                told: Told::Apply,
                halting: Halting::No,
                ..
            } => settings.classes[entry.class.0].idempotency != Idempotency::Idempotent,
            Work::Running { .. } => true,
            // A run ends at a call only once nobody waits for its request.
            Work::AtCall { .. } | Work::Calling { .. } => entry.reply.is_none(),
            Work::Held | Work::Paused { .. } | Work::Waiting { .. } => false,
        });
        for id in lost {
            self.run_ended(id, RunOutcome::Failed, Bytes::new());
        }
    }

    /// The link broke: the interpreter may have taken what it was told, or not. A reply names no call, so one that it
    /// has must not be told again: the run may wait for its next call by then. The rest can be.
    fn doubt(&mut self) {
        for id in self
            .table
            .find(|entry| matches!(entry.work, Work::Running { .. }))
        {
            let Some(Work::Running { delivery, told, .. }) =
                self.table.get_mut(id).map(|e| &mut e.work)
            else {
                continue;
            };
            let taken = matches!(delivery, Delivery::Here { before } if *before <= self.answered);
            *delivery = match (*delivery, told) {
                (Delivery::Taken, _) => Delivery::Taken,
                (_, Told::Resolve(_)) if taken => Delivery::Taken,
                _ => Delivery::InDoubt,
            };
        }
    }

    /// A run is over, or stopped and to go on later.
    pub(crate) fn run_ended(&mut self, id: RequestId, end: RunOutcome, body: Bytes) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let (since, halted) = match &entry.work {
            Work::Running { since, halting, .. }
            | Work::AtCall { since, halting, .. }
            | Work::Calling { since, halting, .. } => (*since, *halting == Halting::Asked),
            Work::Held | Work::Paused { .. } | Work::Waiting { .. } => return,
        };
        let outcome = match end {
            RunOutcome::Succeeded => Outcome::Ok,
            RunOutcome::Failed => Outcome::Error,
            RunOutcome::Cancelled => Outcome::Cancelled,
            RunOutcome::NotStarted => Outcome::NoLongerNeeded,
        };
        self.events.push(Event::RunCompleted {
            id,
            outcome,
            latency: self.now - since,
        });
        if end == RunOutcome::Cancelled && halted && entry.reply.is_some() {
            match self.settings.preemption {
                Preemption::Pause => entry.work = Work::Paused { since },
                _ => entry.work = Work::Held,
            }
            return;
        }
        let result = (end == RunOutcome::Succeeded).then_some(&body);
        let waiting = entry
            .key
            .as_ref()
            .map(|key| self.keys.ended(key, id, result))
            .unwrap_or_default();
        for repeat in waiting {
            self.end_waiting(repeat, result);
        }
        self.answer(id, result.cloned().map_or(Answer::Failed, Answer::Served));
        self.book_out(id);
    }

    pub(crate) fn called(&mut self, called: Called) {
        let Some(entry) = self.table.get(called.id) else {
            return;
        };
        let Work::Calling { call, until, .. } = &entry.work else {
            return;
        };
        if *call != called.call {
            return;
        }
        self.call_timers.remove(&(*until, called.id));
        self.call_ended(called.id, called.outcome);
        if called.outcome == Outcome::Ok {
            self.go_on(called.id, |_| Told::Resolve(called.body));
        }
    }

    /// A call has come back, or is given up: the run stands where it stood before.
    pub(crate) fn call_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let Work::Calling {
            since,
            need,
            halting,
            made,
            ..
        } = entry.work.clone()
        else {
            return;
        };
        entry.work = Work::AtCall {
            since,
            need,
            halting,
        };
        self.events.push(Event::CallCompleted {
            id,
            outcome,
            latency: self.now - made,
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/peer_events.rs"]
mod tests;
