//! A toy of all that one server talks to: the interpreter, the store and the announce service.
//!
//! It listens where the server's configuration says they are. Each request "runs" for 50 ms and
//! comes back in capitals; what the settings let call below asks the store first, which agrees to all.

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

pub type PeerResult = Result<(), Box<dyn Error + Send + Sync>>;

/// The time that a request runs.
const WORK: Duration = Duration::from_millis(50);

/// Serves what this configuration names, for ever.
pub fn run(file: &Path) -> PeerResult {
    let config: Value = serde_json::from_slice(&std::fs::read(file)?)?;
    let listen = |what: &str| -> Result<TcpListener, Box<dyn Error + Send + Sync>> {
        let address = config[what]
            .as_str()
            .ok_or(format!("the configuration names no {what}"))?;
        Ok(TcpListener::bind(address)?)
    };
    let calls = Arc::new(calling_classes(&config["settings"]));
    let links = listen("vm")?;
    let parts = [
        (
            listen("store")?,
            store as fn(TcpStream) -> PeerResult,
            "store",
        ),
        (
            listen("announce")?,
            announce as fn(TcpStream) -> PeerResult,
            "announce",
        ),
    ];
    for (listener, serve, name) in parts {
        thread::spawn(move || each(listener, name, serve));
    }
    println!("toy: ready");
    each(links, "interpreter", move |stream| {
        interpreter(stream, &calls)
    });
    Ok(())
}

/// Serves every connection in a thread of its own.
fn each(
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

/// Names of the classes whose requests call below.
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

/// One line to the server, with the number of a notice where it is one.
fn say(mut stream: &TcpStream, line: Value) -> PeerResult {
    Ok(stream.write_all(format!("{line}\n").as_bytes())?)
}

fn interpreter(stream: TcpStream, calls: &[String]) -> PeerResult {
    let start = Instant::now();
    // Ends of runs reach the one writer of notices, which numbers them.
    let (notices, to_number) = mpsc::channel::<Value>();
    let writer = stream.try_clone()?;
    thread::spawn(move || -> PeerResult {
        for (number, mut notice) in to_number.into_iter().enumerate() {
            notice["index"] = json!(number + 1);
            say(&writer, notice)?;
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
                let ms = start.elapsed().as_millis() as u64;
                say(
                    &stream,
                    json!({"verb": "BANNER", "outcome": "hot", "spent": ms}),
                )?;
            }
            "TOP" => {
                say(
                    &stream,
                    json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 1, 0.1, 2]}),
                )?;
            }
            "APPLY" if calls.iter().any(|c| command["handler"] == **c) => {
                println!("toy: running {task}, which calls the store");
                notices.send(json!({"verb": "AWAIT", "task": task, "bytes": bytes}))?;
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
                let notices = notices.clone();
                thread::spawn(move || -> PeerResult {
                    thread::sleep(WORK);
                    let result = STANDARD.encode(STANDARD.decode(bytes)?.to_ascii_uppercase());
                    let spent = WORK.as_millis() as u64;
                    let done = json!({"verb": "VALUE", "task": task, "outcome": "complete", "spent": spent, "bytes": result});
                    Ok(notices.send(done)?)
                });
            }
            "BREAK" => {
                let stopped =
                    json!({"verb": "VALUE", "task": task, "outcome": "cancelled", "spent": 0});
                notices.send(stopped)?;
            }
            other => println!("toy: {other} is not for a toy"),
        }
    }
    Ok(())
}

/// Agrees to every call with the call's own body.
fn store(stream: TcpStream) -> PeerResult {
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

/// Takes every report.
fn announce(stream: TcpStream) -> PeerResult {
    let mut reader = BufReader::new(stream.try_clone()?);
    let (mut line, mut length, mut last) = (String::new(), 0, String::new());
    while reader.read_line(&mut line)? > 0 {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse()?;
        }
        if line.trim().is_empty() {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let report = String::from_utf8_lossy(&body).into_owned();
            if report != last {
                println!("toy: announced {report}");
                last = report;
            }
            (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        }
        line.clear();
    }
    Ok(())
}
