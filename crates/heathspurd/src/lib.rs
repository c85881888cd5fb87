//! The heathspur server: applies the admission controller to requests on real sockets. It is also a library that other
//! programs can embed.
//!
//! Frontends (`frontend`) read and validate requests. One task (`event_loop`) owns the admission controller and the
//! state of all requests: it passes events to the controller and performs the resulting actions. The links to peers
//! (`peers`) transport commands and results. Only frontends and links implement network protocols.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;

mod clock;
mod error;
mod event_loop;
mod frontend;
mod idempotency;
mod logging;
mod membership;
mod notify;
mod peers;
mod recording;
mod serve;
mod signals;
mod startup;

pub use error::Error;

use config::Config;
use heathspur_config::Operator;
use std::process::ExitCode;

/// Runs the program, including its command line. Without arguments it reads the configuration file whose path is in
/// `NODE_CONFIG`, and serves until it has drained.
pub fn main() -> ExitCode {
    cli::main()
}

/// Serves until SIGTERM or SIGINT has started a drain and all requests are answered. SIGHUP reloads the peers'
/// addresses from the configuration file.
///
/// Log events are emitted through `tracing`; the embedding program must install a subscriber to see them.
pub fn serve(config: Config, operator: Operator) -> Result<(), Error> {
    let signals = signals::subscribe().map_err(Error::Signals)?;
    startup::run(signals, config, operator)
}
