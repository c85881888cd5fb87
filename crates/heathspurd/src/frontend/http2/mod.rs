//! The frontend for HTTP/2 without TLS, by prior knowledge (RFC 9113, section 3.3), on a port of its own.
//!
//! Frames and header compression are the `h2` crate's. Which streams are accepted, how each proceeds, what exceeds the
//! limits and how a connection ends is decided by `heathspur-streams`; this frontend connects those decisions to sockets
//! and clocks. Each connection has a task, and each of its streams another one that ends with the stream.

mod connection;
mod receive;
mod send;
mod stream;
mod transport;

use crate::clock::within;
use crate::frontend::connection_pool::Permit;
use crate::frontend::lingering_close;
use crate::frontend::response_buffer::ResponseBudget;
use crate::frontend::FrontendHandle;
use crate::recording::recorded_stream::Stream;
use async_executor::LocalExecutor;
use bytes::{Bytes, BytesMut};
use connection::ConnectionState;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use h2::server::Builder;
use heathspur_config::Http2;
use heathspur_streams::stream_limits::{LimitSettings, StreamLimits};
use heathspur_wire::http::{write_response, ConnectionOption};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use transport::{Transport, TransportMonitor};

/// The client's connection preface (RFC 9113, section 3.4).
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Bytes received by one read of the preface.
const PREFACE_READ_BYTES: usize = 256;
/// Time limit on sending the last frames, or the last response, of a connection.
const FINAL_SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// The body of the response to a client of another protocol version.
const WRONG_VERSION_BODY: &[u8] = b"This port speaks HTTP/2 by prior knowledge only.\n";

/// What all connections of this frontend share.
struct Http2Frontend {
    executor: Rc<LocalExecutor<'static>>,
    handle: FrontendHandle,
    settings: Http2,
    /// Distributes streams and receive windows among the connections.
    stream_quota: RefCell<StreamLimits>,
    response_budget: Rc<ResponseBudget>,
    start: Instant,
}

impl Http2Frontend {
    fn now(&self) -> heathspur_streams::Time {
        heathspur_streams::Time(self.start.elapsed().as_micros() as u64)
    }
}

/// A connection's registration with the stream quota; removed when it is dropped.
struct QuotaRegistration(Rc<Http2Frontend>);

impl QuotaRegistration {
    fn new(frontend: &Rc<Http2Frontend>) -> QuotaRegistration {
        frontend.stream_quota.borrow_mut().connection_opened();
        QuotaRegistration(frontend.clone())
    }
}

impl Drop for QuotaRegistration {
    fn drop(&mut self) {
        self.0.stream_quota.borrow_mut().connection_closed();
    }
}

/// Returns the function that serves a connection of this frontend.
pub(crate) fn serve(
    executor: Rc<LocalExecutor<'static>>,
    handle: FrontendHandle,
    settings: Http2,
    response_budget: Rc<ResponseBudget>,
) -> impl Fn(Stream, Permit) {
    let stream_quota = StreamLimits::new(LimitSettings {
        per_connection: settings.streams.connection,
        total: settings.streams.all,
        receive_bytes: settings.memory.receive.0,
    });
    let frontend = Rc::new(Http2Frontend {
        executor: executor.clone(),
        handle,
        settings,
        stream_quota: RefCell::new(stream_quota),
        response_budget,
        start: Instant::now(),
    });
    move |stream, permit| {
        executor
            .spawn(serve_connection(stream, frontend.clone(), permit))
            .detach()
    }
}

/// Serves one connection to its end.
async fn serve_connection(stream: Stream, frontend: Rc<Http2Frontend>, permit: Permit) {
    // Fails on a connection that is gone, which the first read reports.
    let _ = stream.get_ref().set_nodelay(true);
    let Some(received) = receive_preface(&stream, &frontend, &permit).await else {
        return;
    };
    let (stream, monitor) = (Rc::new(stream), TransportMonitor::new());
    let transport = Transport::new(stream.clone(), received, PREFACE.len(), monitor.clone());
    let _registration = QuotaRegistration::new(&frontend);
    let handshake = builder(&frontend).handshake::<_, Bytes>(transport);
    let timeout = frontend.settings.request.receive_timeout.0;
    let handshake = within(timeout, async { handshake.await.map_err(io::Error::other) });
    let Ok(Ok(mut h2)) = permit.idle(handshake).await else {
        return;
    };
    let state = Rc::new(ConnectionState::new(frontend, monitor));
    connection::drive(&mut h2, &state, &permit).await;
    drop(h2);
    state.monitor.close();
    permit.linger(lingering_close::close(&stream)).await;
}

fn builder(frontend: &Http2Frontend) -> Builder {
    let (settings, quota) = (&frontend.settings, frontend.stream_quota.borrow());
    let to_u32 = |bytes: u64| u32::try_from(bytes).unwrap_or(u32::MAX);
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(quota.advertised_limit())
        .max_header_list_size(to_u32(settings.request.header_list.0))
        // One byte more than a body may have, so that a longer one is noticed.
        .initial_window_size(to_u32(settings.request.body.0 + 1))
        .initial_connection_window_size(quota.connection_window())
        .max_send_buffer_size(settings.memory.stream.0 as usize);
    builder
}

/// Receives the preface and returns all bytes read; `None` where the connection has ended instead.
async fn receive_preface(
    stream: &Stream,
    frontend: &Http2Frontend,
    permit: &Permit,
) -> Option<Bytes> {
    let timeout = frontend.settings.request.receive_timeout.0;
    match permit.idle(within(timeout, read_preface(stream))).await {
        Ok(Ok(received)) => Some(received),
        Ok(Err(e)) if e.kind() == io::ErrorKind::InvalidData => {
            reject_version(stream, permit).await;
            None
        }
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Reads the preface and returns all bytes read; the error for other bytes is `InvalidData`.
async fn read_preface(mut stream: &Stream) -> io::Result<Bytes> {
    let mut received = BytesMut::new();
    loop {
        let compared = received.len().min(PREFACE.len());
        if received[..compared] != PREFACE[..compared] {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if compared == PREFACE.len() {
            return Ok(received.freeze());
        }
        let mut chunk = [0; PREFACE_READ_BYTES];
        match stream.read(&mut chunk).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => received.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Responds in HTTP/1.1, which a client of another version can read, and closes the connection.
async fn reject_version(mut stream: &Stream, permit: &Permit) {
    let mut response = Vec::new();
    write_response(
        &mut response,
        505,
        &[],
        ConnectionOption::Close,
        WRONG_VERSION_BODY,
    );
    // The connection ends either way.
    let _ = within(FINAL_SEND_TIMEOUT, stream.write_all(&response)).await;
    permit.linger(lingering_close::close(stream)).await;
}
