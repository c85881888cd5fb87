//! The member's state machine: what it holds, and how events turn into actions.

use crate::failure_detector::{Probe, Relay};
use crate::gossip_queue::GossipQueue;
use crate::member::{Load, Member, MemberId, MemberState, ZoneVote};
use crate::rejected_input::{RejectedInput, RejectionReport};
use crate::settings::Settings;
use crate::state_record::StateRecord;
use crate::suspicion::Suspicion;
use crate::wire::{self, Body, Update};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;

/// Entries of the table by what is asked of them at every tick, so that the table is not walked through.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    suspects: BTreeSet<MemberId>,
    gone: usize,
}

impl Tally {
    pub(crate) fn add(&mut self, id: &MemberId, state: MemberState) {
        if state == MemberState::Suspect {
            self.suspects.insert(id.clone());
        }
        self.gone += !state.live() as usize;
    }

    pub(crate) fn remove(&mut self, id: &MemberId, state: MemberState) {
        if state == MemberState::Suspect {
            self.suspects.remove(id);
        }
        self.gone -= !state.live() as usize;
    }
}

/// So many periods after it joins, a member counts as a newcomer.
const FRESH_PERIODS: u64 = 10;
/// Pushes of the whole view answered in one period; past it, a push is merged but not answered.
const REPLIES_A_PERIOD: u32 = 4;

/// What happens to a member.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram came from `from`.
    Datagram {
        /// The address it came from.
        from: SocketAddrV4,
        /// Its bytes, at most [`crate::wire::MAX_DATAGRAM_BYTES`] taken.
        bytes: &'a [u8],
    },
    /// Time went on; call at least every tenth of a period.
    Tick,
    /// Ask the seeds to let it in, and keep asking with backoff until one answers.
    Join,
    /// It leaves: says so to others, and probes nobody after.
    Leave,
}

/// Why a member's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCause {
    /// Heard of for the first time.
    Joined,
    /// It answered no probe of ours, direct or indirect.
    ProbeMissed,
    /// Others said so.
    Gossip,
    /// It refuted with a higher incarnation.
    Refuted,
    /// Its suspicion ran out.
    SuspicionTimeout,
    /// It said that it leaves.
    Left,
    /// Dead or left for longer than kept; out of the table.
    Reaped,
}

impl ChangeCause {
    /// Its word in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeCause::Joined => "joined",
            ChangeCause::ProbeMissed => "probe missed",
            ChangeCause::Gossip => "gossip",
            ChangeCause::Refuted => "refuted",
            ChangeCause::SuspicionTimeout => "suspicion timed out",
            ChangeCause::Left => "left",
            ChangeCause::Reaped => "reaped",
        }
    }
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// The whole datagram, at most [`crate::wire::MAX_DATAGRAM_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// A member's state changed (`None`: out of the table).
    StateChanged {
        /// Whose.
        id: MemberId,
        /// Its new state; `None` once out of the table.
        to: Option<MemberState>,
        /// Its incarnation as known here.
        incarnation: u64,
        /// Why.
        cause: ChangeCause,
    },
    /// This member's own incarnation rose, to refute or to leave: the shell may keep it.
    IncarnationRaised(u64),
    /// Refusals since the last time told, once a period at most.
    InputRejected(RejectionReport),
}

/// One member as this one sees it.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// What it says of itself.
    pub member: Member,
    /// Its state here.
    pub state: MemberState,
    /// Its incarnation as known here.
    pub incarnation: u64,
    /// When it last changed state here, in module time.
    pub since: u64,
    pub(crate) suspicion: Option<Suspicion>,
    /// How long its acks take of late; 0 before the first.
    pub(crate) round_trip_ms: u64,
}

impl MemberEntry {
    /// State and incarnation as known here.
    pub fn record(&self) -> StateRecord {
        StateRecord {
            state: self.state,
            incarnation: self.incarnation,
        }
    }
}

/// The view at one moment, versioned: a reader compares versions instead of waiting.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Rises with every change.
    pub version: u64,
    /// This member's own incarnation.
    pub incarnation: u64,
    /// All members in the table, this one too, by id.
    pub members: Vec<(Member, MemberState, u64)>,
}

