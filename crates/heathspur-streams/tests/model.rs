//! Exhaustive model check of streams, connections, one request with an idempotency key, its run and
//! the drain. Streams and connections are the crate's own state machines; the event loop and
//! admission are modelled by the rules that they follow.
//!
//! Every step of a client, the network, admission or the clock can occur in any order. Each rule is
//! an invariant. Each mutant is a deliberate fault that the checker has to detect as a violated
//! rule.

use heathspur_streams::connection_drain::{ConnectionDrain, DrainStage, DrainStep};
use heathspur_streams::stream_lifecycle::{
    StreamAction, StreamEnd, StreamEvent, StreamLifecycle, StreamState,
};
use heathspur_streams::Time;
use stateright::{Checker, Model, Property};

/// The connection of each stream: two streams are on the first, one is on the second. All requests
/// carry the same idempotency key.
const CONNECTION_OF: [usize; 3] = [0, 0, 1];
const STREAMS: usize = CONNECTION_OF.len();
const CONNECTIONS: usize = 2;
const MAX_BODY_BYTES: u32 = 4;

/// State of a stream's request in the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RequestState {
    NotSubmitted,
    Queued,
    Running,
    /// Waits for the result of another attempt, which runs.
    Waiting,
    /// Answered, or discarded without an answer.
    Done,
}

/// The run of the request with the shared key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    None,
    /// In progress, for the request of this stream.
    Running(usize),
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Stream {
    /// `None` until the stream is opened.
    lifecycle: Option<StreamLifecycle>,
    request: RequestState,
    /// Number of final responses that the stream got from the event loop.
    responses: u8,
    /// Whether the stream was opened after its connection had sent the final GOAWAY.
    is_after_last: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Connection {
    drain: ConnectionDrain,
    is_open: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    streams: [Stream; STREAMS],
    connections: [Connection; CONNECTIONS],
    run: Run,
    runs: u8,
    draining: bool,
    accepting_stopped: bool,
    /// Whether an attempt was rejected after a request with its key had run.
    rejected_after_run: bool,
    /// Whether a request ran whose stream was opened after the final GOAWAY.
    ran_after_last: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The client opens this stream.
    OpenStream(usize),
    /// The client sends the complete body.
    SendBody(usize),
    ResetStream(usize),
    /// The client grants one byte of flow-control window.
    GrantWindow(usize),
    /// The client's flow-control window is used up.
    ExhaustWindow(usize),
    TimeOut(usize),
    ReclaimMemory(usize),
    /// This connection ends.
    LoseConnection(usize),
    AcknowledgePing(usize),
    /// The round trip of this connection's shutdown times out.
    RoundTripTimeout(usize),
    /// Admission starts the request of this stream.
    StartRequest(usize),
    /// Admission rejects the request of this stream.
    RejectRequest(usize),
    EndRun,
    BeginDrain,
    StopAccepting,
}

/// Deliberate faults in the modelled server, each of which violates a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// The result of a run is lost when the stream that started it is reset.
    ResultDroppedAtReset,
    /// Streams are accepted after the final GOAWAY.
    AcceptsAfterLast,
    /// Retries that wait for the result are not answered when the run ends.
    WaitingRetryForgotten,
    /// A retry is rejected although a request with its key runs or has run.
    RejectsAfterRun,
    /// A submitted request is dropped without a response in a drain.
    DroppedInDrain,
    /// A stream that was answered is answered again when the client resets it.
    AnsweredTwice,
}

struct ServerModel {
    mutant: Mutant,
}

impl Server {
    /// Sends a stream its final response, unless its request is done.
    fn answer(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        if stream.request == RequestState::Done {
            return;
        }
        stream.request = RequestState::Done;
        let Some(lifecycle) = &mut stream.lifecycle else {
            return;
        };
        if lifecycle.handle(StreamEvent::Response { bytes: 2 }) == StreamAction::SendHeaders {
            stream.responses += 1;
        }
    }

    /// Handles the report that the client of a stream has disconnected.
    fn client_disconnected(&mut self, index: usize, mutant: Mutant) {
        match self.streams[index].request {
            // The run continues, and its result is retained for retries.
            RequestState::Running => {
                if mutant == Mutant::ResultDroppedAtReset {
                    self.run = Run::None;
                    self.streams[index].request = RequestState::Done;
                }
            }
            RequestState::Queued | RequestState::Waiting => {
                self.streams[index].request = RequestState::Done
            }
            RequestState::NotSubmitted | RequestState::Done => {}
        }
    }

    /// Passes an event to a stream and carries out the action that it causes.
    fn deliver(&mut self, index: usize, event: StreamEvent, mutant: Mutant) {
        let Some(lifecycle) = &mut self.streams[index].lifecycle else {
            return;
        };
        match lifecycle.handle(event) {
            StreamAction::ReportDisconnect => self.client_disconnected(index, mutant),
            StreamAction::SubmitRequest => {
                // A retry gets the result of the run at once, or waits for it.
                match self.run {
                    Run::Ended => {
                        self.streams[index].request = RequestState::Waiting;
                        self.answer(index);
                    }
                    Run::Running(_) => self.streams[index].request = RequestState::Waiting,
                    Run::None => self.streams[index].request = RequestState::Queued,
                }
            }
            _ => {}
        }
    }
}

