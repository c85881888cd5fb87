//! The state machine of one request's execution.
//!
//! Every transition is a method of [`ExecutionState`]. The event loop performs the side effects of a transition: it
//! sends commands to the interpreter, makes dependency calls and reports events to the admission controller.

use crate::peers::store::CallId;
use bytes::Bytes;
use heathspur::{Preemption, Time};

/// The last command of a run, stored so that it can be resent after a reconnection.
#[derive(Clone, Debug)]
pub(crate) enum LastCommand {
    /// Start the run.
    Run,
    /// Resume the paused run.
    Resume,
    /// Continue the run with the reply to its call.
    CompleteCall { call: PendingCall, reply: Bytes },
    /// Continue the run without its call; the number is that of the notice that reported the need for it.
    SkipCall(u64),
}

impl LastCommand {
    /// Returns whether the command may be sent twice. A second start runs a request again whose run has ended. A second
    /// reply does not identify its call, so the run takes it as the reply to its next call if it has reached that.
    fn is_repeatable(&self, is_idempotent: bool) -> bool {
        match self {
            LastCommand::Run => is_idempotent,
            LastCommand::CompleteCall { .. } => false,
            LastCommand::Resume | LastCommand::SkipCall(_) => true,
        }
    }
}

/// What is known about the delivery of a run's last command to the interpreter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandDelivery {
    /// The command has not been written to a connection.
    Unsent,
    /// The command was sent on the current connection, as the command of this number.
    CurrentConnection { number: u64 },
    /// The command was sent on a connection that broke at the time `since`. Either the command or the notice that the
    /// run has ended may be lost.
    Uncertain { since: Time },
    /// The command was sent on a connection that broke, but a gauge query sent after it was answered before that, so
    /// the interpreter has received it.
    Confirmed,
}

/// What is known about the commands of a connection when it breaks. Commands and gauge queries are numbered together, in
/// the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeliveryEvidence {
    /// The number of the last gauge query that was answered. The interpreter has received all commands before it.
    pub last_answered_query: u64,
    /// The number of the last command of which any part may have been written.
    pub last_written: u64,
}

/// A dependency call that a run needs.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    /// The number of the notice that reported the need for the call.
    pub index: u64,
    /// The body to send to the store.
    pub body: Bytes,
}

/// A dependency call that the store link is making.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightCall {
    pub id: CallId,
    pub started: Time,
    /// When the event loop abandons the call if it has not ended.
    pub deadline: Time,
}

/// A run that has been requested from the interpreter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// When the run was first started. Pausing and resuming do not change it.
    pub started: Time,
    /// Whether the controller has requested that the run be stopped. Remains set until the run ends, even if the run
    /// needs a call before the interpreter has processed the stop.
    pub stop_requested: bool,
}

/// The state of a request's execution.
#[derive(Clone, Debug)]
pub(crate) enum ExecutionState {
    /// The request waits for the controller's decision.
    Queued,
    /// The interpreter runs the request, or the command to run it is on its way.
    Running {
        run: Run,
        last_command: LastCommand,
        delivery: CommandDelivery,
    },
    /// The run was stopped at the controller's request, and can be resumed.
    Paused { started: Time },
    /// The run needs a call that is not in flight.
    AwaitingCall { run: Run, call: PendingCall },
    /// The run needs a call that is in flight.
    Calling {
        run: Run,
        call: PendingCall,
        in_flight: InFlightCall,
    },
    /// The request waits for the result of another attempt with the same key.
    AwaitingResult { since: Time },
}

/// The effect of a notice that a run needs a call.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CallRequirement {
    /// The run waits for a call from now on.
    New,
    /// The call replaces the one that the run waited for, which is returned if it was in flight.
    Replaces(Option<InFlightCall>),
    /// The request has no run, so the notice is ignored.
    Ignored,
}

