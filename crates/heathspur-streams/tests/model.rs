//! A model of streams, connections, one keyed request, its run and the drain, explored exhaustively with
//! the crate's own state machines. The event loop and admission are modelled by the rules they keep.
//!
//! Every step of a client, the network, admission or the clock can occur in any order. Each rule is an
//! invariant; each mutant violates one and must be found.

use heathspur_streams::connection_drain::{ConnectionDrain, DrainStage, DrainStep};
use heathspur_streams::stream_lifecycle::{
    StreamAction, StreamEnd, StreamEvent, StreamLifecycle, StreamState,
};
use heathspur_streams::Time;
use stateright::{Checker, Model, Property};

/// Which connection each stream is on: two on the first, one on the second; all carry the same key.
const ON: [usize; 3] = [0, 0, 1];
const STREAMS: usize = ON.len();
const CONNECTIONS: usize = 2;
const BODY: u32 = 4;

/// What the event loop knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Work {
    /// Never submitted.
    Unknown,
    Held,
    Running,
    /// Waits for the result of the attempt that runs.
    Waiting,
    /// Released.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    None,
    Going(usize),
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Stream {
    life: Option<StreamLifecycle>,
    work: Work,
    /// Final responses that the event loop gave it.
    answers: u8,
    /// It began after its connection's last stream was fixed.
    past: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Conn {
    drain: ConnectionDrain,
    alive: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    streams: [Stream; STREAMS],
    conns: [Conn; CONNECTIONS],
    run: Run,
    runs: u8,
    leaving: bool,
    shut: bool,
    /// An attempt was rejected although its key had run.
    refused_after_run: bool,
    /// A request ran that arrived after its connection's last stream.
    ran_past: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Open(usize),
    Body(usize),
    Reset(usize),
    Window(usize),
    NoWindow(usize),
    Late(usize),
    MemoryReclaimed(usize),
    Lose(usize),
    Pong(usize),
    Timeout(usize),
    Start(usize),
    Refuse(usize),
    EndRun,
    Notice,
    Shut,
}

/// Deliberate faults, each of which violates a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// The result is lost with the stream that started the run.
    ResultDroppedAtReset,
    /// Streams after the last one are accepted.
    AcceptsPastLast,
    /// Retries that wait are not answered when the run ends.
    WaitingRetryForgotten,
    /// A reset is not reported, and the client's request stays.
    RejectsAfterRun,
    /// A submitted request is dropped without a response in a drain.
    DroppedInDrain,
    /// A reset stream is answered, and answered again.
    AnsweredTwice,
}

struct Front {
    mutant: Mutant,
}

impl Server {
    /// Gives a stream its one final response.
    fn answer(&mut self, at: usize) {
        let stream = &mut self.streams[at];
        if stream.work == Work::Done {
            return;
        }
        stream.work = Work::Done;
        let Some(life) = &mut stream.life else { return };
        if life.handle(StreamEvent::Response { bytes: 2 }) == StreamAction::SendHeaders {
            stream.answers += 1;
        }
    }

    /// The event loop learns that a stream's client has client_gone.
    fn client_gone(&mut self, at: usize, mutant: Mutant) {
        match self.streams[at].work {
            // The run continues, and its result is retained.
            Work::Running => {
                if mutant == Mutant::ResultDroppedAtReset {
                    self.run = Run::None;
                    self.streams[at].work = Work::Done;
                }
            }
            Work::Held | Work::Waiting => self.streams[at].work = Work::Done,
            Work::Unknown | Work::Done => {}
        }
    }

    fn deliver(&mut self, at: usize, event: StreamEvent, mutant: Mutant) {
        let Some(life) = &mut self.streams[at].life else {
            return;
        };
        match life.handle(event) {
            StreamAction::ReportDisconnect => self.client_gone(at, mutant),
            StreamAction::SubmitRequest => {
                // A retry of a request that ran gets its result at once, or waits for it.
                match self.run {
                    Run::Ended => {
                        self.streams[at].work = Work::Waiting;
                        self.answer(at);
                    }
                    Run::Going(_) => self.streams[at].work = Work::Waiting,
                    Run::None => self.streams[at].work = Work::Held,
                }
            }
            _ => {}
        }
    }
}

