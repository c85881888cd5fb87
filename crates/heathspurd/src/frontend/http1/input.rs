//! The receiving side of an HTTP/1.1 connection: buffers received bytes and parses messages from them.

use super::CloseReason;
use crate::frontend::connection_pool::Permit;
use crate::frontend::FrontendContext;
use crate::recording::recorded_stream::Stream;
use async_io::Timer;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{future, AsyncRead};
use heathspur_wire::http::{self, Message, Reader};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Limits on the size of a request, in bytes.
const REQUEST_LIMITS: http::Limits = http::Limits {
    head: 8 * 1024,
    body: 2 * 1024,
};
/// Maximum number of bytes received by one read.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// Maximum number of bytes buffered of pipelined requests, which follow the one in progress.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Timeout of the first byte on a new connection, and of the rest of a request after its first byte.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time after which an idle connection checks the idle timeout again, which may have changed.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(500);

thread_local! {
    /// Receives the bytes of a read before they are appended to the connection's buffer. Reading directly into that
    /// buffer would require zeroing many times the space that a request needs, for each read.
    static READ_CHUNK: RefCell<[u8; READ_CHUNK_BYTES]> = const { RefCell::new([0; READ_CHUNK_BYTES]) };
}

/// The connection's stream, the bytes that were received but not consumed, and the parser's progress in them.
pub(super) struct Input {
    stream: Stream,
    buffer: BytesMut,
    reader: Reader,
}

impl Input {
    /// Creates the input of a connection on which nothing has been received.
    pub fn new(stream: Stream) -> Input {
        Input {
            stream,
            buffer: BytesMut::new(),
            reader: Reader::new(REQUEST_LIMITS),
        }
    }

    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// Returns whether all received bytes were consumed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the received bytes that were not consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes a message from the front of the received bytes.
    pub fn take_message(&mut self, message: &Message) -> Bytes {
        self.buffer.split_to(message.body.end).freeze()
    }

    /// Returns whether a complete message has arrived.
    pub fn has_message(&mut self) -> bool {
        matches!(self.reader.read(&self.buffer), Ok(Some(_)))
    }

    /// Receives bytes until the buffer starts with a complete message.
    ///
    /// # Errors
    ///
    /// Returns why the connection has to be closed instead.
    pub async fn next_message(
        &mut self,
        context: &FrontendContext,
        permit: &Permit,
    ) -> Result<Message, CloseReason> {
        let mut waiting_since = Instant::now();
        loop {
            self.skip_empty_lines();
            if let Some(message) = self.parse_message()? {
                return Ok(message);
            }
            let has_partial_request = !self.buffer.is_empty();
            if has_partial_request {
                permit.request_begun();
            }
            let wait = match has_partial_request {
                true => request_time_left(waiting_since)?,
                false => idle_wait(context, permit, waiting_since)?,
            };
            let waited = async {
                if has_partial_request {
                    Timer::after(wait).await;
                } else {
                    stopped_or_elapsed(context, wait).await;
                }
                Ok(None)
            };
            match future::or(async { self.read().await.map(Some) }, waited).await {
                Ok(Some(0)) | Err(_) => return Err(CloseReason::ClosedByClient),
                Ok(Some(_)) if !has_partial_request => waiting_since = Instant::now(),
                Ok(_) => {}
            }
        }
    }

    /// Skips empty lines before a request (RFC 9112, section 2.2).
    fn skip_empty_lines(&mut self) {
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
    }

    fn parse_message(&mut self) -> Result<Option<Message>, CloseReason> {
        self.reader
            .read(&self.buffer)
            .map_err(|fault| CloseReason::InvalidRequest(fault.status()))
    }

    /// Waits until the client has disconnected. Input that arrives meanwhile is buffered; once the buffer is full, a
    /// disconnect is no longer detected.
    pub async fn client_disconnected(&mut self) {
        while self.buffer.len() < MAX_PIPELINED_BYTES {
            match self.read().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        future::pending().await
    }

    /// Waits for bytes and appends them to the buffer.
    async fn read(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            if let Some(read) = self.try_read().await {
                return read;
            }
        }
    }

    /// Appends the bytes that have already arrived. Returns `None` if there are none. Never waits, so it cannot be
    /// cancelled between receiving bytes and appending them.
    pub async fn try_read(&mut self) -> Option<io::Result<usize>> {
        let (mut stream, buffer) = (&self.stream, &mut self.buffer);
        let read = future::poll_fn(|cx| {
            let polled = READ_CHUNK.with_borrow_mut(|chunk| {
                let polled = Pin::new(&mut stream).poll_read(cx, chunk);
                if let Poll::Ready(Ok(count)) = polled {
                    buffer.extend_from_slice(&chunk[..count]);
                }
                polled
            });
            Poll::Ready(match polled {
                Poll::Ready(read) => Some(read),
                Poll::Pending => None,
            })
        });
        read.await
    }
}

/// Returns the time left to complete a request whose first byte arrived at `since`.
fn request_time_left(since: Instant) -> Result<Duration, CloseReason> {
    REQUEST_TIMEOUT
        .checked_sub(since.elapsed())
        .ok_or(CloseReason::InvalidRequest(408))
}

/// Returns how long a connection that has been idle since `since` may wait before its timeout is checked again.
fn idle_wait(
    context: &FrontendContext,
    permit: &Permit,
    since: Instant,
) -> Result<Duration, CloseReason> {
    if context.stop_accepting.is_closed() {
        return Err(CloseReason::NoMoreRequests);
    }
    let mut timeout = Duration::from_micros(context.idle_timeout.get().0);
    if !permit.has_received_request() {
        timeout = timeout.min(REQUEST_TIMEOUT);
    }
    let time_left = timeout
        .checked_sub(since.elapsed())
        .ok_or(CloseReason::NoMoreRequests)?;
    Ok(time_left.min(MAX_IDLE_WAIT))
}

async fn stopped_or_elapsed(context: &FrontendContext, wait: Duration) {
    let elapsed = async {
        Timer::after(wait).await;
    };
    future::or(context.accepting_stopped(), elapsed).await;
}
