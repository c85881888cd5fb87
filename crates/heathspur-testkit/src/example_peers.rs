//! The peers that the example program `toy` runs for one server: an interpreter, a store and a registration
//! service.
//!
//! They listen at the addresses of the server's configuration. Each run takes 50 ms and returns the request's body
//! in upper case. Runs of classes that call the dependency by the settings call the store first, which answers
//! every call with success.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};
use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

/// The result of serving a peer or one of its connections.
pub type PeerResult = Result<(), Box<dyn Error + Send + Sync>>;

/// How long each run takes.
const RUN_DURATION: Duration = Duration::from_millis(50);

/// Runs the peers of the server that this configuration file describes, until the process is terminated.
///
/// # Errors
///
/// Returns an error if the configuration cannot be read, lacks an address, or an address cannot be bound.
pub fn run(config_file: &Path) -> PeerResult {
    let text = std::fs::read(config_file)
        .map_err(|e| format!("read the configuration {}: {e}", config_file.display()))?;
    let config: Value = serde_json::from_slice(&text)
        .map_err(|e| format!("parse the configuration {}: {e}", config_file.display()))?;
    let listen = |field: &str| -> Result<TcpListener, Box<dyn Error + Send + Sync>> {
        let address = config[field].as_str().ok_or(format!(
            "the configuration {} names no {field}",
            config_file.display()
        ))?;
        let listener = TcpListener::bind(address)
            .map_err(|e| format!("listen on {address} for {field}: {e}"))?;
        Ok(listener)
    };
    let calling_classes = Arc::new(calling_classes(&config["settings"]));
    let interpreter_listener = listen("vm")?;
    let other_peers = [
        (
            listen("store")?,
            serve_store as fn(TcpStream) -> PeerResult,
            "store",
        ),
        (
            listen("announce")?,
            serve_registration as fn(TcpStream) -> PeerResult,
            "announce",
        ),
    ];
    for (listener, serve, name) in other_peers {
        thread::spawn(move || serve_connections(listener, name, serve));
    }
    println!("toy: ready");
    serve_connections(interpreter_listener, "interpreter", move |stream| {
        serve_interpreter(stream, &calling_classes)
    });
    Ok(())
}

/// Serves every connection in a thread of its own.
fn serve_connections(
    listener: TcpListener,
    name: &'static str,
    serve: impl Fn(TcpStream) -> PeerResult + Send + Clone + 'static,
) {
    for stream in listener.incoming().flatten() {
        let serve = serve.clone();
        thread::spawn(move || {
            if let Err(e) = serve(stream) {
                println!("toy: {name}: {e}");
            }
        });
    }
}

/// Returns the names of the classes whose requests call the dependency.
fn calling_classes(settings: &Value) -> Vec<String> {
    let calls = settings["family-info"]["calls-by-class"].as_array();
    let names = settings["services"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|c| c["name"].as_str());
    let calls = calls
        .into_iter()
        .flatten()
        .map(|c| c.as_bool().unwrap_or(false));
    names
        .zip(calls)
        .filter(|(_, calls)| *calls)
        .map(|(name, _)| name.to_string())
        .collect()
}

/// Sends a message to the server as one line.
fn send(mut stream: &TcpStream, message: Value) -> PeerResult {
    Ok(stream.write_all(format!("{message}\n").as_bytes())?)
}

fn serve_interpreter(stream: TcpStream, calling_classes: &[String]) -> PeerResult {
    let start = Instant::now();
    // One thread writes all notices, so that their indices match the order in which they are sent.
    let (notice_sender, notices) = mpsc::channel::<Value>();
    let writer = stream.try_clone()?;
    thread::spawn(move || -> PeerResult {
        for (number, mut notice) in notices.into_iter().enumerate() {
            notice["index"] = json!(number + 1);
            send(&writer, notice)?;
        }
        Ok(())
    });
    for line in BufReader::new(stream.try_clone()?).lines() {
        let command: Value = serde_json::from_str(&line?)?;
        let (task, bytes) = (
            command["task"].clone(),
            command["bytes"].as_str().unwrap_or("").to_string(),
        );
        match command["verb"].as_str().unwrap_or("") {
            "CONNECT" => {
                let elapsed_ms = start.elapsed().as_millis() as u64;
                send(
                    &stream,
                    json!({"verb": "BANNER", "outcome": "hot", "spent": elapsed_ms}),
                )?;
            }
            "TOP" => {
                send(
                    &stream,
                    json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 1, 0.1, 2]}),
                )?;
            }
            "APPLY" if calling_classes.iter().any(|c| command["handler"] == **c) => {
                println!("toy: running {task}, which calls the store");
                notice_sender.send(json!({"verb": "AWAIT", "task": task, "bytes": bytes}))?;
            }
            verb @ ("APPLY" | "RESOLVE" | "STUB") => {
                println!(
                    "toy: {} {task}",
                    if verb == "APPLY" {
                        "running"
                    } else {
                        "going on with"
                    }
                );
                let notice_sender = notice_sender.clone();
                thread::spawn(move || -> PeerResult {
                    thread::sleep(RUN_DURATION);
                    let result = STANDARD.encode(STANDARD.decode(bytes)?.to_ascii_uppercase());
                    let spent = RUN_DURATION.as_millis() as u64;
                    let done = json!({"verb": "VALUE", "task": task, "outcome": "complete", "spent": spent, "bytes": result});
                    Ok(notice_sender.send(done)?)
                });
            }
            "BREAK" => {
                let cancelled =
                    json!({"verb": "VALUE", "task": task, "outcome": "cancelled", "spent": 0});
                notice_sender.send(cancelled)?;
            }
            other => println!("toy: {other} is not for a toy"),
        }
    }
    Ok(())
}

/// Answers every call with success and the call's own body.
fn serve_store(stream: TcpStream) -> PeerResult {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 0 {
        let words: Vec<_> = line.split_whitespace().collect();
        if let ["CALL", id, _, length] = words[..] {
            let mut body = vec![0; length.parse::<usize>()? + 2];
            reader.read_exact(&mut body)?;
            let mut reply = format!("{id} OK {length}\r\n").into_bytes();
            reply.append(&mut body);
            (&stream).write_all(&reply)?;
        }
        line.clear();
    }
    Ok(())
}

/// Acknowledges every report and prints those that differ from the one before.
fn serve_registration(stream: TcpStream) -> PeerResult {
    let mut reader = BufReader::new(stream.try_clone()?);
    let (mut line, mut length, mut last_report) = (String::new(), 0, String::new());
    while reader.read_line(&mut line)? > 0 {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse()?;
        }
        if line.trim().is_empty() {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let report = String::from_utf8_lossy(&body).into_owned();
            if report != last_report {
                println!("toy: announced {report}");
                last_report = report;
            }
            (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        }
        line.clear();
    }
    Ok(())
}
