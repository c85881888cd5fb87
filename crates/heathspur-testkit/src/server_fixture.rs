//! The program under test with its stand-ins.

use crate::config::{server_config, write_config_file};
use crate::http1::Http1Client;
use crate::loopback::{accept, bind_loopback, EVENT_TIMEOUT};
use crate::mock_interpreter::MockInterpreter;
use crate::mock_registration::mock_registration;
use crate::process::{server_command, ProcessGuard};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Instant;

/// The program under test with its stand-ins.
pub struct ServerFixture {
    pub process: ProcessGuard,
    pub address: SocketAddr,
    pub interpreter_listener: TcpListener,
    pub store_listener: TcpListener,
    /// Reports that reached the announce service.
    pub registration_reports: Receiver<Value>,
    /// Lines of the log before the one that says where it listens.
    pub startup_lines: Vec<String>,
    pub log_lines: Receiver<String>,
    pub config: Value,
    /// The configuration's file.
    pub config_file: PathBuf,
}

impl Drop for ServerFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config_file);
    }
}

impl ServerFixture {
    pub fn start() -> ServerFixture {
        ServerFixture::start_with_config(|_| {})
    }

    pub fn start_with_config(edit: impl FnOnce(&mut Value)) -> ServerFixture {
        ServerFixture::run(edit, None)
    }

    /// With an operator's file.
    pub fn start_with_operator_file(operator: &std::path::Path) -> ServerFixture {
        ServerFixture::run(|_| {}, Some(operator))
    }

    /// With both.
    pub fn start_with_operator_file_and_config(
        operator: &std::path::Path,
        edit: impl FnOnce(&mut Value),
    ) -> ServerFixture {
        ServerFixture::run(edit, Some(operator))
    }

    fn run(edit: impl FnOnce(&mut Value), operator: Option<&std::path::Path>) -> ServerFixture {
        let (vm, store, announce) = (bind_loopback(), bind_loopback(), bind_loopback());
        let at = |l: &TcpListener| l.local_addr().unwrap();
        let mut config = server_config(at(&vm), at(&announce), at(&store));
        edit(&mut config);
        let file = write_config_file(&config.to_string());
        let mut command = server_command(&file);
        if let Some(operator) = operator {
            command.args(["serve", "--operator"]).arg(operator);
        }
        let mut child = command.spawn().unwrap();
        let (line, lines) = mpsc::channel();
        let stderr = child.stderr.take().unwrap();
        thread::spawn(move || {
            for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                let _ = line.send(text);
            }
        });
        let reports = mock_registration(announce);
        let process = ProcessGuard(child);
        // Where membership is on, its first lines may come before.
        let mut early = Vec::new();
        let said = loop {
            let line = lines
                .recv_timeout(EVENT_TIMEOUT)
                .expect("the server says where it listens");
            if !line.contains("members: ") && !line.contains("failover: ") {
                break line;
            }
            early.push(line);
        };
        let address = said.rsplit(' ').next().unwrap().parse().expect(&said);
        ServerFixture {
            process,
            address,
            interpreter_listener: vm,
            store_listener: store,
            registration_reports: reports,
            startup_lines: early,
            log_lines: lines,
            config,
            config_file: file,
        }
    }

    /// New addresses for all peers: the configuration's file is replaced and the program told so.
    pub fn replace_peer_addresses(&mut self) -> Receiver<Value> {
        let announce = bind_loopback();
        (self.interpreter_listener, self.store_listener) = (bind_loopback(), bind_loopback());
        self.config["vm"] = json!(self.interpreter_listener.local_addr().unwrap());
        self.config["store"] = json!(self.store_listener.local_addr().unwrap());
        self.config["announce"] = json!(announce.local_addr().unwrap());
        self.reload_config();
        mock_registration(announce)
    }

    /// The configuration's file is replaced and the program told so.
    pub fn reload_config(&self) {
        std::fs::write(&self.config_file, self.config.to_string()).unwrap();
        self.process.signal("HUP");
    }

    /// Where it listens for another protocol, as it says next.
    pub fn wait_for_listen_address(&self) -> SocketAddr {
        self.wait_for_log("listening for")
            .rsplit(' ')
            .next()
            .unwrap()
            .parse()
            .unwrap()
    }

    /// Waits for a line of the log that holds these words, and gives it.
    pub fn wait_for_log(&self, words: &str) -> String {
        let start = Instant::now();
        loop {
            let line = self.log_lines.recv_timeout(EVENT_TIMEOUT).expect(words);
            // Others may come for ever.
            assert!(start.elapsed() < EVENT_TIMEOUT, "no line holds {words:?}");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// The interpreter's end of a link that is up.
    pub fn accept_link(&self) -> MockInterpreter {
        let mut vm = self.accept_link_before_banner();
        vm.send(json!({"verb": "BANNER", "outcome": "hot", "spent": 5}));
        vm
    }

    /// The same before `BANNER`.
    pub fn accept_link_before_banner(&self) -> MockInterpreter {
        let stream = accept(&self.interpreter_listener);
        let mut vm = MockInterpreter {
            reader: BufReader::new(stream),
            resume_index: 0,
            last_index: 0,
        };
        let hello = vm.read_any_command();
        assert_eq!(hello["verb"], "CONNECT");
        vm.resume_index = hello["index"].as_u64().unwrap();
        vm.last_index = vm.resume_index;
        vm
    }

    pub fn connect_client(&self) -> Http1Client {
        Http1Client::connect(self.address)
    }
}
