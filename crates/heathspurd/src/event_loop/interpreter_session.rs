//! The event loop's state of the interpreter's link: whether commands can be sent, which gauge queries were answered,
//! which commands must be resent after a reconnection, and the move to a new address.

use crate::event_loop::execution::CommandDelivery;
use crate::peers::interpreter::Link;
use heathspur::{Span, Time};
use heathspur_wire::interpreter::Command;
use std::net::SocketAddr;
use std::rc::Rc;

/// The longest wait for missed notices after a reconnection (1 s).
const RESUME_TIMEOUT: Span = Span(1_000_000);
/// The longest wait until the interpreter has received the commands sent on a connection that is to be replaced (1 s).
const FLUSH_TIMEOUT: Span = Span(1_000_000);
/// How long a run may be in doubt, counted from the break of the connection (1 s). See
/// [`in_doubt_since`](super::execution::ExecutionState::in_doubt_since).
const IN_DOUBT_TIMEOUT: Span = Span(1_000_000);

/// The state of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Down,
    /// Connected, but commands are not sent yet. All missed notices have arrived once this gauge query is answered; the
    /// wait for the answer ends at the deadline.
    Resuming {
        query: u64,
        deadline: Time,
    },
    /// The deadline passed without an answer, so missed notices may still arrive. Commands are sent, but those that
    /// were sent on an earlier connection are not resent: their runs may have ended, and would run twice.
    AnswerOverdue,
    Up,
    /// The interpreter gets a new address. The connection stays open, but no more commands are sent on it. All earlier
    /// ones have been received once this gauge query is answered; the wait for the answer ends at the deadline.
    Flushing {
        query: u64,
        deadline: Time,
        next_address: SocketAddr,
    },
    /// The link reconnects to a new address. No commands are sent until it has.
    Moving {
        next_address: SocketAddr,
    },
}

/// Selects the running requests whose last command is to be sent on the current connection, if that is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    All,
    /// Only commands that were not sent on an earlier connection.
    OnlyUnsent,
    /// Only commands that were sent on an earlier connection.
    OnlyPreviouslySent,
}

impl Resend {
    /// Returns whether the selection covers a command with this delivery.
    pub fn covers(self, delivery: CommandDelivery) -> bool {
        let is_unsent = delivery == CommandDelivery::Unsent;
        let was_sent_before = matches!(
            delivery,
            CommandDelivery::Uncertain { .. } | CommandDelivery::Confirmed
        );
        match self {
            Resend::All => is_unsent || was_sent_before,
            Resend::OnlyUnsent => is_unsent,
            Resend::OnlyPreviouslySent => was_sent_before,
        }
    }
}

/// The state of the interpreter's link and of its gauge queries.
pub(crate) struct InterpreterSession {
    link: Rc<Link>,
    /// The number of the link's connection, counted from 1. It advances when the event loop learns of the connection's end.
    connection: u64,
    state: LinkState,
    /// The number of the last query that was answered. The interpreter answers queries in order, after it has processed
    /// all commands sent before them.
    last_answered: u64,
    /// When the next run that is in doubt is resolved.
    in_doubt_deadline: Option<Time>,
}

impl InterpreterSession {
    /// Creates the session of a link that is down.
    pub fn new(link: Rc<Link>) -> InterpreterSession {
        InterpreterSession {
            link,
            connection: 1,
            state: LinkState::Down,
            last_answered: 0,
            in_doubt_deadline: None,
        }
    }

    /// Returns whether commands can be sent to the interpreter.
    pub fn is_up(&self) -> bool {
        matches!(self.state, LinkState::Up | LinkState::AnswerOverdue)
    }

    /// Sends a command on the link.
    pub fn send(&self, command: Command<'_>) {
        self.link.send(command);
    }

    /// Sends a gauge query and returns its number, which is that of the command.
    pub fn query_gauges(&mut self) -> u64 {
        let query = self.link.next_command();
        self.link.send(Command::QueryGauges(query));
        query
    }

    /// Returns the delivery of a command that is sent now, or of one that cannot be sent yet.
    pub fn delivery(&self) -> CommandDelivery {
        if !self.is_up() {
            return CommandDelivery::Unsent;
        }
        CommandDelivery::CurrentConnection {
            number: self.link.next_command(),
        }
    }

    /// Starts the resumption on a new connection: sends a gauge query, whose answer follows all missed notices.
    pub fn begin_resume(&mut self, now: Time) {
        self.link.open(self.connection);
        let query = self.query_gauges();
        self.state = LinkState::Resuming {
            query,
            deadline: now + RESUME_TIMEOUT,
        };
    }

    /// Returns whether missed notices may still arrive.
    pub fn is_resuming(&self) -> bool {
        matches!(
            self.state,
            LinkState::Resuming { .. } | LinkState::AnswerOverdue
        )
    }

