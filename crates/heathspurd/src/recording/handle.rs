//! The handle through which recorded streams queue their events for the recorder's thread.

use super::unix_time;
use heathspur_capture::Timestamp;
use heathspur_record::recorder::{ConnectionInfo, Event, EventKind, Leg};
use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Instant;

/// The number of legs. Dropped events are counted per leg.
pub(super) const LEG_COUNT: usize = Leg::ALL.len();

/// An event in the queue of the recorder's thread.
pub(crate) struct QueuedEvent {
    pub event: Event,
    /// Per leg, the number of events that were dropped since the last queued one.
    pub dropped_events: [u64; LEG_COUNT],
}

/// Queues events without ever waiting. Events beyond the budget are dropped and counted.
pub(crate) struct RecorderHandle {
    events: SyncSender<QueuedEvent>,
    /// Size of the queued events. The recorder's thread subtracts the events that it has processed.
    queued_bytes: Arc<AtomicUsize>,
    /// The maximum of `queued_bytes`.
    budget_bytes: usize,
    records_peer_links: bool,
    /// Per leg, the number of events that were dropped since the last queued one.
    dropped_events: Cell<[u64; LEG_COUNT]>,
    next_connection: Cell<u64>,
    clock: RecordingClock,
}

impl RecorderHandle {
    /// Creates a handle that queues at most `budget_bytes` of events.
    pub fn new(
        events: SyncSender<QueuedEvent>,
        queued_bytes: Arc<AtomicUsize>,
        budget_bytes: usize,
        records_peer_links: bool,
    ) -> RecorderHandle {
        RecorderHandle {
            events,
            queued_bytes,
            budget_bytes,
            records_peer_links,
            dropped_events: Cell::new([0; LEG_COUNT]),
            next_connection: Cell::new(1),
            clock: RecordingClock::start(),
        }
    }

    /// Returns whether connections to peers are recorded as well as those from clients.
    pub fn records_peer_links(&self) -> bool {
        self.records_peer_links
    }

    /// Returns a new connection number.
    pub fn next_connection(&self) -> u64 {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        number
    }

    /// Queues an event. Returns `false` if it was dropped.
    pub fn send(&self, connection: ConnectionInfo, kind: EventKind) -> bool {
        let time = self.clock.now();
        let event = Event {
            connection,
            time,
            kind,
        };
        let is_queued = self.try_queue(event);
        if is_queued {
            self.dropped_events.set([0; LEG_COUNT]);
        } else {
            let mut dropped = self.dropped_events.get();
            dropped[connection.leg as usize] += 1;
            self.dropped_events.set(dropped);
        }
        is_queued
    }

    /// Queues an event if it fits into the budget and the queue. Returns `false` otherwise.
    fn try_queue(&self, event: Event) -> bool {
        let weight = event.weight();
        if self.queued_bytes.load(Ordering::Relaxed) + weight > self.budget_bytes {
            return false;
        }
        self.queued_bytes.fetch_add(weight, Ordering::Relaxed);
        let queued = QueuedEvent {
            event,
            dropped_events: self.dropped_events.get(),
        };
        let is_queued = self.events.try_send(queued).is_ok();
        if !is_queued {
            self.queued_bytes.fetch_sub(weight, Ordering::Relaxed);
        }
        is_queued
    }
}

/// A clock for timestamps, which reads the wall clock once at the start and is monotonic from then on. So a step of the
/// wall clock does not reorder the events of a recording.
struct RecordingClock {
    start_unix_nanos: u64,
    start: Instant,
}

impl RecordingClock {
    /// Creates a clock that starts at the current wall clock time.
    fn start() -> RecordingClock {
        RecordingClock {
            start_unix_nanos: unix_time().as_nanos() as u64,
            start: Instant::now(),
        }
    }

    /// Returns the current timestamp.
    fn now(&self) -> Timestamp {
        Timestamp(self.start_unix_nanos + self.start.elapsed().as_nanos() as u64)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/recorder_handle.rs"]
mod tests;
