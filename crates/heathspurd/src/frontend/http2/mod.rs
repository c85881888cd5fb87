//! The frontend for HTTP/2 without TLS, with prior knowledge (RFC 9113, section 3.3), on a separate port.
//!
//! The `h2` crate implements framing and header compression. `heathspur-streams` decides which streams are accepted,
//! how each proceeds, which limits apply and how a connection ends. This frontend connects those decisions to sockets
//! and clocks. Each connection is served by a task, and so is each of its streams.

mod connection;
mod receive;
mod send;
mod stream;
mod transport;

use crate::clock::within;
use crate::frontend::connection_pool::Permit;
use crate::frontend::lingering_close;
use crate::frontend::response_budget::ResponseBudget;
use crate::frontend::FrontendHandle;
use crate::recording::recorded_stream::Stream;
use async_executor::LocalExecutor;
use bytes::{Bytes, BytesMut};
use connection::ConnectionState;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
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
/// Maximum number of bytes received by one read of the preface.
const PREFACE_READ_BYTES: usize = 256;
/// Timeout of sending the last frames, or the last response, of a connection.
const FINAL_SEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Body of the response to a client that uses another protocol version.
const WRONG_VERSION_BODY: &[u8] = b"This port speaks HTTP/2 by prior knowledge only.\n";

/// State that all connections of this frontend share.
struct Http2Frontend {
    executor: Rc<LocalExecutor<'static>>,
    handle: FrontendHandle,
    settings: Http2,
    /// Limits the open streams and assigns the connections their receive windows.
    stream_limits: RefCell<StreamLimits>,
    response_budget: Rc<ResponseBudget>,
    /// Origin of the times that are passed to `stream_limits`.
    start: Instant,
}

impl Http2Frontend {
    /// Returns the time since the frontend started.
    fn now(&self) -> heathspur_streams::Time {
        heathspur_streams::Time(self.start.elapsed().as_micros() as u64)
    }
}

/// A connection's registration with the stream limits. Dropping it removes the registration.
struct ConnectionRegistration(Rc<Http2Frontend>);

impl ConnectionRegistration {
    fn new(frontend: &Rc<Http2Frontend>) -> ConnectionRegistration {
        frontend.stream_limits.borrow_mut().connection_opened();
        ConnectionRegistration(frontend.clone())
    }
}

impl Drop for ConnectionRegistration {
    fn drop(&mut self) {
        self.0.stream_limits.borrow_mut().connection_closed();
    }
}

/// Returns the function that serves a connection of this frontend.
pub(crate) fn serve(
    executor: Rc<LocalExecutor<'static>>,
    handle: FrontendHandle,
    settings: Http2,
    response_budget: Rc<ResponseBudget>,
) -> impl Fn(Stream, Permit) {
    let stream_limits = StreamLimits::new(LimitSettings {
        per_connection: settings.streams.connection,
        total: settings.streams.all,
        receive_bytes: settings.memory.receive.0,
    });
    let frontend = Rc::new(Http2Frontend {
        executor: executor.clone(),
        handle,
        settings,
        stream_limits: RefCell::new(stream_limits),
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
    // Fails only if the connection has failed, which the first read reports.
    let _ = stream.get_ref().set_nodelay(true);
    let Some(received) = receive_preface(&stream, &frontend, &permit).await else {
        return;
    };
    let (stream, monitor) = (Rc::new(stream), TransportMonitor::new());
    let transport = Transport::new(stream.clone(), received, PREFACE.len(), monitor.clone());
    let _registration = ConnectionRegistration::new(&frontend);
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
    let (settings, limits) = (&frontend.settings, frontend.stream_limits.borrow());
    let to_u32 = |bytes: u64| u32::try_from(bytes).unwrap_or(u32::MAX);
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(limits.advertised_limit())
        .max_header_list_size(to_u32(settings.request.header_list.0))
        // One byte more than the limit on a body, so that a body that is too long is detected.
        .initial_window_size(to_u32(settings.request.body.0 + 1))
        .initial_connection_window_size(limits.connection_window())
        .max_send_buffer_size(settings.memory.stream.0 as usize);
    builder
}

/// Receives the preface and returns all bytes read. Returns `None` if the connection was closed instead.
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
        Ok(Err(_)) => None,
        // A connection that was selected as idle stays open if its client has sent the preface meanwhile.
        Err(_) => future::poll_once(read_preface(stream)).await?.ok(),
    }
}

/// Reads the preface and returns all bytes read.
///
/// # Errors
///
/// Fails with `InvalidData` if the bytes are not the preface, or with the error of the read.
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

/// Responds in HTTP/1.1, which a client of another version can parse, and closes the connection.
async fn reject_version(mut stream: &Stream, permit: &Permit) {
    let mut response = Vec::new();
    write_response(
        &mut response,
        505,
        &[],
        ConnectionOption::Close,
        WRONG_VERSION_BODY,
    );
    // A failure needs no handling: the connection is closed in any case.
    let _ = within(FINAL_SEND_TIMEOUT, stream.write_all(&response)).await;
    permit.linger(lingering_close::close(stream)).await;
}
