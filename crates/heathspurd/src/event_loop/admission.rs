//! Stage two: a request that was read becomes one that the module knows, linked to what it repeats.

use crate::clock;
use crate::event_loop::EventLoop;
use crate::frontend::{Answer, IncomingRequest};
use crate::idempotency::{Attempt, Barred, Key};
use heathspur::{Event, Idempotency, Request, Span};
use tracing::warn;

impl EventLoop {
    pub(crate) fn admit(&mut self, arrival: IncomingRequest) {
        if arrival.reply.is_closed() {
            // Its caller went before it was looked at.
            return;
        }
        if self.table.named(&arrival.attempt).is_some() {
            let _ = arrival.reply.try_send(Answer::Conflict);
            return;
        }
        let linked = !arrival.has_subject || self.settings.cache_ttl.0 > 0;
        let key = arrival
            .idempotency_key
            .as_ref()
            .filter(|_| linked)
            .map(|bytes| Key::new(arrival.class, bytes));
        let keyed = self.settings.classes[arrival.class.0].idempotency == Idempotency::Keyed;
        // Reads of one thing may ask for it in different words.
        let body = if keyed {
            self.idempotency.digest(&arrival.body)
        } else {
            0
        };
        let window = self.settings.classes[arrival.class.0].dedup_window;
        let this = Attempt {
            id: arrival.id,
            ingress: arrival.received_unix_micros,
            body,
            window,
        };
        let repeats = match key.as_ref().map(|key| self.idempotency.link(key, this)) {
            None => None,
            Some(Ok(repeats)) => repeats,
            Some(Err(Barred::Full)) => {
                // A repeat could not be told any more, so it must not run here.
                warn!(
                    id = arrival.id.0,
                    "a request was turned away: the table of keys is full"
                );
                let _ = arrival.reply.try_send(Answer::Rejected {
                    retry_after: None,
                    no_retry: false,
                });
                return;
            }
            Some(Err(Barred::OtherBody)) => {
                warn!(
                    id = arrival.id.0,
                    "a request was turned away: its key came with another body before"
                );
                let _ = arrival.reply.try_send(Answer::KeyReused);
                return;
            }
        };
        let waited = clock::since(arrival.received_unix_micros, clock::unix());
        self.events.push(Event::Request(Request {
            id: arrival.id,
            class: arrival.class,
            tenant: arrival.tenant,
            has_subject: arrival.has_subject,
            // None at all is no patience told, so what has run out leaves the smallest span.
            remaining_deadline: arrival
                .client_timeout
                .map(|left| Span(left.0.saturating_sub(waited.0).max(1))),
            cost_hint: arrival.cost_hint.filter(|cost| *cost > 0.0),
            queued_memory_kb: arrival.queued_memory_kb,
            is_retry: arrival.is_retry,
            queueing_delay: waited,
            previous_attempt: repeats,
        }));
        self.table.insert(arrival, key);
    }
}
