//! Stand-ins that answer at once, for measuring what a request costs the server.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often each body ran, as it came in base64.
pub type RunCounts = Arc<Mutex<HashMap<String, u64>>>;

/// An interpreter that ends each run at once with the request's own body, and counts runs of each.
pub fn interpreter(listener: TcpListener) -> RunCounts {
    interpreter_with(listener, InterpreterOptions::default())
}

/// How an interpreter answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterpreterOptions {
    /// Each run takes this long.
    pub run_duration: Duration,
    /// Bytes of each result; none for the request's own body.
    pub result_len: Option<usize>,
    /// Each run calls the dependency once, with the request's own body, and ends with the reply. Not with `work`.
    pub calls_dependency: bool,
}

/// The same, in this manner.
pub fn interpreter_with(listener: TcpListener, manner: InterpreterOptions) -> RunCounts {
    let runs = RunCounts::default();
    let counted = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            thread::spawn(move || match manner.run_duration.is_zero() {
                true => link(stream, &runs, manner),
                false => late(stream, &runs, manner),
            });
        }
    });
    counted
}

/// Runs that take their time, one behind the other in the order of their ends.
fn late(stream: TcpStream, runs: &RunCounts, manner: InterpreterOptions) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let (due, ends) = mpsc::channel::<(Instant, Value)>();
    let out = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let later = out.clone();
    thread::spawn(move || {
        for (index, (at, mut value)) in ends.into_iter().enumerate() {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            value["index"] = json!(index + 1);
            if writeln!(later.lock().expect("a writer"), "{value}").is_err() {
                return;
            }
        }
    });
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let command: Value = serde_json::from_str(&line).ok()?;
        let reply = match command["verb"].as_str()? {
            "APPLY" => {
                due.send((
                    Instant::now() + manner.run_duration,
                    ended(&command, runs, manner, 0)?,
                ))
                .ok()?;
                continue;
            }
            _ => said(&command),
        };
        if !reply.is_null() {
            writeln!(out.lock().ok()?, "{reply}").ok()?;
        }
    }
}

/// The reply to a command that starts no run; nothing for some.
fn said(command: &Value) -> Value {
    match command["verb"].as_str() {
        Some("CONNECT") => json!({"verb": "BANNER", "outcome": "hot", "spent": 60_000}),
        Some("TOP") => {
            json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 0, 0.1, 2]})
        }
        _ => Value::Null,
    }
}

/// The end of a run, which is counted.
fn ended(
    command: &Value,
    runs: &RunCounts,
    manner: InterpreterOptions,
    index: u64,
) -> Option<Value> {
    *runs
        .lock()
        .ok()?
        .entry(command["bytes"].as_str()?.to_string())
        .or_default() += 1;
    let bytes = match manner.result_len {
        None => command["bytes"].clone(),
        Some(count) => json!(STANDARD.encode(vec![b'r'; count])),
    };
    Some(
        json!({"verb": "VALUE", "index": index, "task": command["task"], "outcome": "complete", "spent": 0,
        "bytes": bytes}),
    )
}

fn link(stream: TcpStream, runs: &RunCounts, manner: InterpreterOptions) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (mut line, mut index, mut out) = (String::new(), 0, Vec::new());
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let command: Value = serde_json::from_str(&line).ok()?;
        let reply = match command["verb"].as_str()? {
            "APPLY" if manner.calls_dependency => {
                index += 1;
                // Counted as run; it ends when the call has come back.
                ended(&command, runs, manner, index)?;
                json!({"verb": "AWAIT", "index": index, "task": command["task"], "bytes": command["bytes"]})
            }
            "RESOLVE" | "STUB" => {
                index += 1;
                let bytes = command["bytes"].as_str().unwrap_or("");
                json!({"verb": "VALUE", "index": index, "task": command["task"], "outcome": "complete", "spent": 0,
                    "bytes": bytes})
            }
            "BREAK" => {
                index += 1;
                json!({"verb": "VALUE", "index": index, "task": command["task"], "outcome": "cancelled", "spent": 0})
            }
            "APPLY" => {
                index += 1;
                ended(&command, runs, manner, index)?
            }
            _ => said(&command),
        };
        if !reply.is_null() {
            out.extend_from_slice(reply.to_string().as_bytes());
            out.push(b'\n');
        }
        if reader.buffer().is_empty() {
            (&stream).write_all(&out).ok()?;
            out.clear();
        }
    }
}

/// An announce service that takes every report.
pub fn registration(listener: TcpListener) {
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut chunk = [0; 4096];
                while matches!(stream.read(&mut chunk), Ok(n) if n > 0) {
                    if stream
                        .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
}
