//! The schedule of reports to the announce service: one a period, at once on a change, again soon after a failure.
//!
//! An entry lapses 3 s after the last report that counted, so no single fault may hold reports up for so
//! long: a report that stays unanswered, and a dial that stands, are not broken off at once, but a second
//! connection is tried beside them. Reports on two connections may be taken in either order. So a report
//! counts only where it was sent after the last change, and after the end of each report of another content:
//! until one that counts is on its way, the next is due at once, whatever becomes of the others. One that was
//! given up unanswered can be taken yet: the next report, a period later at most, puts that right.

use std::collections::VecDeque;
use std::time::Duration;

/// Time between reports, and after one that failed.
const PERIOD: Duration = Duration::from_millis(800);
const AGAIN: Duration = Duration::from_millis(100);
/// What stands longer has another connection tried beside it.
const PATIENCE: Duration = Duration::from_millis(300);
/// The longest waits for an answer, for a connection, and for one that is tried beside another dial: the
/// system sends a dial's lost packet again after a second.
const ANSWER: Duration = Duration::from_secs(2);
/// The longest wait for a connection, which the dial itself may be bounded by.
pub const DIAL: Duration = Duration::from_secs(10);
const SECOND_DIAL: Duration = Duration::from_millis(1250);
/// Connections at once, dials among them.
const MOST: usize = 2;

/// A connection to the service or the dial for one; a number that is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Line(u64);

/// What happened. Events of a line that is closed, or that don't fit what it is at, change nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// What is to be reported from here on.
    Ready(bool),
    /// The service is found at another address: all starts anew there.
    Moved,
    /// A dial has come up.
    Up(Line),
    /// A dial has failed, or a report's connection broke before its answer.
    Lost {
        /// Whose.
        line: Line,
        /// It took too long.
        late: bool,
    },
    /// The report that [`Action::Report`] asks for is on its way.
    Sent(Line),
    /// An idle line can't be used: the other side closed it, or bytes came unasked.
    Spent(Line),
    /// A report's answer.
    Answered {
        /// Whose.
        line: Line,
        /// The answer's status.
        status: u16,
        /// The connection stays open, and nothing else came on it.
        open: bool,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Dial the service.
    Dial(Line),
    /// Report on an idle line, and say [`Event::Sent`]; or say [`Event::Spent`] where the line turns out to be so.
    Report {
        /// The line.
        line: Line,
        /// The content.
        ready: bool,
    },
    /// Drop the line and what is under way on it.
    Close(Line),
    /// A fault for the log.
    Failed(Failure),
}

/// Why a report or a dial did not get through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// It took too long.
    Late,
    /// As the last [`Event::Lost`] said.
    Lost,
    /// The other side closed a new connection, or sent bytes unasked.
    Spent,
    /// The answer had this status, which is not 204.
    Status(u16),
}

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Dial,
    Idle,
    Told(Told),
}

/// A report on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Told {
    said: bool,
    /// It says what holds, and nothing that the service takes in after it can say otherwise, but for reports of
    /// another content that are still on their way.
    counts: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    line: Line,
    step: Step,
    since: Duration,
    /// When the step has taken too long.
    until: Option<Duration>,
    /// It carried a report before: the other side may have closed it meanwhile.
    kept: bool,
}

/// How a report ended.
enum Outcome {
    Answered { status: u16, open: bool },
    Lost { late: bool, why: Failure },
}

/// The schedule. After each [`handle`](Schedule::handle), [`poll`](Schedule::poll) it until nothing is left to do, and
/// again when time comes to [`wake`](Schedule::wake).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    /// At most `MOST`, in the order that they came to their step.
    lines: Vec<Entry>,
    /// The number of the next line.
    next: u64,
    /// What is reported, and when the next report is due.
    ready: Option<bool>,
    due: Duration,
    /// No dial before this, and how long the last one took.
    dial_at: Duration,
    took: Duration,
    /// What followed from events and is not carried out yet.
    actions: VecDeque<Action>,
}

