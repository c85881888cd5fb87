//! heathspur's decisions on sockets: one server of a fleet, as a library that others can embed.
//!
//! Front ends (`frontend`) read and check requests. One task (`event_loop`) owns the admission controller and all
//! requests: it has the controller decide, and carries the actions out. The links to peers (`peers`) carry commands
//! and results. Only front ends and links know a protocol.
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

/// The whole program, with its command line. Without arguments it reads the configuration that `NODE_CONFIG`
/// names and serves until it has drained.
pub fn main() -> ExitCode {
    cli::main()
}

/// Serves until a signal to drain has come and all requests are answered. SIGHUP has the configuration's file read
/// again for the addresses of the peers.
///
/// It logs events of `tracing`; an embedding program installs the subscriber.
pub fn serve(config: Config, operator: Operator) -> Result<(), Error> {
    let signals = signals::subscribe().map_err(Error::Signals)?;
    startup::run(signals, config, operator)
}
