//! What goes out when, on which connection, and what is given up: the replay as a state machine.
//!
//! A connection is `Away`, `Connecting`, `Up` or `Waiting` to try again. Events come in with their time,
//! actions go out; [`Runner::next_time`] says when to call again without an event. A request that was written
//! is never written again: whether it ran is not known here.

use crate::plan::Plan;
use crate::Nanos;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

/// A connection that is needed later is made so long before.
const AHEAD: Nanos = 20_000_000;
/// While all connections are in use, one that needs another looks again after this.
const LOOK: Nanos = 5_000_000;

/// What a replay may use, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Requests at once that are sent and not answered.
    pub open: usize,
    /// A request that could not leave so long after its time does not leave at all.
    pub late: Nanos,
    /// A request that is not answered for so long is given up, with its connection.
    pub answer: Nanos,
    /// The first wait before a connection is tried again, doubled with each failure, half of it by lot.
    pub backoff: Nanos,
    /// The longest such wait.
    pub longest_backoff: Nanos,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            open: 8192,
            late: 1_000_000_000,
            answer: 30_000_000_000,
            backoff: 10_000_000,
            longest_backoff: 1_000_000_000,
        }
    }
}

/// Why a connection could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target refused, or did not answer.
    Refused,
    /// This process or machine has no descriptors or ports left.
    Exhausted,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection is made.
    Connected(usize),
    /// It can't be.
    Failed(usize, Failure),
    /// A final answer came on a connection.
    Answer {
        /// The connection.
        lane: usize,
        /// The answer's status.
        status: u16,
        /// A digest of its body.
        digest: u64,
        /// When its first byte came.
        first: Nanos,
        /// Whether it is the last there.
        close: bool,
    },
    /// The other side closed a connection, or it broke.
    Closed(usize),
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this connection.
    Connect(usize),
    /// Write this request, by its place in [`Plan::sends`], to its connection.
    Send(usize),
    /// Close this connection.
    Close(usize),
}

/// Why a request never left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unsent {
    /// Its connection could not be made in time.
    Refused,
    /// Nothing to connect with was left.
    Exhausted,
    /// Too many requests were open.
    Budget,
    /// An answer that it had to wait for came too late.
    Waited,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Not yet.
    Open,
    /// Answered.
    Answered {
        /// The status.
        status: u16,
        /// A digest of the body.
        digest: u64,
        /// When the first byte of the answer came.
        first: Nanos,
        /// When its last did.
        last: Nanos,
    },
    /// Its connection ended under it.
    Broken,
    /// No answer came for too long.
    TimedOut,
    /// It never left.
    Unsent(Unsent),
}

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// When it was to leave: by the schedule, or by the answer that it waited for.
    pub intended: Nanos,
    /// When it left.
    pub sent: Option<Nanos>,
    /// How it ended.
    pub end: End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Away,
    Connecting,
    Up,
    Waiting,
}

#[derive(Clone, Debug)]
struct Lane {
    state: State,
    failures: u32,
    failure: Failure,
    /// Its next request, by its place among its own.
    next: usize,
    /// Requests sent and not answered, oldest first.
    open: VecDeque<usize>,
    /// When the latest answer came.
    answered: Option<Nanos>,
    /// When it is looked at next; older timers of it are void.
    wake: Option<Nanos>,
    /// Its place among those that may be closed to make room.
    idle: Option<(Reverse<Nanos>, usize)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Something may be due on a connection.
    Look(usize),
    /// A connection may be tried again.
    Again(usize),
    /// A request should be answered by now.
    Answer(usize),
}

/// Counts over the whole replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Connections made.
    pub connected: u64,
    /// Connections that could not be made.
    pub failed: u64,
    /// Connections that ended with requests open.
    pub broken: u64,
    /// Idle connections closed to make room.
    pub made_room: u64,
    /// Answers to nothing.
    pub extra_answers: u64,
    /// The most requests open at once.
    pub most_open: usize,
    /// The most connections at once.
    pub most_connections: usize,
}

/// A replay.
#[derive(Debug)]
pub struct Runner<'a> {
    plan: &'a Plan,
    limits: Limits,
    lanes: Vec<Lane>,
    outcomes: Vec<Outcome>,
    timers: BinaryHeap<Reverse<(Nanos, Timer)>>,
    /// Connections that are up and rest, the one needed last first.
    idle: BTreeSet<(Reverse<Nanos>, usize)>,
    in_use: usize,
    open: usize,
    left: usize,
    lots: StdRng,
    counts: Counts,
    actions: Vec<Action>,
}

