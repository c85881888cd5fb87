//! The table of requests that the controller has not finished, and their states.

use crate::class_queues::QueueIndex;
use crate::event::RequestId;
use crate::time::Time;
use std::collections::BTreeMap;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Waits in its class's queue.
    Queued,
    /// Occupies a run slot.
    Running,
    /// Waits for a call to the dependency to be made.
    AtCall {
        /// The call is not attempted before this time.
        not_before: Time,
    },
    /// Waits for the result of a call.
    Calling {
        /// When the call was made.
        made_at: Time,
        /// When the call is abandoned, in seconds after it was made.
        timeout_s: f64,
    },
    /// Waits for the result of the attempt that it repeats.
    AwaitingResult,
}

/// One request.
#[derive(Debug)]
pub(crate) struct RequestState {
    /// Its class.
    pub class: usize,
    /// The queue that it waits in.
    pub queue: QueueIndex,
    /// When it reached the machine.
    pub arrived_at: Time,
    /// When its final answer is due.
    pub deadline: Time,
    /// When an answer stops earning the full weight, as far as this attempt shows.
    pub objective_deadline: Time,
    /// Memory while queued, in kilobytes.
    pub memory_kb: f64,
    /// Its work relative to the mean of its class.
    pub relative_size: f64,
    /// Its client stated how long it waits, so the request's age is known.
    pub has_stated_deadline: bool,
    /// Where it stands.
    pub phase: Phase,
    /// It was started: unless idempotent, it is never rejected any more.
    pub has_run: bool,
    /// Its final answer has not been given.
    pub answer_owed: bool,
    /// Time spent waiting for calls, in seconds.
    pub time_at_calls_s: f64,
    /// When it reached its present call.
    pub call_reached_at: Time,
    /// When it was started.
    pub run_started_at: Time,
    /// Requests on the cores when it was started, itself included.
    pub concurrency_at_start: f64,
    /// Attempts of its present call.
    pub call_attempts: u32,
    /// First attempt of the same keyed request; `None` for requests without a key.
    pub first_attempt: Option<RequestId>,
    /// The earlier attempt that it repeats.
    pub previous_attempt: Option<RequestId>,
}

impl RequestState {
    /// Returns whether the request waits in its queue for a run slot.
    pub fn is_waiting_in_queue(&self) -> bool {
        self.phase == Phase::Queued && self.answer_owed
    }

    /// Returns whether the request has not been started.
    pub fn is_before_run(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::AwaitingResult)
    }

    /// Returns whether the request waits for a call to be made or to end.
    pub fn is_at_call(&self) -> bool {
        matches!(self.phase, Phase::AtCall { .. } | Phase::Calling { .. })
    }
}

/// All requests, with the number of those in each kind of run state.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    running: usize,
    at_calls: usize,
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

    /// Returns the number of started requests that wait for a call or its result.
    pub fn at_calls(&self) -> usize {
        self.at_calls
    }

    /// Returns whether the table has a request.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns a request.
    pub fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns a request for changes that leave its phase alone.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Returns all requests, by their ids.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &RequestState)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// Returns all requests for changes that leave their phases alone.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut RequestState> {
        self.requests.values_mut()
    }

    /// Adds a queued request.
    pub fn insert(&mut self, id: RequestId, request: RequestState) {
        self.requests.insert(id, request);
    }

    /// Has a queued request wait for another attempt's result.
    pub fn await_result(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::AwaitingResult;
        }
    }

    /// Starts a queued request.
    pub fn start_run(&mut self, id: RequestId, now: Time) -> Option<&RequestState> {
        let request = self.requests.get_mut(&id)?;
        self.running += 1;
        request.phase = Phase::Running;
        request.has_run = true;
        request.concurrency_at_start = self.running as f64;
        request.run_started_at = now;
        Some(request)
    }

    /// Has a running request leave its slot to wait for a call. Returns its class, or `None` if it
    /// does not run.
    pub fn begin_call(&mut self, id: RequestId, now: Time) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        if request.phase != Phase::Running {
            return None;
        }
        request.phase = Phase::AtCall { not_before: now };
        request.call_reached_at = now;
        request.call_attempts = 0;
        self.running -= 1;
        self.at_calls += 1;
        Some(request.class)
    }

    /// Records that a request's call is made.
    pub fn record_call(&mut self, id: RequestId, now: Time, timeout_s: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Calling {
                made_at: now,
                timeout_s,
            };
            request.call_attempts += 1;
        }
    }

    /// Has a request wait to repeat its call.
    pub fn await_call_retry(&mut self, id: RequestId, not_before: Time) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::AtCall { not_before };
        }
    }

    /// Returns a request from its call to the cores. Returns its class.
    pub fn resume_run(&mut self, id: RequestId, now: Time) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        request.phase = Phase::Running;
        request.time_at_calls_s += (now - request.call_reached_at).secs();
        self.at_calls -= 1;
        self.running += 1;
        Some(request.class)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.requests.remove(&id)?;
        if request.phase == Phase::Running {
            self.running -= 1;
        } else if request.is_at_call() {
            self.at_calls -= 1;
        }
        Some(request)
    }
}
