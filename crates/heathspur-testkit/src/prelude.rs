//! The names of the server's fixture and of its scripted stand-ins, for one glob import.

pub use crate::config::{config, settings, write_config};
pub use crate::http1::{request, unix_ms, Client, Fields};
pub use crate::loopback::{accept, local, NEVER};
pub use crate::mock_interpreter::Vm;
pub use crate::mock_registration::announce_at;
pub use crate::mock_store::Store;
pub use crate::process::{built, program, Running};
pub use crate::server_fixture::Rig;
