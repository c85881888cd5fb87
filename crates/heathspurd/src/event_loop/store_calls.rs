//! The dependency calls in flight: their ids, their timeouts, and the store link that makes them.

use crate::event_loop::execution::InFlightCall;
use crate::event_loop::inbox::LoopEvent;
use crate::frontend::AttemptId;
use crate::peers::store::{self, Call, CallId};
use bytes::Bytes;
use heathspur::{Outcome, RequestId, Span, Time};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Added to a call's timeout before the event loop abandons the call (20 ms), so that the store can report the timeout
/// first.
const TIMEOUT_MARGIN: Span = Span(20_000);

/// The parameters of a call to start.
pub(crate) struct CallRequest {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub timeout: Span,
    pub body: Bytes,
    /// Whether the call requires a new connection; see [`Call::new_connection`].
    pub new_connection: bool,
}

/// The calls in flight. Bounded by the number of requests that wait for calls.
pub(crate) struct StoreCalls {
    link: Rc<store::Link<LoopEvent>>,
    /// The deadlines of the calls, with the requests that made them.
    timeouts: BTreeSet<(Time, RequestId)>,
    next_call: u64,
}

impl StoreCalls {
    /// Creates the state of a store link without calls.
    pub fn new(link: Rc<store::Link<LoopEvent>>) -> StoreCalls {
        StoreCalls {
            link,
            timeouts: BTreeSet::new(),
            next_call: 1,
        }
    }

    /// Sets the address to which new calls are sent.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.link.set_address(address);
    }

    /// Returns whether a call is carried out only if its run waits for it.
    pub fn requires_waiting_run(&self) -> bool {
        self.link.requires_waiting_run()
    }

    /// Starts a call with its timeout.
    pub fn start(&mut self, call: CallRequest, now: Time) -> InFlightCall {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let deadline = now + call.timeout + TIMEOUT_MARGIN;
        self.timeouts.insert((deadline, call.request));
        self.link.call(Call {
            request: call.request,
            id,
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

    /// Releases a call that has completed.
    pub fn complete(&mut self, request: RequestId, call: InFlightCall) {
        self.timeouts.remove(&(call.deadline, request));
    }

    /// Abandons a call whose result is no longer needed.
    pub fn cancel(&mut self, request: RequestId, call: InFlightCall) {
        let _ = self.link.abandon(call.id);
        self.timeouts.remove(&(call.deadline, request));
    }

    /// Abandons a call that has timed out. The outcome states whether the call may have taken effect.
    pub fn time_out(&self, call: CallId) -> Outcome {
        self.link.abandon_timed_out(call)
    }

    /// Removes the next call that has timed out, and returns its request.
    pub fn pop_timed_out(&mut self, now: Time) -> Option<RequestId> {
        self.timeouts.first().filter(|(at, _)| *at <= now)?;
        self.timeouts.pop_first().map(|(_, request)| request)
    }

    /// Returns when the next call times out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// Closes idle connections that will not be reused.
    pub fn prune_connections(&self) {
        self.link.close_expired();
    }
}
