//! An HTTP/1.1 server that records the requests it receives, in the order of their last bytes, and answers each.

use heathspur_wire::framing::{parse_head, Chunks, Kind, Length};
use heathspur_wire::http::request_line;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The index of its connection in the order in which connections were accepted.
    pub connection: usize,
    /// When its last byte was read.
    pub received_at: Instant,
    /// The complete request, head and body.
    pub bytes: Vec<u8>,
}

/// How the server responds.
#[derive(Clone, Debug)]
pub struct ResponseOptions {
    /// The time from a request to its response.
    pub delay: Duration,
    /// The number of the request on which a connection is closed without a response, counted from 1 on each
    /// connection; 0 for never.
    pub disconnect_after: usize,
    /// Whether every response closes its connection.
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

/// A recording server; its threads run until the process ends.
pub struct RecordingServer {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl RecordingServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start(options: ResponseOptions) -> RecordingServer {
        let listener =
            TcpListener::bind("127.0.0.1:0").expect("bind the recording server to a loopback port");
        let address = listener
            .local_addr()
            .expect("read the recording server's local address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = requests.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (recorded, options) = (recorded.clone(), options.clone());
                // Each connection of a replay has a thread, which mostly blocks on reads; a small stack allows for
                // many of them.
                let serve = move || serve(stream, connection, &options, &recorded);
                if thread::Builder::new()
                    .stack_size(128 * 1024)
                    .spawn(serve)
                    .is_err()
                {
                    return;
                }
            }
        });
        RecordingServer { address, requests }
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.requests
            .lock()
            .expect("lock the recorded requests")
            .clone()
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    options: &ResponseOptions,
    recorded: &Mutex<Vec<ReceivedRequest>>,
) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut chunk, mut count) = (Vec::new(), vec![0; 16 * 1024], 0);
    loop {
        while let Some(end) = complete_request_end(&buffer) {
            let bytes: Vec<u8> = buffer.drain(..end).collect();
            let is_head_request = bytes.starts_with(b"HEAD ");
            recorded
                .lock()
                .expect("lock the recorded requests")
                .push(ReceivedRequest {
                    connection,
                    received_at: Instant::now(),
                    bytes,
                });
            count += 1;
            if options.disconnect_after > 0 && count % options.disconnect_after == 0 {
                return;
            }
            thread::sleep(options.delay);
            let close = if options.close_after_response {
                "Connection: close\r\n"
            } else {
                ""
            };
            let body = if is_head_request { "" } else { "done" };
            let response = format!("HTTP/1.1 200 OK\r\n{close}Content-Length: 4\r\n\r\n{body}");
            if stream.write_all(response.as_bytes()).is_err() || options.close_after_response {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

/// Returns where the first request in `bytes` ends, or `None` while it is incomplete.
fn complete_request_end(bytes: &[u8]) -> Option<usize> {
    let head = parse_head(bytes, 64 * 1024, |line| {
        request_line(line).map(|_| Kind::Request)
    })
    .ok()??;
    let end = match head.length {
        Length::Bytes(length) => head.end + length as usize,
        Length::Chunked => Chunks::new(head.end).end(bytes).ok()??,
        Length::UntilClose => return None,
    };
    (end <= bytes.len()).then_some(end)
}
