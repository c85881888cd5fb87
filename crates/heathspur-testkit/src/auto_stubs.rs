//! Stub peers that answer by themselves, for measuring what a request costs the server.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of runs by request body, in base64.
pub type RunCounts = Arc<Mutex<HashMap<String, u64>>>;

/// Starts background threads that serve an interpreter, and returns the counts of its runs. Each run ends at once
/// with the request's own body.
pub fn interpreter(listener: TcpListener) -> RunCounts {
    interpreter_with(listener, InterpreterOptions::default())
}

/// How a stub interpreter answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterpreterOptions {
    /// How long each run takes.
    pub run_duration: Duration,
    /// The length of each result in bytes; `None` for a copy of the request's body.
    pub result_len: Option<usize>,
    /// Whether each run calls the dependency once, with the request's own body, and ends with the reply, whatever
    /// `result_len` is. Has no effect unless `run_duration` is zero.
    pub calls_dependency: bool,
}

/// Starts background threads that serve an interpreter with these options, and returns the counts of its runs.
pub fn interpreter_with(listener: TcpListener, options: InterpreterOptions) -> RunCounts {
    let run_counts = RunCounts::default();
    let returned = run_counts.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let run_counts = run_counts.clone();
            thread::spawn(move || match options.run_duration.is_zero() {
                true => serve_immediately(stream, &run_counts, options),
                false => serve_delayed(stream, &run_counts, options),
            });
        }
    });
    returned
}

/// Serves a link on which each run takes `run_duration`; a second thread sends the results in the order in which
/// the runs end.
fn serve_delayed(
    stream: TcpStream,
    run_counts: &RunCounts,
    options: InterpreterOptions,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let (result_sender, results) = mpsc::channel::<(Instant, Value)>();
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let result_writer = writer.clone();
    thread::spawn(move || {
        for (index, (due, mut result)) in results.into_iter().enumerate() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            result["index"] = json!(index + 1);
            let mut writer = result_writer.lock().expect("lock the link's writer");
            if writeln!(writer, "{result}").is_err() {
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
                result_sender
                    .send((
                        Instant::now() + options.run_duration,
                        count_run(&command, run_counts, options, 0)?,
                    ))
                    .ok()?;
                continue;
            }
            _ => reply_to_other_command(&command),
        };
        if !reply.is_null() {
            writeln!(writer.lock().ok()?, "{reply}").ok()?;
        }
    }
}

/// Returns the reply to a command that starts no run; null if it has none.
fn reply_to_other_command(command: &Value) -> Value {
    match command["verb"].as_str() {
        Some("CONNECT") => json!({"verb": "BANNER", "outcome": "hot", "spent": 60_000}),
        Some("TOP") => {
            json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 0, 0.1, 2]})
        }
        _ => Value::Null,
    }
}

/// Counts a run and returns the notice that ends it.
fn count_run(
    command: &Value,
    run_counts: &RunCounts,
    options: InterpreterOptions,
    index: u64,
) -> Option<Value> {
    *run_counts
        .lock()
        .ok()?
        .entry(command["bytes"].as_str()?.to_string())
        .or_default() += 1;
    let bytes = match options.result_len {
        None => command["bytes"].clone(),
        Some(count) => json!(STANDARD.encode(vec![b'r'; count])),
    };
    Some(
        json!({"verb": "VALUE", "index": index, "task": command["task"], "outcome": "complete", "spent": 0,
        "bytes": bytes}),
    )
}

/// Serves a link on which each run ends at once, or once its call to the dependency returns.
fn serve_immediately(
    stream: TcpStream,
    run_counts: &RunCounts,
    options: InterpreterOptions,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (mut line, mut index, mut output) = (String::new(), 0, Vec::new());
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let command: Value = serde_json::from_str(&line).ok()?;
        let reply = match command["verb"].as_str()? {
            "APPLY" if options.calls_dependency => {
                index += 1;
                // The run is counted here; it ends when the call returns.
                count_run(&command, run_counts, options, index)?;
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
                count_run(&command, run_counts, options, index)?
            }
            _ => reply_to_other_command(&command),
        };
        if !reply.is_null() {
            output.extend_from_slice(reply.to_string().as_bytes());
            output.push(b'\n');
        }
        // Replies to commands that arrived together are written together.
        if reader.buffer().is_empty() {
            (&stream).write_all(&output).ok()?;
            output.clear();
        }
    }
}

/// Starts background threads that serve a registration service. It acknowledges each read of bytes, on
/// the assumption that a read returns one complete report.
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
