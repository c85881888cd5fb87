//! The table of unfinished requests and their states.

use crate::class_queues::QueueIndex;
use crate::event::RequestId;
use crate::time::Time;
use std::collections::BTreeMap;

/// The phase of a request between its arrival and its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// The request waits in a queue of its class.
    Queued,
    /// The request occupies a run slot.
    Running,
    /// The request waits for a call to the dependency to be made.
    CallPending {
        /// Earliest time at which the call is attempted.
        not_before: Time,
    },
    /// The request waits for the result of a call.
    CallInFlight {
        /// When the call was made.
        made_at: Time,
        /// Time after which the call is abandoned, in seconds.
        timeout_s: f64,
    },
    /// The request waits for the result of the attempt that it repeats.
    AwaitingResult,
}

/// The state of one request.
#[derive(Debug)]
pub(crate) struct RequestState {
    /// Index of the request's class.
    pub class: usize,
    /// The queue to which the request belongs.
    pub queue: QueueIndex,
    /// When the request arrived at the machine.
    pub arrived_at: Time,
    /// When the final answer is due.
    pub deadline: Time,
    /// When the latency objective passes, as far as it can be derived from this attempt.
    pub objective_deadline: Time,
    /// Memory while queued, in kilobytes.
    pub queued_memory_kb: f64,
    /// The request's work, relative to the mean of its class.
    pub relative_size: f64,
    /// Whether the client stated how long it still waits.
    pub has_stated_deadline: bool,
    /// Current phase.
    pub phase: Phase,
    /// Whether the request was started. Unless it is idempotent, a started request is never
    /// rejected, since it may have taken effect.
    pub has_run: bool,
    /// Whether the final answer is still to be given; false once the client no longer waits.
    pub needs_answer: bool,
    /// Total time for which the request was blocked on calls that have ended, in seconds.
    pub time_blocked_on_calls_s: f64,
    /// When the request began to wait for its current call.
    pub call_needed_at: Time,
    /// When the request was started.
    pub run_started_at: Time,
    /// Number of running requests when this one was started, including itself.
    pub concurrency_at_start: f64,
    /// Number of attempts of the current call.
    pub call_attempts: u32,
    /// First attempt of the same keyed request; `None` for requests without a key.
    pub first_attempt: Option<RequestId>,
    /// The earlier attempt that this one repeats.
    pub previous_attempt: Option<RequestId>,
}

impl RequestState {
    /// Returns whether the request waits in its queue for a run slot.
    pub fn is_waiting_in_queue(&self) -> bool {
        self.phase == Phase::Queued && self.needs_answer
    }

    /// Returns whether the request has not started to run.
    pub fn is_before_run(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::AwaitingResult)
    }

    /// Returns whether the request waits for a call to be made or to end.
    pub fn is_blocked_on_call(&self) -> bool {
        matches!(
            self.phase,
            Phase::CallPending { .. } | Phase::CallInFlight { .. }
        )
    }
}

/// All unfinished requests, with counts of those that run and those that are blocked on calls.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    running: usize,
    blocked_on_calls: usize,
}

impl RequestTable {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that occupy a run slot.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of started requests that wait for a call to be made or to end.
    pub fn blocked_on_calls(&self) -> usize {
        self.blocked_on_calls
    }

    /// Returns whether the table contains a request.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns a request.
    pub fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns a mutable reference to a request. Its phase must not be changed through the
    /// reference, since the table counts the requests in some phases.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Returns all requests, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestState)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// Returns mutable references to all requests. As with [`RequestTable::get_mut`], the phases
    /// must not be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut RequestState> {
        self.requests.values_mut()
    }

    /// Adds a queued request.
    pub fn insert(&mut self, id: RequestId, request: RequestState) {
        self.requests.insert(id, request);
    }

    /// Moves a queued request to waiting for another attempt's result.
    pub fn await_result(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::AwaitingResult;
        }
    }

    /// Moves a queued request to a run slot.
    pub fn start_run(&mut self, id: RequestId, now: Time) -> Option<&RequestState> {
        let request = self.requests.get_mut(&id)?;
        self.running += 1;
        request.phase = Phase::Running;
        request.has_run = true;
        request.concurrency_at_start = self.running as f64;
        request.run_started_at = now;
        Some(request)
    }

    /// Moves a running request out of its run slot to wait for a call. Returns its class, or `None`
    /// if it is not running.
    pub fn await_call(&mut self, id: RequestId, now: Time) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        if request.phase != Phase::Running {
            return None;
        }
        request.phase = Phase::CallPending { not_before: now };
        request.call_needed_at = now;
        request.call_attempts = 0;
        self.running -= 1;
        self.blocked_on_calls += 1;
        Some(request.class)
    }

    /// Records that a request's call has been made.
    pub fn record_call_made(&mut self, id: RequestId, now: Time, timeout_s: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::CallInFlight {
                made_at: now,
                timeout_s,
            };
            request.call_attempts += 1;
        }
    }

    /// Moves a request to waiting for another attempt of its call.
    pub fn await_call_retry(&mut self, id: RequestId, not_before: Time) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::CallPending { not_before };
        }
    }

    /// Moves a request from its call back to a run slot. Returns its class.
    pub fn resume_run(&mut self, id: RequestId, now: Time) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        request.phase = Phase::Running;
        request.time_blocked_on_calls_s += (now - request.call_needed_at).secs();
        self.blocked_on_calls -= 1;
        self.running += 1;
        Some(request.class)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.requests.remove(&id)?;
        if request.phase == Phase::Running {
            self.running -= 1;
        } else if request.is_blocked_on_call() {
            self.blocked_on_calls -= 1;
        }
        Some(request)
    }
}
