//! The state machine of one request's execution.
//!
//! Every transition is a method of [`ExecutionState`]. The event loop does the rest of a transition: commands to the
//! interpreter, dependency calls and events for the admission controller.

use crate::peers::store::CallId;
use bytes::Bytes;
use heathspur::{Preemption, Time};

/// The last command of a run, kept so that it can be sent again on a new link.
#[derive(Clone, Debug)]
pub(crate) enum LastCommand {
    /// Start the run.
    Run,
    /// Resume the paused run.
    Resume,
    /// Continue the run with the reply of its call.
    CompleteCall(Bytes),
    /// Continue the run without the call that the notice of this number asked for.
    SkipCall(u64),
}

/// The delivery of a run's last command, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandDelivery {
    /// No link that carried it has broken: it was sent on the current link before the gauge query of this number, or
    /// it has not been sent yet.
    CurrentLink { before_query: u64 },
    /// Sent on a link that broke: the command may be lost, or the notice that the run has ended.
    Uncertain,
    /// Sent on a link that broke after it had answered a later query: the interpreter has it.
    Confirmed,
}

/// A dependency call that a run needs.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    /// The number of the notice that asked for it.
    pub index: u64,
    pub body: Bytes,
}

/// A dependency call that the store link carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightCall {
    pub id: CallId,
    pub started: Time,
    /// When the event loop gives it up.
    pub deadline: Time,
}

/// A run that the interpreter has been asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// When it was started first; a pause does not change it.
    pub started: Time,
    /// Whether the controller has asked to stop it. It stays set until the run ends, also when the run needs a call
    /// before the interpreter has seen the stop.
    pub stop_requested: bool,
}

/// The state of a request's execution.
#[derive(Clone, Debug)]
pub(crate) enum ExecutionState {
    /// Waits for the controller's decision.
    Queued,
    /// The interpreter runs it, or is about to.
    Running {
        run: Run,
        last_command: LastCommand,
        delivery: CommandDelivery,
    },
    /// Stopped by the controller; its run can be continued.
    Paused { started: Time },
    /// Its run needs a call that is not in flight.
    AwaitingCall { run: Run, call: PendingCall },
    /// Its run needs a call that is in flight.
    Calling {
        run: Run,
        call: PendingCall,
        in_flight: InFlightCall,
    },
    /// Waits for the result of another attempt with the same key.
    AwaitingResult { since: Time },
}

/// How a run's need for a call changed the state.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CallRequirement {
    /// A running request waits for a call now.
    New,
    /// It replaces the call that the run waited for, which may be in flight.
    Replaces(Option<InFlightCall>),
    /// The request has no run.
    Ignored,
}

impl ExecutionState {
    /// Starts a queued request or continues a paused one; false in any other state.
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

    /// Marks a running request to be stopped; false in any other state.
    pub fn request_stop(&mut self) -> bool {
        let ExecutionState::Running { run, .. } = self else {
            return false;
        };
        run.stop_requested = true;
        true
    }

    /// The run needs a call. A run that already waited for one has taken the repeated reply of an earlier call for
    /// the reply of this one, so the new call replaces it; else all later replies would come one call late.
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

    /// The call that the run waits for is in flight now.
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

    /// The call in flight has ended or was given up: the run waits for it to be made again or replaced.
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

    /// Resumes a run that needs a call, with the command that follows from the call; false in any other state.
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

    /// The run was stopped before its end: it is paused, or will start anew.
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

    /// A queued request waits for another attempt's result from now on.
    pub fn await_result(&mut self, now: Time) {
        if matches!(self, ExecutionState::Queued) {
            *self = ExecutionState::AwaitingResult { since: now };
        }
    }

    /// The link broke after it had answered the gauge query `last_answered`. A reply to a call names no call, so one
    /// that the interpreter has must not be sent again: the run may wait for its next call by then. Any other command
    /// may be sent twice.
    pub fn mark_uncertain(&mut self, last_answered: u64) {
        let ExecutionState::Running {
            last_command,
            delivery,
            ..
        } = self
        else {
            return;
        };
        *delivery = match (*delivery, last_command) {
            (CommandDelivery::Confirmed, _) => CommandDelivery::Confirmed,
            (CommandDelivery::CurrentLink { before_query }, LastCommand::CompleteCall(_))
                if before_query <= last_answered =>
            {
                CommandDelivery::Confirmed
            }
            _ => CommandDelivery::Uncertain,
        };
    }

    /// The last command is about to be sent on a new link, unless the interpreter is known to have it.
    pub fn mark_resent(&mut self, sent: CommandDelivery) {
        if let ExecutionState::Running { delivery, .. } = self {
            if *delivery != CommandDelivery::Confirmed {
                *delivery = sent;
            }
        }
    }

    /// The run, where there is one that has not ended or been paused.
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

    /// The delivery of a running request's last command.
    pub fn delivery(&self) -> Option<CommandDelivery> {
        match self {
            ExecutionState::Running { delivery, .. } => Some(*delivery),
            _ => None,
        }
    }

    /// Whether the run was started by the last command, not resumed or continued.
    pub fn is_starting(&self) -> bool {
        matches!(
            self,
            ExecutionState::Running {
                last_command: LastCommand::Run,
                ..
            }
        )
    }

    /// Whether the notice of the run's end may be among those that were lost. A run that may simply be started again
    /// does no harm, and one that waits for a call ends there only once its client is owed no reply.
    pub fn may_have_ended_unnoticed(&self, is_idempotent: bool, owes_reply: bool) -> bool {
        match self {
            ExecutionState::Running {
                delivery: CommandDelivery::CurrentLink { .. },
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
