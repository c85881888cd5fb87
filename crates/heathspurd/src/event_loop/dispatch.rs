//! Stage three: each action of the module goes to where it is carried out.

use crate::clock;
use crate::event_loop::execution::{ExecutionState, LastCommand};
use crate::event_loop::EventLoop;
use crate::frontend::Answer;
use crate::idempotency::Attached;
use heathspur::{Action, RequestId, Span};
use std::cmp::Reverse;
use tracing::info;

impl EventLoop {
    pub(crate) fn route(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.run(id),
            Action::Stop(id) => self.stop(id),
            Action::Reject {
                id,
                retry_after: stay_away,
                no_retry: last,
            } => {
                if let Some(members) = &self.members {
                    members.refused();
                }
                self.answer(
                    id,
                    Answer::Rejected {
                        retry_after: stay_away,
                        no_retry: last,
                    },
                );
                self.discard(id);
            }
            Action::Fail(id) => {
                self.answer(id, Answer::DeadlineExceeded);
                self.discard(id);
            }
            Action::Call { id, timeout: limit } => self.call(id, limit),
            Action::SkipCall(id) => self.go_on(id, |need| LastCommand::Stub(need.index)),
            Action::RetainResult { id, ttl } => {
                if let Some(key) = self.table.get(id).and_then(|entry| entry.key.as_ref()) {
                    self.idempotency.keep(key, id, clock::unix() + ttl.0);
                }
            }
            Action::EvictResult(id) => self.idempotency.forget(id),
            Action::ReplayResult(id) => self.reuse(id),
            Action::Health { healthy: good, .. } => {
                self.frontend.healthy.set(good);
                self.readiness.set(good);
            }
            Action::SetLoadSignal(value) => self.frontend.load_signal.set(Some(value)),
            Action::CloseIdleConnections(after) => {
                let all = after == Span(0);
                self.frontend.idle_timeout.set(if all {
                    self.settings.client_idle_timeout
                } else {
                    after
                });
            }
            Action::SetTimer { after, token } => {
                self.timers.push(Reverse((self.now + after, token)));
            }
            Action::Log(text) => info!("{text}"),
        }
    }

    /// Answers a repeat with the result of the try that ran, or lets it wait for that.
    fn reuse(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let Some(key) = entry
            .key
            .as_ref()
            .filter(|_| matches!(entry.work, ExecutionState::Held))
        else {
            return;
        };
        entry.work = ExecutionState::Waiting { since: self.now };
        match self.idempotency.attach(key, id) {
            Attached::Waits => {}
            Attached::Result(body) => self.end_waiting(id, Some(&body)),
            Attached::Failed => self.end_waiting(id, None),
        }
    }
}
