//! SIGTERM is the notice to drain, SIGHUP that the configuration was replaced.

use async_signal::{Signal, Signals};
use std::io;

/// Listens from now on.
pub(crate) fn notices() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}
