//! The HTTP/1.1 frontend. Each connection is served by its own task, so that a slow client delays only itself.
//!
//! The `input` module receives requests and the `response_writer` module writes responses. This module serves the
//! requests of a connection one after another and decides when the connection is closed.

mod input;
mod response_writer;

use crate::frontend::connection_pool::{ConnectionPhase, Permit};
use crate::frontend::lingering_close;
use crate::frontend::request::{RequestDraft, RequestTarget};
use crate::frontend::response::Response;
use crate::frontend::{Answer, FrontendContext, FrontendHandle, IncomingRequest};
use crate::recording::recorded_stream::Stream;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use bytes::Bytes;
use futures_lite::future;
use heathspur::ClassId;
use heathspur_wire::http::{self, ConnectionOption, Fields, Message};
use input::Input;
use std::rc::Rc;

/// Why a connection is closed.
enum CloseReason {
    /// The client closed the connection, or the connection failed.
    ClosedByClient,
    /// The server closes the connection: it was idle for too long, or no further requests are accepted on it.
    NoMoreRequests,
    /// The received bytes are not a valid request. Contains the status of the response.
    InvalidRequest(u16),
}

/// The content of a complete message.
enum ParsedMessage {
    HealthCheck,
    Request(Box<IncomingRequest>, Receiver<Answer>),
    /// The message is not a valid request. Contains the status of the response.
    Invalid(u16),
}

/// A complete message, and whether the client asks for the connection to be closed after the answer.
struct ReceivedMessage {
    content: ParsedMessage,
    connection_option: ConnectionOption,
}

/// Returns the function that serves a connection of this frontend.
pub(crate) fn serve(
    executor: Rc<LocalExecutor<'static>>,
    frontend: Rc<FrontendHandle>,
) -> impl Fn(Stream, Permit) {
    move |stream, permit| {
        executor
            .spawn(serve_connection(stream, frontend.clone(), permit))
            .detach()
    }
}

async fn serve_connection(stream: Stream, frontend: Rc<FrontendHandle>, permit: Permit) {
    let mut connection = Connection {
        input: Input::new(stream),
        frontend,
        permit,
    };
    connection.run().await;
}

struct Connection {
    input: Input,
    frontend: Rc<FrontendHandle>,
    permit: Permit,
}

impl Connection {
    /// Serves the connection to its end.
    async fn run(&mut self) {
        // Fails only if the connection has failed, which the first read reports.
        let _ = self.input.stream().get_ref().set_nodelay(true);
        let reason = loop {
            if let Err(reason) = self.serve_next().await {
                break reason;
            }
        };
        let stream = self.input.stream();
        match reason {
            CloseReason::ClosedByClient => {}
            CloseReason::NoMoreRequests => self.permit.linger(lingering_close::close(stream)).await,
            CloseReason::InvalidRequest(status) => {
                self.permit
                    .linger(response_writer::reject(stream, status))
                    .await
            }
        }
    }

    /// Serves the next request.
    ///
    /// # Errors
    ///
    /// Returns why the connection has to be closed.
    async fn serve_next(&mut self) -> Result<(), CloseReason> {
        let next = self
            .input
            .next_message(&self.frontend.context, &self.permit);
        match self.permit.idle(next).await {
            Ok(Ok(message)) => {
                let message = self.take_message(&message);
                self.serve_message(message).await
            }
            Ok(Err(CloseReason::NoMoreRequests)) => self.close_unless_received().await,
            Ok(Err(reason)) => Err(reason),
            Err(phase) => self.on_eviction(phase).await,
        }
    }

    /// Closes the connection unless bytes have arrived meanwhile.
    async fn close_unless_received(&mut self) -> Result<(), CloseReason> {
        match self.input.try_read().await {
            Some(Ok(1..)) => Ok(()),
            Some(_) => Err(CloseReason::ClosedByClient),
            None => Err(CloseReason::NoMoreRequests),
        }
    }

    /// Closes an evicted connection, unless a request has arrived meanwhile. A request that is complete by now has to
    /// be answered. An incomplete one is rejected, unless it began only after the connection was selected as idle.
    async fn on_eviction(&mut self, phase: ConnectionPhase) -> Result<(), CloseReason> {
        match self.input.try_read().await {
            Some(Ok(0) | Err(_)) => Err(CloseReason::ClosedByClient),
            None if self.input.is_empty() => Err(CloseReason::NoMoreRequests),
            _ if phase == ConnectionPhase::Idle || self.input.has_message() => Ok(()),
            _ => Err(CloseReason::InvalidRequest(408)),
        }
    }

