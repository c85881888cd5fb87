//! The JSON messages of the simulator's line protocol.

pub(crate) mod incoming;
pub(crate) mod outgoing;
