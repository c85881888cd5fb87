//! Every event in every state has its listed outcome, and no order of events breaks a stream.

use heathspur_streams::stream_lifecycle::{
    StreamAction, StreamEnd, StreamEvent, StreamLifecycle, StreamState,
};
use proptest::prelude::*;

const MOST: u32 = 10;

const EVENTS: [StreamEvent; 12] = [
    StreamEvent::Data {
        bytes: 4,
        end: false,
    },
    StreamEvent::Data {
        bytes: 4,
        end: true,
    },
    StreamEvent::Data {
        bytes: 99,
        end: true,
    },
    StreamEvent::InvalidRequest { status: 400 },
    StreamEvent::TimedOut,
    StreamEvent::Reset,
    StreamEvent::ConnectionLost,
    StreamEvent::Response { bytes: 6 },
    StreamEvent::FlowWindow { bytes: 4 },
    StreamEvent::FlowWindow { bytes: 0 },
    StreamEvent::MemoryReclaimed,
    StreamEvent::StopReading,
];

/// Returns a stream in the given state.
fn at(state: StreamState) -> StreamLifecycle {
    let mut life = StreamLifecycle::new(MOST);
    let path: &[StreamEvent] = match state {
        StreamState::ReceivingBody { received: 0 } => &[],
        StreamState::Submitted => &[StreamEvent::Data {
            bytes: 4,
            end: true,
        }],
        StreamState::SendingResponse { .. } => &[
            StreamEvent::Data {
                bytes: 4,
                end: true,
            },
            StreamEvent::Response { bytes: 6 },
        ],
        StreamState::FlowBlocked { .. } => &[
            StreamEvent::Data {
                bytes: 4,
                end: true,
            },
            StreamEvent::Response { bytes: 6 },
            StreamEvent::FlowWindow { bytes: 0 },
        ],
        StreamState::Closed(StreamEnd::Reset) => &[StreamEvent::Reset],
        other => panic!("{other:?}"),
    };
    for &event in path {
        life.handle(event);
    }
    assert_eq!(life.state(), state);
    life
}

#[test]
fn each_event_in_each_state_has_its_listed_outcome() {
    use StreamAction as A;
    use StreamState as S;
    let over = S::Closed;
    let (body, given) = (S::ReceivingBody { received: 0 }, S::Submitted);
    let (answering, blocked) = (
        S::SendingResponse { remaining: 6 },
        S::FlowBlocked { remaining: 6 },
    );
    let gone = over(StreamEnd::Reset);
    let stays = |state: StreamState| (state, A::None);
    let said = |status| (over(StreamEnd::Completed), A::RespondWithStatus { status });
    let sent = (
        S::SendingResponse { remaining: 2 },
        A::SendData {
            bytes: 4,
            end: false,
        },
    );
    let dropped = (over(StreamEnd::ResponseDropped), A::DropResponse);
    // In the order of EVENTS.
    let table: [(StreamState, [(StreamState, StreamAction); 12]); 5] = [
        (
            body,
            [
                (S::ReceivingBody { received: 4 }, A::BufferData),
                (given, A::SubmitRequest),
                said(413),
                said(400),
                said(408),
                stays(over(StreamEnd::Reset)),
                stays(over(StreamEnd::ConnectionLost)),
                stays(body),
                stays(body),
                stays(body),
                stays(body),
                (over(StreamEnd::Refused), A::RefuseStream),
            ],
        ),
        (
            given,
            [
                stays(given),
                stays(given),
                stays(given),
                stays(given),
                stays(given),
                (over(StreamEnd::Reset), A::ReportDisconnect),
                (over(StreamEnd::ConnectionLost), A::ReportDisconnect),
                (answering, A::SendHeaders),
                stays(given),
                stays(given),
                stays(given),
                stays(given),
            ],
        ),
        (
            answering,
            [
                stays(answering),
                stays(answering),
                stays(answering),
                stays(answering),
                dropped,
                stays(over(StreamEnd::Reset)),
                stays(over(StreamEnd::ConnectionLost)),
                stays(answering),
                sent,
                stays(blocked),
                dropped,
                stays(answering),
            ],
        ),
        (
            blocked,
            [
                stays(blocked),
                stays(blocked),
                stays(blocked),
                stays(blocked),
                dropped,
                stays(over(StreamEnd::Reset)),
                stays(over(StreamEnd::ConnectionLost)),
                stays(blocked),
                sent,
                stays(blocked),
                dropped,
                stays(blocked),
            ],
        ),
        (gone, [stays(gone); 12]),
    ];
    for (state, outcomes) in table {
        for (event, (after, action)) in EVENTS.into_iter().zip(outcomes) {
            let mut life = at(state);
            let got = life.handle(event);
            assert_eq!(
                (life.state(), got),
                (after, action),
                "{event:?} in {state:?}"
            );
        }
    }
}

