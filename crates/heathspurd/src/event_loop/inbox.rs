//! What reaches the owner beside requests.

use crate::peers::interpreter;
use crate::peers::store;
use heathspur::RequestId;

/// What happened.
#[derive(Debug)]
pub(crate) enum LoopEvent {
    /// The caller of a request is gone.
    ClientDisconnected(RequestId),
    /// A connection has closed, and somebody waits for the last one.
    ConnectionClosed,
    Interpreter(interpreter::InterpreterEvent),
    Store(store::CallCompleted),
}

impl From<interpreter::InterpreterEvent> for LoopEvent {
    fn from(heard: interpreter::InterpreterEvent) -> LoopEvent {
        LoopEvent::Interpreter(heard)
    }
}

impl From<RequestId> for LoopEvent {
    fn from(gone: RequestId) -> LoopEvent {
        LoopEvent::ClientDisconnected(gone)
    }
}

impl From<()> for LoopEvent {
    fn from((): ()) -> LoopEvent {
        LoopEvent::ConnectionClosed
    }
}

impl From<store::CallCompleted> for LoopEvent {
    fn from(called: store::CallCompleted) -> LoopEvent {
        LoopEvent::Store(called)
    }
}
