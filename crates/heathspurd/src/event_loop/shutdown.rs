//! The graceful shutdown: its start, the check for its completion, and the last iteration of the event loop.

use crate::event_loop::deadlines::timer_without_gauges;
use crate::event_loop::inbox::LoopEvent;
use crate::event_loop::EventLoop;
use crate::frontend::request_queue::RequestQueues;
use crate::frontend::IncomingRequest;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use heathspur::{Action, Event};
use std::time::Duration;
use tracing::info;

/// The time to write the last answers before the exit. It is well within the exit margin of a drain.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(20);

impl EventLoop {
    /// Begins the graceful shutdown, unless it has begun.
    pub(super) fn begin_drain(&mut self) {
        if self.drain.has_begun() {
            return;
        }
        info!("graceful shutdown started");
        self.start_controller(self.controller.settings().cold_start, self.now);
        let grace = self.controller.settings().drain_grace;
        let plan = self.drain.begin(self.now, grace);
        if let Some(membership) = &self.membership {
            membership.leave();
        }
        self.frontend.draining.set(true);
        self.frontend
            .abandon_responses_at
            .set(Some(self.clock.instant(plan.abandon_responses)));
        self.frontend
            .connections
            .notify_closed(&self.connection_closed);
        self.controller.push(Event::Drain(plan.controller_limit));
    }

    /// Stops accepting requests once that is due. Returns whether the server can exit: it has stopped accepting, and
    /// either all requests are answered and all connections closed, or the exit is due.
    pub(super) fn is_drained(&self) -> bool {
        if !self.drain.has_begun() {
            return false;
        }
        self.drain.stop_accepting_if_due(self.now);
        let is_idle =
            || self.frontend.connections.open_connections() == 0 && !self.table.owes_reply();
        self.drain.has_stopped_accepting() && (is_idle() || self.drain.is_exit_due(self.now))
    }

    /// Runs the last iteration. It answers every request that is still unanswered, even if the process was delayed, and
    /// gives the frontends' tasks a short time to write the answers.
    pub(super) async fn finish(
        mut self,
        mut requests: RequestQueues<IncomingRequest>,
        inbox: Receiver<LoopEvent>,
        mut actions: Vec<Action>,
    ) {
        while let Some(request) = requests.try_next() {
            self.on_request(request);
        }
        for token in self.timers.drain_all() {
            self.controller.push(timer_without_gauges(token));
        }
        self.decide(&mut actions);
        let closed = async {
            while self.frontend.connections.open_connections() > 0 && inbox.recv().await.is_ok() {}
        };
        let timeout = async {
            Timer::after(LAST_WRITES_TIMEOUT).await;
        };
        future::or(closed, timeout).await;
    }
}
