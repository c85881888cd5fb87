//! A running server process with the mocks of its peers.

use crate::config::{server_config, write_config_file};
use crate::http1::Http1Client;
use crate::loopback::{accept, bind_loopback, EVENT_TIMEOUT};
use crate::mock_interpreter::MockInterpreter;
use crate::mock_registration::mock_registration;
use crate::process::{server_command, ProcessGuard};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Instant;

/// The server process under test, its configuration and the listeners of its peers.
///
/// Dropping the fixture kills the process and removes the configuration file.
pub struct ServerFixture {
    /// The server process.
    pub process: ProcessGuard,
    /// Where the server listens for HTTP/1.1.
    pub address: SocketAddr,
    /// The listener to which the server connects for the interpreter.
    pub interpreter_listener: TcpListener,
    /// The listener to which the server connects for the store.
    pub store_listener: TcpListener,
    /// Reports that the mock registration service received.
    pub registration_reports: Receiver<Value>,
    /// Log lines about membership and failover that came before the line with the listen address.
    pub startup_lines: Vec<String>,
    /// Log lines after the one with the listen address.
    pub log_lines: Receiver<String>,
    /// The configuration; a change takes effect with [`reload_config`](Self::reload_config).
    pub config: Value,
    /// The path of the configuration file.
    pub config_file: PathBuf,
}

impl Drop for ServerFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config_file);
    }
}

impl ServerFixture {
    /// Starts a server with the default configuration.
    ///
    /// # Panics
    ///
    /// Panics, as all start functions do, if the server does not log its listen address within [`EVENT_TIMEOUT`].
    pub fn start() -> ServerFixture {
        ServerFixture::start_with_config(|_| {})
    }

    /// Starts a server with an edited configuration.
    pub fn start_with_config(edit: impl FnOnce(&mut Value)) -> ServerFixture {
        ServerFixture::spawn(edit, None)
    }

    /// Starts a server with an operator's file.
    pub fn start_with_operator_file(operator_file: &Path) -> ServerFixture {
        ServerFixture::spawn(|_| {}, Some(operator_file))
    }

    /// Starts a server with an operator's file and an edited configuration.
    pub fn start_with_operator_file_and_config(
        operator_file: &Path,
        edit: impl FnOnce(&mut Value),
    ) -> ServerFixture {
        ServerFixture::spawn(edit, Some(operator_file))
    }

    fn spawn(edit: impl FnOnce(&mut Value), operator_file: Option<&Path>) -> ServerFixture {
        let (interpreter_listener, store_listener, registration_listener) =
            (bind_loopback(), bind_loopback(), bind_loopback());
        let mut config = server_config(
            local_address(&interpreter_listener),
            local_address(&registration_listener),
            local_address(&store_listener),
        );
        edit(&mut config);
        let config_file = write_config_file(&config.to_string());
        let mut command = server_command(&config_file);
        if let Some(operator_file) = operator_file {
            command.args(["serve", "--operator"]).arg(operator_file);
        }
        let mut child = command.spawn().expect("spawn the server process");
        let (line_sender, log_lines) = mpsc::channel();
        let stderr = child
            .stderr
            .take()
            .expect("the server's standard error is piped");
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let _ = line_sender.send(line);
            }
        });
        let registration_reports = mock_registration(registration_listener);
        let process = ProcessGuard(child);
        // With membership enabled, its first log lines may precede the listen address.
        let mut startup_lines = Vec::new();
        let listen_line = loop {
            let line = log_lines
                .recv_timeout(EVENT_TIMEOUT)
                .expect("the server logs its listen address");
            if !line.contains("members: ") && !line.contains("failover: ") {
                break line;
            }
            startup_lines.push(line);
        };
        let address = trailing_address(&listen_line);
        ServerFixture {
            process,
            address,
            interpreter_listener,
            store_listener,
            registration_reports,
            startup_lines,
            log_lines,
            config,
            config_file,
        }
    }

    /// Moves all peers to new addresses: binds new listeners, rewrites the configuration file and has the server
    /// reload it. Returns the reports that the new mock registration service receives.
    pub fn replace_peer_addresses(&mut self) -> Receiver<Value> {
        let registration_listener = bind_loopback();
        (self.interpreter_listener, self.store_listener) = (bind_loopback(), bind_loopback());
        self.config["vm"] = json!(local_address(&self.interpreter_listener));
        self.config["store"] = json!(local_address(&self.store_listener));
        self.config["announce"] = json!(local_address(&registration_listener));
        self.reload_config();
        mock_registration(registration_listener)
    }

    /// Writes [`config`](Self::config) to the configuration file and sends the server `SIGHUP`.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written.
    pub fn reload_config(&self) {
        std::fs::write(&self.config_file, self.config.to_string()).unwrap_or_else(|e| {
            panic!(
                "write the configuration to {}: {e}",
                self.config_file.display()
            )
        });
        self.process.signal("HUP");
    }

    /// Waits until the server logs where it listens for another protocol, and returns that address.
    ///
    /// # Panics
    ///
    /// Panics if no such line is logged within [`EVENT_TIMEOUT`].
    pub fn wait_for_listen_address(&self) -> SocketAddr {
        trailing_address(&self.wait_for_log("listening for"))
    }

    /// Waits for a log line that contains `text`, and returns it. Lines before it are discarded.
    ///
    /// # Panics
    ///
    /// Panics if no such line is logged within [`EVENT_TIMEOUT`].
    pub fn wait_for_log(&self, text: &str) -> String {
        let start = Instant::now();
        loop {
            let line = self
                .log_lines
                .recv_timeout(EVENT_TIMEOUT)
                .unwrap_or_else(|e| panic!("wait for a log line with {text:?}: {e}"));
            // Other lines may keep arriving without end.
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "no log line contains {text:?}"
            );
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Accepts the server's link to the interpreter and completes the handshake.
    ///
    /// # Panics
    ///
    /// Panics if the server does not connect within [`EVENT_TIMEOUT`] or does not send `CONNECT`.
    pub fn accept_link(&self) -> MockInterpreter {
        let mut interpreter = self.accept_link_before_banner();
        interpreter.send(json!({"verb": "BANNER", "outcome": "hot", "spent": 5}));
        interpreter
    }

    /// Accepts the server's link to the interpreter and reads `CONNECT`, without sending `BANNER`.
    ///
    /// # Panics
    ///
    /// Panics if the server does not connect within [`EVENT_TIMEOUT`] or does not send `CONNECT`.
    pub fn accept_link_before_banner(&self) -> MockInterpreter {
        let stream = accept(&self.interpreter_listener);
        let mut interpreter = MockInterpreter {
            reader: BufReader::new(stream),
            resume_index: 0,
            last_index: 0,
        };
        let connect = interpreter.read_any_command();
        assert_eq!(connect["verb"], "CONNECT");
        interpreter.resume_index = connect["index"]
            .as_u64()
            .expect("the index of CONNECT is an integer");
        interpreter.last_index = interpreter.resume_index;
        interpreter
    }

    /// Opens a client connection to the server.
    pub fn connect_client(&self) -> Http1Client {
        Http1Client::connect(self.address)
    }
}

fn local_address(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("read the listener's local address")
}

/// Parses the address at the end of a log line.
fn trailing_address(line: &str) -> SocketAddr {
    let address = line.rsplit(' ').next().unwrap_or(line);
    address
        .parse()
        .unwrap_or_else(|e| panic!("parse the listen address of {line:?}: {e}"))
}