impl Model for ServerModel {
    type State = Server;
    type Action = Step;

    fn init_states(&self) -> Vec<Server> {
        let stream = Stream {
            lifecycle: None,
            request: RequestState::NotSubmitted,
            responses: 0,
            is_after_last: false,
        };
        let connection = Connection {
            drain: ConnectionDrain::new(1),
            is_open: true,
        };
        vec![Server {
            streams: std::array::from_fn(|_| stream.clone()),
            connections: std::array::from_fn(|_| connection.clone()),
            run: Run::None,
            runs: 0,
            draining: false,
            accepting_stopped: false,
            rejected_after_run: false,
            ran_after_last: false,
        }]
    }

    fn actions(&self, state: &Server, steps: &mut Vec<Step>) {
        for (index, stream) in state.streams.iter().enumerate() {
            let is_open = state.connections[CONNECTION_OF[index]].is_open;
            match stream.lifecycle.as_ref().map(StreamLifecycle::state) {
                None if is_open => steps.push(Step::OpenStream(index)),
                Some(StreamState::ReceivingBody { .. }) if is_open => steps.extend([
                    Step::SendBody(index),
                    Step::ResetStream(index),
                    Step::TimeOut(index),
                ]),
                Some(StreamState::Submitted) if is_open => steps.push(Step::ResetStream(index)),
                Some(StreamState::SendingResponse { .. } | StreamState::FlowBlocked { .. })
                    if is_open =>
                {
                    steps.extend([
                        Step::GrantWindow(index),
                        Step::ExhaustWindow(index),
                        Step::TimeOut(index),
                        Step::ReclaimMemory(index),
                        Step::ResetStream(index),
                    ])
                }
                _ => {}
            }
            if stream.request == RequestState::Queued {
                steps.extend([Step::StartRequest(index), Step::RejectRequest(index)]);
            }
        }
        if matches!(state.run, Run::Running(_)) {
            steps.push(Step::EndRun);
        }
        for (index, connection) in state
            .connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.is_open)
        {
            steps.push(Step::LoseConnection(index));
            if matches!(connection.drain.stage(), DrainStage::GoingAway(_)) {
                steps.extend([Step::AcknowledgePing(index), Step::RoundTripTimeout(index)]);
            }
        }
        if !state.draining {
            steps.push(Step::BeginDrain);
        } else if !state.accepting_stopped {
            steps.push(Step::StopAccepting);
        }
    }

    fn next_state(&self, before: &Server, step: Step) -> Option<Server> {
        let mut state = before.clone();
        let mutant = self.mutant;
        match step {
            Step::OpenStream(index) => {
                let drain = &state.connections[CONNECTION_OF[index]].drain;
                let (accepts, is_after_last) = (
                    drain.accepts_streams() || mutant == Mutant::AcceptsAfterLast,
                    !drain.accepts_streams(),
                );
                let mut lifecycle = StreamLifecycle::new(MAX_BODY_BYTES);
                if !accepts
                    && lifecycle.handle(StreamEvent::StopReading) != StreamAction::RefuseStream
                {
                    return None;
                }
                let stream = &mut state.streams[index];
                (stream.lifecycle, stream.is_after_last) = (Some(lifecycle), is_after_last);
            }
            Step::SendBody(index) => state.deliver(
                index,
                StreamEvent::Data {
                    bytes: 1,
                    end: true,
                },
                mutant,
            ),
            Step::ResetStream(index) => {
                state.deliver(index, StreamEvent::Reset, mutant);
                if mutant == Mutant::AnsweredTwice && state.streams[index].responses > 0 {
                    state.streams[index].responses += 1;
                }
            }
            Step::GrantWindow(index) => {
                state.deliver(index, StreamEvent::FlowWindow { bytes: 1 }, mutant)
            }
            Step::ExhaustWindow(index) => {
                state.deliver(index, StreamEvent::FlowWindow { bytes: 0 }, mutant)
            }
            Step::TimeOut(index) => state.deliver(index, StreamEvent::TimedOut, mutant),
            Step::ReclaimMemory(index) => {
                state.deliver(index, StreamEvent::MemoryReclaimed, mutant)
            }
            Step::LoseConnection(connection) => {
                state.connections[connection].is_open = false;
                for index in (0..STREAMS).filter(|&index| CONNECTION_OF[index] == connection) {
                    state.deliver(index, StreamEvent::ConnectionLost, mutant);
                }
            }
            Step::AcknowledgePing(connection) => assert_eq!(
                state.connections[connection].drain.on_ping_acknowledged(),
                DrainStep::SendFinalGoAway
            ),
            Step::RoundTripTimeout(connection) => assert_eq!(
                state.connections[connection].drain.check_timeout(Time(9)),
                DrainStep::SendFinalGoAway
            ),
            Step::StartRequest(index) => match state.run {
                Run::None => {
                    state.run = Run::Running(index);
                    state.runs += 1;
                    state.streams[index].request = RequestState::Running;
                    state.ran_after_last |= state.streams[index].is_after_last;
                }
                // The request is a retry: another attempt runs or has run.
                Run::Running(_) => state.streams[index].request = RequestState::Waiting,
                Run::Ended => state.answer(index),
            },
            Step::RejectRequest(index) => {
                let has_run = state.run != Run::None;
                if has_run && mutant != Mutant::RejectsAfterRun {
                    return None;
                }
                state.rejected_after_run |= has_run;
                state.answer(index);
            }
            Step::EndRun => {
                let Run::Running(runner) = state.run else {
                    return None;
                };
                state.run = Run::Ended;
                state.answer(runner);
                for index in 0..STREAMS {
                    if state.streams[index].request == RequestState::Waiting
                        && mutant != Mutant::WaitingRetryForgotten
                    {
                        state.answer(index);
                    }
                }
            }
            Step::BeginDrain => {
                state.draining = true;
                for connection in &mut state.connections {
                    connection.drain.begin(Time(0));
                }
            }
            Step::StopAccepting => {
                state.accepting_stopped = true;
                for connection in &mut state.connections {
                    connection.drain.stop_accepting();
                }
                for index in 0..STREAMS {
                    state.deliver(index, StreamEvent::StopReading, mutant);
                    if mutant == Mutant::DroppedInDrain
                        && state.streams[index].request == RequestState::Queued
                    {
                        state.streams[index].request = RequestState::Done;
                    }
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "rule 1: each submitted request has an owner until it is answered, once",
                |_, server: &Server| {
                    server.streams.iter().all(|stream| {
                        let is_submitted = stream
                            .lifecycle
                            .as_ref()
                            .is_some_and(|lifecycle| lifecycle.state() == StreamState::Submitted);
                        let has_owner = match stream.request {
                            RequestState::Queued | RequestState::Running => true,
                            RequestState::Waiting => matches!(server.run, Run::Running(_)),
                            RequestState::NotSubmitted | RequestState::Done => false,
                        };
                        (!is_submitted || has_owner) && stream.responses <= 1
                    })
                },
            ),
            Property::always(
                "rule 1: a completed stream was answered, and a refused one was not submitted",
                |_, server: &Server| {
                    server
                        .streams
                        .iter()
                        .filter_map(|stream| Some((stream, stream.lifecycle.as_ref()?)))
                        .all(|(stream, lifecycle)| match lifecycle.state() {
                            StreamState::Closed(StreamEnd::Completed) => {
                                stream.responses == 1
                                    || stream.request == RequestState::NotSubmitted
                            }
                            StreamState::Closed(StreamEnd::Refused) => {
                                stream.request == RequestState::NotSubmitted
                            }
                            _ => true,
                        })
                },
            ),
            Property::always(
                "rule 2: a key runs at most once, and is not rejected after it ran",
                |_, server: &Server| server.runs <= 1 && !server.rejected_after_run,
            ),
            Property::always(
                "rule 3: no request runs whose stream was opened after the final GOAWAY",
                |_, server: &Server| !server.ran_after_last,
            ),
            Property::sometimes(
                "a retry on another connection gets the result of a stream that was reset",
                |_, server: &Server| {
                    server.runs == 1
                        && server.streams[0]
                            .lifecycle
                            .as_ref()
                            .is_some_and(|lifecycle| {
                                lifecycle.state() == StreamState::Closed(StreamEnd::Reset)
                            })
                        && server.streams[0].request == RequestState::Done
                        && server.streams[2].responses == 1
                        && server.run == Run::Ended
                },
            ),
            Property::sometimes(
                "all submitted requests are answered in a drain",
                |_, server: &Server| {
                    server.accepting_stopped
                        && server.streams.iter().all(|stream| stream.responses == 1)
                },
            ),
        ]
    }
}

fn check(mutant: Mutant) -> impl Checker<ServerModel> {
    ServerModel { mutant }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join()
}

#[test]
fn rules_hold_in_every_order_of_events() {
    let checker = check(Mutant::None);
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
}

#[test]
fn each_mutant_violates_a_rule() {
    for mutant in [
        Mutant::ResultDroppedAtReset,
        Mutant::AcceptsAfterLast,
        Mutant::WaitingRetryForgotten,
        Mutant::RejectsAfterRun,
        Mutant::DroppedInDrain,
        Mutant::AnsweredTwice,
    ] {
        let checker = check(mutant);
        let found: Vec<_> = checker
            .discoveries()
            .into_keys()
            .filter(|name| name.starts_with("rule"))
            .collect();
        assert!(!found.is_empty(), "{mutant:?} violates no rule");
    }
}
