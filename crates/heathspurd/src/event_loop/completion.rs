//! Completion of requests: sends the final answer and releases all resources of a request.

use crate::event_loop::execution::ExecutionState;
use crate::event_loop::request_table::Entry;
use crate::event_loop::EventLoop;
use crate::frontend::Answer;
use bytes::Bytes;
use heathspur::{Event, Outcome, RequestId};

impl EventLoop {
    /// Sends the answer to the request's connection. Only the first answer to a request is sent.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.table.get_mut(id).and_then(Entry::take_reply) {
            // Fails if the connection has closed, which a `ClientDisconnected` event reports.
            let _ = reply.try_send(answer);
        }
    }

    /// Removes a request and releases all its resources: its body, its call in flight with the timeout, and its attempt
    /// in the idempotency store. The frontend releases the connection.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(entry) = self.table.remove(id) else {
            return;
        };
        if let ExecutionState::Calling { in_flight, .. } = entry.execution {
            self.calls.cancel(id, in_flight);
        }
        if let Some(key) = &entry.key {
            for unanswerable in self.idempotency.remove_attempt(key, id) {
                self.complete_waiting(unanswerable, None);
            }
        }
    }

    /// Completes a request that waits for another attempt's result, with that result or, if there is none, as failed.
    pub(super) fn complete_waiting(&mut self, id: RequestId, result: Option<&Bytes>) {
        let Some(&ExecutionState::AwaitingResult { since }) =
            self.table.get(id).map(|entry| &entry.execution)
        else {
            return;
        };
        let (answer, outcome) = match result {
            Some(body) => (Answer::Success(body.clone()), Outcome::Ok),
            None => (Answer::Failed, Outcome::Error),
        };
        self.answer(id, answer);
        self.controller.push(Event::RunCompleted {
            id,
            outcome,
            latency: self.now - since,
        });
        self.release(id);
    }

    /// Handles the disconnection of a request's client. No answer is due any more. If the settings state that
    /// cancellation is reported, the controller is notified and the request is discarded.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry.take_reply().is_none() || !self.frontend.names.reports_cancellation {
            return;
        }
        self.controller.push(Event::ClientCancelled(id));
        self.discard(id);
    }

    /// Discards a request to which no answer is due. A request without a run is released. Otherwise its call in flight
    /// is cancelled, and the run continues until the interpreter reports its end.
    pub(super) fn discard(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry.execution.run().is_none() {
            self.release(id);
        } else if let Some(in_flight) = entry.execution.end_call() {
            self.calls.cancel(id, in_flight);
        }
    }
}
