//! The events that reach the event loop beside requests.

use crate::peers::interpreter;
use crate::peers::store;
use heathspur::RequestId;

/// An event from a front end or a peer.
#[derive(Debug)]
pub(crate) enum LoopEvent {
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A connection has closed while the server drains.
    ConnectionClosed,
    Interpreter(interpreter::Event),
    Store(store::Event),
}

impl From<interpreter::Event> for LoopEvent {
    fn from(event: interpreter::Event) -> LoopEvent {
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

impl From<store::Event> for LoopEvent {
    fn from(event: store::Event) -> LoopEvent {
        LoopEvent::Store(event)
    }
}
