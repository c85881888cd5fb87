//! The scripted interpreter.

use crate::loopback::EVENT_TIMEOUT;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Instant;

/// The interpreter's end of a link.
pub struct MockInterpreter {
    pub(crate) reader: BufReader<TcpStream>,
    pub resume_index: u64,
    pub last_index: u64,
}

impl MockInterpreter {
    pub fn send(&mut self, line: Value) {
        let text = format!("{line}\n");
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn send_raw(&mut self, text: &[u8]) {
        self.reader.get_mut().write_all(text).unwrap();
    }

    /// The same; false once nobody takes it any more.
    pub fn try_send_raw(&mut self, text: &[u8]) -> bool {
        self.reader.get_mut().write_all(text).is_ok()
    }

    /// The next command, of whatever kind.
    pub fn read_any_command(&mut self) -> Value {
        let mut line = String::new();
        assert!(
            self.reader.read_line(&mut line).unwrap() > 0,
            "the link was closed"
        );
        serde_json::from_str(&line).unwrap()
    }

    /// The next command that is not about gauges; those are answered.
    pub fn read_command(&mut self) -> Value {
        let start = Instant::now();
        loop {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "no command came but for gauges"
            );
            let command = self.read_any_command();
            if command["verb"] != "TOP" {
                return command;
            }
            self.send(
                json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 0, 0.1, 2]}),
            );
        }
    }

    /// The next command that is not about gauges; those stay unanswered.
    pub fn read_command_ignoring_gauges(&mut self) -> Value {
        let start = Instant::now();
        loop {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "no command came but for gauges"
            );
            let command = self.read_any_command();
            if command["verb"] != "TOP" {
                return command;
            }
        }
    }

    /// All commands yet to come, but for those about gauges, until the server ends the link.
    pub fn read_remaining_commands(mut self) -> Vec<Value> {
        let (start, mut rest, mut line) = (Instant::now(), Vec::new(), String::new());
        while matches!(self.reader.read_line(&mut line), Ok(n) if n > 0) {
            assert!(start.elapsed() < EVENT_TIMEOUT, "the link stays");
            let command: Value = serde_json::from_str(&line).unwrap();
            if command["verb"] != "TOP" {
                rest.push(command);
            }
            line.clear();
        }
        rest
    }

    /// From now on each run ends well at once, until the server ends the link: the tasks that were started then.
    pub fn complete_all_runs(mut self) -> thread::JoinHandle<Vec<String>> {
        thread::spawn(move || {
            let (mut started, mut line) = (Vec::new(), String::new());
            while matches!(self.reader.read_line(&mut line), Ok(n) if n > 0) {
                let command: Value = serde_json::from_str(&line).unwrap();
                let task = command["task"].as_str().unwrap_or_default().to_string();
                match command["verb"].as_str() {
                    Some("APPLY") => {
                        self.send_value(&task, "complete", b"done");
                        started.push(task);
                    }
                    Some("BREAK") => self.send_value(&task, "cancelled", b""),
                    _ => {}
                }
                line.clear();
            }
            started
        })
    }

    /// From now on each run makes one call and ends well with what came of it, until the server ends the link.
    pub fn complete_all_runs_after_call(mut self) {
        thread::spawn(move || {
            let mut line = String::new();
            while matches!(self.reader.read_line(&mut line), Ok(n) if n > 0) {
                let command: Value = serde_json::from_str(&line).unwrap();
                let task = command["task"].as_str().unwrap_or_default();
                let mut reply = match command["verb"].as_str() {
                    Some("APPLY") => {
                        json!({"verb": "AWAIT", "task": task, "bytes": command["bytes"]})
                    }
                    Some("RESOLVE" | "STUB") => {
                        json!({"verb": "VALUE", "task": task, "outcome": "complete", "spent": 3, "bytes": "ZG9uZQ=="})
                    }
                    Some("BREAK") => {
                        json!({"verb": "VALUE", "task": task, "outcome": "cancelled", "spent": 3})
                    }
                    _ => {
                        json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 0, 0.1, 2]})
                    }
                };
                if reply["verb"] != "TOPS" {
                    self.last_index += 1;
                    reply["index"] = json!(self.last_index);
                }
                if !self.try_send_raw(format!("{reply}\n").as_bytes()) {
                    return;
                }
                line.clear();
            }
        });
    }

    /// Answers questions for gauges until the server has asked so many.
    pub fn answer_gauge_queries(&mut self, count: usize) {
        for _ in 0..count {
            let command = self.read_any_command();
            assert_eq!(command["verb"], "TOP", "{command}");
            self.send(
                json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 0, 0.1, 2]}),
            );
        }
    }

    /// The next command, which starts a run: its task, class and body.
    pub fn read_apply(&mut self) -> (String, String, Vec<u8>) {
        let command = self.read_command();
        assert_eq!(command["verb"], "APPLY", "{command}");
        let text = |field: &str| command[field].as_str().unwrap().to_string();
        (
            text("task"),
            text("handler"),
            STANDARD.decode(text("bytes")).unwrap(),
        )
    }

    pub fn send_value(&mut self, task: &str, outcome: &str, body: &[u8]) {
        self.last_index += 1;
        let (index, bytes) = (self.last_index, STANDARD.encode(body));
        self.send(
            json!({"verb": "VALUE", "index": index, "task": task, "outcome": outcome, "spent": 3, "bytes": bytes}),
        );
    }

    /// The run waits for a call; the answer is the notice's number.
    pub fn send_await(&mut self, task: &str, body: &[u8]) -> u64 {
        self.last_index += 1;
        let (index, bytes) = (self.last_index, STANDARD.encode(body));
        self.send(json!({"verb": "AWAIT", "index": index, "task": task, "bytes": bytes}));
        index
    }
}
