//! Drives admission controllers over the simulator's line protocol: reads batches of events, passes
//! each event to its server's controller, and writes the controllers' actions.
//!
//! The adapter only converts messages. A line that violates the protocol ends the run with an
//! error.
#![forbid(unsafe_code)]

mod convert;
mod error;
mod messages;
mod session;

pub use error::{Error, LineError};

use session::Session;
use std::io::{BufRead, Write};

/// Processes the input's lines and writes the replies until the input ends.
///
/// # Errors
///
/// Returns an error if reading or writing fails, if a line violates the protocol, or if the input
/// ends inside a batch.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), Error> {
    let mut session = Session::default();
    let mut line = Vec::new();
    let mut number: u64 = 0;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            break;
        }
        number += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = session
            .handle_line(&line)
            .map_err(|source| Error::Line { number, source })?;
        if let Some(reply) = reply {
            output.write_all(reply)?;
            output.flush()?;
        }
    }
    if session.is_in_batch() {
        return Err(Error::TruncatedBatch { number });
    }
    Ok(())
}
