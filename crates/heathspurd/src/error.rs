//! The errors that end the server.

use crate::config::ConfigError;
use crate::membership::MembershipError;
use std::io;
use std::net::SocketAddr;

/// The server could not start, or could not serve.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform's configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file can't be used.
    #[error(transparent)]
    Operator(#[from] heathspur_config::Error),
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// The operators' signals can't be caught, or an event source can't be registered with the reactor.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] io::Error),
    /// The fleet membership could not be started: its socket, its settings or its thread.
    #[error("cannot start the fleet membership: {0}")]
    Membership(#[source] MembershipError),
}

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Config(_) | Error::Operator(_) => 2,
            Error::Bind { .. } | Error::Thread(_) | Error::Signals(_) | Error::Membership(_) => 1,
        }
    }
}
