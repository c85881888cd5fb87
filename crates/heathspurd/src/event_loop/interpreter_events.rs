//! What the interpreter and the store tell: ends of runs, calls that are needed, gauges, replies.

use crate::event_loop::execution::{
    CommandDelivery, ExecutionState, Halting, LastCommand, PendingCall,
};
use crate::event_loop::interpreter_session::LinkState;
use crate::event_loop::EventLoop;
use crate::frontend::Answer;
use crate::peers::interpreter::Event as Heard;
use crate::peers::store::Event as Called;
use bytes::Bytes;
use heathspur::{Event, Gauges, Idempotency, Outcome, Preemption, RequestId, Span};
use heathspur_wire::interpreter::{Command, End, Warmth};
use tracing::warn;

/// The longest wait for notices that were missed, once a link is up again.
const RESUME: Span = Span(1_000_000);

impl EventLoop {
    /// Asks the interpreter for its gauges.
    pub(crate) fn ask(&mut self) -> u64 {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        self.interpreter.send(Command::Top(nonce));
        nonce
    }

    pub(crate) fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Banner { warmth, ago_ms } => {
                let ago = Span::from_secs(ago_ms / 1000.0);
                self.begin(warmth == Warmth::Cold, self.now - ago);
                let nonce = self.ask();
                self.interpreter_link = LinkState::Resuming(nonce, self.now + RESUME);
            }
            Heard::Down => {
                if self.interpreter_link.is_up() {
                    self.doubt();
                }
                self.interpreter_link = LinkState::Down;
                for due in std::mem::take(&mut self.pending_timers) {
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
                match self.interpreter_link {
                    LinkState::Resuming(asked, _) if asked == nonce => return self.resume(),
                    LinkState::Late => self.resume(),
                    _ => {}
                }
                if let Some(at) = self
                    .pending_timers
                    .iter()
                    .position(|due| due.nonce == nonce)
                {
                    let gauges = self.frontend.names.meters.read(&readings);
                    if let Some(due) = self.pending_timers.remove(at) {
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
                    self.waits(id, PendingCall { index, body });
                }
            }
            Heard::Missed => self.missed(),
            Heard::Refused { command, txn } => {
                if command == "TOP"
                    && matches!(
                        self.interpreter_link,
                        LinkState::Resuming(..) | LinkState::Late
                    )
                {
                    self.resume();
                }
                let id = txn.and_then(|txn| self.table.named(&txn));
                let work = id.and_then(|id| self.table.get(id)).map(|e| &e.work);
                let started = matches!(
                    work,
                    Some(ExecutionState::Running {
                        told: LastCommand::Apply,
                        ..
                    })
                );
                if let (Some(id), true, "APPLY") = (id, started, &*command) {
                    self.run_ended(id, End::Error, Bytes::new());
                }
                warn!(command, "the interpreter did not carry out {command:?}");
            }
        }
    }

