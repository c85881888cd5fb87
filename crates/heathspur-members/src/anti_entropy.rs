//! Anti-entropy: the periodic push-pull of the full view with one other member.

use crate::local_member::LocalMember;
use crate::member::MemberState;
use crate::member_table::MemberTable;
use crate::settings::Settings;
use crate::wire::{self, Envelope, Message, Update};
use rand::rngs::StdRng;
use rand::RngExt;
use std::net::SocketAddrV4;

/// One push-pull in this many, on average, is sent to a dead member, so that the sides of a healed partition merge.
const DEAD_PEER_ONE_IN: u32 = 3;
/// The maximum growth of the length prefix of a datagram's updates, in bytes.
const LENGTH_PREFIX_GROWTH_BYTES: usize = 2;

/// The schedule of push-pulls.
#[derive(Default)]
pub(crate) struct AntiEntropy {
    next_at: u64,
}

impl AntiEntropy {
    /// Sets when the first push-pull is due.
    pub(crate) fn start_at(&mut self, time: u64) {
        self.next_at = time;
    }

    /// Returns whether a push-pull is due, and schedules the next one if it is.
    pub(crate) fn take_due(&mut self, now: u64, live_members: usize, settings: &Settings) -> bool {
        if now < self.next_at {
            return false;
        }
        self.next_at = now + settings.scaled_push_pull_interval_ms(live_members);
        true
    }
}

/// Chooses the member to exchange views with: usually a live one, and a dead one with probability
/// 1 / [`DEAD_PEER_ONE_IN`].
pub(crate) fn choose_peer(
    table: &MemberTable,
    seeds: &[SocketAddrV4],
    rng: &mut StdRng,
) -> Option<SocketAddrV4> {
    let live = table.live_addresses();
    let mut dead = table.addresses(|entry| entry.state == MemberState::Dead);
    // A seed address without a live member counts as dead. Through seeds, a partition that lasted longer than dead
    // members stay in the table still heals.
    dead.extend(seeds.iter().filter(|seed| !live.contains(seed)));
    let choose_dead =
        !dead.is_empty() && (live.is_empty() || rng.random_range(0..DEAD_PEER_ONE_IN) == 0);
    let candidates = if choose_dead { dead } else { live };
    let index = rng.random_range(0..candidates.len().max(1));
    candidates.get(index).copied()
}

/// Returns the full view as datagrams within the maximum size. Only the first one may request a reply.
pub(crate) fn push_pull_datagrams(
    local: &LocalMember,
    table: &MemberTable,
    reply: bool,
) -> Vec<Envelope> {
    let push_pull = |reply| Envelope {
        from: local.id().clone(),
        body: Message::PushPull { reply },
        updates: Vec::new(),
    };
    let others = table.iter().map(|entry| entry.update(local.id()));
    let updates: Vec<Update> = std::iter::once(local.update()).chain(others).collect();
    let mut datagrams = Vec::new();
    let mut current = push_pull(reply);
    let mut current_len = wire::encoded_len(&current);
    for update in updates {
        let update_len = wire::update_len(&update);
        let full_len = current_len + update_len + LENGTH_PREFIX_GROWTH_BYTES;
        if full_len > wire::MAX_DATAGRAM_BYTES && !current.updates.is_empty() {
            datagrams.push(std::mem::replace(&mut current, push_pull(false)));
            current_len = wire::encoded_len(&current);
        }
        current_len += update_len;
        current.updates.push(update);
    }
    datagrams.push(current);
    datagrams
}