#[test]
fn a_body_may_arrive_in_pieces_up_to_its_limit() {
    let mut life = StreamLifecycle::new(MOST);
    for _ in 0..MOST {
        assert_eq!(
            life.handle(StreamEvent::Data {
                bytes: 1,
                end: false
            }),
            StreamAction::BufferData
        );
    }
    let mut longer = life.clone();
    assert_eq!(
        life.handle(StreamEvent::Data {
            bytes: 0,
            end: true
        }),
        StreamAction::SubmitRequest
    );
    assert_eq!(
        longer.handle(StreamEvent::Data {
            bytes: 1,
            end: true
        }),
        StreamAction::RespondWithStatus { status: 413 }
    );
    assert_eq!(
        StreamLifecycle::new(MOST).handle(StreamEvent::Data {
            bytes: u32::MAX,
            end: false
        }),
        StreamAction::RespondWithStatus { status: 413 }
    );
}

fn any_event() -> impl Strategy<Value = StreamEvent> {
    prop_oneof![
        4 => (0..6u32, any::<bool>()).prop_map(|(bytes, end)| StreamEvent::Data { bytes, end }),
        1 => (400..500u16).prop_map(|status| StreamEvent::InvalidRequest { status }),
        1 => Just(StreamEvent::TimedOut),
        1 => Just(StreamEvent::Reset),
        1 => Just(StreamEvent::ConnectionLost),
        2 => (0..40u32).prop_map(|bytes| StreamEvent::Response { bytes }),
        4 => (0..9u32).prop_map(|room| StreamEvent::FlowWindow { bytes: room }),
        1 => Just(StreamEvent::MemoryReclaimed),
        1 => Just(StreamEvent::StopReading),
    ]
}

proptest! {
    #[test]
    fn a_stream_is_submitted_once_and_answered_once_under_any_events(
        events in prop::collection::vec(any_event(), 0..40)
    ) {
        let mut life = StreamLifecycle::new(MOST);
        let (mut handed, mut heads, mut kept, mut owed, mut ends) = (0, 0, 0, 0, 0);
        for event in events {
            let before = life.state();
            match life.handle(event) {
                StreamAction::SubmitRequest => handed += 1,
                StreamAction::BufferData => if let StreamEvent::Data { bytes, .. } = event { kept += bytes },
                StreamAction::SendHeaders => {
                    heads += 1;
                    if let StreamEvent::Response { bytes } = event { owed = bytes }
                    ends += u32::from(owed == 0);
                }
                StreamAction::SendData { bytes, end } => {
                    prop_assert!(bytes > 0 && bytes <= owed);
                    owed -= bytes;
                    prop_assert_eq!(end, owed == 0);
                    ends += u32::from(end);
                }
                StreamAction::RespondWithStatus { .. } => {
                    // This server answers by itself only what was not submitted.
                    prop_assert_eq!(handed, 0);
                    ends += 1;
                }
                StreamAction::RefuseStream => prop_assert_eq!(handed, 0),
                StreamAction::ReportDisconnect => prop_assert!(handed == 1 && heads == 0),
                StreamAction::DropResponse => prop_assert!(heads == 1 && owed > 0),
                StreamAction::None => {}
            }
            prop_assert!(kept <= MOST);
            prop_assert!(handed <= 1 && heads <= handed && ends <= 1);
            if matches!(before, StreamState::Closed(_)) {
                prop_assert_eq!(before, life.state());
            }
            if life.state() == StreamState::Closed(StreamEnd::Completed) {
                prop_assert_eq!(ends, 1);
            }
        }
    }
}
