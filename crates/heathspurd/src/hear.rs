//! What the interpreter and the store tell: ends of runs, calls that are needed, gauges, replies.

use crate::front::Answer;
use crate::interpreter::Event as Heard;
use crate::owner::{LinkState, Owner};
use crate::store::Event as Called;
use crate::table::{Halting, Need, Told, Work};
use bytes::Bytes;
use heathspur::{Event, Gauges, Halt, Outcome, RequestId, Span};
use heathspur_wire::interpreter::{Command, End, Warmth};
use tracing::warn;

/// The longest wait for notices that were missed, once a link is up again.
const RESUME: Span = Span(1_000_000);

impl Owner {
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
                self.link = LinkState::Resuming(nonce, self.now + RESUME);
            }
            Heard::Down => {
                if self.link.is_up() {
                    self.doubt();
                }
                self.link = LinkState::Down;
                for due in std::mem::take(&mut self.due) {
                    self.events.push(Event::Timer { token: due.token, gauges: Gauges::default() });
                }
            }
            Heard::Gauges { nonce, .. } if matches!(self.link, LinkState::Resuming(n, _) if n == nonce) => {
                self.resume();
            }
            Heard::Gauges { nonce, readings } => {
                // Questions are answered in order, after all that was missed.
                if self.link == LinkState::Late {
                    self.resume();
                }
                if let Some(at) = self.due.iter().position(|due| due.nonce == nonce) {
                    let gauges = self.desk.names.meters.read(&readings);
                    if let Some(due) = self.due.remove(at) {
                        self.events.push(Event::Timer { token: due.token, gauges });
                    }
                }
            }
            Heard::Ended { txn, end, body } => {
                if let Some(id) = self.table.named(&txn) {
                    self.run_ended(id, end, body);
                }
            }
            Heard::Waits { txn, index, body } => {
                let Some(id) = self.table.named(&txn) else { return };
                let Some(entry) = self.table.get_mut(id) else { return };
                if let Work::Running { since, .. } = entry.work {
                    entry.work = Work::AtCall { since, need: Need { index, body } };
                    self.events.push(Event::NeedsCall(id));
                }
            }
            Heard::Refused { command, txn } => {
                if command == "TOP" && matches!(self.link, LinkState::Resuming(..) | LinkState::Late) {
                    self.resume();
                }
                let id = txn.and_then(|txn| self.table.named(&txn));
                let work = id.and_then(|id| self.table.get(id)).map(|e| &e.work);
                let started = matches!(work, Some(Work::Running { told: Told::Apply, .. }));
                if let (Some(id), true, "APPLY") = (id, started, &*command) {
                    self.run_ended(id, End::Error, Bytes::new());
                }
                warn!(command, "the interpreter did not carry out {command:?}");
            }
        }
    }

    /// All notices that were missed are in: what still runs is told again.
    fn resume(&mut self) {
        let late = std::mem::replace(&mut self.link, LinkState::Up) == LinkState::Late;
        let again = |work: &Work| matches!(work, Work::Running { in_doubt, .. } if *in_doubt || !late);
        for id in self.table.find(|entry| again(&entry.work)) {
            if let Some(Work::Running { in_doubt, .. }) = self.table.get_mut(id).map(|e| &mut e.work) {
                *in_doubt = false;
            }
            self.tell(id);
        }
    }

    /// Notices that were missed may yet come: only what no link was told before is told.
    pub(crate) fn resume_late(&mut self) {
        self.link = LinkState::Late;
        for id in self.table.find(|entry| matches!(entry.work, Work::Running { in_doubt: false, .. })) {
            self.tell(id);
        }
    }

    /// The link broke: the interpreter may have taken what it was told, or not.
    fn doubt(&mut self) {
        for id in self.table.find(|entry| matches!(entry.work, Work::Running { .. })) {
            if let Some(Work::Running { in_doubt, .. }) = self.table.get_mut(id).map(|e| &mut e.work) {
                *in_doubt = true;
            }
        }
    }

    /// A run is over, or stopped and to go on later.
    pub(crate) fn run_ended(&mut self, id: RequestId, end: End, body: Bytes) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let (since, halted) = match &entry.work {
            Work::Running { since, halting, .. } => (*since, *halting == Halting::Asked),
            Work::AtCall { since, .. } | Work::Calling { since, .. } => (*since, false),
            Work::Held | Work::Paused { .. } | Work::Waiting { .. } => return,
        };
        let outcome = match end {
            End::Complete => Outcome::Ok,
            End::Error => Outcome::Error,
            End::Cancelled => Outcome::Cancelled,
            End::Unknown => Outcome::Moot,
        };
        self.events.push(Event::Done { id, outcome, latency: self.now - since });
        if end == End::Cancelled && halted && entry.reply.is_some() {
            match self.settings.halt {
                Halt::Pause => entry.work = Work::Paused { since },
                _ => entry.work = Work::Held,
            }
            return;
        }
        let result = (end == End::Complete).then_some(&body);
        let waiting = entry.key.as_ref().map(|key| self.keys.ended(key, id, result)).unwrap_or_default();
        for repeat in waiting {
            self.end_waiting(repeat, result);
        }
        self.answer(id, result.cloned().map_or(Answer::Failed, Answer::Served));
        self.book_out(id);
    }

    pub(crate) fn called(&mut self, called: Called) {
        let Some(entry) = self.table.get(called.id) else { return };
        let Work::Calling { call, until, .. } = &entry.work else { return };
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
        let Some(entry) = self.table.get_mut(id) else { return };
        let Work::Calling { since, need, made, .. } = entry.work.clone() else { return };
        entry.work = Work::AtCall { since, need };
        self.events.push(Event::Called { id, outcome, latency: self.now - made });
    }
}
