//! Anti-entropy: the periodic push-pull of the whole view with one other member.

use crate::local_member::LocalMember;
use crate::member::MemberState;
use crate::member_table::MemberTable;
use crate::settings::Settings;
use crate::wire::{self, Body, Envelope, Update};
use rand::rngs::StdRng;
use rand::RngExt;
use std::net::SocketAddrV4;

/// One push-pull in so many goes to a dead member: that is how the halves of a healed partition find each other.
const DEAD_PEER_ONE_IN: u32 = 3;
/// The most bytes by which the length prefix of a datagram's updates grows.
const LENGTH_PREFIX_GROWTH_BYTES: usize = 2;

/// The schedule of push-pulls and the choice of their peers.
#[derive(Default)]
pub(crate) struct AntiEntropy {
    next_at: u64,
}

impl AntiEntropy {
    /// Sets when the first push-pull happens.
    pub(crate) fn start_at(&mut self, time: u64) {
        self.next_at = time;
    }

    /// Whether a push-pull is due; schedules the next one.
    pub(crate) fn take_due(&mut self, now: u64, live_members: usize, settings: &Settings) -> bool {
        if now < self.next_at {
            return false;
        }
        self.next_at = now + settings.push_pull_every_ms(live_members);
        true
    }
}

/// The member to exchange views with: a live one, now and then a dead one.
pub(crate) fn choose_peer(
    table: &MemberTable,
    seeds: &[SocketAddrV4],
    rng: &mut StdRng,
) -> Option<SocketAddrV4> {
    let live = table.live_addresses();
    let mut dead = table.addresses(|entry| entry.state == MemberState::Dead);
    // A seed without a live member counts as dead: through it, members are found again that were partitioned for
    // longer than the dead stay in the table.
    dead.extend(seeds.iter().filter(|seed| !live.contains(seed)));
    let choose_dead =
        !dead.is_empty() && (live.is_empty() || rng.random_range(0..DEAD_PEER_ONE_IN) == 0);
    let candidates = if choose_dead { dead } else { live };
    let index = rng.random_range(0..candidates.len().max(1));
    candidates.get(index).copied()
}

/// The whole view in datagrams under the largest size; only the first one asks for a reply.
pub(crate) fn push_pull_datagrams(
    local: &LocalMember,
    table: &MemberTable,
    reply: bool,
) -> Vec<Envelope> {
    let push_pull = |reply| Envelope {
        from: local.id().clone(),
        body: Body::PushPull { reply },
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