    /// A run waits for a call. One that already did has taken a reply that was told again, of an earlier call, for this
    /// one's: it goes on by what it waits for now, or all its later replies would come one call late.
    fn waits(&mut self, id: RequestId, need: PendingCall) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        match entry.work.clone() {
            ExecutionState::Running { since, halting, .. } => {
                entry.work = ExecutionState::AtCall {
                    since,
                    need,
                    halting,
                };
                self.events.push(Event::CallNeeded(id));
            }
            ExecutionState::AtCall { since, halting, .. } => {
                entry.work = ExecutionState::AtCall {
                    since,
                    need,
                    halting,
                }
            }
            ExecutionState::Calling {
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
                    entry.work = ExecutionState::AtCall {
                        since,
                        need,
                        halting,
                    };
                }
            }
            ExecutionState::Held
            | ExecutionState::Paused { .. }
            | ExecutionState::Waiting { .. } => {}
        }
    }

    /// All notices that were missed are in: what still runs is told again.
    fn resume(&mut self) {
        let late = std::mem::replace(&mut self.interpreter_link, LinkState::Up) == LinkState::Late;
        self.tell_where(|delivery| !late || !matches!(delivery, CommandDelivery::Here { .. }));
    }

    /// Notices that were missed may yet come: only what no link was told before is told.
    pub(crate) fn resume_late(&mut self) {
        self.interpreter_link = LinkState::Late;
        self.tell_where(|delivery| matches!(delivery, CommandDelivery::Here { .. }));
    }

    /// Tells what runs and passes the test, on this link now.
    fn tell_where(&mut self, test: impl Fn(CommandDelivery) -> bool) {
        let passes = |work: &ExecutionState| matches!(work, ExecutionState::Running { delivery, .. } if test(*delivery));
        for id in self.table.find(|entry| passes(&entry.work)) {
            if let Some(ExecutionState::Running { delivery, .. }) =
                self.table.get_mut(id).map(|e| &mut e.work)
            {
                if *delivery != CommandDelivery::Taken {
                    *delivery = CommandDelivery::Here {
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
            ExecutionState::Running {
                delivery: CommandDelivery::Here { .. },
                ..
            } => false,
            ExecutionState::Running {
                told: LastCommand::Apply,
                halting: Halting::No,
                ..
            } => settings.classes[entry.class.0].idempotency != Idempotency::Idempotent,
            ExecutionState::Running { .. } => true,
            // A run ends at a call only once nobody waits for its request.
            ExecutionState::AtCall { .. } | ExecutionState::Calling { .. } => entry.reply.is_none(),
            ExecutionState::Held
            | ExecutionState::Paused { .. }
            | ExecutionState::Waiting { .. } => false,
        });
        for id in lost {
            self.run_ended(id, End::Error, Bytes::new());
        }
    }

    /// The link broke: the interpreter may have taken what it was told, or not. A reply names no call, so one that it
    /// has must not be told again: the run may wait for its next call by then. The rest can be.
    fn doubt(&mut self) {
        for id in self
            .table
            .find(|entry| matches!(entry.work, ExecutionState::Running { .. }))
        {
            let Some(ExecutionState::Running { delivery, told, .. }) =
                self.table.get_mut(id).map(|e| &mut e.work)
            else {
                continue;
            };
            let taken =
                matches!(delivery, CommandDelivery::Here { before } if *before <= self.answered);
            *delivery = match (*delivery, told) {
                (CommandDelivery::Taken, _) => CommandDelivery::Taken,
                (_, LastCommand::Resolve(_)) if taken => CommandDelivery::Taken,
                _ => CommandDelivery::InDoubt,
            };
        }
    }

    /// A run is over, or stopped and to go on later.
    pub(crate) fn run_ended(&mut self, id: RequestId, end: End, body: Bytes) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let (since, halted) = match &entry.work {
            ExecutionState::Running { since, halting, .. }
            | ExecutionState::AtCall { since, halting, .. }
            | ExecutionState::Calling { since, halting, .. } => {
                (*since, *halting == Halting::Asked)
            }
            ExecutionState::Held
            | ExecutionState::Paused { .. }
            | ExecutionState::Waiting { .. } => return,
        };
        let outcome = match end {
            End::Complete => Outcome::Ok,
            End::Error => Outcome::Error,
            End::Cancelled => Outcome::Cancelled,
            End::Unknown => Outcome::NoLongerNeeded,
        };
        self.events.push(Event::RunCompleted {
            id,
            outcome,
            latency: self.now - since,
        });
        if end == End::Cancelled && halted && entry.reply.is_some() {
            match self.settings.preemption {
                Preemption::Pause => entry.work = ExecutionState::Paused { since },
                _ => entry.work = ExecutionState::Held,
            }
            return;
        }
        let result = (end == End::Complete).then_some(&body);
        let waiting = entry
            .key
            .as_ref()
            .map(|key| self.idempotency.ended(key, id, result))
            .unwrap_or_default();
        for repeat in waiting {
            self.end_waiting(repeat, result);
        }
        self.answer(id, result.cloned().map_or(Answer::Failed, Answer::Success));
        self.book_out(id);
    }

    pub(crate) fn called(&mut self, called: Called) {
        let Some(entry) = self.table.get(called.id) else {
            return;
        };
        let ExecutionState::Calling { call, until, .. } = &entry.work else {
            return;
        };
        if *call != called.call {
            return;
        }
        self.call_timers.remove(&(*until, called.id));
        self.call_ended(called.id, called.outcome);
        if called.outcome == Outcome::Ok {
            self.go_on(called.id, |_| LastCommand::Resolve(called.body));
        }
    }

    /// A call has come back, or is given up: the run stands where it stood before.
    pub(crate) fn call_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let ExecutionState::Calling {
            since,
            need,
            halting,
            made,
            ..
        } = entry.work.clone()
        else {
            return;
        };
        entry.work = ExecutionState::AtCall {
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
#[path = "../../tests/unit/interpreter_events.rs"]
mod tests;