impl Model for Front {
    type State = Server;
    type Action = Move;

    fn init_states(&self) -> Vec<Server> {
        let stream = Stream {
            life: None,
            work: Work::Unknown,
            answers: 0,
            past: false,
        };
        let conn = Conn {
            drain: ConnectionDrain::new(1),
            alive: true,
        };
        vec![Server {
            streams: std::array::from_fn(|_| stream.clone()),
            conns: std::array::from_fn(|_| conn.clone()),
            run: Run::None,
            runs: 0,
            leaving: false,
            shut: false,
            refused_after_run: false,
            ran_past: false,
        }]
    }

    fn actions(&self, state: &Server, moves: &mut Vec<Move>) {
        for (at, stream) in state.streams.iter().enumerate() {
            let alive = state.conns[ON[at]].alive;
            match stream.life.as_ref().map(StreamLifecycle::state) {
                None if alive => moves.push(Move::Open(at)),
                Some(StreamState::ReceivingBody { .. }) if alive => {
                    moves.extend([Move::Body(at), Move::Reset(at), Move::Late(at)])
                }
                Some(StreamState::Submitted) if alive => moves.push(Move::Reset(at)),
                Some(StreamState::SendingResponse { .. } | StreamState::FlowBlocked { .. })
                    if alive =>
                {
                    moves.extend([
                        Move::Window(at),
                        Move::NoWindow(at),
                        Move::Late(at),
                        Move::MemoryReclaimed(at),
                        Move::Reset(at),
                    ])
                }
                _ => {}
            }
            if stream.work == Work::Held {
                moves.extend([Move::Start(at), Move::Refuse(at)]);
            }
        }
        if matches!(state.run, Run::Going(_)) {
            moves.push(Move::EndRun);
        }
        for (at, conn) in state
            .conns
            .iter()
            .enumerate()
            .filter(|(_, conn)| conn.alive)
        {
            moves.push(Move::Lose(at));
            if matches!(conn.drain.stage(), DrainStage::GoingAway(_)) {
                moves.extend([Move::Pong(at), Move::Timeout(at)]);
            }
        }
        if !state.leaving {
            moves.push(Move::Notice);
        } else if !state.shut {
            moves.push(Move::Shut);
        }
    }

