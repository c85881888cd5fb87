//! SIGTERM is the notice to drain.

use async_signal::{Signal, Signals};
use std::io;

/// Listens from now on.
pub(crate) fn drain() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int])
}
