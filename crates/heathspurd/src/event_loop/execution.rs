//! Where a request stands.

use crate::peers::store::CallId;
use bytes::Bytes;
use heathspur::Time;

/// What the interpreter was told last, in case it must be told again.
#[derive(Clone, Debug)]
pub(crate) enum LastCommand {
    Apply,
    Continue,
    Resolve(Bytes),
    Stub(u64),
}

/// Whether a run is to be stopped. It holds until the run ends, also where the run comes to a call meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Halting {
    No,
    Asked,
}

/// What is known of the command that a run was told last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandDelivery {
    /// On no link that broke: on this one, before the question of this number, or on none yet.
    Here { before: u64 },
    /// On a link that broke, so it may be lost; and what is not heard yet may be that the run has ended.
    InDoubt,
    /// On a link that broke after it had answered a later question: the interpreter has it.
    Taken,
}

/// The call that a run waits for.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    /// The number of the notice that asked for it.
    pub index: u64,
    pub body: Bytes,
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub(crate) enum ExecutionState {
    Held,
    Running {
        since: Time,
        told: LastCommand,
        halting: Halting,
        delivery: CommandDelivery,
    },
    Paused {
        since: Time,
    },
    AtCall {
        since: Time,
        need: PendingCall,
        halting: Halting,
    },
    Calling {
        since: Time,
        need: PendingCall,
        halting: Halting,
        call: CallId,
        made: Time,
        until: Time,
    },
    /// Waits for the result of another try.
    Waiting {
        since: Time,
    },
}
