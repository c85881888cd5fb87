//! A server under load: opens connections to it on demand and sends requests on them.

use crate::source::digest;
use async_executor::LocalExecutor;
use async_io::Async;
use async_lock::Semaphore;
use bytes::Bytes;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use h2::client::SendRequest;
use heathspur_load::audit::Outcome;
use heathspur_load::plan::{self, Protocol};
use heathspur_wire::framing::{self, Kind, Length};
use heathspur_wire::http::status_line;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Largest response over HTTP/1.1, in bytes. Over HTTP/2, at most one DATA frame beyond it enters the digest.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Largest head of a response over HTTP/1.1, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Initial flow-control window of an HTTP/2 connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

type Fields = [(&'static str, String)];

/// A server and the connections to it.
pub struct Target {
    address: SocketAddr,
    connections: Connections,
}

/// The connections to a server, by protocol.
enum Connections {
    Http1 {
        idle: RefCell<Vec<Async<TcpStream>>>,
        /// Limits the number of connections. A request waits for a permit, and its latency includes that wait.
        permits: Semaphore,
    },
    /// Requests are distributed over the connections round-robin.
    Http2 {
        executor: Rc<LocalExecutor<'static>>,
        connections: Vec<RefCell<Option<SendRequest<Bytes>>>>,
        next: Cell<usize>,
    },
}

impl Target {
    /// Creates a target without open connections.
    pub fn new(executor: Rc<LocalExecutor<'static>>, target: &plan::Target) -> Target {
        let count = target.connections as usize;
        let connections = match target.protocol {
            Protocol::Http1 => Connections::Http1 {
                idle: RefCell::default(),
                permits: Semaphore::new(count),
            },
            Protocol::Http2 => {
                let connections = (0..count).map(|_| RefCell::new(None)).collect();
                Connections::Http2 {
                    executor,
                    connections,
                    next: Cell::new(0),
                }
            }
        };
        Target {
            address: target.address,
            connections,
        }
    }

    /// Sends a request and waits for its outcome.
    pub async fn send(&self, path: &str, fields: &Fields, body: Vec<u8>) -> Outcome {
        match &self.connections {
            Connections::Http1 { idle, permits } => {
                let _permit = permits.acquire().await;
                self.send_http1(idle, path, fields, &body).await
            }
            Connections::Http2 {
                executor,
                connections,
                next,
            } => {
                let index = next.get();
                next.set((index + 1) % connections.len());
                self.send_http2(executor, &connections[index], path, fields, body.into())
                    .await
            }
        }
    }

    async fn connect(&self) -> io::Result<Async<TcpStream>> {
        let stream = Async::<TcpStream>::connect(self.address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(stream)
    }

    async fn send_http1(
        &self,
        idle: &RefCell<Vec<Async<TcpStream>>>,
        path: &str,
        fields: &Fields,
        body: &[u8],
    ) -> Outcome {
        let mut head = format!("POST {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        for (name, value) in fields {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        let request = [head.as_bytes(), body].concat();
        // Idle connections that the server has closed are discarded; no request was written on them.
        let is_reusable = |stream: &Async<TcpStream>| matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        let reusable = std::iter::from_fn(|| idle.borrow_mut().pop()).find(is_reusable);
        let mut stream = match reusable {
            Some(stream) => stream,
            None => match self.connect().await {
                Ok(stream) => stream,
                Err(_) => return Outcome::NoConnection,
            },
        };
        match exchange_http1(&mut stream, &request).await {
            Ok((status, body_digest, close)) => {
                if !close {
                    idle.borrow_mut().push(stream);
                }
                Outcome::Answered {
                    status,
                    body_digest,
                }
            }
            Err(_) => Outcome::ConnectionLost,
        }
    }

    async fn send_http2(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        connection: &RefCell<Option<SendRequest<Bytes>>>,
        path: &str,
        fields: &Fields,
        body: Bytes,
    ) -> Outcome {
        let mut request = http::Request::post(format!("http://{}{path}", self.address));
        for (name, value) in fields {
            request = request.header(*name, value);
        }
        let Ok(request) = request.body(()) else {
            return Outcome::NoConnection;
        };
        let existing = connection.borrow().clone();
        let ready = match existing {
            Some(sender) => sender.ready().await.ok(),
            None => None,
        };
        let mut sender = match ready {
            Some(sender) => sender,
            // There is no connection yet, or the server has ended it.
            None => match self.connect_http2(executor).await {
                Ok(sender) => {
                    connection.replace(Some(sender.clone()));
                    match sender.ready().await {
                        Ok(sender) => sender,
                        Err(_) => return Outcome::NoConnection,
                    }
                }
                Err(_) => return Outcome::NoConnection,
            },
        };
        let Ok((response, mut body_sender)) = sender.send_request(request, body.is_empty()) else {
            return Outcome::NoConnection;
        };
        if !body.is_empty() && body_sender.send_data(body, true).is_err() {
            return Outcome::ConnectionLost;
        }
        match read_http2_response(response).await {
            Ok((status, body_digest)) => Outcome::Answered {
                status,
                body_digest,
            },
            Err(e) if e.is_remote() && e.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                Outcome::Refused
            }
            Err(_) => Outcome::ConnectionLost,
        }
    }

    /// Opens a connection and spawns the task that drives it.
    async fn connect_http2(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<SendRequest<Bytes>> {
        let stream = self.connect().await?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .enable_push(false);
        let (sender, connection) = builder
            .handshake(stream.compat())
            .await
            .map_err(io::Error::other)?;
        executor
            .spawn(async move { drop(connection.await) })
            .detach();
        Ok(sender)
    }
}

/// Reads a response over HTTP/2. Returns its status and the digest of its body.
async fn read_http2_response(
    response: h2::client::ResponseFuture,
) -> Result<(u16, u64), h2::Error> {
    let (head, mut stream) = response.await?.into_parts();
    let mut body = Vec::new();
    while let Some(bytes) = stream.data().await {
        let bytes = bytes?;
        stream.flow_control().release_capacity(bytes.len())?;
        if body.len() < MAX_RESPONSE_BYTES {
            body.extend_from_slice(&bytes);
        }
    }
    Ok((head.status.as_u16(), digest(&body)))
}

/// Writes a request and reads its response. Returns the status, the digest of the body, and whether the connection
/// ends with this response.
async fn exchange_http1(
    stream: &mut Async<TcpStream>,
    request: &[u8],
) -> io::Result<(u16, u64, bool)> {
    stream.write_all(request).await?;
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let (mut buffer, mut status) = (Vec::new(), 0);
    loop {
        let kind = |line: &[u8]| {
            status = status_line(line)?;
            Ok(Kind::Response {
                status,
                to_head: false,
            })
        };
        let head = framing::parse_head(&buffer, MAX_HEAD_BYTES, kind).map_err(|_| invalid())?;
        if let Some(head) = head {
            let Length::Bytes(length) = head.length else {
                return Err(invalid());
            };
            let end = head.end + usize::try_from(length).map_err(|_| invalid())?;
            if end > MAX_RESPONSE_BYTES {
                return Err(invalid());
            }
            if buffer.len() >= end {
                return Ok((status, digest(&buffer[head.end..end]), head.close));
            }
        }
        let filled = buffer.len();
        buffer.resize(filled + READ_BUFFER_BYTES, 0);
        let read = stream.read(&mut buffer[filled..]).await;
        buffer.truncate(filled + read.as_ref().map_or(0, |n| *n));
        if read? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        future::yield_now().await;
    }
}
