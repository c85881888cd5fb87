//! A server that keeps the requests that it is sent, in the order of their last bytes, and answers each.

use heathspur_wire::framing::{parse_head, Chunks, Kind, Length};
use heathspur_wire::http::request_line;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as it came.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The connection, in the order in which they were accepted.
    pub connection: usize,
    /// When its last byte was read.
    pub received_at: Instant,
    pub bytes: Vec<u8>,
}

/// How it answers.
#[derive(Clone, Debug)]
pub struct ResponseOptions {
    /// Each request is answered after this.
    pub delay: Duration,
    /// After so many requests a connection is broken instead of answered; 0 for never.
    pub disconnect_after: usize,
    /// Every answer is the last on its connection.
    pub close_after_response: bool,
}

impl Default for ResponseOptions {
    fn default() -> ResponseOptions {
        ResponseOptions {
            delay: Duration::ZERO,
            disconnect_after: 0,
            close_after_response: false,
        }
    }
}

pub struct RecordingServer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl RecordingServer {
    pub fn start(manner: ResponseOptions) -> RecordingServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let all = received.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (all, manner) = (all.clone(), manner.clone());
                // A connection of a replay is one thread here; they rest on reads.
                let serve = move || serve(stream, connection, &manner, &all);
                if thread::Builder::new()
                    .stack_size(128 * 1024)
                    .spawn(serve)
                    .is_err()
                {
                    return;
                }
            }
        });
        RecordingServer { address, received }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    manner: &ResponseOptions,
    all: &Mutex<Vec<ReceivedRequest>>,
) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut chunk, mut count) = (Vec::new(), vec![0; 16 * 1024], 0);
    loop {
        while let Some(end) = whole(&buffer) {
            let bytes: Vec<u8> = buffer.drain(..end).collect();
            let to_head = bytes.starts_with(b"HEAD ");
            all.lock().unwrap().push(ReceivedRequest {
                connection,
                received_at: Instant::now(),
                bytes,
            });
            count += 1;
            if manner.disconnect_after > 0 && count % manner.disconnect_after == 0 {
                return;
            }
            thread::sleep(manner.delay);
            let close = if manner.close_after_response {
                "Connection: close\r\n"
            } else {
                ""
            };
            let body = if to_head { "" } else { "done" };
            let answer = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 4\r\n\r\n{body}");
            if stream.write_all(answer.as_bytes()).is_err() || manner.close_after_response {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

/// Where the request at the front ends, once it is whole.
fn whole(bytes: &[u8]) -> Option<usize> {
    let found = parse_head(bytes, 64 * 1024, |line| {
        request_line(line).map(|_| Kind::Request)
    })
    .ok()??;
    let end = match found.length {
        Length::Bytes(length) => found.end + length as usize,
        Length::Chunked => Chunks::new(found.end).end(bytes).ok()??,
        Length::UntilClose => return None,
    };
    (end <= bytes.len()).then_some(end)
}
