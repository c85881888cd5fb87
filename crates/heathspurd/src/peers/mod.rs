//! Connections to the services that the server depends on: the interpreter, the store and the registration service.
//!
//! Each peer has its own task or tasks, so that the event loop never waits for a peer. No peer is trusted: its messages
//! are limited in size and validated before they reach the event loop.

pub(crate) mod connection;
pub(crate) mod interpreter;
pub(crate) mod registration;
pub(crate) mod store;
