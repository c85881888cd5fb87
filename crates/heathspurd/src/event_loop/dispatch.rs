//! Performs the admission controller's actions.

use crate::clock;
use crate::event_loop::execution::{ExecutionState, LastCommand};
use crate::event_loop::EventLoop;
use crate::frontend::Answer;
use crate::idempotency::Attachment;
use heathspur::{Action, RequestId, Span};
use tracing::info;

impl EventLoop {
    /// Performs one action.
    pub(super) fn dispatch(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start_run(id),
            Action::Stop(id) => self.stop_run(id),
            Action::Reject {
                id,
                retry_after,
                no_retry,
            } => self.reject(id, retry_after, no_retry),
            Action::Fail(id) => {
                self.answer(id, Answer::DeadlineExceeded);
                self.discard(id);
            }
            Action::Call { id, timeout } => self.start_call(id, timeout),
            Action::SkipCall(id) => self.resume_run(id, |call| LastCommand::SkipCall(call.index)),
            Action::RetainResult { id, ttl } => self.retain_result(id, ttl),
            Action::EvictResult(id) => self.idempotency.evict(id),
            Action::ReplayResult(id) => self.replay_result(id),
            Action::Health { healthy, .. } => {
                self.frontend.healthy.set(healthy);
                self.readiness.set(healthy);
            }
            Action::SetLoadSignal(signal) => self.frontend.load_signal.set(Some(signal)),
            Action::CloseIdleConnections(after) => self.set_idle_timeout(after),
            Action::SetTimer { after, token } => self.timers.schedule(self.now + after, token),
            Action::Log(text) => info!("{text}"),
        }
    }

    /// Answers a request as rejected and discards it.
    fn reject(&mut self, id: RequestId, retry_after: Option<Span>, no_retry: bool) {
        if let Some(membership) = &self.membership {
            membership.count_rejection();
        }
        let answer = Answer::Rejected {
            retry_after,
            no_retry,
        };
        self.answer(id, answer);
        self.discard(id);
    }

    /// Retains the idempotency entry of a request, and with it the result, for the time `ttl` from now on.
    fn retain_result(&mut self, id: RequestId, ttl: Span) {
        if let Some(key) = self.table.get(id).and_then(|entry| entry.key.as_ref()) {
            self.idempotency
                .retain(key, id, clock::unix_micros() + ttl.0);
        }
    }

    /// Answers a repeat with the result of the attempt that ran, or lets it wait if that result is pending.
    fn replay_result(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let (Some(key), ExecutionState::Queued) = (&entry.key, &entry.execution) else {
            return;
        };
        let attachment = self.idempotency.attach(key, id);
        entry.execution.await_result(self.now);
        match attachment {
            Attachment::Pending => {}
            Attachment::Result(body) => self.complete_waiting(id, Some(&body)),
            Attachment::Failed => self.complete_waiting(id, None),
        }
    }

    /// Sets the time after which idle connections are closed. Zero restores the timeout of the settings.
    fn set_idle_timeout(&mut self, after: Span) {
        let timeout = if after == Span(0) {
            self.controller.settings().client_idle_timeout
        } else {
            after
        };
        self.frontend.idle_timeout.set(timeout);
    }
}
