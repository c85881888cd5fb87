//! Every event in every state has the outcome that stands here, and no order of events breaks a stream.

use heathspur_streams::life::{Action, End, Event, Life, State};
use proptest::prelude::*;

const MOST: u32 = 10;

const EVENTS: [Event; 12] = [
    Event::Data {
        bytes: 4,
        end: false,
    },
    Event::Data {
        bytes: 4,
        end: true,
    },
    Event::Data {
        bytes: 99,
        end: true,
    },
    Event::Wrong { status: 400 },
    Event::Late,
    Event::Reset,
    Event::Lost,
    Event::Answer { bytes: 6 },
    Event::Window { room: 4 },
    Event::Window { room: 0 },
    Event::Crowded,
    Event::Shut,
];

/// A stream that stands there.
fn at(state: State) -> Life {
    let mut life = Life::new(MOST);
    let path: &[Event] = match state {
        State::Body { held: 0 } => &[],
        State::Given => &[Event::Data {
            bytes: 4,
            end: true,
        }],
        State::Answering { .. } => &[
            Event::Data {
                bytes: 4,
                end: true,
            },
            Event::Answer { bytes: 6 },
        ],
        State::Blocked { .. } => &[
            Event::Data {
                bytes: 4,
                end: true,
            },
            Event::Answer { bytes: 6 },
            Event::Window { room: 0 },
        ],
        State::Over(End::Reset) => &[Event::Reset],
        other => panic!("{other:?}"),
    };
    for &event in path {
        life.on(event);
    }
    assert_eq!(life.state(), state);
    life
}

#[test]
fn each_event_in_each_state_has_its_stated_outcome() {
    use Action as A;
    use State as S;
    let over = S::Over;
    let (body, given) = (S::Body { held: 0 }, S::Given);
    let (answering, blocked) = (S::Answering { left: 6 }, S::Blocked { left: 6 });
    let gone = over(End::Reset);
    let stays = |state: State| (state, A::None);
    let said = |status| (over(End::Answered), A::Say { status });
    let sent = (
        S::Answering { left: 2 },
        A::Send {
            bytes: 4,
            end: false,
        },
    );
    let dropped = (over(End::Dropped), A::Drop);
    // In the order of EVENTS.
    let table: [(State, [(State, Action); 12]); 5] = [
        (
            body,
            [
                (S::Body { held: 4 }, A::Keep),
                (given, A::HandIn),
                said(413),
                said(400),
                said(408),
                stays(over(End::Reset)),
                stays(over(End::Lost)),
                stays(body),
                stays(body),
                stays(body),
                stays(body),
                (over(End::Refused), A::Refuse),
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
                (over(End::Reset), A::TellGone),
                (over(End::Lost), A::TellGone),
                (answering, A::Head),
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
                stays(over(End::Reset)),
                stays(over(End::Lost)),
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
                stays(over(End::Reset)),
                stays(over(End::Lost)),
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
            let got = life.on(event);
            assert_eq!(
                (life.state(), got),
                (after, action),
                "{event:?} in {state:?}"
            );
        }
    }
}

#[test]
fn a_body_may_come_in_pieces_and_no_longer_than_its_bound() {
    let mut life = Life::new(MOST);
    for _ in 0..MOST {
        assert_eq!(
            life.on(Event::Data {
                bytes: 1,
                end: false
            }),
            Action::Keep
        );
    }
    let mut longer = life.clone();
    assert_eq!(
        life.on(Event::Data {
            bytes: 0,
            end: true
        }),
        Action::HandIn
    );
    assert_eq!(
        longer.on(Event::Data {
            bytes: 1,
            end: true
        }),
        Action::Say { status: 413 }
    );
    assert_eq!(
        Life::new(MOST).on(Event::Data {
            bytes: u32::MAX,
            end: false
        }),
        Action::Say { status: 413 }
    );
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..6u32, any::<bool>()).prop_map(|(bytes, end)| Event::Data { bytes, end }),
        1 => (400..500u16).prop_map(|status| Event::Wrong { status }),
        1 => Just(Event::Late),
        1 => Just(Event::Reset),
        1 => Just(Event::Lost),
        2 => (0..40u32).prop_map(|bytes| Event::Answer { bytes }),
        4 => (0..9u32).prop_map(|room| Event::Window { room }),
        1 => Just(Event::Crowded),
        1 => Just(Event::Shut),
    ]
}

proptest! {
    #[test]
    fn whatever_comes_a_stream_is_handed_in_once_and_answered_once(
        events in prop::collection::vec(any_event(), 0..40)
    ) {
        let mut life = Life::new(MOST);
        let (mut handed, mut heads, mut kept, mut owed, mut ends) = (0, 0, 0, 0, 0);
        for event in events {
            let before = life.state();
            match life.on(event) {
                Action::HandIn => handed += 1,
                Action::Keep => if let Event::Data { bytes, .. } = event { kept += bytes },
                Action::Head => {
                    heads += 1;
                    if let Event::Answer { bytes } = event { owed = bytes }
                    ends += u32::from(owed == 0);
                }
                Action::Send { bytes, end } => {
                    prop_assert!(bytes > 0 && bytes <= owed);
                    owed -= bytes;
                    prop_assert_eq!(end, owed == 0);
                    ends += u32::from(end);
                }
                Action::Say { .. } => {
                    // The front answers by itself only what nobody else saw.
                    prop_assert_eq!(handed, 0);
                    ends += 1;
                }
                Action::Refuse => prop_assert_eq!(handed, 0),
                Action::TellGone => prop_assert!(handed == 1 && heads == 0),
                Action::Drop => prop_assert!(heads == 1 && owed > 0),
                Action::None => {}
            }
            prop_assert!(kept <= MOST);
            prop_assert!(handed <= 1 && heads <= handed && ends <= 1);
            if matches!(before, State::Over(_)) {
                prop_assert_eq!(before, life.state());
            }
            if life.state() == State::Over(End::Answered) {
                prop_assert_eq!(ends, 1);
            }
        }
    }
}