impl ExecutionState {
    /// Starts a queued request or resumes a paused one. Returns `false` in any other state.
    pub fn start_run(&mut self, now: Time, delivery: CommandDelivery) -> bool {
        let (started, last_command) = match self {
            ExecutionState::Queued => (now, LastCommand::Run),
            ExecutionState::Paused { started } => (*started, LastCommand::Resume),
            _ => return false,
        };
        *self = ExecutionState::Running {
            run: Run {
                started,
                stop_requested: false,
            },
            last_command,
            delivery,
        };
        true
    }

    /// Records that a running request is to be stopped. Returns `false` in any other state.
    pub fn request_stop(&mut self) -> bool {
        let ExecutionState::Running { run, .. } = self else {
            return false;
        };
        run.stop_requested = true;
        true
    }

    /// Records that the run needs a call. If the run already waited for one, it has received the reply to that call after
    /// all, although the reply counted as possibly lost and the call was to be made again. The new call therefore
    /// replaces the pending one, whose reply would otherwise answer it.
    pub fn require_call(&mut self, call: PendingCall) -> CallRequirement {
        let (run, requirement) = match self {
            ExecutionState::Running { run, .. } => (*run, CallRequirement::New),
            ExecutionState::AwaitingCall { run, .. } => (*run, CallRequirement::Replaces(None)),
            ExecutionState::Calling { run, in_flight, .. } => {
                (*run, CallRequirement::Replaces(Some(*in_flight)))
            }
            _ => return CallRequirement::Ignored,
        };
        *self = ExecutionState::AwaitingCall { run, call };
        requirement
    }

    /// Records that the call that the run waits for is in flight.
    pub fn begin_call(&mut self, in_flight: InFlightCall) {
        *self = match std::mem::replace(self, ExecutionState::Queued) {
            ExecutionState::AwaitingCall { run, call } => ExecutionState::Calling {
                run,
                call,
                in_flight,
            },
            other => other,
        };
    }

    /// Records that the call in flight has ended or was abandoned, and returns it. The run then waits until the call is
    /// retried, skipped or replaced.
    pub fn end_call(&mut self) -> Option<InFlightCall> {
        match std::mem::replace(self, ExecutionState::Queued) {
            ExecutionState::Calling {
                run,
                call,
                in_flight,
            } => {
                *self = ExecutionState::AwaitingCall { run, call };
                Some(in_flight)
            }
            other => {
                *self = other;
                None
            }
        }
    }

    /// Resumes a run that waits for a call; `command` returns the command to send. Returns `false` in any other state.
    pub fn resume_run(
        &mut self,
        command: impl FnOnce(&PendingCall) -> LastCommand,
        delivery: CommandDelivery,
    ) -> bool {
        let (ExecutionState::AwaitingCall { run, call }
        | ExecutionState::Calling { run, call, .. }) = self
        else {
            return false;
        };
        *self = ExecutionState::Running {
            run: *run,
            last_command: command(call),
            delivery,
        };
        true
    }

    /// Records that the run was stopped before it completed. It is paused, or queued to restart from the beginning.
    pub fn preempt(&mut self, preemption: Preemption) {
        let Some(run) = self.run() else {
            return;
        };
        *self = match preemption {
            Preemption::Pause => ExecutionState::Paused {
                started: run.started,
            },
            _ => ExecutionState::Queued,
        };
    }

    /// Lets a queued request wait for another attempt's result.
    pub fn await_result(&mut self, now: Time) {
        if matches!(self, ExecutionState::Queued) {
            *self = ExecutionState::AwaitingResult { since: now };
        }
    }

    /// Records what is known about the delivery of the last command when its connection breaks at the time `now`. A
    /// command that the interpreter has received must not be resent: a run that ends before the command arrives would be
    /// started again, and a run that already waits for its next call would take the reply to the earlier call as the
    /// reply to that one.
    pub fn classify_delivery(&mut self, evidence: DeliveryEvidence, now: Time) {
        let ExecutionState::Running { delivery, .. } = self else {
            return;
        };
        if let CommandDelivery::CurrentConnection { number } = *delivery {
            *delivery = if number < evidence.last_answered_query {
                CommandDelivery::Confirmed
            } else if number > evidence.last_written {
                CommandDelivery::Unsent
            } else {
                CommandDelivery::Uncertain { since: now }
            };
        }
    }

