//! Test doubles on loopback for a server's peers, and fixtures that run the server itself.
//!
//! - [`server_fixture`] starts the server process with the mocks of its peers; [`fleet`] starts several servers
//!   that are members of one another.
//! - Mocks ([`mock_interpreter`], [`mock_store`], [`mock_registration`]) are driven by a test step by step.
//! - Stubs ([`auto_stubs`], [`replica`], [`recording_server`]) answer by themselves.
//! - [`http1`] and [`http2`] are clients; [`proxy`] and [`relay`] inject faults into TCP connections and
//!   datagrams; [`capture`] builds packet captures.
//! - [`example_peers`] holds the peers that the example program runs.
//!
//! For tests, the example and measurements only. A double that meets an unexpected message or waits longer than
//! its timeout panics, which fails the test.
#![forbid(unsafe_code)]

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
