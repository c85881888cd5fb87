//! The program under test with its stand-ins.

use crate::config::{server_config, write_config_file};
use crate::http1::Client;
use crate::loopback::{accept, bind_loopback, EVENT_TIMEOUT};
use crate::mock_interpreter::Vm;
use crate::mock_registration::announce_at;
use crate::process::{server_command, ProcessGuard};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Instant;

/// The program under test with its stand-ins.
pub struct Rig {
    pub process: ProcessGuard,
    pub address: SocketAddr,
    pub vm: TcpListener,
    pub store: TcpListener,
    /// Reports that reached the announce service.
    pub reports: Receiver<Value>,
    /// Lines of the log before the one that says where it listens.
    pub early: Vec<String>,
    pub lines: Receiver<String>,
    pub config: Value,
    /// The configuration's file.
    pub file: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Rig {
    pub fn start() -> Rig {
        Rig::with(|_| {})
    }

    pub fn with(edit: impl FnOnce(&mut Value)) -> Rig {
        Rig::run(edit, None)
    }

    /// With an operator's file.
    pub fn operated(operator: &std::path::Path) -> Rig {
        Rig::run(|_| {}, Some(operator))
    }

    /// With both.
    pub fn operated_with(operator: &std::path::Path, edit: impl FnOnce(&mut Value)) -> Rig {
        Rig::run(edit, Some(operator))
    }

    fn run(edit: impl FnOnce(&mut Value), operator: Option<&std::path::Path>) -> Rig {
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
        let reports = announce_at(announce);
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
        Rig {
            process,
            address,
            vm,
            store,
            reports,
            early,
            lines,
            config,
            file,
        }
    }

    /// New addresses for all peers: the configuration's file is replaced and the program told so.
    pub fn move_peers(&mut self) -> Receiver<Value> {
        let announce = bind_loopback();
        (self.vm, self.store) = (bind_loopback(), bind_loopback());
        self.config["vm"] = json!(self.vm.local_addr().unwrap());
        self.config["store"] = json!(self.store.local_addr().unwrap());
        self.config["announce"] = json!(announce.local_addr().unwrap());
        self.replace_config();
        announce_at(announce)
    }

    /// The configuration's file is replaced and the program told so.
    pub fn replace_config(&self) {
        std::fs::write(&self.file, self.config.to_string()).unwrap();
        self.process.signal("HUP");
    }

    /// Where it listens for another protocol, as it says next.
    pub fn further(&self) -> SocketAddr {
        self.logs("listening for")
            .rsplit(' ')
            .next()
            .unwrap()
            .parse()
            .unwrap()
    }

    /// Waits for a line of the log that holds these words, and gives it.
    pub fn logs(&self, words: &str) -> String {
        let start = Instant::now();
        loop {
            let line = self.lines.recv_timeout(EVENT_TIMEOUT).expect(words);
            // Others may come for ever.
            assert!(start.elapsed() < EVENT_TIMEOUT, "no line holds {words:?}");
            if line.contains(words) {
                return line;
            }
        }
    }

    /// The interpreter's end of a link that is up.
    pub fn link(&self) -> Vm {
        let mut vm = self.open_link();
        vm.say(json!({"verb": "BANNER", "outcome": "hot", "spent": 5}));
        vm
    }

    /// The same before `BANNER`.
    pub fn open_link(&self) -> Vm {
        let stream = accept(&self.vm);
        let mut vm = Vm {
            reader: BufReader::new(stream),
            resumed_at: 0,
            index: 0,
        };
        let hello = vm.line();
        assert_eq!(hello["verb"], "CONNECT");
        vm.resumed_at = hello["index"].as_u64().unwrap();
        vm.index = vm.resumed_at;
        vm
    }

    pub fn client(&self) -> Client {
        Client::to(self.address)
    }
}