    /// Records that the notice of a run's end may be lost although the command to start the run was received, so that
    /// the command is resent. Applies only to a run that may be started again.
    pub fn mark_start_uncertain(&mut self, now: Time) {
        if !self.is_starting() {
            return;
        }
        if let ExecutionState::Running { delivery, .. } = self {
            if *delivery == CommandDelivery::Confirmed {
                *delivery = CommandDelivery::Uncertain { since: now };
            }
        }
    }

    /// Records that the last command is sent on a new connection, unless the interpreter has received it, or may have
    /// received it and must not receive it twice.
    pub fn mark_resent(&mut self, sent: CommandDelivery, is_idempotent: bool) {
        let ExecutionState::Running {
            last_command,
            delivery,
            ..
        } = self
        else {
            return;
        };
        let is_resent = match delivery {
            CommandDelivery::Unsent => true,
            CommandDelivery::Uncertain { .. } => last_command.is_repeatable(is_idempotent),
            CommandDelivery::CurrentConnection { .. } | CommandDelivery::Confirmed => false,
        };
        if is_resent {
            *delivery = sent;
        }
    }

    /// Returns since when the run is in doubt: it is unknown whether the interpreter has received the last command, and
    /// that command must not be sent twice. Returns `None` if the run is not in doubt.
    pub fn in_doubt_since(&self, is_idempotent: bool) -> Option<Time> {
        match self {
            ExecutionState::Running {
                last_command,
                delivery: CommandDelivery::Uncertain { since },
                ..
            } if !last_command.is_repeatable(is_idempotent) => Some(*since),
            _ => None,
        }
    }

    /// Lets a run wait again for the call whose reply it may not have received. Returns `false` if the last command was
    /// not the reply to a call.
    pub fn require_call_again(&mut self) -> bool {
        let ExecutionState::Running {
            run,
            last_command: LastCommand::CompleteCall { call, .. },
            ..
        } = self
        else {
            return false;
        };
        *self = ExecutionState::AwaitingCall {
            run: *run,
            call: call.clone(),
        };
        true
    }

    /// Returns the run, if there is one that has neither ended nor been paused.
    pub fn run(&self) -> Option<Run> {
        match self {
            ExecutionState::Running { run, .. }
            | ExecutionState::AwaitingCall { run, .. }
            | ExecutionState::Calling { run, .. } => Some(*run),
            ExecutionState::Queued
            | ExecutionState::Paused { .. }
            | ExecutionState::AwaitingResult { .. } => None,
        }
    }

    /// Returns the delivery of a running request's last command.
    pub fn delivery(&self) -> Option<CommandDelivery> {
        match self {
            ExecutionState::Running { delivery, .. } => Some(*delivery),
            _ => None,
        }
    }

    /// Returns whether the last command was to start the run, rather than to resume or continue it.
    pub fn is_starting(&self) -> bool {
        matches!(
            self,
            ExecutionState::Running {
                last_command: LastCommand::Run,
                ..
            }
        )
    }

    /// Returns whether the notice of the run's end may be among the lost ones. It is `false` for an idempotent run
    /// whose last command was to start, because starting it again does no harm. A run that waits for a call can have
    /// ended only if no answer is due to its client.
    pub fn may_have_ended_unnoticed(&self, is_idempotent: bool, owes_reply: bool) -> bool {
        match self {
            ExecutionState::Running {
                delivery: CommandDelivery::Unsent | CommandDelivery::CurrentConnection { .. },
                ..
            } => false,
            ExecutionState::Running { run, .. } if self.is_starting() && !run.stop_requested => {
                !is_idempotent
            }
            ExecutionState::Running { .. } => true,
            ExecutionState::AwaitingCall { .. } | ExecutionState::Calling { .. } => !owes_reply,
            ExecutionState::Queued
            | ExecutionState::Paused { .. }
            | ExecutionState::AwaitingResult { .. } => false,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/execution.rs"]
mod tests;
