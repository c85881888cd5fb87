//! The events that the event loop receives in addition to requests.

use crate::peers::interpreter;
use crate::peers::store;
use heathspur::RequestId;

/// An event from a frontend or a peer.
#[derive(Debug)]
pub(crate) enum LoopEvent {
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A connection has closed while the server drains.
    ConnectionClosed,
    /// The link to the interpreter has reported an event.
    Interpreter(interpreter::InterpreterEvent),
    /// A dependency call has ended.
    Store(store::CallCompleted),
}

impl From<interpreter::InterpreterEvent> for LoopEvent {
    fn from(event: interpreter::InterpreterEvent) -> LoopEvent {
        LoopEvent::Interpreter(event)
    }
}

impl From<RequestId> for LoopEvent {
    fn from(id: RequestId) -> LoopEvent {
        LoopEvent::ClientDisconnected(id)
    }
}

impl From<()> for LoopEvent {
    fn from((): ()) -> LoopEvent {
        LoopEvent::ConnectionClosed
    }
}

impl From<store::CallCompleted> for LoopEvent {
    fn from(event: store::CallCompleted) -> LoopEvent {
        LoopEvent::Store(event)
    }
}
