//! The lifecycle of one stream: what each event means in each state.
//!
//! A stream begins when its header block is complete. Whether its request runs is not known here: a
//! submitted stream stays [`StreamState::Submitted`] until its one final response comes. The result of
//! a keyed request is retained under its key, whatever becomes of the stream.

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
    /// The request was submitted to admission; its response is owed.
    Submitted,
    /// The response is being sent.
    SendingResponse {
        /// Bytes of the body not sent yet.
        remaining: u32,
    },
    /// The response waits for the client's flow-control window.
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
    /// Its final response was sent, whether from admission or from this server's own checks.
    Completed,
    /// It was refused before its request was submitted, so that the client may repeat it at once.
    Refused,
    /// The client reset it.
    Reset,
    /// Its connection ended.
    ConnectionLost,
    /// Its response was dropped: it was not read in time, or its memory was needed.
    ResponseDropped,
}

/// Something that happens to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamEvent {
    /// Bytes of the request's body have arrived; there may be none.
    Data {
        /// Number of bytes.
        bytes: u32,
        /// The client has ended its side.
        end: bool,
    },
    /// The request is invalid and gets this server's own response.
    InvalidRequest {
        /// Status of the response.
        status: u16,
    },
    /// The request was not complete in time, or the response not read in time.
    TimedOut,
    /// The client has reset the stream.
    Reset,
    /// The connection has ended.
    ConnectionLost,
    /// The final response.
    Response {
        /// Bytes of its body.
        bytes: u32,
    },
    /// The client's flow-control window has changed.
    FlowWindow {
        /// Bytes that may be sent; 0 if the window is used up.
        bytes: u32,
    },
    /// The memory of the response is needed for others.
    MemoryReclaimed,
    /// The connection drains, and no stream is read any more.
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
    /// Report that the client has gone.
    ReportDisconnect,
    /// Send this server's own response, and read no more of the request.
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
        /// They are the last.
        end: bool,
    },
    /// Reset with `REFUSED_STREAM`, which proves that nothing ran (RFC 9113, section 8.7).
    RefuseStream,
    /// Reset with `ENHANCE_YOUR_CALM` and drop the response.
    DropResponse,
}

/// One stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamLifecycle {
    state: StreamState,
    max_body_bytes: u32,
}

impl StreamLifecycle {
    /// Creates a stream whose header block is complete.
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

    /// Handles an event and returns what is to be done. Events that come too late change nothing.
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
            // Nothing was submitted, so nothing ran.
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
            // The request is finished, so that no disconnect has to be reported.
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
        // Whether the request ran is not known here; the event loop decides what a disconnect means.
        StreamEvent::Reset => close(StreamEnd::Reset, StreamAction::ReportDisconnect),
        StreamEvent::ConnectionLost => {
            close(StreamEnd::ConnectionLost, StreamAction::ReportDisconnect)
        }
        // The request was read before the drain and is answered.
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
