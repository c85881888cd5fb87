//! Updates waiting to be spread: each sent a bounded number of times, least sent first, one per member.

use crate::member::MemberId;
use crate::wire::{update_len, Update};

#[derive(Clone, Debug)]
struct Pending {
    update: Update,
    sent: u32,
    len: usize,
}

/// The queue of updates to spread, bounded.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    pending: Vec<Pending>,
    bound: usize,
    /// Updates dropped because the queue was full.
    pub dropped: u64,
}

impl GossipQueue {
    /// An empty queue holding at most `bound` updates.
    pub fn new(bound: usize) -> GossipQueue {
        GossipQueue {
            pending: Vec::new(),
            bound,
            dropped: 0,
        }
    }

    /// Queues an update; one of the same member before it is replaced.
    pub fn push(&mut self, update: Update) {
        self.pending
            .retain(|p| p.update.member.id != update.member.id);
        if self.pending.len() >= self.bound {
            // The one sent most has done most of its work already.
            if let Some(most) = (0..self.pending.len()).max_by_key(|&i| self.pending[i].sent) {
                self.pending.swap_remove(most);
                self.dropped += 1;
            }
        }
        let len = update_len(&update);
        self.pending.push(Pending {
            update,
            sent: 0,
            len,
        });
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Updates waiting.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Takes updates that fit in `room` bytes, least sent first, and counts them sent; those sent `limit`
    /// times leave the queue. `skip` is a member whose news is already in the datagram.
    pub fn take(&mut self, mut room: usize, limit: u32, skip: Option<&MemberId>) -> Vec<Update> {
        self.pending.sort_by_key(|p| p.sent);
        let mut taken = Vec::new();
        for pending in &mut self.pending {
            if skip == Some(&pending.update.member.id) {
                continue;
            }
            // Postcard's length of a sequence takes a byte or two more.
            if pending.len + 2 > room {
                continue;
            }
            room -= pending.len;
            pending.sent += 1;
            taken.push(pending.update.clone());
        }
        self.pending.retain(|p| p.sent < limit);
        taken
    }
}
