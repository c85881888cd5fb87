//! The connections to the peers of a server: interpreter, store and registration service.

pub(crate) mod connection;
pub(crate) mod interpreter;
pub(crate) mod notice_sequence;
pub(crate) mod registration;
pub(crate) mod store;
