//! A mock interpreter, driven by a test command by command.

use crate::loopback::EVENT_TIMEOUT;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Instant;

/// The interpreter's end of a link from the server.
///
/// Reads panic if the link is closed or carries nothing for [`EVENT_TIMEOUT`]; writes panic if it is broken.
pub struct MockInterpreter {
    pub(crate) reader: BufReader<TcpStream>,
    /// The index of the last notice that the server had processed when it connected.
    pub resume_index: u64,
    /// The index of the last notice that was sent.
    pub last_index: u64,
}

impl MockInterpreter {
    /// Sends a message as one line.
    pub fn send(&mut self, message: Value) {
        self.send_raw(format!("{message}\n").as_bytes());
    }

    /// Sends bytes as they are.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.reader
            .get_mut()
            .write_all(bytes)
            .expect("write to the interpreter link");
    }

    /// Sends bytes as they are and returns whether the link took them.
    pub fn try_send_raw(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Reads the next command of any kind.
    pub fn read_any_command(&mut self) -> Value {
        let mut line = String::new();
        let count = self
            .reader
            .read_line(&mut line)
            .expect("read a command from the interpreter link");
        assert!(count > 0, "the server closed the interpreter link");
        parse_command(&line)
    }

    /// Reads the next command that is not a gauge query, and answers the gauge queries before it.
    pub fn read_command(&mut self) -> Value {
        let start = Instant::now();
        loop {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "the server sent only gauge queries for {EVENT_TIMEOUT:?}"
            );
            let command = self.read_any_command();
            if command["verb"] != "TOP" {
                return command;
            }
            self.send(gauges(&command));
        }
    }

    /// Reads the next command that is not a gauge query, and leaves the gauge queries before it unanswered.
    pub fn read_command_ignoring_gauges(&mut self) -> Value {
        let start = Instant::now();
        loop {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "the server sent only gauge queries for {EVENT_TIMEOUT:?}"
            );
            let command = self.read_any_command();
            if command["verb"] != "TOP" {
                return command;
            }
        }
    }

    /// Reads until the server closes the link, and returns all commands but gauge queries, which are not answered.
    pub fn read_remaining_commands(self) -> Vec<Value> {
        self.read_until_closed(|_, _| {})
    }

    /// Answers gauge queries until the server closes the link, and returns all other commands.
    pub fn answer_gauge_queries_until_closed(self) -> Vec<Value> {
        self.read_until_closed(|interpreter, query| {
            // The server may close the link at any moment.
            interpreter.try_send_raw(format!("{}\n", gauges(query)).as_bytes());
        })
    }

    /// Reads until the server closes the link, passes each gauge query to `on_query`, and returns all other commands.
    fn read_until_closed(mut self, mut on_query: impl FnMut(&mut Self, &Value)) -> Vec<Value> {
        let (start, mut commands, mut line) = (Instant::now(), Vec::new(), String::new());
        while matches!(self.reader.read_line(&mut line), Ok(n) if n > 0) {
            assert!(
                start.elapsed() < EVENT_TIMEOUT,
                "the server did not close the interpreter link within {EVENT_TIMEOUT:?}"
            );
            let command = parse_command(&line);
            if command["verb"] == "TOP" {
                on_query(&mut self, &command);
            } else {
                commands.push(command);
            }
            line.clear();
        }
        commands
    }

    /// Completes every run at once in a background thread until the server closes the link. Gauge queries are not
    /// answered. The thread returns the tasks of the runs that were started.
    pub fn complete_all_runs(mut self) -> thread::JoinHandle<Vec<String>> {
        thread::spawn(move || {
            let (mut started, mut line) = (Vec::new(), String::new());
            while matches!(self.reader.read_line(&mut line), Ok(n) if n > 0) {
                let command = parse_command(&line);
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

    /// Has every run make one call, and completes the run once the call's result arrives or the call is skipped, in a
    /// background thread until the server closes the link.
    pub fn complete_all_runs_after_call(mut self) {
        thread::spawn(move || {
            let mut line = String::new();
            while matches!(self.reader.read_line(&mut line), Ok(n) if n > 0) {
                let command = parse_command(&line);
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
                    _ => gauges(&command),
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

    /// Reads and answers `count` gauge queries.
    ///
    /// # Panics
    ///
    /// Panics if another command arrives before them.
    pub fn answer_gauge_queries(&mut self, count: usize) {
        for _ in 0..count {
            let command = self.read_any_command();
            assert_eq!(command["verb"], "TOP", "{command}");
            self.send(gauges(&command));
        }
    }

    /// Reads the next command, which must start a run, and returns its task, class and body. Gauge queries before
    /// it are answered.
    ///
    /// # Panics
    ///
    /// Panics if the command does not start a run.
    pub fn read_apply(&mut self) -> (String, String, Vec<u8>) {
        let command = self.read_command();
        assert_eq!(command["verb"], "APPLY", "{command}");
        let text = |field: &str| {
            command[field]
                .as_str()
                .unwrap_or_else(|| panic!("`{field}` of {command} is not a string"))
                .to_string()
        };
        let body = STANDARD
            .decode(text("bytes"))
            .unwrap_or_else(|e| panic!("decode the body of {command}: {e}"));
        (text("task"), text("handler"), body)
    }

    /// Sends the notice that ends a run.
    pub fn send_value(&mut self, task: &str, outcome: &str, body: &[u8]) {
        self.last_index += 1;
        let (index, bytes) = (self.last_index, STANDARD.encode(body));
        self.send(
            json!({"verb": "VALUE", "index": index, "task": task, "outcome": outcome, "spent": 3, "bytes": bytes}),
        );
    }

    /// Sends the notice that a run waits for a call, and returns the notice's index.
    pub fn send_await(&mut self, task: &str, body: &[u8]) -> u64 {
        self.last_index += 1;
        let (index, bytes) = (self.last_index, STANDARD.encode(body));
        self.send(json!({"verb": "AWAIT", "index": index, "task": task, "bytes": bytes}));
        index
    }
}

/// Returns the answer to a gauge query.
fn gauges(query: &Value) -> Value {
    json!({"verb": "TOPS", "nonce": query["nonce"], "readings": [0.1, 0, 0.1, 2]})
}

fn parse_command(line: &str) -> Value {
    serde_json::from_str(line)
        .unwrap_or_else(|e| panic!("parse the server's command {line:?} as JSON: {e}"))
}