    /// Takes a complete message from the input.
    fn take_message(&mut self, message: &Message) -> ReceivedMessage {
        let fields = Fields::over(&self.input.bytes()[message.fields.clone()]);
        let connection_option = match http::has_close_option(fields) {
            true => ConnectionOption::Close,
            false => ConnectionOption::KeepAlive,
        };
        let bytes = self.input.take_message(message);
        let content = parse(&bytes, message, &self.frontend.context);
        ReceivedMessage {
            content,
            connection_option,
        }
    }

    /// Answers a complete message.
    async fn serve_message(&mut self, message: ReceivedMessage) -> Result<(), CloseReason> {
        let ReceivedMessage {
            content,
            mut connection_option,
        } = message;
        let response = match content {
            ParsedMessage::Invalid(status) => return Err(CloseReason::InvalidRequest(status)),
            ParsedMessage::HealthCheck => {
                self.permit.request_received();
                Response::of_health(&self.frontend.context)
            }
            ParsedMessage::Request(request, answers) => {
                self.permit.request_received();
                let answer = self.obtain_answer(request, answers).await?;
                if self.frontend.context.draining.get() && !self.has_next_request().await {
                    connection_option = ConnectionOption::Close;
                }
                Response::of(&answer, &self.frontend.context)
            }
        };
        let stream = self.input.stream();
        response_writer::write(stream, &self.frontend.context, &response, connection_option)
            .await
            .map_err(|_| CloseReason::ClosedByClient)?;
        match connection_option {
            ConnectionOption::KeepAlive => Ok(()),
            ConnectionOption::Close => Err(CloseReason::NoMoreRequests),
        }
    }

    /// Submits a request and waits for its answer. If the client disconnects before, reports that to the event loop.
    async fn obtain_answer(
        &mut self,
        request: Box<IncomingRequest>,
        answers: Receiver<Answer>,
    ) -> Result<Answer, CloseReason> {
        let id = request.id;
        // Fails only once the event loop has ended. That is after all connections, so no answer is required then.
        let submitted = self.frontend.requests.send(*request).await;
        submitted.map_err(|_| CloseReason::ClosedByClient)?;
        let answered = async { answers.recv().await.ok() };
        let disconnected = async {
            self.input.client_disconnected().await;
            None
        };
        match future::or(answered, disconnected).await {
            Some(answer) => Ok(answer),
            None => {
                answers.close();
                let _ = self.frontend.disconnected.send(id).await;
                Err(CloseReason::ClosedByClient)
            }
        }
    }

    /// Returns whether bytes have arrived after the current request. They may be a request that has to be answered too.
    async fn has_next_request(&mut self) -> bool {
        !self.input.is_empty() || matches!(self.input.try_read().await, Some(Ok(1..)))
    }
}

/// Parses a message. `bytes` consists of exactly this message.
fn parse(bytes: &Bytes, message: &Message, context: &FrontendContext) -> ParsedMessage {
    let Ok((method, target)) = http::request_line(&bytes[message.start_line.clone()]) else {
        return ParsedMessage::Invalid(400);
    };
    match RequestTarget::of(method, target, context) {
        RequestTarget::HealthCheck => ParsedMessage::HealthCheck,
        RequestTarget::Invalid(status) => ParsedMessage::Invalid(status),
        RequestTarget::Service(class) => match parse_request(bytes, message, class, context) {
            Some((request, answers)) => ParsedMessage::Request(Box::new(request), answers),
            None => ParsedMessage::Invalid(400),
        },
    }
}

fn parse_request(
    bytes: &Bytes,
    message: &Message,
    class: ClassId,
    context: &FrontendContext,
) -> Option<(IncomingRequest, Receiver<Answer>)> {
    let mut draft = RequestDraft::new(context, |part| bytes.slice_ref(part));
    for field in Fields::over(&bytes[message.fields.clone()]) {
        let (name, value) = field.ok()?;
        draft.add_header(name, value)?;
    }
    let body = bytes.slice(message.body.clone());
    draft.into_fields().into_request(class, body, context)
}
