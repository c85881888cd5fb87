//! Stage three: each action of the module goes to where it is carried out.

use crate::clock;
use crate::event_loop::request_table::{Told, Work};
use crate::event_loop::state::Owner;
use crate::frontend::Answer;
use crate::idempotency::Attached;
use heathspur::{Action, RequestId, Span};
use std::cmp::Reverse;
use tracing::info;

impl Owner {
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
                    members.count_rejection();
                }
                self.answer(id, Answer::Refused { stay_away, last });
                self.discard(id);
            }
            Action::Fail(id) => {
                self.answer(id, Answer::GivenUp);
                self.discard(id);
            }
            Action::Call { id, timeout: limit } => self.call(id, limit),
            Action::SkipCall(id) => self.go_on(id, |need| Told::Stub(need.index)),
            Action::RetainResult { id, ttl } => {
                if let Some(key) = self.table.get(id).and_then(|entry| entry.key.as_ref()) {
                    self.keys.keep(key, id, clock::unix() + ttl.0);
                }
            }
            Action::EvictResult(id) => self.keys.forget(id),
            Action::ReplayResult(id) => self.reuse(id),
            Action::Health { healthy: good, .. } => {
                self.desk.good.set(good);
                self.readiness.set(good);
            }
            Action::SetLoadSignal(value) => self.desk.free_value.set(Some(value)),
            Action::CloseIdleConnections(after) => {
                let all = after == Span(0);
                self.desk.idle.set(if all {
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
            .filter(|_| matches!(entry.work, Work::Held))
        else {
            return;
        };
        entry.work = Work::Waiting { since: self.now };
        match self.keys.attach(key, id) {
            Attached::Waits => {}
            Attached::Result(body) => self.end_waiting(id, Some(&body)),
            Attached::Failed => self.end_waiting(id, None),
        }
    }
}
