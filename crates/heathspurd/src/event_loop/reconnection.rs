//! Reconnection to the interpreter, after a break or at a new address: when the link moves, which commands are resent once
//! the missed notices have arrived, and what becomes of runs whose last command may be lost.

use crate::event_loop::deadlines::timer_without_gauges;
use crate::event_loop::execution::DeliveryEvidence;
use crate::event_loop::interpreter_session::{InterpreterSession, Resend};
use crate::event_loop::request_table::Entry;
use crate::event_loop::EventLoop;
use bytes::Bytes;
use heathspur::{Event, RequestId, Span};
use heathspur_wire::interpreter::{RunOutcome, Warmth};
use std::net::SocketAddr;
use tracing::{info, warn};

impl EventLoop {
    /// Handles a new connection to an interpreter that started `uptime_ms` milliseconds ago.
    pub(super) fn on_connected(&mut self, warmth: Warmth, uptime_ms: f64) {
        let age = Span::from_secs(uptime_ms / 1000.0);
        self.start_controller(warmth == Warmth::Cold, self.now - age);
        self.interpreter.begin_resume(self.now);
    }

    /// Handles the loss of the connection, on which the command `last_written` was the last to be written: commands may be
    /// lost, and pending gauge queries will not be answered.
    pub(super) fn on_disconnected(&mut self, last_written: u64) {
        if let Some(address) = self.interpreter.next_address() {
            self.peer_addresses.interpreter.set(address);
        }
        self.interpreter.disconnect();
        self.classify_deliveries(last_written);
        for token in self.timers.drain_awaiting_gauges() {
            self.controller.push(timer_without_gauges(token));
        }
    }

    /// Records which of the commands sent on the current connection the interpreter has received for certain, and which
    /// were not written.
    fn classify_deliveries(&mut self, last_written: u64) {
        let evidence = DeliveryEvidence {
            last_answered_query: self.interpreter.last_answered(),
            last_written,
        };
        self.table
            .for_each_execution(|execution| execution.classify_delivery(evidence, self.now));
    }

    /// Moves the link to the interpreter's new address once the interpreter has received all commands that were sent on
    /// the current connection: otherwise it would be unknown whether the last ones are lost.
    pub(super) fn set_interpreter_address(&mut self, address: SocketAddr) {
        let is_moving = self.interpreter.next_address().is_some();
        if !is_moving && address == self.peer_addresses.interpreter.get() {
            return;
        }
        if !self.interpreter.begin_flush(address, self.now) {
            self.peer_addresses.interpreter.set(address);
        }
    }

    /// Handles the answer that shows that the interpreter has received all commands. If the link stays, the commands that
    /// became due during the wait are sent, stops among them.
    pub(super) fn on_flushed(&mut self) {
        if !self.move_link() {
            // The query of the flush was the last command to be sent.
            self.classify_deliveries(self.interpreter.last_answered());
            self.finish_resume();
        }
    }

    /// Handles the timeout of the wait for that answer.
    pub(super) fn on_flush_timed_out(&mut self) {
        if !self.move_link() {
            self.on_resume_timed_out();
        }
    }

    /// Lets the link reconnect to its next address. Returns `false` if later reloads have made that the current one.
    fn move_link(&mut self) -> bool {
        let current = self.peer_addresses.interpreter.get();
        let next_address = self.interpreter.next_address();
        let Some(address) = next_address.filter(|next| *next != current) else {
            return false;
        };
        self.interpreter.begin_move(address);
        self.peer_addresses.interpreter.set(address);
        true
    }

    /// Resumes the link after all missed notices have arrived.
    pub(super) fn finish_resume(&mut self) {
        let resend = self.interpreter.finish_resume();
        self.resend_matching(resend);
        self.resolve_in_doubt_runs();
    }

    /// Handles the timeout of the wait for missed notices.
    pub(super) fn on_resume_timed_out(&mut self) {
        let resend = self.interpreter.time_out_resume();
        self.resend_matching(resend);
    }

    /// Sends the last commands of the running requests that `resend` covers on the current connection.
    fn resend_matching(&mut self, resend: Resend) {
        let matching = self.table.find(|entry| {
            let delivery = entry.execution.delivery();
            delivery.is_some_and(|delivery| resend.covers(delivery))
        });
        for id in matching {
            if let Some(entry) = self.table.get_mut(id) {
                let is_idempotent = self.controller.is_idempotent(entry.class);
                let delivery = self.interpreter.delivery();
                entry.execution.mark_resent(delivery, is_idempotent);
            }
            self.send_last_command(id);
        }
    }

    /// Resolves the runs that are in doubt at their deadline: it is unknown whether the interpreter has received the last
    /// command, which must not be sent twice. Had it been received, a notice of the run would have been expected by then.
    pub(super) fn resolve_in_doubt_runs(&mut self) {
        let deadline_of = |entry: &Entry| {
            let is_idempotent = self.controller.is_idempotent(entry.class);
            let since = entry.execution.in_doubt_since(is_idempotent)?;
            Some(InterpreterSession::in_doubt_deadline(since))
        };
        let is_due = |entry: &Entry| deadline_of(entry).is_some_and(|at| at <= self.now);
        let due = self.table.find(is_due);
        let next_deadline = self
            .table
            .min_of(|entry| deadline_of(entry).filter(|at| *at > self.now));
        self.interpreter.set_in_doubt_deadline(next_deadline);
        for id in due {
            self.resolve_in_doubt_run(id);
        }
    }

    /// Lets an idempotent run make its call again if the store carries out a call only while the run waits for it: the
    /// new reply then belongs to that call. Any other run counts as failed.
    fn resolve_in_doubt_run(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let request = entry.attempt.as_str();
        let may_call_again =
            self.controller.is_idempotent(entry.class) && self.calls.requires_waiting_run();
        if may_call_again && entry.execution.require_call_again() {
            info!(
                request,
                "request {request}: the reply to its call may be lost, the call is needed again"
            );
            self.controller.push(Event::CallNeeded(id));
            return;
        }
        warn!(
            request,
            "request {request} counts as failed: its last command to the interpreter may be lost and must not be sent \
             twice"
        );
        self.on_run_ended(id, RunOutcome::Failed, Bytes::new());
    }

    /// Handles the loss of notices: more were missed than the interpreter retains, so the end of a run may be among
    /// them. A run that may have ended counts as failed: it must not be started again unless that does no harm, and
    /// must not occupy a slot indefinitely. The other runs are started again once the link is up.
    pub(super) fn on_notices_lost(&mut self) {
        warn!(
            "the interpreter no longer retains the notices that this server missed; \
             runs that may have ended count as failed"
        );
        let may_have_ended = self.table.find(|entry| {
            let is_idempotent = self.controller.is_idempotent(entry.class);
            entry
                .execution
                .may_have_ended_unnoticed(is_idempotent, entry.owes_reply())
        });
        for id in may_have_ended {
            self.on_run_ended(id, RunOutcome::Failed, Bytes::new());
        }
        self.table
            .for_each_execution(|execution| execution.mark_start_uncertain(self.now));
    }
}
