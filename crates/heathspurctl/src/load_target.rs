//! A server that a load goes to: connections of one protocol, made as they are needed.

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

/// Bytes of an answer at most.
const ANSWER: usize = 8 << 20;
const CHUNK: usize = 16 * 1024;
/// What a server may send ahead on one connection.
const WINDOW: u32 = 4 << 20;

type Fields = [(&'static str, String)];

/// One server.
pub struct Target {
    address: SocketAddr,
    speaks: Speaks,
}

enum Speaks {
    /// Idle connections, and how many there may be: a request waits for one, which its latency shows.
    Http1 {
        idle: RefCell<Vec<Async<TcpStream>>>,
        places: Semaphore,
    },
    /// Connections by turns.
    Http2 {
        executor: Rc<LocalExecutor<'static>>,
        lines: Vec<RefCell<Option<SendRequest<Bytes>>>>,
        next: Cell<usize>,
    },
}

impl Target {
    pub fn new(executor: Rc<LocalExecutor<'static>>, target: &plan::Target) -> Target {
        let count = target.connections as usize;
        let speaks = match target.protocol {
            Protocol::Http1 => Speaks::Http1 {
                idle: RefCell::default(),
                places: Semaphore::new(count),
            },
            Protocol::Http2 => {
                let lines = (0..count).map(|_| RefCell::new(None)).collect();
                Speaks::Http2 {
                    executor,
                    lines,
                    next: Cell::new(0),
                }
            }
        };
        Target {
            address: target.address,
            speaks,
        }
    }

    /// Sends a request and waits for what comes of it.
    pub async fn ask(&self, path: &str, fields: &Fields, body: Vec<u8>) -> Outcome {
        match &self.speaks {
            Speaks::Http1 { idle, places } => {
                let _place = places.acquire().await;
                self.ask_http1(idle, path, fields, &body).await
            }
            Speaks::Http2 {
                executor,
                lines,
                next,
            } => {
                let at = next.get();
                next.set((at + 1) % lines.len());
                self.ask_http2(executor, &lines[at], path, fields, body.into())
                    .await
            }
        }
    }

    async fn connect(&self) -> io::Result<Async<TcpStream>> {
        let stream = Async::<TcpStream>::connect(self.address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(stream)
    }

    async fn ask_http1(
        &self,
        idle: &RefCell<Vec<Async<TcpStream>>>,
        path: &str,
        fields: &Fields,
        body: &[u8],
    ) -> Outcome {
        let mut out = format!("POST {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        for (name, value) in fields {
            out += &format!("{name}: {value}\r\n");
        }
        out += &format!("Content-Length: {}\r\n\r\n", body.len());
        let out = [out.as_bytes(), body].concat();
        // One that was closed meanwhile is of no use; nothing was written on it.
        let quiet = |stream: &Async<TcpStream>| matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        let kept = std::iter::from_fn(|| idle.borrow_mut().pop()).find(quiet);
        let mut stream = match kept {
            Some(stream) => stream,
            None => match self.connect().await {
                Ok(stream) => stream,
                Err(_) => return Outcome::NoConnection,
            },
        };
        match exchange(&mut stream, &out).await {
            Ok((status, digest, last)) => {
                if !last {
                    idle.borrow_mut().push(stream);
                }
                Outcome::Answered {
                    status,
                    body_digest: digest,
                }
            }
            Err(_) => Outcome::Broken,
        }
    }

    async fn ask_http2(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        line: &RefCell<Option<SendRequest<Bytes>>>,
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
        let known = line.borrow().clone();
        let ready = match known {
            Some(send) => send.ready().await.ok(),
            None => None,
        };
        let mut send = match ready {
            Some(send) => send,
            // The server has ended that connection, or it is the first.
            None => match self.line(executor).await {
                Ok(send) => {
                    line.replace(Some(send.clone()));
                    match send.ready().await {
                        Ok(send) => send,
                        Err(_) => return Outcome::NoConnection,
                    }
                }
                Err(_) => return Outcome::NoConnection,
            },
        };
        let Ok((answer, mut out)) = send.send_request(request, body.is_empty()) else {
            return Outcome::NoConnection;
        };
        if !body.is_empty() && out.send_data(body, true).is_err() {
            return Outcome::Broken;
        }
        match answered(answer).await {
            Ok((status, digest)) => Outcome::Answered {
                status,
                body_digest: digest,
            },
            Err(e) if e.is_remote() && e.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                Outcome::Refused
            }
            Err(_) => Outcome::Broken,
        }
    }

    /// A new connection.
    async fn line(&self, executor: &Rc<LocalExecutor<'static>>) -> io::Result<SendRequest<Bytes>> {
        let stream = self.connect().await?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_connection_window_size(WINDOW)
            .enable_push(false);
        let (send, connection) = builder
            .handshake(stream.compat())
            .await
            .map_err(io::Error::other)?;
        executor
            .spawn(async move { drop(connection.await) })
            .detach();
        Ok(send)
    }
}

/// Status and digest of an answer over HTTP/2.
async fn answered(answer: h2::client::ResponseFuture) -> Result<(u16, u64), h2::Error> {
    let (head, mut body) = answer.await?.into_parts();
    let mut all = Vec::new();
    while let Some(bytes) = body.data().await {
        let bytes = bytes?;
        body.flow_control().release_capacity(bytes.len())?;
        if all.len() < ANSWER {
            all.extend_from_slice(&bytes);
        }
    }
    Ok((head.status.as_u16(), digest(&all)))
}

/// Writes a request and reads its answer: status, digest of the body, whether the connection ends with it.
async fn exchange(stream: &mut Async<TcpStream>, out: &[u8]) -> io::Result<(u16, u64, bool)> {
    stream.write_all(out).await?;
    let wrong = || io::Error::from(io::ErrorKind::InvalidData);
    let (mut buffer, mut status) = (Vec::new(), 0);
    loop {
        let kind = |line: &[u8]| {
            status = status_line(line)?;
            Ok(Kind::Response {
                status,
                to_head: false,
            })
        };
        if let Some(head) = framing::parse_head(&buffer, CHUNK, kind).map_err(|_| wrong())? {
            let Length::Bytes(length) = head.length else {
                return Err(wrong());
            };
            let end = head.end + usize::try_from(length).map_err(|_| wrong())?;
            if end > ANSWER {
                return Err(wrong());
            }
            if buffer.len() >= end {
                return Ok((status, digest(&buffer[head.end..end]), head.close));
            }
        }
        let held = buffer.len();
        buffer.resize(held + CHUNK, 0);
        let read = stream.read(&mut buffer[held..]).await;
        buffer.truncate(held + read.as_ref().map_or(0, |n| *n));
        if read? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        future::yield_now().await;
    }
}
