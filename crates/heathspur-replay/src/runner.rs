//! What goes out when, on which connection, and what is given up: the replay as a state machine.
//!
//! A connection is `Away`, `Connecting`, `Up` or `Waiting` to try again. Events come in with their time,
//! actions go out; [`Runner::next_time`] says when to call again without an event. A request that was written
//! is never written again: whether it ran is not known here.

use crate::connection::{Lane, State};
use crate::event::{Action, Event, Failure};
use crate::limits::Limits;
use crate::outcome::{Counts, End, Outcome, Unsent};
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Something may be due on a connection.
    Look(usize),
    /// A connection may be tried again.
    Again(usize),
    /// A request should be answered by now.
    Answer(usize),
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
        let outcome = |send: &crate::plan::PlannedRequest| Outcome {
            intended: send.send_at,
            sent: None,
            end: End::Open,
        };
        let timers = plan
            .connections
            .iter()
            .enumerate()
            .map(|(n, lane)| Reverse((lane.open_at, Timer::Look(n))));
        Runner {
            plan,
            limits: Limits {
                connections: limits.connections.max(1),
                ..limits
            },
            lanes: plan
                .connections
                .iter()
                .map(|l| Lane {
                    wake: Some(l.open_at),
                    ..lane.clone()
                })
                .collect(),
            outcomes: plan.requests.iter().map(outcome).collect(),
            timers: timers.collect(),
            idle: BTreeSet::new(),
            in_use: 0,
            open: 0,
            left: plan.requests.len(),
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
        let send = &self.plan.requests[*self.plan.connections[lane].requests.get(state.next)?];
        match send.delay_after_response {
            Some(_) if !state.open.is_empty() => None,
            Some(wait) => Some(send.send_at.max(state.answered.map_or(0, |at| at + wait))),
            None => Some(send.send_at),
        }
    }

    /// Sends what is due on a connection, makes it where it is needed soon, closes it where it is not needed.
    fn look(&mut self, now: Nanos, lane: usize) {
        self.rests(lane, None);
        while let Some(due) = self.due(lane) {
            let send = self.plan.connections[lane].requests[self.lanes[lane].next];
            let due = due.max(self.plan.connections[lane].open_at);
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
                State::Away if due <= now + AHEAD || self.plan.connections[lane].open_at >= now => {
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
        let finished = self.lanes[lane].next == self.plan.connections[lane].requests.len();
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
        let lane = self.plan.requests[send].connection;
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
