//! State of one connection of a replay.

use crate::event::Failure;
use crate::Nanos;
use std::cmp::Reverse;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Away,
    Connecting,
    Up,
    Waiting,
}

#[derive(Clone, Debug)]
pub(crate) struct Lane {
    pub(crate) state: State,
    pub(crate) failures: u32,
    pub(crate) failure: Failure,
    /// Its next request, by its place among its own.
    pub(crate) next: usize,
    /// Requests sent and not answered, oldest first.
    pub(crate) open: VecDeque<usize>,
    /// When the latest answer came.
    pub(crate) answered: Option<Nanos>,
    /// When it is looked at next; older timers of it are void.
    pub(crate) wake: Option<Nanos>,
    /// Its place among those that may be closed to make room.
    pub(crate) idle: Option<(Reverse<Nanos>, usize)>,
}
