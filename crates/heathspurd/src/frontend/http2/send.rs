//! The sending side of a stream: the response's head, and its body as far as flow-control windows and buffers allow.

use super::connection::ConnectionState;
use super::stream::failure_event;
use super::transport::TransportMonitor;
use crate::frontend::response::Response;
use crate::frontend::response_budget::Reservation;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use heathspur_streams::stream_lifecycle::StreamEvent;
use http::{HeaderName, HeaderValue, StatusCode};
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

/// Estimated size of a response's head, in bytes, counted among the bytes that wait to be sent.
const HEAD_BYTES: usize = 64;

/// Sends the response of one stream.
pub(super) struct ResponseSender {
    connection: Rc<ConnectionState>,
    responder: SendResponse<Bytes>,
    response: Option<Response>,
    /// Sends the body; set once the head was sent.
    body: Option<SendStream<Bytes>>,
    /// Bytes of the body that were passed to the library.
    sent_bytes: usize,
    /// Memory reserved for the part of the body that waits to be sent.
    reservation: Option<Reservation>,
    /// Time limit for the client to read the response; set when the head is sent.
    deadline: Option<Instant>,
}

impl ResponseSender {
    /// Creates a sender whose response is not set yet.
    pub fn new(connection: Rc<ConnectionState>, responder: SendResponse<Bytes>) -> ResponseSender {
        ResponseSender {
            connection,
            responder,
            response: None,
            body: None,
            sent_bytes: 0,
            reservation: None,
            deadline: None,
        }
    }

    /// Sets the response to send, and returns the event that reports it to the stream's state machine.
    pub fn set_response(&mut self, response: Response) -> StreamEvent {
        let bytes = response.body.len() as u32;
        self.response = Some(response);
        StreamEvent::Response { bytes }
    }

    /// Waits until the client resets the stream, or the connection ends.
    pub async fn client_reset(&mut self) -> StreamEvent {
        future::poll_fn(|cx| {
            self.responder
                .poll_reset(cx)
                .map(|reset| reset_event(&reset))
        })
        .await
    }

    /// Sends the head of the response that was set. Returns an event if that fails.
    pub fn send_response_head(&mut self) -> Option<StreamEvent> {
        let response = self.response.take()?;
        let frontend = self.connection.frontend.clone();
        self.deadline = Some(Instant::now() + frontend.settings.client_timeouts.stalled.0);
        let failed = self.send_head(&response, response.body.is_empty()).err();
        frontend.stream_limits.borrow_mut().on_response();
        let mut meter = self.connection.monitor.meter.borrow_mut();
        meter.credit_response(response.body.len() as u64);
        drop(meter);
        self.response = Some(response);
        failed
    }

    /// Sends a response without a body. Returns an event if that fails.
    pub fn send_without_body(&mut self, response: &Response) -> Option<StreamEvent> {
        self.send_head(response, true).err()
    }

    fn send_head(&mut self, response: &Response, is_end: bool) -> Result<(), StreamEvent> {
        self.connection.monitor.add_queued(HEAD_BYTES);
        let body = self
            .responder
            .send_response(response_head(response), is_end)
            .map_err(|e| failure_event(&e))?;
        self.body = (!is_end).then_some(body);
        Ok(())
    }

    /// Sends the next bytes of the body. Returns an event if that fails.
    pub fn send_body(&mut self, bytes: usize, is_end: bool) -> Option<StreamEvent> {
        let (response, body) = (self.response.as_ref()?, self.body.as_mut()?);
        let end = self.sent_bytes + bytes;
        let part = response.body.slice(self.sent_bytes..end);
        self.sent_bytes = end;
        self.reservation = None;
        self.connection.monitor.add_queued(part.len());
        body.send_data(part, is_end)
            .err()
            .map(|e| failure_event(&e))
    }

    /// Refuses the stream, which guarantees to the client that the request was not processed (RFC 9113, section 8.7).
    pub fn refuse(&mut self) {
        self.responder.send_reset(Reason::REFUSED_STREAM);
    }

