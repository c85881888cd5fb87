//! Handling of events from the interpreter's link: ended runs, calls that runs need, gauges and rejected commands.

use crate::event_loop::execution::{CallRequirement, PendingCall};
use crate::event_loop::EventLoop;
use crate::frontend::{Answer, AttemptId};
use crate::peers::interpreter::InterpreterEvent;
use bytes::Bytes;
use heathspur::{Event, Outcome, RequestId};
use heathspur_wire::interpreter::{RejectedCommand, RunOutcome};
use tracing::warn;

impl EventLoop {
    /// Handles an event from the link. A run's end or call is ignored if its attempt is not in the request table.
    pub(super) fn on_interpreter_event(&mut self, event: InterpreterEvent) {
        match event {
            InterpreterEvent::Connected { warmth, uptime_ms } => {
                self.on_connected(warmth, uptime_ms)
            }
            InterpreterEvent::Disconnected { last_written } => self.on_disconnected(last_written),
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
            InterpreterEvent::CallNeeded {
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
                self.on_command_rejected(command, attempt)
            }
        }
    }

    /// Handles the answer to a gauge query. All notices that were missed before the query have arrived by then.
    fn on_gauges(&mut self, query: u64, readings: &[f64]) {
        self.interpreter.record_answer(query);
        if self.interpreter.resumes_with(query) {
            return self.finish_resume();
        }
        if self.interpreter.flushes_with(query) {
            return self.on_flushed();
        }
        if self.interpreter.is_answer_overdue() {
            self.finish_resume();
        }
        if let Some(token) = self.timers.take_answered(query) {
            let gauges = self.frontend.names.gauges.read(readings);
            self.controller.push(Event::Timer { token, gauges });
        }
    }

    /// Handles the notice that a run needs a call.
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

    /// Handles a command that the interpreter rejected. A rejected gauge query will not be answered, so a resumption
    /// that waits for the answer is finished. A run whose start was rejected has failed.
    fn on_command_rejected(&mut self, command: RejectedCommand, attempt: Option<AttemptId>) {
        if command == RejectedCommand::QueryGauges && self.interpreter.is_resuming() {
            self.finish_resume();
        }
        if command == RejectedCommand::Run {
            let rejected = attempt
                .and_then(|attempt| self.table.find_attempt(&attempt))
                .filter(|id| self.is_starting(*id));
            if let Some(id) = rejected {
                self.on_run_ended(id, RunOutcome::Failed, Bytes::new());
            }
        }
        let command = command.verb();
        warn!(command, "the interpreter rejected the command {command:?}");
    }

    fn is_starting(&self, id: RequestId) -> bool {
        self.table
            .get(id)
            .is_some_and(|entry| entry.execution.is_starting())
    }

    /// Handles the end of a run. A run that was stopped at the controller's request, and to whose client an answer is
    /// still due, is paused or queued again.
    pub(super) fn on_run_ended(&mut self, id: RequestId, end: RunOutcome, body: Bytes) {
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

/// Converts the outcome of a run to the form that the controller receives.
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