/// One member's view of the fleet and its part in keeping it.
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) rng: StdRng,
    pub(crate) table: BTreeMap<MemberId, MemberEntry>,
    pub(crate) tally: Tally,
    pub(crate) order: Vec<MemberId>,
    pub(crate) next_in_order: usize,
    pub(crate) probes: Vec<Probe>,
    /// Probes that failed; an ack that comes late tells how slow the member is.
    pub(crate) late: VecDeque<Probe>,
    pub(crate) round_trip_ms: u64,
    pub(crate) relays: Vec<Relay>,
    pub(crate) sequence: u32,
    pub(crate) spread: GossipQueue,
    pub(crate) local_health: u32,
    pub(crate) next_probe: u64,
    next_gossip: u64,
    next_push_pull: u64,
    next_reap: u64,
    fresh_until: u64,
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) joined: bool,
    pub(crate) join_at: Option<u64>,
    pub(crate) join_wait: u64,
    rate: HashMap<SocketAddrV4, u32>,
    rate_window: u64,
    replies: u32,
    pub(crate) rejected_input: RejectedInput,
    told: u64,
    pub(crate) last_sender: Option<SocketAddrV4>,
    next_tell: u64,
    pub(crate) version: u64,
    pub(crate) now: u64,
}

impl Membership {
    /// A member that knows only itself, at `incarnation` (which must never go back across restarts), with the
    /// addresses of seeds to join through and a seed for its random choices. Settings are checked by the caller.
    pub fn new(
        settings: Settings,
        me: Member,
        incarnation: u64,
        seeds: Vec<SocketAddrV4>,
        seed: u64,
    ) -> Membership {
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        let spread = GossipQueue::new(settings.max_pending);
        Membership {
            join_wait: settings.join_backoff_ms,
            settings,
            me,
            incarnation,
            leaving: false,
            rng: StdRng::seed_from_u64(seed),
            table: BTreeMap::new(),
            tally: Tally::default(),
            order: Vec::new(),
            next_in_order: 0,
            probes: Vec::new(),
            late: VecDeque::new(),
            round_trip_ms: 0,
            relays: Vec::new(),
            sequence: 0,
            spread,
            local_health: 0,
            next_probe: 0,
            next_gossip: 0,
            next_push_pull: 0,
            next_reap: 0,
            fresh_until: 0,
            seeds,
            joined: false,
            join_at: None,
            rate: HashMap::new(),
            rate_window: 0,
            replies: 0,
            rejected_input: RejectedInput::default(),
            told: 0,
            last_sender: None,
            next_tell: 0,
            version: 1,
            now: 0,
        }
    }

