//! heathspur's decisions on sockets: one server of a fleet, as a library that others can embed.
//!
//! A request comes through a front (`http1`: read and checked), `admit` (known and linked), `route` (what the module
//! wants done), `send` (to interpreter and store) and `book` (answered, given back). One task (`work`) owns the module
//! and all requests; fronts and links only carry bytes to it and from it, and the owner knows no protocol.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;

mod clock;
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

use async_executor::LocalExecutor;
use async_signal::Signals;
use config::Config;
use heathspur_config::Operator;
use recording::Recording;
use serve::Listeners;
use std::fmt;
use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// The end of the process waits so long for the last blocks of a recording.
const LAST_BLOCKS: Duration = Duration::from_millis(30);

/// Why a server could not do its work.
#[derive(Debug)]
pub enum Fault {
    /// Its configuration can't be used.
    Config(config::Fault),
    /// The operator's file can't be used.
    Operator(heathspur_config::Error),
    /// Its address could not be bound.
    Bind(std::net::SocketAddr, io::Error),
    /// A thread could not be started.
    Thread(io::Error),
    /// The notices of the operators can't be heard.
    Signals(io::Error),
    /// The fleet's view can't be kept: its socket, its settings or its thread.
    Members(io::Error),
}

impl Fault {
    /// The exit code that says so.
    pub fn code(&self) -> u8 {
        match self {
            Fault::Config(_) | Fault::Operator(_) => 2,
            Fault::Bind(..) | Fault::Thread(_) | Fault::Signals(_) | Fault::Members(_) => 1,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Config(fault) => fault.fmt(f),
            Fault::Operator(fault) => fault.fmt(f),
            Fault::Bind(address, e) => write!(f, "cannot listen on {address}: {e}"),
            Fault::Thread(e) => write!(f, "cannot start a thread: {e}"),
            Fault::Signals(e) => write!(f, "cannot hear signals: {e}"),
            Fault::Members(e) => write!(f, "cannot keep the fleet's view: {e}"),
        }
    }
}

impl std::error::Error for Fault {}

/// The whole program, with its command line. Without arguments it reads the configuration that `NODE_CONFIG`
/// names and serves until it is drained.
pub fn main() -> ExitCode {
    cli::main()
}

/// Serves until the process is told to drain and all is answered. SIGHUP has it read the configuration's file
/// again for the addresses of its peers.
///
/// Its log are events of `tracing`; who embeds it brings the subscriber.
pub fn serve(config: Config, operator: Operator) -> Result<(), Fault> {
    serve_from(
        signals::notices().map_err(Fault::Signals)?,
        config,
        operator,
    )
}

/// The same with signals that were heard from before the files were read: none of them ends the process by itself,
/// and a configuration that is replaced meanwhile is read again.
fn serve_from(signals: Signals, config: Config, operator: Operator) -> Result<(), Fault> {
    let bind = |address| TcpListener::bind(address).map_err(|e| Fault::Bind(address, e));
    let listeners = Listeners {
        http1: bind(config.listen)?,
        http2: operator
            .http2
            .clone()
            .map(|http2| Ok((bind(http2.listen)?, http2)))
            .transpose()?,
    };
    let recording = match &operator.record {
        Some(record) => Some(Recording::start(&config.name, record).map_err(Fault::Thread)?),
        None => None,
    };
    let mut peers = serve::Peers::default();
    let membership = match &operator.members {
        Some(members) => {
            let home = operator
                .failover
                .as_ref()
                .and_then(|f| Some((f, f.replica_of(&members.zone)?)));
            let decider = home.map(|(failover, home)| {
                let (decider, ways) = membership::failover::start(failover, home, &members.region);
                peers.ways = Some(ways);
                decider
            });
            Some(membership::Membership::start(members, decider).map_err(Fault::Members)?)
        }
        None => None,
    };
    let tap = recording.as_ref().map(|recording| recording.tap.clone());
    let executor = Rc::new(LocalExecutor::new());
    peers.members = membership.as_ref().map(membership::Membership::handle);
    let serving = serve::serve(executor.clone(), config, listeners, signals, tap, peers);
    let served = async_io::block_on(executor.run(serving));
    // What streams are left hold the tap.
    drop(executor);
    if let Some(membership) = membership {
        membership.stop();
    }
    if let Some(recording) = recording {
        recording.finish(LAST_BLOCKS);
    }
    served.map_err(Fault::Signals)
}
