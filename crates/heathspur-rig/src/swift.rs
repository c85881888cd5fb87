//! Stand-ins that answer at once, for measuring what a request costs the server.

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// How often each body ran, as it came in base64.
pub type Runs = Arc<Mutex<HashMap<String, u64>>>;

/// An interpreter that ends each run at once with the request's own body, and counts runs of each.
pub fn interpreter(listener: TcpListener) -> Runs {
    let runs = Runs::default();
    let counted = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            thread::spawn(move || link(stream, &runs));
        }
    });
    counted
}

fn link(stream: TcpStream, runs: &Runs) -> Option<()> {
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
            "CONNECT" => json!({"verb": "BANNER", "outcome": "hot", "spent": 60_000}),
            "TOP" => json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.1, 0, 0.1, 2]}),
            "APPLY" => {
                index += 1;
                *runs.lock().ok()?.entry(command["bytes"].as_str()?.to_string()).or_default() += 1;
                json!({"verb": "VALUE", "index": index, "task": command["task"], "outcome": "complete", "spent": 0,
                    "bytes": command["bytes"]})
            }
            _ => Value::Null,
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
pub fn announce(listener: TcpListener) {
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut chunk = [0; 4096];
                while matches!(stream.read(&mut chunk), Ok(n) if n > 0) {
                    if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
}
