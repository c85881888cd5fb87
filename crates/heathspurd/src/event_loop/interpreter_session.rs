//! The event loop's side of the interpreter's link: its state, the answered gauge queries, and the commands to send
//! again after a reconnection.

use crate::event_loop::execution::CommandDelivery;
use crate::peers::interpreter::Link;
use heathspur::{Span, Time};
use heathspur_wire::interpreter::Command;
use std::rc::Rc;

/// The longest wait for missed notices once a link is up again (1 s).
const RESUME_TIMEOUT: Span = Span(1_000_000);

/// Whether commands reach the interpreter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Down,
    /// Connected. All missed notices have come once this query is answered, or are late by the deadline.
    Resuming {
        query: u64,
        deadline: Time,
    },
    /// The answer is late, so missed notices may yet come. Commands of an earlier link are not sent again: their runs
    /// may have ended, and would run twice.
    Late,
    Up,
}

/// The running requests whose last command is to be sent on the current link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    All,
    /// Those that no link carried before.
    OnlyUnsent,
    /// Those that an earlier link carried.
    OnlyResent,
}

impl Resend {
    /// Whether it covers a command with this delivery.
    pub fn covers(self, delivery: CommandDelivery) -> bool {
        let unsent = matches!(delivery, CommandDelivery::CurrentLink { .. });
        match self {
            Resend::All => true,
            Resend::OnlyUnsent => unsent,
            Resend::OnlyResent => !unsent,
        }
    }
}

/// The state of the interpreter's link and of its gauge queries.
pub(crate) struct InterpreterSession {
    link: Rc<Link>,
    state: LinkState,
    next_query: u64,
    /// The last query that was answered. Queries are answered in order, and after all commands sent before them.
    last_answered: u64,
}

impl InterpreterSession {
    /// A session on a link that is down.
    pub fn new(link: Rc<Link>) -> InterpreterSession {
        InterpreterSession {
            link,
            state: LinkState::Down,
            next_query: 1,
            last_answered: 0,
        }
    }

    /// Whether commands reach the interpreter.
    pub fn is_up(&self) -> bool {
        matches!(self.state, LinkState::Up | LinkState::Late)
    }

    /// Sends a command on the link.
    pub fn send(&self, command: Command<'_>) {
        self.link.send(command);
    }

    /// Asks for the gauges; returns the number of the query.
    pub fn query_gauges(&mut self) -> u64 {
        let query = self.next_query;
        self.next_query += 1;
        self.link.send(Command::QueryGauges(query));
        query
    }

    /// The delivery of a command that is sent now.
    pub fn delivery(&self) -> CommandDelivery {
        CommandDelivery::CurrentLink {
            before_query: self.next_query,
        }
    }

    /// The link is connected: queries the gauges, whose answer comes after all missed notices.
    pub fn begin_resume(&mut self, now: Time) {
        let query = self.query_gauges();
        self.state = LinkState::Resuming {
            query,
            deadline: now + RESUME_TIMEOUT,
        };
    }

    /// Whether missed notices may yet come.
    pub fn is_resuming(&self) -> bool {
        matches!(self.state, LinkState::Resuming { .. } | LinkState::Late)
    }

    /// Whether the answer was late.
    pub fn is_late(&self) -> bool {
        self.state == LinkState::Late
    }

    /// Whether the link waits for the answer to this query to resume.
    pub fn resumes_with(&self, query: u64) -> bool {
        matches!(self.state, LinkState::Resuming { query: expected, .. } if expected == query)
    }

    /// When the wait for missed notices ends.
    pub fn resume_deadline(&self) -> Option<Time> {
        match self.state {
            LinkState::Resuming { deadline, .. } => Some(deadline),
            LinkState::Up | LinkState::Late | LinkState::Down => None,
        }
    }

    /// All missed notices have come.
    pub fn finish_resume(&mut self) -> Resend {
        match std::mem::replace(&mut self.state, LinkState::Up) {
            LinkState::Late => Resend::OnlyResent,
            _ => Resend::All,
        }
    }

    /// The wait for missed notices is over, and they may yet come.
    pub fn resume_late(&mut self) -> Resend {
        self.state = LinkState::Late;
        Resend::OnlyUnsent
    }

    /// The link broke; returns whether commands reached the interpreter until then.
    pub fn disconnect(&mut self) -> bool {
        let was_up = self.is_up();
        self.state = LinkState::Down;
        was_up
    }

    /// Records the answer to a query.
    pub fn record_answer(&mut self, query: u64) {
        if query < self.next_query {
            self.last_answered = self.last_answered.max(query);
        }
    }

    /// The last query that was answered.
    pub fn last_answered(&self) -> u64 {
        self.last_answered
    }
}

#[cfg(test)]
#[path = "../../tests/unit/interpreter_session.rs"]
mod tests;
