//! The lifecycle of one stream: the action that each event causes in each state.
//!
//! A stream begins when its header block is complete. This module has no information on whether a
//! submitted request runs: the stream stays [`StreamState::Submitted`] until its one final response
//! arrives. The result of a request with an idempotency key is retained elsewhere, under that key,
//! no matter how the stream ends.

const STATUS_REQUEST_TIMEOUT: u16 = 408;
const STATUS_CONTENT_TOO_LARGE: u16 = 413;

/// State of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamState {
    /// The request's body is being received.
    ReceivingBody {
        /// Bytes received.
        received: u32,
    },
    /// The request was submitted to admission, and its response has not arrived.
    Submitted,
    /// The response is being sent.
    SendingResponse {
        /// Bytes of the body not sent yet.
        remaining: u32,
    },
    /// The client's flow-control window is used up; the rest of the response waits for it to grow.
    FlowBlocked {
        /// Bytes of the body not sent yet.
        remaining: u32,
    },
    /// The stream has ended.
    Closed(StreamEnd),
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamEnd {
    /// The final response was sent, whether it came from admission or from this server's own
    /// checks.
    Completed,
    /// The stream was refused before its request was submitted; the client may retry at once.
    Refused,
    /// The client reset the stream.
    Reset,
    /// The connection ended.
    ConnectionLost,
    /// The response was dropped: it was not read in time, or its memory was reclaimed.
    ResponseDropped,
}

/// An event that a stream has to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamEvent {
    /// Bytes of the request's body have arrived.
    Data {
        /// Number of bytes; may be 0.
        bytes: u32,
        /// Whether the body is complete.
        end: bool,
    },
    /// The request is invalid and is answered by this server without being submitted.
    InvalidRequest {
        /// Status of the response.
        status: u16,
    },
    /// The request was not complete in time, or the response was not read in time.
    TimedOut,
    /// The client has reset the stream.
    Reset,
    /// The connection has ended.
    ConnectionLost,
    /// The final response of the submitted request has arrived.
    Response {
        /// Bytes of its body.
        bytes: u32,
    },
    /// The client's flow-control window has changed.
    FlowWindow {
        /// Bytes that may be sent; 0 if the window is used up.
        bytes: u32,
    },
    /// The memory of the response is needed for other responses.
    MemoryReclaimed,
    /// The connection drains and receives no further requests; incomplete ones are refused.
    StopReading,
}

/// What the connection has to do for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamAction {
    /// Nothing.
    None,
    /// Buffer the bytes, and return them to the client's flow-control window.
    BufferData,
    /// Buffer the bytes and submit the request.
    SubmitRequest,
    /// Report that the client of a submitted request has disconnected.
    ReportDisconnect,
    /// Send a response with this status, and stop reading the request. It was not submitted.
    RespondWithStatus {
        /// Status of the response.
        status: u16,
    },
    /// Send the response's header block, which ends the stream if there is no body.
    SendHeaders,
    /// Send bytes of the response's body.
    SendData {
        /// Number of bytes.
        bytes: u32,
        /// Whether the body is complete with them.
        end: bool,
    },
    /// Reset the stream with `REFUSED_STREAM`, which guarantees to the client that the request was
    /// not processed (RFC 9113, section 8.7).
    RefuseStream,
    /// Reset the stream with `ENHANCE_YOUR_CALM` and drop the response.
    DropResponse,
}

/// State machine of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamLifecycle {
    state: StreamState,
    max_body_bytes: u32,
}

impl StreamLifecycle {
    /// Creates a stream whose header block is complete. A request body of more than
    /// `max_body_bytes` bytes is rejected.
    pub fn new(max_body_bytes: u32) -> StreamLifecycle {
        StreamLifecycle {
            state: StreamState::ReceivingBody { received: 0 },
            max_body_bytes,
        }
    }

    /// Returns the state of the stream.
    pub fn state(&self) -> StreamState {
        self.state
    }

    /// Handles an event and returns the action that it causes. An event that has no meaning in the
    /// current state changes nothing.
    pub fn handle(&mut self, event: StreamEvent) -> StreamAction {
        let (state, action) = match self.state {
            StreamState::ReceivingBody { received } => self.while_receiving(received, event),
            StreamState::Submitted => while_submitted(event),
            StreamState::SendingResponse { remaining } | StreamState::FlowBlocked { remaining } => {
                self.while_sending(remaining, event)
            }
            StreamState::Closed(_) => self.unchanged(),
        };
        self.state = state;
        action
    }

