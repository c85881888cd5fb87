//! Re-exports of the server fixture, the mocks and the HTTP/1.1 client for one glob import.

pub use crate::config::{default_settings, server_config, write_config_file};
pub use crate::http1::{request, unix_ms, Fields, Http1Client};
pub use crate::loopback::{accept, bind_loopback, EVENT_TIMEOUT};
pub use crate::mock_interpreter::MockInterpreter;
pub use crate::mock_registration::mock_registration;
pub use crate::mock_store::MockStore;
pub use crate::process::{program_path, server_command, ProcessGuard};
pub use crate::server_fixture::ServerFixture;
