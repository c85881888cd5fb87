//! The receiving side of a stream: the request's header fields and body.

use crate::frontend::request::{RequestDraft, RequestFields, RequestTarget};
use crate::frontend::{Answer, FrontendContext, IncomingRequest};
use async_channel::Receiver;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use h2::RecvStream;
use heathspur::ClassId;
use heathspur_streams::stream_lifecycle::StreamEvent;
use http::{HeaderMap, Request};
use std::time::{Duration, Instant};

/// Collects the parts of a request until it is complete.
pub(super) struct RequestReceiver {
    target: RequestTarget,
    /// `None` if a field is invalid.
    fields: Option<RequestFields>,
    body: RecvStream,
    received_body: BytesMut,
    /// When the request has to be complete.
    deadline: Instant,
}

impl RequestReceiver {
    /// Creates the receiver of a request whose header block is complete. The body has to be complete within `timeout`.
    pub fn new(
        request: Request<RecvStream>,
        timeout: Duration,
        context: &FrontendContext,
    ) -> RequestReceiver {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        RequestReceiver {
            target: RequestTarget::of(head.method.as_str().as_bytes(), path.as_bytes(), context),
            fields: read_fields(&head.headers, context),
            body,
            received_body: BytesMut::new(),
            deadline: Instant::now() + timeout,
        }
    }

    pub fn target(&self) -> &RequestTarget {
        &self.target
    }

    /// Waits for the next bytes of the body, the request's timeout, or the end of accepting requests.
    pub async fn next_event(&mut self, context: &FrontendContext) -> StreamEvent {
        let deadline = self.deadline;
        let data = self.receive_data();
        let timed_out = async {
            Timer::at(deadline).await;
            StreamEvent::TimedOut
        };
        let accepting_stopped = async {
            context.accepting_stopped().await;
            StreamEvent::StopReading
        };
        future::or(data, future::or(timed_out, accepting_stopped)).await
    }

    async fn receive_data(&mut self) -> StreamEvent {
        match self.body.data().await {
            Some(Ok(bytes)) => self.store(&bytes),
            Some(Err(e)) => super::stream::failure_event(&e),
            // Trailers may follow; they are ignored.
            None => StreamEvent::Data {
                bytes: 0,
                end: true,
            },
        }
    }

    fn store(&mut self, bytes: &Bytes) -> StreamEvent {
        // The stream's state machine limits the body: nothing more is read once it is too long.
        self.received_body.extend_from_slice(bytes);
        let count = bytes.len();
        let _ = self.body.flow_control().release_capacity(count);
        StreamEvent::Data {
            bytes: count as u32,
            end: self.body.is_end_stream(),
        }
    }

    /// Builds the request once its body is complete. Returns `None` if the request is invalid.
    pub fn finish(
        &mut self,
        class: ClassId,
        context: &FrontendContext,
    ) -> Option<(IncomingRequest, Receiver<Answer>)> {
        let fields = self.fields.take()?;
        let body = std::mem::take(&mut self.received_body).freeze();
        fields.into_request(class, body, context)
    }
}

/// Reads the known header fields. The others are dropped with the map, before the body arrives: they may be many and
/// large. Returns `None` if a field is invalid.
fn read_fields(headers: &HeaderMap, context: &FrontendContext) -> Option<RequestFields> {
    let mut draft = RequestDraft::new(context, Bytes::copy_from_slice);
    for (name, value) in headers {
        draft.add_header(name.as_str().as_bytes(), value.as_bytes())?;
    }
    Some(draft.into_fields())
}