    /// Takes one event at module time `now` (milliseconds, monotonic) and appends what is to be done.
    pub fn handle(&mut self, now: u64, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Datagram { from, bytes } => self.receive(from, bytes, out),
            Event::Tick => self.tick(out),
            Event::Join => {
                self.join_at = Some(self.now);
                self.join_wait = self.settings.join_backoff_ms;
                self.fresh_until = self.now + FRESH_PERIODS * self.settings.period_ms;
                // Members started at one moment don't probe, gossip and exchange views in step.
                let now = self.now;
                let mut within = |span: u64| now + self.rng.random_range(0..span.max(1));
                self.next_probe = within(self.settings.period_ms);
                self.next_gossip = within(self.settings.gossip_ms);
                self.next_push_pull =
                    within(self.settings.push_pull_every_ms(1 + self.table.len()));
                self.tick(out);
            }
            Event::Leave => self.leave(out),
        }
    }

    /// Sets what this member says of its load; it goes out with its next datagrams.
    pub fn set_load(&mut self, load: Load) {
        self.me.load = load;
    }

    /// Sets what it says of its zone's decision. That is news, and is spread like other news.
    pub fn set_zone_vote(&mut self, vote: ZoneVote, out: &mut Vec<Action>) {
        let ZoneVote {
            decision_epoch,
            local_traffic_tenths,
            preferred_tenths,
        } = vote;
        if (
            self.me.decision_epoch,
            self.me.local_traffic_tenths,
            self.me.preferred_tenths,
        ) == (decision_epoch, local_traffic_tenths, preferred_tenths)
            || self.leaving
        {
            return;
        }
        (
            self.me.decision_epoch,
            self.me.local_traffic_tenths,
            self.me.preferred_tenths,
        ) = (decision_epoch, local_traffic_tenths, preferred_tenths);
        self.incarnation += 1;
        self.version += 1;
        out.push(Action::IncarnationRaised(self.incarnation));
        self.spread.push(self.me_update());
        self.gossip_now(out);
    }

    /// Takes in members that are known to be there, without news of them: where a fleet stands already.
    pub fn add_known_members(&mut self, members: impl IntoIterator<Item = (Member, u64)>) {
        for (member, incarnation) in members {
            let full = self.table.len() + 1 >= self.settings.max_members;
            if full || member.id == self.me.id || self.table.contains_key(&member.id) {
                continue;
            }
            let (state, since, suspicion) = (MemberState::Alive, self.now, None);
            self.table.insert(
                member.id.clone(),
                MemberEntry {
                    member,
                    state,
                    incarnation,
                    since,
                    suspicion,
                    round_trip_ms: 0,
                },
            );
            self.joined = true;
            self.version += 1;
        }
    }

    /// The view now.
    pub fn view(&self) -> View {
        let mut members = vec![(self.me.clone(), self.my_state(), self.incarnation)];
        members.extend(
            self.table
                .values()
                .map(|e| (e.member.clone(), e.state, e.incarnation)),
        );
        members.sort_by(|a, b| a.0.id.cmp(&b.0.id));
        View {
            version: self.version,
            incarnation: self.incarnation,
            members,
        }
    }

    /// The version of the view; it rises with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One member as seen here.
    pub fn entry(&self, id: &MemberId) -> Option<&MemberEntry> {
        self.table.get(id)
    }

    /// This member's own name.
    pub fn id(&self) -> &str {
        &self.me.id.0
    }

    /// This member's own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Lifeguard's local health score: 0 is healthy.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// What was dropped so far.
    pub fn rejected_input(&self) -> RejectedInput {
        let mut counts = self.rejected_input;
        counts.gossip_queue_full = self.spread.dropped;
        counts
    }

    /// Addresses counted in this second's table of datagrams a peer; at most twice `max_members`.
    pub fn counted_addresses(&self) -> usize {
        self.rate.len()
    }

    /// Updates waiting to be spread.
    pub fn pending(&self) -> usize {
        self.spread.len()
    }

    /// Whether a seed or another member has answered.
    pub fn joined(&self) -> bool {
        self.joined
    }

    pub(crate) fn my_state(&self) -> MemberState {
        if self.leaving {
            MemberState::Left
        } else {
            MemberState::Alive
        }
    }

    pub(crate) fn me_update(&self) -> Update {
        Update {
            state: self.my_state(),
            incarnation: self.incarnation,
            accuser: None,
            member: self.me.clone(),
        }
    }

    /// Members counted for SWIM's scaling: those live, this one too.
    pub(crate) fn live_count(&self) -> usize {
        1 + self.table.len() - self.tally.gone
    }

    pub(crate) fn scaled(&self, ms: u64) -> u64 {
        if self.settings.lifeguard {
            ms * (self.local_health as u64 + 1)
        } else {
            ms
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if now >= self.rate_window + 1_000 {
            self.rate.clear();
            self.rate_window = now;
            self.replies = 0;
        }
        self.expire_suspicions(out);
        self.reap(out);
        self.relay_nacks(out);
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip_ms;
            self.gossip(out);
        }
        if self.leaving {
            return;
        }
        self.probe_step(out);
        if now >= self.next_push_pull && self.joined {
            self.next_push_pull = now + self.settings.push_pull_every_ms(self.live_count());
            self.push_pull(out);
        }
        self.join_step(out);
        self.tell(out);
    }

    fn expire_suspicions(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let suspects = self
            .tally
            .suspects
            .iter()
            .filter_map(|id| self.table.get(id));
        let due: Vec<MemberId> = suspects
            .filter(|e| e.suspicion.as_ref().is_some_and(|s| s.deadline() <= now))
            .map(|e| e.member.id.clone())
            .collect();
        if self.settings.lifeguard {
            self.ask_last_words(out);
        }
        for id in due {
            let Some(dead) = self.table.get(&id).and_then(|e| e.record().expire()) else {
                continue;
            };
            self.set(
                &id,
                dead.state,
                dead.incarnation,
                ChangeCause::SuspicionTimeout,
                out,
            );
            if let Some(entry) = self.table.get(&id) {
                self.spread.push(Update {
                    state: MemberState::Dead,
                    incarnation: entry.incarnation,
                    accuser: Some(self.me.id.clone()),
                    member: entry.member.clone(),
                });
            }
        }
    }

    /// Who missed a refutation would take a live member for dead alone: it asks the suspect itself in time.
    fn ask_last_words(&mut self, out: &mut Vec<Action>) {
        let mut asked = Vec::new();
        for id in &self.tally.suspects {
            let Some(entry) = self.table.get_mut(id) else {
                continue;
            };
            if entry.suspicion.as_mut().is_some_and(|s| s.asks(self.now)) {
                asked.push(id.clone());
            }
        }
        for id in asked {
            if let Some((to, first)) = self
                .table
                .get(&id)
                .map(|e| (e.member.address, self.accusation(e)))
            {
                self.send_with(to, Body::Gossip, Some(first), out);
            }
        }
    }

    fn reap(&mut self, out: &mut Vec<Action>) {
        // Once a period is soon enough.
        if self.tally.gone == 0 || self.now < self.next_reap {
            return;
        }
        self.next_reap = self.now + self.settings.period_ms;
        let keep = self.settings.dead_keep_ms;
        let now = self.now;
        let gone: Vec<MemberId> = self
            .table
            .values()
            .filter(|e| !e.state.live() && now.saturating_sub(e.since) >= keep)
            .map(|e| e.member.id.clone())
            .collect();
        for id in gone {
            if let Some(entry) = self.table.remove(&id) {
                self.tally.remove(&id, entry.state);
                self.version += 1;
                out.push(Action::StateChanged {
                    id,
                    to: None,
                    incarnation: entry.incarnation,
                    cause: ChangeCause::Reaped,
                });
            }
        }
    }

    fn tell(&mut self, out: &mut Vec<Action>) {
        if self.now < self.next_tell {
            return;
        }
        self.next_tell = self.now + self.settings.period_ms.max(1_000);
        let counts = self.rejected_input();
        let total = counts.total();
        if total > self.told {
            out.push(Action::InputRejected(RejectionReport {
                counts,
                new: total - self.told,
                last_sender: self.last_sender,
            }));
            self.told = total;
        }
    }

    pub(crate) fn receive(&mut self, from: SocketAddrV4, bytes: &[u8], out: &mut Vec<Action>) {
        // A new address is counted only while the table has room: spoofed sources can't grow it.
        let seen = self.rate.get(&from).copied();
        let full = seen.is_none() && self.rate.len() >= self.settings.max_members * 2;
        if full || seen.is_some_and(|n| n >= self.settings.per_peer_per_second) {
            self.rejected_input.rate += 1;
            self.last_sender = Some(from);
            return;
        }
        *self.rate.entry(from).or_insert(0) += 1;
        let envelope = match wire::decode(bytes) {
            Ok(envelope) => envelope,
            Err(refusal) => {
                match refusal {
                    wire::DecodeError::Oversized => self.rejected_input.oversized += 1,
                    wire::DecodeError::Garbage => self.rejected_input.garbage += 1,
                    wire::DecodeError::Version => self.rejected_input.version += 1,
                }
                self.last_sender = Some(from);
                return;
            }
        };
        if let Body::ViewRequest(ask) = &envelope.body {
            self.answer(from, ask, bytes.len(), out);
            return;
        }
        if envelope.from == self.me.id {
            self.rejected_input.conflict += 1;
            self.last_sender = Some(from);
            return;
        }
        if !matches!(envelope.body, Body::Nack { .. } | Body::ViewResponse(_)) {
            self.joined = true;
        }
        // What a newcomer is told of the fleet, the fleet knows: it does not tell it on.
        let known_there =
            matches!(envelope.body, Body::PushPull { .. }) && self.now < self.fresh_until;
        let mut of_me = false;
        for update in &envelope.updates {
            // One word about this member a datagram: each may be answered, and a datagram must not buy many.
            if update.member.id == self.me.id && std::mem::replace(&mut of_me, true) {
                continue;
            }
            let news = !known_there || update.member.id == envelope.from;
            self.apply(update, &envelope.from, from, news, out);
        }
        if self.leaving {
            return;
        }
        match envelope.body {
            Body::Ping { sequence, target } => {
                if target == self.me.id {
                    self.send(from, Body::Ack { sequence }, true, out);
                }
            }
            Body::PingReq {
                sequence,
                target,
                address,
            } => self.relay(from, sequence, target, address, out),
            Body::Ack { sequence } => self.acked(sequence, from, out),
            Body::Nack { sequence } => {
                if let Some(probe) = self.probes.iter_mut().find(|p| p.sequence == sequence) {
                    probe.nacks += 1;
                }
            }
            Body::PushPull { reply } => {
                if reply && self.replies < REPLIES_A_PERIOD * 2 {
                    self.replies += 1;
                    self.send_view(from, false, out);
                }
            }
            Body::Gossip | Body::ViewRequest(_) | Body::ViewResponse(_) => {}
        }
    }
}
