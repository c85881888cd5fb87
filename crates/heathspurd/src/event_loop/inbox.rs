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
    Interpreter(interpreter::Event),
    Store(store::Event),
}

impl From<interpreter::Event> for LoopEvent {
    fn from(heard: interpreter::Event) -> LoopEvent {
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

impl From<store::Event> for LoopEvent {
    fn from(called: store::Event) -> LoopEvent {
        LoopEvent::Store(called)
    }
}
