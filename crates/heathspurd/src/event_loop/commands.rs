//! Commands to the peers for one request: runs to the interpreter, dependency calls to the store.

use crate::event_loop::execution::{CommandDelivery, ExecutionState, LastCommand, PendingCall};
use crate::event_loop::store_calls::CallRequest;
use crate::event_loop::EventLoop;
use heathspur::{RequestId, Span};
use heathspur_wire::interpreter::Command;

impl EventLoop {
    /// Starts a queued request, or continues a paused one.
    pub(super) fn start_run(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let delivery = self.interpreter.delivery();
        if !entry.execution.start_run(self.now, delivery) {
            return;
        }
        if let Some(key) = &entry.key {
            self.idempotency.run_started(key, id);
        }
        self.send_last_command(id);
    }

    /// Sends the interpreter a command to stop a run.
    pub(super) fn stop_run(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry.execution.request_stop() && self.interpreter.is_up() {
            self.interpreter.send(Command::Stop(entry.attempt.as_str()));
        }
    }

    /// Starts the dependency call that a run waits for.
    pub(super) fn start_call(&mut self, id: RequestId, timeout: Span) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let ExecutionState::AwaitingCall { call, .. } = &entry.execution else {
            return;
        };
        let request = CallRequest {
            request: id,
            attempt: entry.attempt,
            timeout,
            body: call.body.clone(),
            new_connection: !self.controller.is_idempotent(entry.class),
        };
        let in_flight = self.calls.start(request, self.now);
        entry.execution.begin_call(in_flight);
    }

    /// Resumes a run that waits for a call. `command` returns the command to send, with the call's reply or without it.
    pub(super) fn resume_run(
        &mut self,
        id: RequestId,
        command: impl FnOnce(&PendingCall) -> LastCommand,
    ) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry
            .execution
            .resume_run(command, self.interpreter.delivery())
        {
            self.send_last_command(id);
        }
    }

    /// Sends a running request's last command if it belongs on the current connection, and then a stop if one has been
    /// requested. While the link is down nothing is sent; the commands follow once it is up again.
    pub(super) fn send_last_command(&self, id: RequestId) {
        let Some(entry) = self.table.get(id).filter(|_| self.interpreter.is_up()) else {
            return;
        };
        let ExecutionState::Running {
            run,
            last_command,
            delivery,
        } = &entry.execution
        else {
            return;
        };
        let request_id = entry.attempt.as_str();
        if matches!(delivery, CommandDelivery::CurrentConnection { .. }) {
            self.interpreter.send(match last_command {
                LastCommand::Run => Command::Run {
                    request_id,
                    class: &self.frontend.names.classes[entry.class.0],
                    body: &entry.body,
                },
                LastCommand::Resume => Command::Resume(request_id),
                LastCommand::CompleteCall { reply, .. } => Command::CompleteCall {
                    request_id,
                    body: reply,
                },
                LastCommand::SkipCall(index) => Command::SkipCall {
                    request_id,
                    index: *index,
                },
            });
        }
        if run.stop_requested {
            self.interpreter.send(Command::Stop(request_id));
        }
    }
}
