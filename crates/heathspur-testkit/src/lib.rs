//! Stand-ins on loopback: all that a server talks to, scripted or by itself; callers; captures made up and
//! damaged; a server that keeps what it is sent; a proxy that breaks connections byte by byte.
//!
//! For tests, the example and measurements. A stand-in that is not met as it expects panics: that fails the
//! test which it stands in for.
#![forbid(unsafe_code)]
#![allow(missing_docs)]

pub mod auto_stubs;
pub mod capture;
pub mod config;
pub mod example_peers;
pub mod fleet;
pub mod http1;
pub mod http2;
pub mod loopback;
pub mod mock_interpreter;
pub mod mock_registration;
pub mod mock_store;
pub mod prelude;
pub mod process;
pub mod proxy;
pub mod recording_server;
pub mod relay;
pub mod replica;
pub mod server_fixture;
