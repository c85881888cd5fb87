//! The queue of updates to disseminate. It has at most one update of each member, and sends each update a bounded
//! number of times, the least sent ones first.

use crate::wire::{self, Envelope, Update};

/// The maximum growth of the length prefix of a datagram's updates, in bytes.
const LENGTH_PREFIX_GROWTH_BYTES: usize = 2;
/// The part of a datagram that is reserved for the growth of that prefix, in bytes.
const LENGTH_PREFIX_RESERVE_BYTES: usize = 4;

struct QueuedUpdate {
    update: Update,
    transmissions: u32,
    encoded_len: usize,
}

/// The bounded queue of updates to disseminate.
pub(crate) struct GossipQueue {
    queued: Vec<QueuedUpdate>,
    capacity: usize,
    evicted: u64,
}

impl GossipQueue {
    /// Creates an empty queue for at most `capacity` updates.
    pub(crate) fn new(capacity: usize) -> GossipQueue {
        GossipQueue {
            queued: Vec::new(),
            capacity,
            evicted: 0,
        }
    }

    /// Queues an update, which replaces any queued one about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.queued
            .retain(|queued| queued.update.member.id != update.member.id);
        if self.queued.len() >= self.capacity {
            self.evict_most_sent();
        }
        self.queued.push(QueuedUpdate {
            encoded_len: wire::update_len(&update),
            update,
            transmissions: 0,
        });
    }

    /// Evicts the update that was sent most often, since it has probably reached most members.
    fn evict_most_sent(&mut self) {
        let most_sent = (0..self.queued.len()).max_by_key(|&at| self.queued[at].transmissions);
        if let Some(at) = most_sent {
            self.queued.swap_remove(at);
            self.evicted += 1;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of updates that were evicted because the queue was full.
    pub(crate) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Fills a datagram up to its maximum size with updates, the least sent ones first, and counts them as sent.
    /// Updates about the member of the datagram's first update are skipped. An update that was sent `max_transmissions`
    /// times leaves the queue.
    pub(crate) fn fill(&mut self, datagram: &mut Envelope, max_transmissions: u32) {
        let used = wire::encoded_len(datagram) + LENGTH_PREFIX_RESERVE_BYTES;
        let mut capacity = wire::MAX_DATAGRAM_BYTES.saturating_sub(used);
        let first = datagram
            .updates
            .first()
            .map(|first| first.member.id.clone());
        self.queued.sort_by_key(|queued| queued.transmissions);
        for queued in &mut self.queued {
            let too_long = queued.encoded_len + LENGTH_PREFIX_GROWTH_BYTES > capacity;
            if too_long || first.as_ref() == Some(&queued.update.member.id) {
                continue;
            }
            capacity -= queued.encoded_len;
            queued.transmissions += 1;
            datagram.updates.push(queued.update.clone());
        }
        self.queued
            .retain(|queued| queued.transmissions < max_transmissions);
    }
}
