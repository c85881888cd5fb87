//! The messages of the simulator's line protocol, with the names of the wire.

pub(crate) mod incoming;
pub(crate) mod outgoing;
