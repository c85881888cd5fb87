//! Matches the responses of a connection to its requests.
//!
//! Responses are sent in the order of their requests. Once bytes are missing, the order is not reliable, and responses
//! are matched by capture time until no request is open.

use super::message::{Found, Message};
use crate::{ConnectionId, Timestamp};
use std::collections::VecDeque;

/// A request whose response was not found yet.
#[derive(Debug)]
struct OpenRequest {
    index: u64,
    is_head: bool,
    /// The latest capture time of its bytes.
    last_byte_at: Timestamp,
}

/// The open requests of one connection, and responses without a request.
#[derive(Debug)]
pub(super) struct Matcher {
    connection: ConnectionId,
    /// The maximum number of open requests, and of responses without a request.
    max_open: usize,
    next_index: u64,
    open: VecDeque<OpenRequest>,
    /// Responses captured before their request was complete.
    early: VecDeque<Message>,
    /// Whether responses are matched by capture time instead of order.
    by_time: bool,
}

impl Matcher {
    pub fn new(connection: ConnectionId, max_open: usize, by_time: bool) -> Matcher {
        Matcher {
            connection,
            max_open,
            next_index: 0,
            open: VecDeque::new(),
            early: VecDeque::new(),
            by_time,
        }
    }

    /// Returns whether the next response answers a HEAD request and therefore has no body.
    pub fn expects_head_response(&self) -> bool {
        self.open.front().is_some_and(|request| request.is_head)
    }

    /// Matches responses by capture time until no request is open. Called when bytes were lost.
    pub fn match_by_time(&mut self) {
        self.by_time = true;
    }

    pub fn add_request(&mut self, message: Message, found: &mut VecDeque<Found>) {
        let index = self.take_index();
        let is_head = message
            .request_line()
            .is_some_and(|(method, _)| method == b"HEAD");
        let last_byte_at = message.last_byte_at;
        found.push_back(Found::Request {
            connection: self.connection,
            index,
            message,
        });
        let request = OpenRequest {
            index,
            is_head,
            last_byte_at,
        };
        self.open_request(request, found);
    }

    /// Adds a request that was skipped and whose end is known. It has a response like other requests.
    pub fn skip_request(&mut self, time: Timestamp, found: &mut VecDeque<Found>) {
        let request = OpenRequest {
            index: self.take_index(),
            is_head: false,
            last_byte_at: time,
        };
        self.open_request(request, found);
    }

    /// Removes the request that is answered by a response that was skipped and whose end is known.
    pub fn skip_response(&mut self) {
        self.open.pop_front();
    }

    pub fn add_response(&mut self, message: Message, found: &mut VecDeque<Found>) {
        let is_interim = message
            .status()
            .is_some_and(|status| (100..200).contains(&status));
        if is_interim {
            return;
        }
        if self.open.is_empty() {
            self.early_response(message, found);
            return;
        }
        let request = if self.by_time {
            self.take_latest_before(message.first_byte_at)
        } else {
            self.open.pop_front()
        };
        self.by_time &= !self.open.is_empty();
        let request_index = request.map(|request| request.index);
        found.push_back(self.matched(request_index, message));
    }

    /// Reports the responses whose request was not found.
    pub fn finish(self, found: &mut VecDeque<Found>) {
        let connection = self.connection;
        found.extend(self.early.into_iter().map(|message| Found::Response {
            connection,
            request_index: None,
            message,
        }));
    }

    fn take_index(&mut self) -> u64 {
        let index = self.next_index;
        self.next_index += 1;
        index
    }

    fn open_request(&mut self, request: OpenRequest, found: &mut VecDeque<Found>) {
        if self.open.len() >= self.max_open {
            // Clients do not pipeline this many requests, so the response to the oldest one must be lost.
            self.open.pop_front();
        }
        let (index, last_byte_at) = (request.index, request.last_byte_at);
        self.open.push_back(request);
        // Packets may be captured out of order, so a response can precede its request. The capture time is more
        // reliable than the order only if bytes are missing.
        while let Some(early) = self.early.pop_front() {
            if !self.by_time || early.first_byte_at >= last_byte_at {
                self.open.pop_back();
                found.push_back(self.matched(Some(index), early));
                break;
            }
            found.push_back(self.matched(None, early));
        }
    }

    fn early_response(&mut self, message: Message, found: &mut VecDeque<Found>) {
        if self.early.len() < self.max_open {
            self.early.push_back(message);
        } else {
            found.push_back(self.matched(None, message));
        }
    }

    /// Removes and returns the latest request that was complete at `time`. Also removes the requests before it, whose
    /// responses are lost.
    fn take_latest_before(&mut self, time: Timestamp) -> Option<OpenRequest> {
        let position = self
            .open
            .iter()
            .rposition(|request| request.last_byte_at <= time)?;
        self.open.drain(..=position).next_back()
    }

    fn matched(&self, request_index: Option<u64>, message: Message) -> Found {
        Found::Response {
            connection: self.connection,
            request_index,
            message,
        }
    }
}
