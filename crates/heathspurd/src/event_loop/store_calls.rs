//! The dependency calls in flight: their numbers, their timeouts, and the store link that carries them out.

use crate::event_loop::execution::InFlightCall;
use crate::event_loop::inbox::LoopEvent;
use crate::frontend::AttemptId;
use crate::peers::store::{self, Call, CallId};
use bytes::Bytes;
use heathspur::{Outcome, RequestId, Span, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Added to a call's timeout before the event loop gives it up (20 ms): the store reports a timeout first.
const TIMEOUT_MARGIN: Span = Span(20_000);

/// A call to be started.
pub(crate) struct CallRequest {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub timeout: Span,
    pub body: Bytes,
    /// Whether it needs a new connection.
    pub new_connection: bool,
}

/// All calls in flight. Bounded by the requests that wait for calls.
pub(crate) struct StoreCalls {
    link: Rc<store::Link<LoopEvent>>,
    timeouts: BTreeSet<(Time, RequestId)>,
    next_call: u64,
}

impl StoreCalls {
    pub fn new(link: Rc<store::Link<LoopEvent>>) -> StoreCalls {
        StoreCalls {
            link,
            timeouts: BTreeSet::new(),
            next_call: 1,
        }
    }

    /// New calls go to this address from now on.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.link.set_address(address);
    }

    /// Starts a call and its timeout.
    pub fn start(&mut self, call: CallRequest, now: Time) -> InFlightCall {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let deadline = now + call.timeout + TIMEOUT_MARGIN;
        self.timeouts.insert((deadline, call.request));
        self.link.call(Call {
            request: call.request,
            call: id,
            attempt: call.attempt,
            timeout_ms: (call.timeout.0 / 1000).max(1),
            body: call.body,
            new_connection: call.new_connection,
        });
        InFlightCall {
            id,
            started: now,
            deadline,
        }
    }

    /// Releases a call whose result has come.
    pub fn complete(&mut self, request: RequestId, call: InFlightCall) {
        self.timeouts.remove(&(call.deadline, request));
    }

    /// Releases a call whose result nobody needs.
    pub fn cancel(&mut self, request: RequestId, call: InFlightCall) {
        let _ = self.link.abandon(call.id);
        self.timeouts.remove(&(call.deadline, request));
    }

    /// Gives up a call that took too long. The outcome says whether it may have run.
    pub fn time_out(&self, call: CallId) -> Outcome {
        self.link.abandon_timed_out(call)
    }

    /// Takes the next request whose call has timed out.
    pub fn pop_timed_out(&mut self, now: Time) -> Option<RequestId> {
        self.timeouts.first().filter(|(at, _)| *at <= now)?;
        self.timeouts.pop_first().map(|(_, request)| request)
    }

    /// When the next call times out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// Closes idle connections that will not be used again.
    pub fn prune_connections(&self) {
        self.link.prune();
    }
}
