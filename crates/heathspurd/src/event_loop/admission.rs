//! Submits incoming requests to the admission controller, with the earlier attempts that they repeat.

use crate::clock;
use crate::event_loop::EventLoop;
use crate::frontend::{Answer, IncomingRequest};
use crate::idempotency::{Attempt, Key, RegisterError, Registration};
use heathspur::{Event, Idempotency, Request, Span};
use tracing::warn;

impl EventLoop {
    /// Adds a request to the table and reports it to the controller, or answers it immediately if it must not run on
    /// this server. Drops a request whose client has already disconnected.
    pub(super) fn submit_request(&mut self, request: IncomingRequest) {
        if request.reply.is_closed() {
            return;
        }
        if self.table.find_attempt(&request.attempt).is_some() {
            let _ = request.reply.try_send(Answer::Conflict);
            return;
        }
        let key = self.dedup_key(&request);
        let registration = match self.register_attempt(&request, key.as_ref()) {
            Ok(registration) => registration,
            Err(error) => {
                warn!(id = request.id.0, %error, "request {} rejected: {error}", request.id.0);
                let _ = request.reply.try_send(answer_to(&error));
                return;
            }
        };
        self.controller
            .push(Event::Request(controller_request(&request, registration)));
        self.table.insert(request, key);
    }

    /// Returns the key that the request shares with its repeats: its idempotency key, or the subject of a read if
    /// results of reads are cached.
    fn dedup_key(&self, request: &IncomingRequest) -> Option<Key> {
        let is_linked = !request.has_subject || self.controller.settings().cache_ttl.0 > 0;
        request
            .idempotency_key
            .as_ref()
            .filter(|_| is_linked)
            .map(|bytes| Key::new(request.class, bytes))
    }

    /// Registers the request as an attempt of its key. A request without a key repeats no other.
    fn register_attempt(
        &mut self,
        request: &IncomingRequest,
        key: Option<&Key>,
    ) -> Result<Registration, RegisterError> {
        let Some(key) = key else {
            return Ok(Registration::First);
        };
        let class = &self.controller.settings().classes[request.class.0];
        // Reads of one subject may have different bodies, so only the bodies of keyed requests are compared.
        let body_digest = if class.idempotency == Idempotency::Keyed {
            self.idempotency.digest(&request.body)
        } else {
            0
        };
        let attempt = Attempt {
            id: request.id,
            received_at: request.received_unix_micros,
            body_digest,
            dedup_window: class.dedup_window,
        };
        self.idempotency.register(key, attempt)
    }
}

/// Returns the answer to a request that could not be registered.
fn answer_to(error: &RegisterError) -> Answer {
    match error {
        // Without an entry its repeats would not be recognized and could run as well.
        RegisterError::StoreFull { .. } => Answer::Rejected {
            retry_after: None,
            no_retry: false,
        },
        RegisterError::BodyMismatch => Answer::KeyReused,
    }
}

/// Converts a request to the form that the controller receives.
fn controller_request(request: &IncomingRequest, registration: Registration) -> Request {
    let queueing_delay = clock::elapsed_since(request.received_unix_micros, clock::unix_micros());
    Request {
        id: request.id,
        class: request.class,
        tenant: request.tenant,
        has_subject: request.has_subject,
        // `None` would mean that the client waits without limit, so a deadline that has passed becomes the shortest
        // span.
        remaining_deadline: request
            .client_timeout
            .map(|timeout| Span(timeout.0.saturating_sub(queueing_delay.0).max(1))),
        cost_hint: request.cost_hint.filter(|cost| *cost > 0.0),
        queued_memory_kb: request.queued_memory_kb,
        is_retry: request.is_retry,
        queueing_delay,
        previous_attempt: match registration {
            Registration::First => None,
            Registration::RepeatOf(attempt) => Some(attempt),
        },
    }
}
