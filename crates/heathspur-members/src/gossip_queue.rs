//! The queue of updates to disseminate: each sent a bounded number of times, least sent first, one per member.

use crate::member::MemberId;
use crate::wire::{update_len, Update};

/// The most bytes by which the length prefix of a datagram's updates grows.
const LENGTH_PREFIX_GROWTH_BYTES: usize = 2;

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
    /// An empty queue for at most `capacity` updates.
    pub(crate) fn new(capacity: usize) -> GossipQueue {
        GossipQueue {
            queued: Vec::new(),
            capacity,
            evicted: 0,
        }
    }

    /// Queues an update in place of an older one about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.queued
            .retain(|queued| queued.update.member.id != update.member.id);
        if self.queued.len() >= self.capacity {
            self.evict_most_sent();
        }
        self.queued.push(QueuedUpdate {
            encoded_len: update_len(&update),
            update,
            transmissions: 0,
        });
    }

    /// The update sent most often has reached most members already.
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

    /// Updates evicted because the queue was full.
    pub(crate) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Takes updates that fit in `capacity_bytes`, least sent first, and counts them as sent. An update sent
    /// `max_transmissions` times leaves the queue. `skip` is a member that the datagram has an update of already.
    pub(crate) fn take(
        &mut self,
        mut capacity_bytes: usize,
        max_transmissions: u32,
        skip: &MemberId,
    ) -> Vec<Update> {
        self.queued.sort_by_key(|queued| queued.transmissions);
        let mut taken = Vec::new();
        for queued in &mut self.queued {
            let too_long = queued.encoded_len + LENGTH_PREFIX_GROWTH_BYTES > capacity_bytes;
            if queued.update.member.id == *skip || too_long {
                continue;
            }
            capacity_bytes -= queued.encoded_len;
            queued.transmissions += 1;
            taken.push(queued.update.clone());
        }
        self.queued
            .retain(|queued| queued.transmissions < max_transmissions);
        taken
    }
}