    /// Returns whether the wait for missed notices has timed out and they may still arrive.
    pub fn is_answer_overdue(&self) -> bool {
        self.state == LinkState::AnswerOverdue
    }

    /// Returns whether the answer to this query completes the resumption.
    pub fn resumes_with(&self, query: u64) -> bool {
        matches!(self.state, LinkState::Resuming { query: expected, .. } if expected == query)
    }

    /// Returns the earliest deadline of the link.
    pub fn next_deadline(&self) -> Option<Time> {
        let deadlines = [
            self.resume_deadline(),
            self.flush_deadline(),
            self.in_doubt_deadline,
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Returns when the wait for missed notices times out.
    fn resume_deadline(&self) -> Option<Time> {
        match self.state {
            LinkState::Resuming { deadline, .. } => Some(deadline),
            _ => None,
        }
    }

    /// Returns whether the wait for missed notices has timed out.
    pub fn is_resume_deadline_due(&self, now: Time) -> bool {
        self.resume_deadline()
            .is_some_and(|deadline| deadline <= now)
    }

    /// Prepares the move to a new address. If commands may have been sent on the current connection, sends a gauge query,
    /// whose answer shows that the interpreter has received them. Returns whether the link must not move yet.
    pub fn begin_flush(&mut self, address: SocketAddr, now: Time) -> bool {
        if let LinkState::Flushing { next_address, .. } | LinkState::Moving { next_address } =
            &mut self.state
        {
            *next_address = address;
            return true;
        }
        if !self.is_up() {
            return false;
        }
        let query = self.query_gauges();
        self.state = LinkState::Flushing {
            query,
            deadline: now + FLUSH_TIMEOUT,
            next_address: address,
        };
        true
    }

    /// Returns whether the answer to this query completes the flush.
    pub fn flushes_with(&self, query: u64) -> bool {
        matches!(self.state, LinkState::Flushing { query: expected, .. } if expected == query)
    }

    /// Returns when the wait for the flush times out.
    fn flush_deadline(&self) -> Option<Time> {
        match self.state {
            LinkState::Flushing { deadline, .. } => Some(deadline),
            _ => None,
        }
    }

    /// Returns whether the wait for the flush has timed out.
    pub fn is_flush_deadline_due(&self, now: Time) -> bool {
        self.flush_deadline()
            .is_some_and(|deadline| deadline <= now)
    }

    /// Returns the address to which the link moves or is about to move.
    pub fn next_address(&self) -> Option<SocketAddr> {
        match self.state {
            LinkState::Flushing { next_address, .. } | LinkState::Moving { next_address } => {
                Some(next_address)
            }
            _ => None,
        }
    }

    /// Records that the link reconnects to this address.
    pub fn begin_move(&mut self, next_address: SocketAddr) {
        self.state = LinkState::Moving { next_address };
    }

    /// Completes the resumption after all missed notices have arrived. Returns the commands to resend.
    pub fn finish_resume(&mut self) -> Resend {
        match std::mem::replace(&mut self.state, LinkState::Up) {
            LinkState::AnswerOverdue => Resend::OnlyPreviouslySent,
            _ => Resend::All,
        }
    }

    /// Ends the wait for missed notices, which may still arrive. Returns the commands to send.
    pub fn time_out_resume(&mut self) -> Resend {
        self.state = LinkState::AnswerOverdue;
        Resend::OnlyUnsent
    }

    /// Returns when a run is resolved that has been in doubt since the time `since`.
    pub fn in_doubt_deadline(since: Time) -> Time {
        since + IN_DOUBT_TIMEOUT
    }

    /// Sets when the next run that is in doubt is resolved.
    pub fn set_in_doubt_deadline(&mut self, deadline: Option<Time>) {
        self.in_doubt_deadline = deadline;
    }

    /// Returns whether a run that is in doubt is to be resolved by now.
    pub fn is_in_doubt_deadline_due(&self, now: Time) -> bool {
        self.in_doubt_deadline
            .is_some_and(|deadline| deadline <= now)
    }

    /// Marks the link as down.
    pub fn disconnect(&mut self) {
        self.connection += 1;
        self.state = LinkState::Down;
        self.in_doubt_deadline = None;
    }

    /// Records the answer to a gauge query. Answers to queries that were never sent are ignored.
    pub fn record_answer(&mut self, query: u64) {
        if query < self.link.next_command() {
            self.last_answered = self.last_answered.max(query);
        }
    }

    /// Returns the number of the last answered query, or 0 if there is none.
    pub fn last_answered(&self) -> u64 {
        self.last_answered
    }
}

#[cfg(test)]
#[path = "../../tests/unit/interpreter_session.rs"]
mod tests;
