//! The errors that prevent the server from starting or serving.

use crate::config::ConfigError;
use crate::membership::MembershipError;
use std::io;
use std::net::SocketAddr;

/// An error that ends the server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform's configuration is invalid or cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file is invalid or cannot be read.
    #[error(transparent)]
    Operator(#[from] heathspur_config::Error),
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The recording thread could not be started.
    #[error("cannot start the recording thread: {0}")]
    Thread(#[source] io::Error),
    /// The signal handlers could not be installed, or a listening socket could not be registered with the I/O reactor.
    #[error("cannot set up signal handlers or listening sockets: {0}")]
    Signals(#[source] io::Error),
    /// The fleet membership could not be started, because of its settings, its socket or its thread.
    #[error("cannot start the fleet membership: {0}")]
    Membership(#[source] MembershipError),
}

impl Error {
    /// Returns the exit code of the process: 2 for an invalid file, 1 for a failure at the start.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Config(_) | Error::Operator(_) => 2,
            Error::Bind { .. } | Error::Thread(_) | Error::Signals(_) | Error::Membership(_) => 1,
        }
    }
}