    fn next_state(&self, before: &Server, step: Move) -> Option<Server> {
        let mut state = before.clone();
        let mutant = self.mutant;
        match step {
            Move::Open(at) => {
                let drain = &state.conns[ON[at]].drain;
                let (takes, past) = (
                    drain.accepts_streams() || mutant == Mutant::AcceptsPastLast,
                    !drain.accepts_streams(),
                );
                let mut life = StreamLifecycle::new(BODY);
                if !takes && life.handle(StreamEvent::StopReading) != StreamAction::RefuseStream {
                    return None;
                }
                let stream = &mut state.streams[at];
                (stream.life, stream.past) = (Some(life), past);
            }
            Move::Body(at) => state.deliver(
                at,
                StreamEvent::Data {
                    bytes: 1,
                    end: true,
                },
                mutant,
            ),
            Move::Reset(at) => {
                state.deliver(at, StreamEvent::Reset, mutant);
                if mutant == Mutant::AnsweredTwice && state.streams[at].answers > 0 {
                    state.streams[at].answers += 1;
                }
            }
            Move::Window(at) => state.deliver(at, StreamEvent::FlowWindow { bytes: 1 }, mutant),
            Move::NoWindow(at) => state.deliver(at, StreamEvent::FlowWindow { bytes: 0 }, mutant),
            Move::Late(at) => state.deliver(at, StreamEvent::TimedOut, mutant),
            Move::MemoryReclaimed(at) => state.deliver(at, StreamEvent::MemoryReclaimed, mutant),
            Move::Lose(conn) => {
                state.conns[conn].alive = false;
                for at in (0..STREAMS).filter(|&at| ON[at] == conn) {
                    state.deliver(at, StreamEvent::ConnectionLost, mutant);
                }
            }
            Move::Pong(conn) => assert_eq!(
                state.conns[conn].drain.on_ping_acknowledged(),
                DrainStep::FixLastStream
            ),
            Move::Timeout(conn) => assert_eq!(
                state.conns[conn].drain.on_time(Time(9)),
                DrainStep::FixLastStream
            ),
            Move::Start(at) => match state.run {
                Run::None => {
                    state.run = Run::Going(at);
                    state.runs += 1;
                    state.streams[at].work = Work::Running;
                    state.ran_past |= state.streams[at].past;
                }
                // It repeats an attempt that runs or has run.
                Run::Going(_) => state.streams[at].work = Work::Waiting,
                Run::Ended => state.answer(at),
            },
            Move::Refuse(at) => {
                let ran = state.run != Run::None;
                if ran && mutant != Mutant::RejectsAfterRun {
                    return None;
                }
                state.refused_after_run |= ran;
                state.answer(at);
            }
            Move::EndRun => {
                let Run::Going(runner) = state.run else {
                    return None;
                };
                state.run = Run::Ended;
                state.answer(runner);
                for at in 0..STREAMS {
                    if state.streams[at].work == Work::Waiting
                        && mutant != Mutant::WaitingRetryForgotten
                    {
                        state.answer(at);
                    }
                }
            }
            Move::Notice => {
                state.leaving = true;
                for conn in &mut state.conns {
                    conn.drain.begin(Time(0));
                }
            }
            Move::Shut => {
                state.shut = true;
                for conn in &mut state.conns {
                    conn.drain.stop_accepting();
                }
                for at in 0..STREAMS {
                    state.deliver(at, StreamEvent::StopReading, mutant);
                    if mutant == Mutant::DroppedInDrain && state.streams[at].work == Work::Held {
                        state.streams[at].work = Work::Done;
                    }
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "rule 1: whoever was handed in is owed by somebody, until answered once",
                |_, s: &Server| {
                    s.streams.iter().all(|stream| {
                        let given = stream
                            .life
                            .as_ref()
                            .is_some_and(|life| life.state() == StreamState::Submitted);
                        let owed = match stream.work {
                            Work::Held | Work::Running => true,
                            Work::Waiting => matches!(s.run, Run::Going(_)),
                            Work::Unknown | Work::Done => false,
                        };
                        (!given || owed) && stream.answers <= 1
                    })
                },
            ),
            Property::always(
                "rule 1: what is over was answered, unless its caller went or let it lie",
                |_, s: &Server| {
                    s.streams
                        .iter()
                        .filter_map(|stream| Some((stream, stream.life.as_ref()?)))
                        .all(|(stream, life)| match life.state() {
                            StreamState::Closed(StreamEnd::Completed) => {
                                stream.answers == 1 || stream.work == Work::Unknown
                            }
                            StreamState::Closed(StreamEnd::Refused) => stream.work == Work::Unknown,
                            _ => true,
                        })
                },
            ),
            Property::always(
                "rule 2: the key runs once, and is not refused once it ran",
                |_, s: &Server| s.runs <= 1 && !s.refused_after_run,
            ),
            Property::always(
                "rule 3: nothing runs that came past the last stream",
                |_, s: &Server| !s.ran_past,
            ),
            Property::sometimes(
                "a repeat on another connection has the result of a stream that was reset",
                |_, s: &Server| {
                    s.runs == 1
                        && s.streams[0]
                            .life
                            .as_ref()
                            .is_some_and(|l| l.state() == StreamState::Closed(StreamEnd::Reset))
                        && s.streams[0].work == Work::Done
                        && s.streams[2].answers == 1
                        && s.run == Run::Ended
                },
            ),
            Property::sometimes(
                "all that was read is answered at the drain",
                |_, s: &Server| s.shut && s.streams.iter().all(|stream| stream.answers == 1),
            ),
        ]
    }
}

fn check(mutant: Mutant) -> impl Checker<Front> {
    Front { mutant }.checker().threads(4).spawn_bfs().join()
}

#[test]
fn the_rules_hold_in_every_order_of_events() {
    let checker = check(Mutant::None);
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{} states", checker.unique_state_count());
}

#[test]
fn each_mutant_is_found() {
    for mutant in [
        Mutant::ResultDroppedAtReset,
        Mutant::AcceptsPastLast,
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
