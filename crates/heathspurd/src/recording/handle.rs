//! The handle through which recorded streams queue their events for the recorder's thread.

use super::unix_time;
use heathspur_capture::Stamp;
use heathspur_record::recorder::{ConnectionInfo, Event, EventKind, Leg};
use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Instant;

/// The number of legs, each of which counts its dropped events.
pub(super) const LEGS: usize = Leg::ALL.len();

/// An event for the recorder's thread.
pub(crate) struct QueuedEvent {
    pub event: Event,
    /// Per leg, the events dropped since the last queued one.
    pub dropped_events: [u64; LEGS],
}

/// Queues events without ever waiting: past the budget they are dropped and counted.
pub(crate) struct RecorderHandle {
    events: SyncSender<QueuedEvent>,
    /// Bytes of queued events; the recorder's thread subtracts what it has taken.
    queued_bytes: Arc<AtomicUsize>,
    budget_bytes: usize,
    records_peer_links: bool,
    dropped_events: Cell<[u64; LEGS]>,
    next_connection: Cell<u64>,
    clock: RecordingClock,
}

impl RecorderHandle {
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
            dropped_events: Cell::new([0; LEGS]),
            next_connection: Cell::new(1),
            clock: RecordingClock::start(),
        }
    }

    /// Whether connections to peers are recorded, besides those from clients.
    pub fn records_peer_links(&self) -> bool {
        self.records_peer_links
    }

    /// A connection number that was not used before.
    pub fn next_connection(&self) -> u64 {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        number
    }

    /// Queues an event; false where it was dropped.
    pub fn send(&self, connection: ConnectionInfo, kind: EventKind) -> bool {
        let time = self.clock.now();
        let event = Event {
            connection,
            time,
            kind,
        };
        let is_queued = self.try_queue(event);
        if is_queued {
            self.dropped_events.set([0; LEGS]);
        } else {
            let mut dropped = self.dropped_events.get();
            dropped[connection.leg as usize] += 1;
            self.dropped_events.set(dropped);
        }
        is_queued
    }

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

/// Timestamps that continue monotonically from the wall clock at the start, so that a jump of the wall clock moves no
/// event within a recording.
struct RecordingClock {
    start_unix_nanos: u64,
    start: Instant,
}

impl RecordingClock {
    fn start() -> RecordingClock {
        RecordingClock {
            start_unix_nanos: unix_time().as_nanos() as u64,
            start: Instant::now(),
        }
    }

    fn now(&self) -> Stamp {
        Stamp(self.start_unix_nanos + self.start.elapsed().as_nanos() as u64)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/recorder_handle.rs"]
mod tests;