impl Schedule {
    /// Without a connection, and without anything to report yet.
    pub fn new(now: Duration) -> Schedule {
        Schedule {
            lines: Vec::new(),
            next: 0,
            ready: None,
            due: now,
            dial_at: now,
            took: Duration::ZERO,
            actions: VecDeque::new(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Ready(ready) => {
                if self.ready.replace(ready) != Some(ready) {
                    self.tell_anew(now);
                }
            }
            Event::Moved => {
                let next = self.next;
                self.close(|_| false);
                let actions = std::mem::take(&mut self.actions);
                *self = Schedule {
                    next,
                    actions,
                    ..Schedule::new(now)
                };
            }
            Event::Up(line) => {
                if let Some(entry) = self.remove(line, |step| step == Step::Dial) {
                    self.took = now.saturating_sub(entry.since);
                    self.push(line, Step::Idle, now, None, false);
                }
            }
            Event::Lost { line, late } => match self.remove(line, |step| step != Step::Idle) {
                Some(Entry {
                    step: Step::Told(told),
                    kept,
                    ..
                }) => {
                    self.ended(
                        now,
                        line,
                        told,
                        kept,
                        Outcome::Lost {
                            late,
                            why: Failure::Lost,
                        },
                    );
                }
                Some(_) => self.failed(now, Failure::Lost),
                None => {}
            },
            Event::Sent(line) => {
                let Some(ready) = self.ready else { return };
                if let Some(entry) = self.remove(line, |step| step == Step::Idle) {
                    let told = Step::Told(Told {
                        said: ready,
                        counts: true,
                    });
                    self.push(line, told, now, Some(now + ANSWER), entry.kept);
                    self.due = now + PATIENCE;
                }
            }
            Event::Spent(line) => {
                // One that was kept may end at any time.
                if self
                    .remove(line, |step| step == Step::Idle)
                    .is_some_and(|entry| !entry.kept)
                {
                    self.failed(now, Failure::Spent);
                }
            }
            Event::Answered { line, status, open } => {
                let entry = self.remove(line, |step| matches!(step, Step::Told(_)));
                if let Some(Entry {
                    step: Step::Told(told),
                    kept,
                    ..
                }) = entry
                {
                    self.ended(now, line, told, kept, Outcome::Answered { status, open });
                }
            }
        }
    }

    /// What is to be done next: gives up what took too long, reports, dials.
    pub fn poll(&mut self, now: Duration) -> Option<Action> {
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        let ready = self.ready?;
        let late = |entry: &&Entry| entry.until.is_some_and(|until| until <= now);
        if let Some(line) = self.lines.iter().find(late).map(|entry| entry.line) {
            self.give_up(now, line);
            return Some(Action::Close(line));
        }
        if self.due <= now {
            if let Some(entry) = self.lines.iter().find(|entry| entry.step == Step::Idle) {
                return Some(Action::Report {
                    line: entry.line,
                    ready,
                });
            }
        }
        if self.dial_from().is_some_and(|at| at <= now) {
            let beside = self.lines.iter().any(|entry| entry.step == Step::Dial);
            let line = Line(self.next);
            self.next += 1;
            self.push(
                line,
                Step::Dial,
                now,
                Some(now + if beside { SECOND_DIAL } else { DIAL }),
                false,
            );
            return Some(Action::Dial(line));
        }
        None
    }

    /// When there is something to do again without an event. It may lie in the past.
    pub fn wake(&self) -> Option<Duration> {
        self.ready?;
        let due = self
            .lines
            .iter()
            .any(|entry| entry.step == Step::Idle)
            .then_some(self.due);
        let limits = self.lines.iter().filter_map(|entry| entry.until);
        limits.chain(due).chain(self.dial_from()).min()
    }

    /// When the next dial is due, if one is: so early that the connection is up when the report is due, and
    /// beside another one when that has stood for too long or its report doesn't count.
    fn dial_from(&self) -> Option<Duration> {
        if self.lines.len() >= MOST || self.lines.iter().any(|entry| entry.step == Step::Idle) {
            return None;
        }
        let from = self.dial_at.max(self.due.saturating_sub(self.took));
        Some(match self.lines.first() {
            Some(Entry {
                step: Step::Told(Told { counts: false, .. }),
                ..
            }) => from,
            Some(entry) => from.max(entry.since + PATIENCE),
            None => from,
        })
    }

    /// A step has taken too long.
    fn give_up(&mut self, now: Duration, line: Line) {
        match self.remove(line, |_| true) {
            Some(Entry {
                step: Step::Told(told),
                kept,
                ..
            }) => {
                let outcome = Outcome::Lost {
                    late: true,
                    why: Failure::Late,
                };
                self.ended(now, line, told, kept, outcome);
            }
            _ => self.failed(now, Failure::Late),
        }
    }

    /// A report has ended; its line is taken out already.
    fn ended(&mut self, now: Duration, line: Line, told: Told, kept: bool, outcome: Outcome) {
        let due = match outcome {
            Outcome::Answered { status, open } => {
                // One connection is enough from here on, but for what is to be told at once and has no line else;
                // what is under way on another may end there.
                if open || told.counts {
                    self.close(|step| matches!(step, Step::Told(_)));
                }
                if open {
                    self.push(line, Step::Idle, now, None, true);
                }
                if status != 204 {
                    self.failed(now, Failure::Status(status));
                }
                now + if status == 204 { PERIOD } else { AGAIN }
            }
            // Closed by the other side meanwhile: a new connection tells at once.
            Outcome::Lost { late: false, .. } if kept => now,
            Outcome::Lost { why, .. } => {
                self.failed(now, why);
                now + AGAIN
            }
        };
        // The end of one that doesn't count puts nothing off: the next is due at once, or one that counts set its time.
        if told.counts {
            self.due = due;
        }
        // The service may have taken this one last.
        if self.ready != Some(told.said) {
            self.tell_anew(now);
        }
    }

    /// No report that was sent up to now tells what holds.
    fn tell_anew(&mut self, now: Duration) {
        self.due = now;
        for entry in &mut self.lines {
            if let Step::Told(told) = &mut entry.step {
                told.counts = false;
            }
        }
    }

    fn failed(&mut self, now: Duration, why: Failure) {
        self.actions.push_back(Action::Failed(why));
        self.dial_at = now + AGAIN;
    }

    /// Closes all lines but those at such a step.
    fn close(&mut self, stays: impl Fn(Step) -> bool) {
        let actions = &mut self.actions;
        self.lines.retain(|entry| {
            let stays = stays(entry.step);
            if !stays {
                actions.push_back(Action::Close(entry.line));
            }
            stays
        });
    }

    fn push(
        &mut self,
        line: Line,
        step: Step,
        since: Duration,
        until: Option<Duration>,
        kept: bool,
    ) {
        self.lines.push(Entry {
            line,
            step,
            since,
            until,
            kept,
        });
    }

    /// Takes the line out if it is at such a step.
    fn remove(&mut self, line: Line, fits: impl Fn(Step) -> bool) -> Option<Entry> {
        let at = self
            .lines
            .iter()
            .position(|entry| entry.line == line && fits(entry.step))?;
        Some(self.lines.remove(at))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/registration.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/registration_model.rs"]
mod model;
