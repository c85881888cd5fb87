//! The event loop's state that is not a request's: the interpreter's link, due timers, peers' addresses.

use crate::peers::connection::PeerAddress;
use heathspur::{Time, Token};
use std::rc::Rc;

/// Whether commands reach the interpreter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    Down,
    /// Connected; once this question is answered, or it is so late, all notices that were missed have come.
    Resuming(u64, Time),
    /// It is late, and nothing about gauges was heard on this link. What was told on an earlier one is not
    /// told again: it may have ended, and would run twice.
    Late,
    Up,
}

impl LinkState {
    pub fn is_up(self) -> bool {
        matches!(self, LinkState::Up | LinkState::Late)
    }
}

/// A timer of the module that is due and waits for the gauges.
pub(crate) struct PendingTimer {
    pub nonce: u64,
    pub token: Token,
    pub until: Time,
}

/// Where the peers that are called once in a while are found.
pub(crate) struct PeerAddresses {
    pub interpreter: Rc<PeerAddress>,
    pub registration: Rc<PeerAddress>,
}
