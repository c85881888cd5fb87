//! The membership state machine, which composes its parts and turns events into actions.

mod receive;
mod send;
mod timers;
mod updates;

use crate::anti_entropy::AntiEntropy;
use crate::event::{Action, Event};
use crate::failure_detector::FailureDetector;
use crate::input_limits::InputLimits;
use crate::join::Join;
use crate::local_member::LocalMember;
use crate::member::{Load, Member, MemberId, ZoneVote};
use crate::member_states::MemberStates;
use crate::member_table::MemberEntry;
use crate::rejected_input::RejectedInput;
use crate::settings::Settings;
use crate::view::{self, View};
use crate::wire::Message;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddrV4;

/// The number of members to which a leaving member announces its departure, as a multiple of the gossip fanout.
const LEAVE_FANOUT_FACTOR: usize = 2;

/// The membership state machine of the local member.
pub struct Membership {
    settings: Settings,
    /// Monotonic time of the last event, in milliseconds.
    now: u64,
    rng: StdRng,
    local: LocalMember,
    others: MemberStates,
    detector: FailureDetector,
    next_gossip_at: u64,
    anti_entropy: AntiEntropy,
    join: Join,
    limits: InputLimits,
    next_reap_at: u64,
}

impl Membership {
    /// Creates a member whose view contains only itself, at `incarnation`, which must never decrease across restarts.
    /// `random_seed` determines its random choices. The caller must have checked the settings with
    /// [`Settings::check`].
    pub fn new(
        settings: Settings,
        local: Member,
        incarnation: u64,
        seeds: Vec<SocketAddrV4>,
        random_seed: u64,
    ) -> Membership {
        let own_address = local.address;
        let seeds = seeds.into_iter().filter(|seed| *seed != own_address);
        Membership {
            now: 0,
            rng: StdRng::seed_from_u64(random_seed),
            local: LocalMember::new(local, incarnation),
            others: MemberStates::new(settings.max_queued_updates),
            detector: FailureDetector::new(),
            next_gossip_at: 0,
            anti_entropy: AntiEntropy::default(),
            join: Join::new(seeds.collect(), &settings),
            limits: InputLimits::default(),
            next_reap_at: 0,
            settings,
        }
    }

    /// Handles one event at monotonic time `now`, in milliseconds, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: u64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Datagram { from, bytes } => self.on_datagram(from, bytes, actions),
            Event::Tick => self.on_tick(actions),
            Event::Join => self.on_join(actions),
            Event::Leave => self.on_leave(actions),
        }
    }

    /// Sets the load that the local member publishes with its next datagrams.
    pub fn set_load(&mut self, load: Load) {
        self.local.set_load(load);
    }

    /// Sets the vote that the local member publishes on its zone's decision. A changed vote is gossiped at once.
    pub fn set_zone_vote(&mut self, vote: ZoneVote, actions: &mut Vec<Action>) {
        if self.local.set_zone_vote(vote) {
            self.announce_incarnation(actions);
            self.gossip_to_random_members(actions);
        }
    }

    /// Adds members that are known to be alive without gossiping them, as in a fleet that is established already.
    /// Members that are in the table already or exceed its capacity are skipped.
    pub fn add_known_members(&mut self, members: impl IntoIterator<Item = (Member, u64)>) {
        for (member, incarnation) in members {
            let known =
                member.id == *self.local.id() || self.others.table().get(&member.id).is_some();
            if known || self.table_is_full() {
                continue;
            }
            self.others.add_known(member, incarnation, self.now);
            self.join.mark_joined();
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        view::snapshot(&self.local, self.others.table())
    }

    /// Returns the version of the view, which rises with every change.
    pub fn version(&self) -> u64 {
        view::view_version(&self.local, self.others.table())
    }

    /// Returns the table entry of another member.
    pub fn entry(&self, id: &MemberId) -> Option<&MemberEntry> {
        self.others.table().get(id)
    }

    /// Returns the local member's id.
    pub fn id(&self) -> &str {
        &self.local.id().0
    }

    /// Returns the local member's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.local.incarnation()
    }

    /// Returns the local health score (Lifeguard), up to `max_local_health`; 0 is healthy.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health()
    }

    /// Returns the counts of input that was rejected since the start.
    pub fn rejected_input(&self) -> RejectedInput {
        self.limits.rejected(self.others.gossip().evicted())
    }

    /// Returns the number of source addresses that are counted for the rate limit; at most twice `max_members`.
    pub fn counted_addresses(&self) -> usize {
        self.limits.counted_addresses()
    }

    /// Returns the number of updates that are queued for gossip.
    pub fn queued_updates(&self) -> usize {
        self.others.gossip().len()
    }

    /// Returns whether the local member has joined: it has received a message of another member that is not
    /// a nack, or was given known members.
    pub fn joined(&self) -> bool {
        self.join.joined()
    }

    fn on_join(&mut self, actions: &mut Vec<Action>) {
        self.join.start(self.now, &self.settings);
        // Random first times prevent members that started together from probing, gossiping and exchanging views in
        // step.
        let first_probe = self.random_time_within(self.settings.protocol_period_ms);
        self.detector.start_at(first_probe);
        self.next_gossip_at = self.random_time_within(self.settings.gossip_interval_ms);
        let push_pull_interval = self
            .settings
            .scaled_push_pull_interval_ms(1 + self.others.table().len());
        let first_push_pull = self.random_time_within(push_pull_interval);
        self.anti_entropy.start_at(first_push_pull);
        self.on_tick(actions);
    }

    fn random_time_within(&mut self, span_ms: u64) -> u64 {
        self.now + self.rng.random_range(0..span_ms.max(1))
    }

    fn on_leave(&mut self, actions: &mut Vec<Action>) {
        if !self.local.leave() {
            return;
        }
        self.detector.stop();
        self.announce_incarnation(actions);
        for to in self.random_live_addresses(self.settings.gossip_fanout * LEAVE_FANOUT_FACTOR) {
            self.send(to, Message::Gossip, actions);
        }
    }

    /// Reports and gossips the local member's raised incarnation.
    fn announce_incarnation(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::IncarnationRaised(self.local.incarnation()));
        self.others.gossip_mut().push(self.local.update());
    }

    fn gossip_to_random_members(&mut self, actions: &mut Vec<Action>) {
        for to in self.random_live_addresses(self.settings.gossip_fanout) {
            self.send(to, Message::Gossip, actions);
        }
    }

    fn random_live_addresses(&mut self, count: usize) -> Vec<SocketAddrV4> {
        let mut addresses = self.others.table().live_addresses();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(count);
        addresses
    }

    fn table_is_full(&self) -> bool {
        1 + self.others.table().len() >= self.settings.max_members
    }

    /// Returns the number of live members, including the local one, by which SWIM's timeouts and retransmissions scale.
    fn live_members(&self) -> usize {
        1 + self.others.table().live_len()
    }
}
