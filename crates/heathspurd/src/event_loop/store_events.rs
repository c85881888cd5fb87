//! Handling of completed and timed-out dependency calls.

use crate::event_loop::execution::{ExecutionState, InFlightCall, LastCommand};
use crate::event_loop::EventLoop;
use crate::peers::store::CallCompleted;
use heathspur::{Event, Outcome, RequestId};

impl EventLoop {
    /// Handles the completion of a call. The result of a call that was abandoned meanwhile is ignored.
    pub(super) fn on_call_completed(&mut self, completed: CallCompleted) {
        let id = completed.request;
        let Some(in_flight) = self.call_in_flight(id) else {
            return;
        };
        if in_flight.id != completed.call {
            return;
        }
        self.calls.complete(id, in_flight);
        self.end_call(id, completed.outcome);
        if completed.outcome == Outcome::Ok {
            self.resume_run(id, |call| LastCommand::CompleteCall {
                call: call.clone(),
                reply: completed.body,
            });
        }
    }

    /// Handles the timeout of a request's call.
    pub(super) fn on_call_timed_out(&mut self, id: RequestId) {
        if let Some(in_flight) = self.call_in_flight(id) {
            let outcome = self.calls.time_out(in_flight.id);
            self.end_call(id, outcome);
        }
    }

    /// Ends a request's call and reports it to the controller, on whose decision the run then waits.
    fn end_call(&mut self, id: RequestId, outcome: Outcome) {
        let ended = self
            .table
            .get_mut(id)
            .and_then(|entry| entry.execution.end_call());
        if let Some(call) = ended {
            self.report_call(id, call, outcome);
        }
    }

    /// Reports the outcome of a call to the controller.
    pub(super) fn report_call(&mut self, id: RequestId, call: InFlightCall, outcome: Outcome) {
        self.controller.push(Event::CallCompleted {
            id,
            outcome,
            latency: self.now - call.started,
        });
    }

    fn call_in_flight(&self, id: RequestId) -> Option<InFlightCall> {
        match self.table.get(id)?.execution {
            ExecutionState::Calling { in_flight, .. } => Some(in_flight),
            _ => None,
        }
    }
}