    /// Drops the response and resets the stream.
    pub fn abort(&mut self) {
        self.reservation = None;
        match &mut self.body {
            Some(body) => body.send_reset(Reason::ENHANCE_YOUR_CALM),
            None => self.responder.send_reset(Reason::ENHANCE_YOUR_CALM),
        }
    }

    /// Waits until some of the `remaining` bytes can be sent, or until the response has to be dropped.
    ///
    /// At first, if the client's window or the connection's buffers are used up, reserves memory for the remaining
    /// bytes and returns immediately.
    pub async fn next_event(&mut self, remaining: usize) -> StreamEvent {
        let (Some(body), Some(deadline)) = (&mut self.body, self.deadline) else {
            return StreamEvent::ConnectionLost;
        };
        let connection = &self.connection;
        body.reserve_capacity(remaining);
        let capacity = body.capacity().min(connection.monitor.send_capacity());
        if capacity > 0 {
            return StreamEvent::FlowWindow {
                bytes: capacity as u32,
            };
        }
        let Some(reservation) = &self.reservation else {
            let budget = &connection.frontend.response_budget;
            self.reservation = Some(budget.reserve(connection.budget_key, remaining));
            return StreamEvent::FlowWindow { bytes: 0 };
        };
        let sendable = wait_for_capacity(body, &connection.monitor);
        let timed_out = async {
            let deadline_passed = async {
                Timer::at(deadline).await;
            };
            future::or(deadline_passed, connection.context().responses_abandoned()).await;
            StreamEvent::TimedOut
        };
        let evicted = async {
            reservation.evicted().await;
            StreamEvent::MemoryReclaimed
        };
        future::or(sendable, future::or(timed_out, evicted)).await
    }
}

/// Waits until the client's window and the connection's buffers have capacity, and returns the event with the number of
/// bytes that can be sent. Returns another event if the stream ends before.
async fn wait_for_capacity(
    body: &mut SendStream<Bytes>,
    monitor: &TransportMonitor,
) -> StreamEvent {
    loop {
        if let Some(event) = wait_for_window(body).await {
            return event;
        }
        if body.capacity() > 0 {
            if let Some(event) = wait_for_buffers(body, monitor).await {
                return event;
            }
            return StreamEvent::FlowWindow {
                bytes: body.capacity().min(monitor.send_capacity()) as u32,
            };
        }
    }
}

/// Waits until the client's window has capacity. Returns an event if the stream ends before.
async fn wait_for_window(body: &mut SendStream<Bytes>) -> Option<StreamEvent> {
    future::poll_fn(|cx| {
        if let Poll::Ready(reset) = body.poll_reset(cx) {
            return Poll::Ready(Some(reset_event(&reset)));
        }
        if body.capacity() > 0 {
            return Poll::Ready(None);
        }
        body.poll_capacity(cx).map(|capacity| match capacity {
            Some(Ok(_)) => None,
            Some(Err(e)) => Some(failure_event(&e)),
            None => Some(StreamEvent::ConnectionLost),
        })
    })
    .await
}

/// Waits until the connection's buffers have capacity. Returns an event if the stream is reset before.
async fn wait_for_buffers(
    body: &mut SendStream<Bytes>,
    monitor: &TransportMonitor,
) -> Option<StreamEvent> {
    let available = async {
        monitor.send_capacity_available().await;
        None
    };
    let reset = future::poll_fn(|cx| body.poll_reset(cx).map(|reset| Some(reset_event(&reset))));
    future::or(reset, available).await
}

fn response_head(response: &Response) -> http::Response<()> {
    let mut head = http::Response::new(());
    *head.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = head.headers_mut();
    for (name, value) in &response.fields {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.to_string())) {
            headers.insert(name, value);
        }
    }
    headers.insert(http::header::CONTENT_LENGTH, response.body.len().into());
    head
}

fn reset_event(reset: &Result<Reason, h2::Error>) -> StreamEvent {
    match reset {
        Ok(_) => StreamEvent::Reset,
        Err(error) => failure_event(error),
    }
}
