//! The life of one stream: what each event means in each state.
//!
//! A stream begins when its header block is whole. Whether its work runs is the owner's knowledge; here a stream
//! that was handed in stays [`State::Given`] until its one final answer comes, however long that runs. What ran
//! keeps its result under its key with the owner, whatever becomes of the stream.

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Its body is arriving; so many bytes are here.
    Body {
        /// Bytes that are here.
        held: u32,
    },
    /// It was handed in: the module holds it, or it runs, or it waits for another try's result.
    Given,
    /// Its answer goes out; so many bytes of the body are left.
    Answering {
        /// Bytes that were not sent yet.
        left: u32,
    },
    /// The same, and the caller's window is used up.
    Blocked {
        /// Bytes that were not sent yet.
        left: u32,
    },
    /// It is over.
    Over(End),
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// Its final answer, the module's or this front's own, went out whole.
    Answered,
    /// It was refused before anything was handed in, and said so: the caller may repeat it at once.
    Refused,
    /// The caller reset it.
    Reset,
    /// Its connection ended.
    Lost,
    /// Its answer was there and was dropped: nobody read it in time, or its room was needed.
    Dropped,
}

/// What happens to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Bytes of the body have come; nothing may follow them.
    Data {
        /// How many.
        bytes: u32,
        /// Whether the caller has ended its side.
        end: bool,
    },
    /// A request that can't be taken: the front's own answer has this status.
    Wrong {
        /// The status.
        status: u16,
    },
    /// It must be whole by now, or read on by now.
    Late,
    /// The caller has reset it.
    Reset,
    /// The connection has ended.
    Lost,
    /// The module's final answer, with so many bytes.
    Answer {
        /// Bytes of its body.
        bytes: u32,
    },
    /// The caller's window has room for so many bytes; none says that it is used up.
    Window {
        /// Bytes.
        room: u32,
    },
    /// Others need the room that its answer takes up.
    Crowded,
    /// No stream is read any more: the connection drains, and this one is not whole.
    Shut,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Nothing.
    None,
    /// Keep the bytes, and give the caller as much window back.
    Keep,
    /// Keep the bytes and hand the request in.
    HandIn,
    /// Tell the owner that the caller is gone.
    TellGone,
    /// Send the front's own answer with this status; read no more of the request.
    Say {
        /// The status.
        status: u16,
    },
    /// Send the head of the answer, and its end with it where it has no body.
    Head,
    /// Send so many bytes of the body, and its end if that is all.
    Send {
        /// Bytes.
        bytes: u32,
        /// Whether they are the last.
        end: bool,
    },
    /// Reset with `REFUSED_STREAM`: proof that nothing ran (RFC 9113, section 8.7).
    Refuse,
    /// Reset with `ENHANCE_YOUR_CALM` and drop the answer.
    Drop,
}

/// One stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Life {
    state: State,
    /// Bytes of a body at most.
    most: u32,
}

impl Life {
    /// One whose header block is whole. `most` bounds its body in bytes.
    pub fn new(most: u32) -> Life {
        Life {
            state: State::Body { held: 0 },
            most,
        }
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Takes an event; what is to be done about it. Events that come too late change nothing.
    pub fn on(&mut self, event: Event) -> Action {
        let (state, action) = self.next(event);
        self.state = state;
        action
    }

    fn next(&self, event: Event) -> (State, Action) {
        use Event as E;
        use State as S;
        match (self.state, event) {
            (S::Over(_), _) => (self.state, Action::None),

            (S::Body { held }, E::Data { bytes, .. }) if bytes > self.most - held => {
                (S::Over(End::Answered), Action::Say { status: 413 })
            }
            (S::Body { held }, E::Data { bytes, end: false }) => {
                (S::Body { held: held + bytes }, Action::Keep)
            }
            (S::Body { .. }, E::Data { end: true, .. }) => (S::Given, Action::HandIn),
            (S::Body { .. }, E::Wrong { status }) => {
                (S::Over(End::Answered), Action::Say { status })
            }
            (S::Body { .. }, E::Late) => (S::Over(End::Answered), Action::Say { status: 408 }),
            // Nothing of it was handed in, so nothing ran.
            (S::Body { .. }, E::Shut) => (S::Over(End::Refused), Action::Refuse),
            (S::Body { .. }, E::Reset) => (S::Over(End::Reset), Action::None),
            (S::Body { .. }, E::Lost) => (S::Over(End::Lost), Action::None),
            // Not owed yet, or without an answer to drop.
            (S::Body { .. }, E::Answer { .. } | E::Window { .. } | E::Crowded) => {
                (self.state, Action::None)
            }

            (S::Given, E::Answer { bytes: 0 }) => (S::Over(End::Answered), Action::Head),
            (S::Given, E::Answer { bytes }) => (S::Answering { left: bytes }, Action::Head),
            // Whether it ran is not known here: the owner decides what its caller's going means.
            (S::Given, E::Reset) => (S::Over(End::Reset), Action::TellGone),
            (S::Given, E::Lost) => (S::Over(End::Lost), Action::TellGone),
            // It was read before the end and is answered.
            (S::Given, E::Shut | E::Late | E::Crowded | E::Window { .. }) => {
                (self.state, Action::None)
            }
            (S::Given, E::Data { .. } | E::Wrong { .. }) => (self.state, Action::None),

            (S::Answering { left }, E::Window { room: 0 }) => (S::Blocked { left }, Action::None),
            (S::Blocked { .. }, E::Window { room: 0 }) => (self.state, Action::None),
            (S::Answering { left } | S::Blocked { left }, E::Window { room }) => {
                let bytes = left.min(room);
                match left - bytes {
                    0 => (S::Over(End::Answered), Action::Send { bytes, end: true }),
                    left => (S::Answering { left }, Action::Send { bytes, end: false }),
                }
            }
            (S::Answering { .. } | S::Blocked { .. }, E::Late | E::Crowded) => {
                (S::Over(End::Dropped), Action::Drop)
            }
            // The owner has given its answer and booked it out: nobody is to be told.
            (S::Answering { .. } | S::Blocked { .. }, E::Reset) => {
                (S::Over(End::Reset), Action::None)
            }
            (S::Answering { .. } | S::Blocked { .. }, E::Lost) => {
                (S::Over(End::Lost), Action::None)
            }
            (S::Answering { .. } | S::Blocked { .. }, _) => (self.state, Action::None),
        }
    }
}