    fn unchanged(&self) -> (StreamState, StreamAction) {
        (self.state, StreamAction::None)
    }

    fn while_receiving(&self, received: u32, event: StreamEvent) -> (StreamState, StreamAction) {
        match event {
            StreamEvent::Data { bytes, .. } if bytes > self.max_body_bytes - received => {
                respond_with(STATUS_CONTENT_TOO_LARGE)
            }
            StreamEvent::Data { bytes, end: false } => {
                let received = received + bytes;
                let state = StreamState::ReceivingBody { received };
                (state, StreamAction::BufferData)
            }
            StreamEvent::Data { end: true, .. } => {
                (StreamState::Submitted, StreamAction::SubmitRequest)
            }
            StreamEvent::InvalidRequest { status } => respond_with(status),
            StreamEvent::TimedOut => respond_with(STATUS_REQUEST_TIMEOUT),
            // The request was not submitted, so it cannot have run.
            StreamEvent::StopReading => close(StreamEnd::Refused, StreamAction::RefuseStream),
            StreamEvent::Reset => close(StreamEnd::Reset, StreamAction::None),
            StreamEvent::ConnectionLost => close(StreamEnd::ConnectionLost, StreamAction::None),
            // There is no response yet.
            StreamEvent::Response { .. }
            | StreamEvent::FlowWindow { .. }
            | StreamEvent::MemoryReclaimed => self.unchanged(),
        }
    }

    fn while_sending(&self, remaining: u32, event: StreamEvent) -> (StreamState, StreamAction) {
        match event {
            StreamEvent::FlowWindow { bytes: 0 } => {
                (StreamState::FlowBlocked { remaining }, StreamAction::None)
            }
            StreamEvent::FlowWindow { bytes: window } => send_data(remaining, window),
            StreamEvent::TimedOut | StreamEvent::MemoryReclaimed => {
                close(StreamEnd::ResponseDropped, StreamAction::DropResponse)
            }
            // The request has been answered, so no disconnect has to be reported.
            StreamEvent::Reset => close(StreamEnd::Reset, StreamAction::None),
            StreamEvent::ConnectionLost => close(StreamEnd::ConnectionLost, StreamAction::None),
            StreamEvent::Data { .. }
            | StreamEvent::InvalidRequest { .. }
            | StreamEvent::Response { .. }
            | StreamEvent::StopReading => self.unchanged(),
        }
    }
}

fn while_submitted(event: StreamEvent) -> (StreamState, StreamAction) {
    match event {
        StreamEvent::Response { bytes: 0 } => {
            close(StreamEnd::Completed, StreamAction::SendHeaders)
        }
        StreamEvent::Response { bytes } => {
            let state = StreamState::SendingResponse { remaining: bytes };
            (state, StreamAction::SendHeaders)
        }
        // The request may be running; the caller decides what to do about the disconnect.
        StreamEvent::Reset => close(StreamEnd::Reset, StreamAction::ReportDisconnect),
        StreamEvent::ConnectionLost => {
            close(StreamEnd::ConnectionLost, StreamAction::ReportDisconnect)
        }
        // A request that was submitted before the drain is still answered.
        StreamEvent::StopReading
        | StreamEvent::TimedOut
        | StreamEvent::MemoryReclaimed
        | StreamEvent::FlowWindow { .. }
        | StreamEvent::Data { .. }
        | StreamEvent::InvalidRequest { .. } => (StreamState::Submitted, StreamAction::None),
    }
}

fn close(end: StreamEnd, action: StreamAction) -> (StreamState, StreamAction) {
    (StreamState::Closed(end), action)
}

fn respond_with(status: u16) -> (StreamState, StreamAction) {
    let action = StreamAction::RespondWithStatus { status };
    close(StreamEnd::Completed, action)
}

fn send_data(remaining: u32, window: u32) -> (StreamState, StreamAction) {
    let bytes = remaining.min(window);
    match remaining - bytes {
        0 => close(
            StreamEnd::Completed,
            StreamAction::SendData { bytes, end: true },
        ),
        remaining => (
            StreamState::SendingResponse { remaining },
            StreamAction::SendData { bytes, end: false },
        ),
    }
}
