//! The task of one stream. It passes events from the library, the event loop and the clock to the stream's state
//! machine ([`StreamLifecycle`]) and carries out the actions that it returns.

use super::connection::{ConnectionState, StreamSlot};
use super::receive::RequestReceiver;
use super::send::ResponseSender;
use crate::frontend::request::RequestTarget;
use crate::frontend::response::Response;
use crate::frontend::Answer;
use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::future;
use h2::server::SendResponse;
use h2::RecvStream;
use heathspur::RequestId;
use heathspur_streams::stream_lifecycle::{
    StreamAction, StreamEvent, StreamLifecycle, StreamState,
};
use http::Request;
use std::rc::Rc;

/// A request that was submitted to the event loop.
struct SubmittedRequest {
    id: RequestId,
    answers: Receiver<Answer>,
}

/// State of a stream's task.
struct StreamTask {
    connection: Rc<ConnectionState>,
    lifecycle: StreamLifecycle,
    receiver: RequestReceiver,
    sender: ResponseSender,
    /// Set once the request was submitted.
    submitted: Option<SubmittedRequest>,
}

/// Serves a stream to its end. The slot stays occupied for as long as the library buffers frames of the stream.
pub(super) async fn serve(
    request: Request<RecvStream>,
    responder: SendResponse<Bytes>,
    slot: StreamSlot,
) {
    let connection = slot.connection().clone();
    let limits = &connection.frontend.settings.request;
    let max_body_bytes = limits.body.0 as u32;
    let mut task = StreamTask {
        lifecycle: StreamLifecycle::new(max_body_bytes),
        receiver: RequestReceiver::new(request, limits.receive_timeout.0, connection.context()),
        sender: ResponseSender::new(connection.clone(), responder),
        submitted: None,
        connection,
    };
    task.run().await;
}

impl StreamTask {
    async fn run(&mut self) {
        let mut pending_event = match self.receiver.target() {
            RequestTarget::HealthCheck => return self.answer_health_check(),
            RequestTarget::Invalid(status) => Some(StreamEvent::InvalidRequest { status: *status }),
            RequestTarget::Service(_) => None,
        };
        while !matches!(self.lifecycle.state(), StreamState::Closed(_)) {
            let event = match pending_event.take() {
                Some(event) => event,
                None => self.next_event().await,
            };
            let action = self.lifecycle.handle(event);
            pending_event = self.carry_out(action).await;
        }
        self.connection.monitor.unblocked().await;
    }

    /// Answers a health check. The body of its request, if any, is not read.
    fn answer_health_check(&mut self) {
        self.connection.monitor.meter.borrow_mut().credit_request();
        let response = Response::of_health(self.connection.context());
        let _ = self.sender.send_without_body(&response);
    }

    /// Waits for the next event in the current state.
    async fn next_event(&mut self) -> StreamEvent {
        match self.lifecycle.state() {
            StreamState::ReceivingBody { .. } => {
                self.receiver.next_event(self.connection.context()).await
            }
            StreamState::Submitted => self.answer_or_reset().await,
            StreamState::SendingResponse { remaining } | StreamState::FlowBlocked { remaining } => {
                self.sender.next_event(remaining as usize).await
            }
            StreamState::Closed(_) => future::pending().await,
        }
    }

    /// Waits for the event loop's answer, or until the client resets the stream.
    async fn answer_or_reset(&mut self) -> StreamEvent {
        let Some(submitted) = &self.submitted else {
            return StreamEvent::ConnectionLost;
        };
        let answered = async {
            match submitted.answers.recv().await {
                Ok(answer) => Ok(answer),
                // The event loop drops a request without an answer only if the client has disconnected.
                Err(_) => future::pending().await,
            }
        };
        let reset = async { Err(self.sender.client_reset().await) };
        match future::or(answered, reset).await {
            Ok(answer) => {
                let response = Response::of(&answer, self.connection.context());
                self.sender.set_response(response)
            }
            Err(event) => event,
        }
    }

    /// Carries out an action. Returns the event that it causes immediately, if any.
    async fn carry_out(&mut self, action: StreamAction) -> Option<StreamEvent> {
        match action {
            StreamAction::None | StreamAction::BufferData => None,
            StreamAction::SubmitRequest => self.submit().await,
            StreamAction::ReportDisconnect => {
                self.report_disconnect().await;
                None
            }
            StreamAction::RespondWithStatus { status } => {
                self.sender.send_without_body(&Response::of_status(status))
            }
            StreamAction::SendHeaders => self.sender.send_response_head(),
            StreamAction::SendData { bytes, end } => self.sender.send_body(bytes as usize, end),
            StreamAction::RefuseStream => {
                self.sender.refuse();
                None
            }
            StreamAction::DropResponse => {
                self.sender.abort();
                None
            }
        }
    }

    /// Submits the request to the event loop. If the request is invalid, returns the event of this frontend's own
    /// response instead.
    async fn submit(&mut self) -> Option<StreamEvent> {
        let RequestTarget::Service(class) = *self.receiver.target() else {
            return None;
        };
        let context = self.connection.context();
        let Some((request, answers)) = self.receiver.finish(class, context) else {
            return Some(self.sender.set_response(Response::of_status(400)));
        };
        self.connection.monitor.meter.borrow_mut().credit_request();
        let id = request.id;
        self.submitted = Some(SubmittedRequest { id, answers });
        let frontend = &self.connection.frontend;
        if let Err(full) = frontend.handle.requests.try_send(request) {
            let now = frontend.now();
            frontend.stream_limits.borrow_mut().on_backpressure(now);
            // Fails only once the event loop has ended. That is after all connections, so no answer is required then.
            let _ = frontend.handle.requests.send(full.into_inner()).await;
        }
        None
    }

    async fn report_disconnect(&mut self) {
        if let Some(SubmittedRequest { id, answers }) = self.submitted.take() {
            answers.close();
            // Fails only once the event loop has ended. That is after all connections, so no answer is required then.
            let _ = self.connection.frontend.handle.disconnected.send(id).await;
        }
    }
}

/// Returns the event for an error of the library: a reset by the client, or the end of the connection.
pub(super) fn failure_event(error: &h2::Error) -> StreamEvent {
    match error.is_reset() {
        true => StreamEvent::Reset,
        false => StreamEvent::ConnectionLost,
    }
}