impl<'a> Runner<'a> {
    /// A replay that has not begun.
    pub fn new(plan: &'a Plan, limits: Limits, seed: u64) -> Runner<'a> {
        let lane = Lane {
            state: State::Away,
            failures: 0,
            failure: Failure::Refused,
            next: 0,
            open: VecDeque::new(),
            answered: None,
            wake: None,
            idle: None,
        };
        let outcome = |send: &crate::plan::Send| Outcome {
            intended: send.at,
            sent: None,
            end: End::Open,
        };
        let timers = plan
            .lanes
            .iter()
            .enumerate()
            .map(|(n, lane)| Reverse((lane.open, Timer::Look(n))));
        Runner {
            plan,
            limits: Limits {
                connections: limits.connections.max(1),
                ..limits
            },
            lanes: plan
                .lanes
                .iter()
                .map(|l| Lane {
                    wake: Some(l.open),
                    ..lane.clone()
                })
                .collect(),
            outcomes: plan.sends.iter().map(outcome).collect(),
            timers: timers.collect(),
            idle: BTreeSet::new(),
            in_use: 0,
            open: 0,
            left: plan.sends.len(),
            lots: StdRng::seed_from_u64(seed),
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// Whether each request has ended.
    pub fn done(&self) -> bool {
        self.left == 0
    }

    /// When [`Runner::step`] is to be called at the latest.
    pub fn next_time(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// What came of each request, by its place in the plan.
    pub fn outcomes(&self) -> &[Outcome] {
        &self.outcomes
    }

    /// Counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes an event.
    pub fn event(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Connected(lane) => {
                if self.lanes[lane].state == State::Connecting {
                    self.counts.connected += 1;
                    self.lanes[lane].state = State::Up;
                    self.lanes[lane].failures = 0;
                    self.look(now, lane);
                }
            }
            Event::Failed(lane, failure) => self.failed(now, lane, failure),
            Event::Answer {
                lane,
                status,
                digest,
                first,
                close,
            } => {
                self.answered(
                    now,
                    lane,
                    End::Answered {
                        status,
                        digest,
                        first,
                        last: now,
                    },
                    close,
                );
            }
            Event::Closed(lane) => self.closed(now, lane),
        }
    }

    /// Does what is due, and gives the actions since the last call.
    pub fn step(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Look(lane) => {
                    if self.lanes[lane].wake == Some(at) {
                        self.lanes[lane].wake = None;
                        self.look(now, lane);
                    }
                }
                Timer::Again(lane) => {
                    if self.lanes[lane].state == State::Waiting {
                        self.lanes[lane].state = State::Away;
                        self.look(now, lane);
                    }
                }
                Timer::Answer(send) => self.overdue(now, send),
            }
        }
        actions.append(&mut self.actions);
    }

    /// When a connection's next request is to leave; none while it waits for an answer.
    fn due(&self, lane: usize) -> Option<Nanos> {
        let state = &self.lanes[lane];
        let send = &self.plan.sends[*self.plan.lanes[lane].sends.get(state.next)?];
        match send.after_answer {
            Some(_) if !state.open.is_empty() => None,
            Some(wait) => Some(send.at.max(state.answered.map_or(0, |at| at + wait))),
            None => Some(send.at),
        }
    }

    /// Sends what is due on a connection, makes it where it is needed soon, closes it where it is not needed.
    fn look(&mut self, now: Nanos, lane: usize) {
        self.rests(lane, None);
        while let Some(due) = self.due(lane) {
            let send = self.plan.lanes[lane].sends[self.lanes[lane].next];
            let due = due.max(self.plan.lanes[lane].open);
            self.outcomes[send].intended = due;
            let state = self.lanes[lane].state;
            if due <= now {
                if now - due > self.limits.late {
                    let unsent = match self.lanes[lane].failure {
                        Failure::Exhausted => Unsent::Exhausted,
                        Failure::Refused => Unsent::Refused,
                    };
                    self.skip(lane, send, unsent);
                    continue;
                }
                if state == State::Up {
                    if self.open >= self.limits.open {
                        self.skip(lane, send, Unsent::Budget);
                    } else {
                        self.send(now, lane, send);
                    }
                    continue;
                }
                // It is being made; if that takes too long, its time is over.
                self.wake(lane, due + self.limits.late + 1);
            }
            match state {
                State::Away if due <= now + AHEAD || self.plan.lanes[lane].open >= now => {
                    self.connect(now, lane);
                }
                State::Away => self.wake(lane, due - AHEAD),
                State::Up => {
                    self.wake(lane, due);
                    if self.lanes[lane].open.is_empty() {
                        self.rests(lane, Some(due));
                    }
                }
                State::Connecting | State::Waiting => {}
            }
            return;
        }
        let finished = self.lanes[lane].next == self.plan.lanes[lane].sends.len();
        if finished && self.lanes[lane].open.is_empty() && self.lanes[lane].state == State::Up {
            self.close(lane);
        }
    }

    /// Looks at a connection at that time, or earlier if that is asked for already.
    fn wake(&mut self, lane: usize, at: Nanos) {
        if self.lanes[lane].wake.is_none_or(|wake| at < wake) {
            self.lanes[lane].wake = Some(at);
            self.timers.push(Reverse((at, Timer::Look(lane))));
        }
    }

    fn rests(&mut self, lane: usize, until: Option<Nanos>) {
        let place = until.map(|until| (Reverse(until), lane));
        if let Some(before) = std::mem::replace(&mut self.lanes[lane].idle, place) {
            self.idle.remove(&before);
        }
        if let Some(place) = place {
            self.idle.insert(place);
        }
    }

    fn skip(&mut self, lane: usize, send: usize, why: Unsent) {
        self.lanes[lane].next += 1;
        self.end(send, End::Unsent(why));
    }

    fn send(&mut self, now: Nanos, lane: usize, send: usize) {
        self.lanes[lane].next += 1;
        self.lanes[lane].open.push_back(send);
        self.open += 1;
        self.counts.most_open = self.counts.most_open.max(self.open);
        self.outcomes[send].sent = Some(now);
        self.timers
            .push(Reverse((now + self.limits.answer, Timer::Answer(send))));
        self.actions.push(Action::Send(send));
    }

    fn connect(&mut self, now: Nanos, lane: usize) {
        if self.in_use >= self.limits.connections && !self.make_room(now) {
            self.lanes[lane].failure = Failure::Exhausted;
            self.wake(lane, now + LOOK);
            return;
        }
        self.in_use += 1;
        self.counts.most_connections = self.counts.most_connections.max(self.in_use);
        self.lanes[lane].state = State::Connecting;
        self.actions.push(Action::Connect(lane));
    }

    /// Closes the resting connection that is needed last; it is made again in time. One that is needed soon
    /// stays: it would only take the room back.
    fn make_room(&mut self, now: Nanos) -> bool {
        let last = self
            .idle
            .first()
            .filter(|(Reverse(until), _)| *until > now + 2 * AHEAD);
        let Some((Reverse(until), lane)) = last.copied() else {
            return false;
        };
        self.counts.made_room += 1;
        self.close(lane);
        self.wake(lane, until.saturating_sub(AHEAD));
        true
    }

    fn close(&mut self, lane: usize) {
        self.rests(lane, None);
        self.lanes[lane].state = State::Away;
        self.in_use -= 1;
        self.actions.push(Action::Close(lane));
    }

    fn failed(&mut self, now: Nanos, lane: usize, failure: Failure) {
        if self.lanes[lane].state != State::Connecting {
            return;
        }
        self.counts.failed += 1;
        self.in_use -= 1;
        if failure == Failure::Exhausted {
            // What the limit allows is more than there is.
            self.make_room(now);
        }
        let state = &mut self.lanes[lane];
        state.state = State::Waiting;
        state.failure = failure;
        let longest = self.limits.longest_backoff;
        let wait = self
            .limits
            .backoff
            .saturating_mul(1 << state.failures.min(20))
            .min(longest)
            .max(1);
        state.failures += 1;
        let wait = wait / 2 + self.lots.random_range(0..=wait / 2);
        self.timers.push(Reverse((now + wait, Timer::Again(lane))));
    }

    fn answered(&mut self, now: Nanos, lane: usize, end: End, close: bool) {
        let Some(send) = self.lanes[lane].open.pop_front() else {
            self.counts.extra_answers += 1;
            return;
        };
        self.open -= 1;
        self.lanes[lane].answered = Some(now);
        self.end(send, end);
        if close && self.lanes[lane].state == State::Up {
            // What was written behind it is not answered any more.
            self.break_open(lane);
            self.close(lane);
        }
        self.look(now, lane);
    }

    fn closed(&mut self, now: Nanos, lane: usize) {
        match self.lanes[lane].state {
            State::Up => {
                self.counts.broken += u64::from(!self.lanes[lane].open.is_empty());
                self.break_open(lane);
                self.rests(lane, None);
                self.lanes[lane].state = State::Away;
                self.in_use -= 1;
                self.look(now, lane);
            }
            State::Connecting => self.failed(now, lane, Failure::Refused),
            State::Away | State::Waiting => {}
        }
    }

    fn break_open(&mut self, lane: usize) {
        for send in std::mem::take(&mut self.lanes[lane].open) {
            self.open -= 1;
            self.end(send, End::Broken);
        }
    }

    fn overdue(&mut self, now: Nanos, send: usize) {
        let lane = self.plan.sends[send].lane;
        if self.outcomes[send].end != End::Open || self.lanes[lane].state != State::Up {
            return;
        }
        self.lanes[lane].open.retain(|open| *open != send);
        self.open -= 1;
        self.end(send, End::TimedOut);
        // An answer that comes yet could not be told from the next one's.
        self.break_open(lane);
        self.close(lane);
        self.look(now, lane);
    }

    fn end(&mut self, send: usize, end: End) {
        if self.outcomes[send].end == End::Open {
            self.outcomes[send].end = end;
            self.left -= 1;
        }
    }
}
