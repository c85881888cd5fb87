//! Tests of the stream lifecycle: the outcome of every event in every state, and invariants under
//! any order of events.

use heathspur_streams::stream_lifecycle::{
    StreamAction, StreamEnd, StreamEvent, StreamLifecycle, StreamState,
};
use proptest::prelude::*;

const MAX_BODY_BYTES: u32 = 10;

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
fn stream_in(state: StreamState) -> StreamLifecycle {
    let mut stream = StreamLifecycle::new(MAX_BODY_BYTES);
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
        other => panic!("no path to {other:?}"),
    };
    for &event in path {
        stream.handle(event);
    }
    assert_eq!(stream.state(), state);
    stream
}

#[test]
fn each_event_in_each_state_has_its_listed_outcome() {
    use StreamAction as A;
    use StreamState as S;
    let (receiving, submitted) = (S::ReceivingBody { received: 0 }, S::Submitted);
    let (sending, blocked) = (
        S::SendingResponse { remaining: 6 },
        S::FlowBlocked { remaining: 6 },
    );
    let reset = S::Closed(StreamEnd::Reset);
    let no_action = |state: StreamState| (state, A::None);
    let responded = |status| {
        (
            S::Closed(StreamEnd::Completed),
            A::RespondWithStatus { status },
        )
    };
    let sent = (
        S::SendingResponse { remaining: 2 },
        A::SendData {
            bytes: 4,
            end: false,
        },
    );
    let dropped = (S::Closed(StreamEnd::ResponseDropped), A::DropResponse);
    // For each state, the outcomes in the order of `EVENTS`.
    let table: [(StreamState, [(StreamState, StreamAction); 12]); 5] = [
        (
            receiving,
            [
                (S::ReceivingBody { received: 4 }, A::BufferData),
                (submitted, A::SubmitRequest),
                responded(413),
                responded(400),
                responded(408),
                no_action(S::Closed(StreamEnd::Reset)),
                no_action(S::Closed(StreamEnd::ConnectionLost)),
                no_action(receiving),
                no_action(receiving),
                no_action(receiving),
                no_action(receiving),
                (S::Closed(StreamEnd::Refused), A::RefuseStream),
            ],
        ),
        (
            submitted,
            [
                no_action(submitted),
                no_action(submitted),
                no_action(submitted),
                no_action(submitted),
                no_action(submitted),
                (S::Closed(StreamEnd::Reset), A::ReportDisconnect),
                (S::Closed(StreamEnd::ConnectionLost), A::ReportDisconnect),
                (sending, A::SendHeaders),
                no_action(submitted),
                no_action(submitted),
                no_action(submitted),
                no_action(submitted),
            ],
        ),
        (
            sending,
            [
                no_action(sending),
                no_action(sending),
                no_action(sending),
                no_action(sending),
                dropped,
                no_action(S::Closed(StreamEnd::Reset)),
                no_action(S::Closed(StreamEnd::ConnectionLost)),
                no_action(sending),
                sent,
                no_action(blocked),
                dropped,
                no_action(sending),
            ],
        ),
        (
            blocked,
            [
                no_action(blocked),
                no_action(blocked),
                no_action(blocked),
                no_action(blocked),
                dropped,
                no_action(S::Closed(StreamEnd::Reset)),
                no_action(S::Closed(StreamEnd::ConnectionLost)),
                no_action(blocked),
                sent,
                no_action(blocked),
                dropped,
                no_action(blocked),
            ],
        ),
        (reset, [no_action(reset); 12]),
    ];
    for (state, outcomes) in table {
        for (event, (after, action)) in EVENTS.into_iter().zip(outcomes) {
            let mut stream = stream_in(state);
            let returned = stream.handle(event);
            assert_eq!(
                (stream.state(), returned),
                (after, action),
                "{event:?} in {state:?}"
            );
        }
    }
}

#[test]
fn body_is_accepted_in_pieces_up_to_limit() {
    let mut stream = StreamLifecycle::new(MAX_BODY_BYTES);
    for _ in 0..MAX_BODY_BYTES {
        assert_eq!(
            stream.handle(StreamEvent::Data {
                bytes: 1,
                end: false
            }),
            StreamAction::BufferData
        );
    }
    let mut too_long = stream.clone();
    assert_eq!(
        stream.handle(StreamEvent::Data {
            bytes: 0,
            end: true
        }),
        StreamAction::SubmitRequest
    );
    assert_eq!(
        too_long.handle(StreamEvent::Data {
            bytes: 1,
            end: true
        }),
        StreamAction::RespondWithStatus { status: 413 }
    );
    assert_eq!(
        StreamLifecycle::new(MAX_BODY_BYTES).handle(StreamEvent::Data {
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
        4 => (0..9u32).prop_map(|bytes| StreamEvent::FlowWindow { bytes }),
        1 => Just(StreamEvent::MemoryReclaimed),
        1 => Just(StreamEvent::StopReading),
    ]
}

proptest! {
    #[test]
    fn stream_is_submitted_and_answered_at_most_once_under_any_events(
        events in prop::collection::vec(any_event(), 0..40)
    ) {
        let mut stream = StreamLifecycle::new(MAX_BODY_BYTES);
        let (mut submissions, mut headers_sent, mut buffered, mut unsent, mut ends) = (0, 0, 0, 0, 0);
        for event in events {
            let before = stream.state();
            match stream.handle(event) {
                StreamAction::SubmitRequest => submissions += 1,
                StreamAction::BufferData => if let StreamEvent::Data { bytes, .. } = event { buffered += bytes },
                StreamAction::SendHeaders => {
                    headers_sent += 1;
                    if let StreamEvent::Response { bytes } = event { unsent = bytes }
                    ends += u32::from(unsent == 0);
                }
                StreamAction::SendData { bytes, end } => {
                    prop_assert!(bytes > 0 && bytes <= unsent);
                    unsent -= bytes;
                    prop_assert_eq!(end, unsent == 0);
                    ends += u32::from(end);
                }
                StreamAction::RespondWithStatus { .. } => {
                    // Only a request that was not submitted is answered by this server itself.
                    prop_assert_eq!(submissions, 0);
                    ends += 1;
                }
                StreamAction::RefuseStream => prop_assert_eq!(submissions, 0),
                StreamAction::ReportDisconnect => prop_assert!(submissions == 1 && headers_sent == 0),
                StreamAction::DropResponse => prop_assert!(headers_sent == 1 && unsent > 0),
                StreamAction::None => {}
            }
            prop_assert!(buffered <= MAX_BODY_BYTES);
            prop_assert!(submissions <= 1 && headers_sent <= submissions && ends <= 1);
            if matches!(before, StreamState::Closed(_)) {
                prop_assert_eq!(before, stream.state());
            }
            if stream.state() == StreamState::Closed(StreamEnd::Completed) {
                prop_assert_eq!(ends, 1);
            }
        }
    }
}
