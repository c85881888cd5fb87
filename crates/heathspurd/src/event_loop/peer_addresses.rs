//! The peer addresses that a configuration reload can change.

use crate::config::Config;
use crate::peers::connection::PeerAddress;
use std::rc::Rc;

/// The addresses of the interpreter and of the registration service, shared with the tasks that connect to them.
pub(crate) struct PeerAddresses {
    pub interpreter: Rc<PeerAddress>,
    pub registration: Rc<PeerAddress>,
}

impl PeerAddresses {
    /// Creates the addresses from a configuration.
    pub fn new(config: &Config) -> PeerAddresses {
        PeerAddresses {
            interpreter: Rc::new(PeerAddress::new(config.interpreter)),
            registration: Rc::new(PeerAddress::new(config.registration)),
        }
    }
}
