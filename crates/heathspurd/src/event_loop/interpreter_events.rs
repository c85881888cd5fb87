//! Events of the interpreter's link: ends of runs, calls that runs need, gauges, the link's state.

use crate::event_loop::deadlines::timer_without_gauges;
use crate::event_loop::execution::{CallRequirement, PendingCall};
use crate::event_loop::interpreter_session::Resend;
use crate::event_loop::EventLoop;
use crate::frontend::{Answer, AttemptId};
use crate::peers::interpreter::InterpreterEvent;
use bytes::Bytes;
use heathspur::{Event, Idempotency, Outcome, RequestId, Span};
use heathspur_wire::interpreter::{RunOutcome, Warmth};
use tracing::warn;

/// The names of commands in refusals.
const GAUGES_COMMAND: &str = "TOP";
const START_COMMAND: &str = "APPLY";

impl EventLoop {
    pub(super) fn on_interpreter_event(&mut self, event: InterpreterEvent) {
        match event {
            InterpreterEvent::Connected {
                warmth,
                started_ms_ago,
            } => self.on_connected(warmth, started_ms_ago),
            InterpreterEvent::Disconnected => self.on_disconnected(),
            InterpreterEvent::Gauges { nonce, readings } => self.on_gauges(nonce, &readings),
            InterpreterEvent::RunEnded {
                attempt,
                outcome,
                body,
            } => {
                if let Some(id) = self.table.find_attempt(&attempt) {
                    self.on_run_ended(id, outcome, body);
                }
            }
            InterpreterEvent::CallRequested {
                attempt,
                index,
                body,
            } => {
                if let Some(id) = self.table.find_attempt(&attempt) {
                    self.on_call_needed(id, PendingCall { index, body });
                }
            }
            InterpreterEvent::NoticesLost => self.on_notices_lost(),
            InterpreterEvent::CommandRejected { command, attempt } => {
                self.on_command_rejected(&command, attempt)
            }
        }
    }

    /// The link is connected, to an interpreter that started `started_ms_ago` ago.
    fn on_connected(&mut self, warmth: Warmth, started_ms_ago: f64) {
        let age = Span::from_secs(started_ms_ago / 1000.0);
        self.start_controller(warmth == Warmth::Cold, self.now - age);
        self.interpreter.begin_resume(self.now);
    }

    /// The link broke: commands may be lost, and gauge queries will not be answered.
    fn on_disconnected(&mut self) {
        let last_answered = self.interpreter.last_answered();
        if self.interpreter.disconnect() {
            self.table
                .for_each_execution(|execution| execution.mark_uncertain(last_answered));
        }
        for token in self.timers.drain_awaiting_gauges() {
            self.controller.push(timer_without_gauges(token));
        }
    }

    /// A gauge query was answered, after all notices that were missed before it.
    fn on_gauges(&mut self, query: u64, readings: &[f64]) {
        self.interpreter.record_answer(query);
        if self.interpreter.resumes_with(query) {
            return self.finish_resume();
        }
        if self.interpreter.is_late() {
            self.finish_resume();
        }
        if let Some(token) = self.timers.take_answered(query) {
            let gauges = self.frontend.names.gauges.read(readings);
            self.controller.push(Event::Timer { token, gauges });
        }
    }

    fn finish_resume(&mut self) {
        let resend = self.interpreter.finish_resume();
        self.resend_matching(resend);
    }

    /// The wait for missed notices is over.
    pub(super) fn resume_late(&mut self) {
        let resend = self.interpreter.resume_late();
        self.resend_matching(resend);
    }

    /// Sends the last commands of running requests that `resend` covers on the current link.
    fn resend_matching(&mut self, resend: Resend) {
        let matching = self.table.find(|entry| {
            let delivery = entry.execution.delivery();
            delivery.is_some_and(|delivery| resend.covers(delivery))
        });
        for id in matching {
            if let Some(entry) = self.table.get_mut(id) {
                entry.execution.mark_resent(self.interpreter.delivery());
            }
            self.send_last_command(id);
        }
    }

    /// A run needs a call.
    fn on_call_needed(&mut self, id: RequestId, call: PendingCall) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        match entry.execution.require_call(call) {
            CallRequirement::New => self.controller.push(Event::CallNeeded(id)),
            CallRequirement::Replaces(Some(replaced)) => {
                self.calls.cancel(id, replaced);
                self.report_call(id, replaced, Outcome::NoLongerNeeded);
            }
            CallRequirement::Replaces(None) | CallRequirement::Ignored => {}
        }
    }

    /// More notices were missed than the interpreter retains, so the end of a run may be among the lost ones. A run
    /// that may have ended is not started again, unless that does no harm, and must not occupy a slot for ever: it
    /// counts as failed.
    fn on_notices_lost(&mut self) {
        warn!("the interpreter no longer retains notices that were missed");
        let classes = &self.controller.settings().classes;
        let lost = self.table.find(|entry| {
            let is_idempotent = classes[entry.class.0].idempotency == Idempotency::Idempotent;
            entry
                .execution
                .may_have_ended_unnoticed(is_idempotent, entry.owes_reply())
        });
        for id in lost {
            self.on_run_ended(id, RunOutcome::Failed, Bytes::new());
        }
    }

    /// The interpreter refused a command. Without gauges there is no answer to wait for; a run that it refused to
    /// start has failed.
    fn on_command_rejected(&mut self, command: &str, attempt: Option<AttemptId>) {
        if command == GAUGES_COMMAND && self.interpreter.is_resuming() {
            self.finish_resume();
        }
        if command == START_COMMAND {
            let refused = attempt
                .and_then(|attempt| self.table.find_attempt(&attempt))
                .filter(|id| self.is_starting(*id));
            if let Some(id) = refused {
                self.on_run_ended(id, RunOutcome::Failed, Bytes::new());
            }
        }
        warn!(
            command,
            "the interpreter did not carry out the command {command:?}"
        );
    }

    fn is_starting(&self, id: RequestId) -> bool {
        self.table
            .get(id)
            .is_some_and(|entry| entry.execution.is_starting())
    }

    /// A run has ended, or was stopped to be continued or started again later.
    fn on_run_ended(&mut self, id: RequestId, end: RunOutcome, body: Bytes) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let Some(run) = entry.execution.run() else {
            return;
        };
        self.controller.push(Event::RunCompleted {
            id,
            outcome: outcome(end),
            latency: self.now - run.started,
        });
        if end == RunOutcome::Cancelled && run.stop_requested && entry.owes_reply() {
            let preemption = self.controller.settings().preemption;
            entry.execution.preempt(preemption);
            return;
        }
        let result = (end == RunOutcome::Succeeded).then_some(&body);
        let waiting = entry
            .key
            .as_ref()
            .map(|key| self.idempotency.run_ended(key, id, result))
            .unwrap_or_default();
        for repeat in waiting {
            self.complete_waiting(repeat, result);
        }
        self.answer(id, result.cloned().map_or(Answer::Failed, Answer::Success));
        self.release(id);
    }
}

/// The outcome of a run for the controller.
fn outcome(end: RunOutcome) -> Outcome {
    match end {
        RunOutcome::Succeeded => Outcome::Ok,
        RunOutcome::Failed => Outcome::Error,
        RunOutcome::Cancelled => Outcome::Cancelled,
        RunOutcome::NotStarted => Outcome::NoLongerNeeded,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/interpreter_events.rs"]
mod tests;
