//! Connections to the services that the server depends on: interpreter, store and announce service.
//!
//! Each peer has a task or tasks of its own, so that the event loop never waits for a peer. No peer is trusted: what
//! it sends is bounded and checked before it reaches the event loop.

pub(crate) mod connection;
pub(crate) mod interpreter;
pub(crate) mod registration;
pub(crate) mod store;
