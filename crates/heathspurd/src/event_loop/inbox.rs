//! What reaches the owner beside requests.

use crate::peers::interpreter;
use crate::peers::store;
use heathspur::RequestId;

/// What happened.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// The caller of a request is gone.
    Gone(RequestId),
    /// A connection has closed, and somebody waits for the last one.
    Closed,
    Interpreter(interpreter::Event),
    Store(store::Event),
}

impl From<interpreter::Event> for OwnerEvent {
    fn from(heard: interpreter::Event) -> OwnerEvent {
        OwnerEvent::Interpreter(heard)
    }
}

impl From<RequestId> for OwnerEvent {
    fn from(gone: RequestId) -> OwnerEvent {
        OwnerEvent::Gone(gone)
    }
}

impl From<()> for OwnerEvent {
    fn from((): ()) -> OwnerEvent {
        OwnerEvent::Closed
    }
}

impl From<store::Event> for OwnerEvent {
    fn from(called: store::Event) -> OwnerEvent {
        OwnerEvent::Store(called)
    }
}
