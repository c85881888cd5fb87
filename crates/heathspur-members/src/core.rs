//! The member's state machine: what it holds, and how events turn into actions.

use crate::member::{Id, Load, Member, State};
use crate::refusals::{Refusals, Told};
use crate::settings::Settings;
use crate::spread::Spread;
use crate::suspicion::Suspicion;
use crate::wire::{self, Body, Envelope, Update};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// Indirect probes relayed for others at once; past it, a request is not relayed (the asker sees no nack).
const RELAYS: usize = 64;
/// Pushes of the whole view answered in one period; past it, a push is merged but not answered.
const REPLIES_A_PERIOD: u32 = 4;

/// What happens to a member.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram came from `from`.
    Datagram {
        /// The address it came from.
        from: SocketAddrV4,
        /// Its bytes, at most [`crate::wire::LARGEST`] taken.
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
pub enum Cause {
    /// Heard of for the first time.
    Joined,
    /// It answered no probe of ours, direct or indirect.
    ProbeMissed,
    /// Others said so.
    Heard,
    /// It refuted with a higher incarnation.
    Refuted,
    /// Its suspicion ran out.
    SuspicionTimeout,
    /// It said that it leaves.
    Left,
    /// Dead or left for longer than kept; out of the table.
    Reaped,
}

impl Cause {
    /// Its word in logs.
    pub fn word(self) -> &'static str {
        match self {
            Cause::Joined => "joined",
            Cause::ProbeMissed => "probe missed",
            Cause::Heard => "heard",
            Cause::Refuted => "refuted",
            Cause::SuspicionTimeout => "suspicion timed out",
            Cause::Left => "left",
            Cause::Reaped => "reaped",
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
        /// The whole datagram, at most [`crate::wire::LARGEST`] bytes.
        bytes: Vec<u8>,
    },
    /// A member's state changed (`None`: out of the table).
    Changed {
        /// Whose.
        id: Id,
        /// Its new state; `None` once out of the table.
        to: Option<State>,
        /// Its incarnation as known here.
        incarnation: u64,
        /// Why.
        cause: Cause,
    },
    /// This member's own incarnation rose, to refute or to leave: the shell may keep it.
    Incarnation(u64),
    /// Refusals since the last time told, once a period at most.
    Refused(Told),
}

/// One member as this one sees it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it says of itself.
    pub member: Member,
    /// Its state here.
    pub state: State,
    /// Its incarnation as known here.
    pub incarnation: u64,
    /// When it last changed state here, in module time.
    pub since: u64,
    pub(crate) suspicion: Option<Suspicion>,
}

/// The view at one moment, versioned: a reader compares versions instead of waiting.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Rises with every change.
    pub version: u64,
    /// This member's own incarnation.
    pub incarnation: u64,
    /// All members in the table, this one too, by id.
    pub members: Vec<(Member, State, u64)>,
}

pub(crate) struct Probe {
    pub(crate) target: Id,
    pub(crate) seq: u32,
    pub(crate) started: u64,
    pub(crate) indirect_sent: bool,
    pub(crate) acked: bool,
    pub(crate) nacks_expected: u32,
    pub(crate) nacks: u32,
}

pub(crate) struct Relay {
    pub(crate) seq: u32,
    pub(crate) asker: SocketAddrV4,
    pub(crate) asker_seq: u32,
    pub(crate) nack_at: u64,
}

/// One member's view of the fleet and its part in keeping it.
pub struct Members {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) rng: StdRng,
    pub(crate) table: BTreeMap<Id, Entry>,
    order: Vec<Id>,
    next_in_order: usize,
    pub(crate) probe: Option<Probe>,
    pub(crate) relays: Vec<Relay>,
    seq: u32,
    pub(crate) spread: Spread,
    pub(crate) awareness: u32,
    next_probe: u64,
    next_gossip: u64,
    next_push_pull: u64,
    seeds: Vec<SocketAddrV4>,
    joined: bool,
    join_at: Option<u64>,
    join_wait: u64,
    rate: HashMap<SocketAddrV4, u32>,
    rate_window: u64,
    replies: u32,
    pub(crate) refusals: Refusals,
    told: u64,
    pub(crate) last_sender: Option<SocketAddrV4>,
    next_tell: u64,
    pub(crate) version: u64,
    pub(crate) now: u64,
}

impl Members {
    /// A member that knows only itself, at `incarnation` (which must never go back across restarts), with the
    /// addresses of seeds to join through and a seed for its random choices. Settings are checked by the caller.
    pub fn new(
        settings: Settings,
        me: Member,
        incarnation: u64,
        seeds: Vec<SocketAddrV4>,
        seed: u64,
    ) -> Members {
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        let spread = Spread::new(settings.max_pending);
        Members {
            join_wait: settings.join_backoff_ms,
            settings,
            me,
            incarnation,
            leaving: false,
            rng: StdRng::seed_from_u64(seed),
            table: BTreeMap::new(),
            order: Vec::new(),
            next_in_order: 0,
            probe: None,
            relays: Vec::new(),
            seq: 0,
            spread,
            awareness: 0,
            next_probe: 0,
            next_gossip: 0,
            next_push_pull: 0,
            seeds,
            joined: false,
            join_at: None,
            rate: HashMap::new(),
            rate_window: 0,
            replies: 0,
            refusals: Refusals::default(),
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
                self.tick(out);
            }
            Event::Leave => self.leave(out),
        }
    }

    /// Sets what this member says of its load and state epoch; it goes out with its next datagrams.
    pub fn set_load(&mut self, load: Load, epoch: u64) {
        if self.me.load != load || self.me.epoch != epoch {
            self.me.load = load;
            self.me.epoch = epoch;
        }
    }

    /// The view now.
    pub fn view(&self) -> View {
        let mut members = vec![(self.me.clone(), self.my_state(), self.incarnation)];
        members.extend(self.table.values().map(|e| (e.member.clone(), e.state, e.incarnation)));
        members.sort_by(|a, b| a.0.id.cmp(&b.0.id));
        View { version: self.version, incarnation: self.incarnation, members }
    }

    /// The version of the view; it rises with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One member as seen here.
    pub fn entry(&self, id: &Id) -> Option<&Entry> {
        self.table.get(id)
    }

    /// This member's own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Lifeguard's local health score: 0 is healthy.
    pub fn awareness(&self) -> u32 {
        self.awareness
    }

    /// What was dropped so far.
    pub fn refusals(&self) -> Refusals {
        let mut counts = self.refusals;
        counts.spread_full = self.spread.dropped;
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

    pub(crate) fn my_state(&self) -> State {
        if self.leaving {
            State::Left
        } else {
            State::Alive
        }
    }

    pub(crate) fn me_update(&self) -> Update {
        Update { state: self.my_state(), incarnation: self.incarnation, member: self.me.clone() }
    }

    /// Members counted for SWIM's scaling: those live, this one too.
    pub(crate) fn live_count(&self) -> usize {
        1 + self.table.values().filter(|e| e.state.live()).count()
    }

    fn scaled(&self, ms: u64) -> u64 {
        if self.settings.lifeguard {
            ms * (self.awareness as u64 + 1)
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
        if self.leaving {
            return;
        }
        self.probe_step(out);
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip_ms;
            self.gossip(out);
        }
        if now >= self.next_push_pull && self.joined {
            self.next_push_pull = now + self.settings.push_pull_every_ms(self.live_count());
            self.push_pull(out);
        }
        self.join_step(out);
        self.tell(out);
    }

    fn expire_suspicions(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due: Vec<Id> = self
            .table
            .values()
            .filter(|e| {
                e.state == State::Suspect && e.suspicion.as_ref().is_some_and(|s| s.deadline() <= now)
            })
            .map(|e| e.member.id.clone())
            .collect();
        for id in due {
            self.set_state(&id, State::Dead, Cause::SuspicionTimeout, out);
            if let Some(entry) = self.table.get(&id) {
                self.spread.push(Update {
                    state: State::Dead,
                    incarnation: entry.incarnation,
                    member: entry.member.clone(),
                });
            }
        }
    }

    fn reap(&mut self, out: &mut Vec<Action>) {
        let keep = self.settings.dead_keep_ms;
        let now = self.now;
        let gone: Vec<Id> = self
            .table
            .values()
            .filter(|e| !e.state.live() && now.saturating_sub(e.since) >= keep)
            .map(|e| e.member.id.clone())
            .collect();
        for id in gone {
            if let Some(entry) = self.table.remove(&id) {
                self.version += 1;
                out.push(Action::Changed {
                    id,
                    to: None,
                    incarnation: entry.incarnation,
                    cause: Cause::Reaped,
                });
            }
        }
    }

    fn relay_nacks(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let (due, kept): (Vec<Relay>, Vec<Relay>) = self.relays.drain(..).partition(|r| r.nack_at <= now);
        self.relays = kept;
        for relay in due {
            if self.settings.lifeguard {
                self.send(relay.asker, Body::Nack { seq: relay.asker_seq }, false, out);
            }
        }
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn probe_step(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let timeout = self.scaled(self.settings.probe_timeout_ms);
        if let Some(probe) = &self.probe {
            if !probe.acked && !probe.indirect_sent && now >= probe.started + timeout {
                self.indirect_probe(out);
            }
        }
        if now < self.next_probe {
            return;
        }
        if let Some(probe) = self.probe.take() {
            self.probe_ended(probe, out);
        }
        self.next_probe = now + self.scaled(self.settings.period_ms);
        let Some(target) = self.next_target() else { return };
        let seq = self.next_seq();
        let address = self.table[&target].member.address;
        self.probe = Some(Probe {
            target: target.clone(),
            seq,
            started: now,
            indirect_sent: false,
            acked: false,
            nacks_expected: 0,
            nacks: 0,
        });
        // Lifeguard's buddy system: a suspect hears first that it is suspected, and can refute at once.
        let tell = self.settings.lifeguard && self.table[&target].state == State::Suspect;
        let first = tell.then(|| {
            let e = &self.table[&target];
            Update { state: State::Suspect, incarnation: e.incarnation, member: e.member.clone() }
        });
        self.send_with(address, Body::Ping { seq, target }, first, out);
    }

    fn probe_ended(&mut self, probe: Probe, out: &mut Vec<Action>) {
        if probe.acked {
            self.awareness = self.awareness.saturating_sub(1);
            return;
        }
        if self.settings.lifeguard {
            // Missing nacks say that the fault may be ours: our own accusations slow down.
            let missing = probe.nacks_expected.saturating_sub(probe.nacks);
            let delta = if probe.nacks_expected == 0 { 1 } else { missing };
            self.awareness = (self.awareness + delta).min(self.settings.awareness_max);
        }
        let me = self.me.id.clone();
        self.suspect(&probe.target, self.incarnation_of(&probe.target), me, Cause::ProbeMissed, out);
    }

    fn incarnation_of(&self, id: &Id) -> u64 {
        self.table.get(id).map_or(0, |e| e.incarnation)
    }

    fn indirect_probe(&mut self, out: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_sent = true;
        let (seq, target) = (probe.seq, probe.target.clone());
        let Some(address) = self.table.get(&target).map(|e| e.member.address) else { return };
        let mut helpers: Vec<SocketAddrV4> = self
            .table
            .values()
            .filter(|e| e.state == State::Alive && e.member.id != target)
            .map(|e| e.member.address)
            .collect();
        helpers.shuffle(&mut self.rng);
        helpers.truncate(self.settings.indirect);
        if let Some(probe) = &mut self.probe {
            probe.nacks_expected = helpers.len() as u32;
        }
        for helper in helpers {
            self.send(helper, Body::PingReq { seq, target: target.clone(), address }, false, out);
        }
    }

    /// SWIM's round robin: every live member once in a shuffled order, then a new order.
    fn next_target(&mut self) -> Option<Id> {
        for _ in 0..2 {
            while self.next_in_order < self.order.len() {
                let id = self.order[self.next_in_order].clone();
                self.next_in_order += 1;
                if self.table.get(&id).is_some_and(|e| e.state.live()) {
                    return Some(id);
                }
            }
            self.order =
                self.table.values().filter(|e| e.state.live()).map(|e| e.member.id.clone()).collect();
            self.order.shuffle(&mut self.rng);
            self.next_in_order = 0;
        }
        None
    }

    fn gossip(&mut self, out: &mut Vec<Action>) {
        if self.spread.is_empty() {
            return;
        }
        self.gossip_now(out);
    }

    pub(crate) fn gossip_now(&mut self, out: &mut Vec<Action>) {
        let mut targets: Vec<SocketAddrV4> =
            self.table.values().filter(|e| e.state.live()).map(|e| e.member.address).collect();
        targets.shuffle(&mut self.rng);
        targets.truncate(self.settings.fanout);
        for to in targets {
            self.send(to, Body::Gossip, false, out);
        }
    }

    fn push_pull(&mut self, out: &mut Vec<Action>) {
        let live: Vec<SocketAddrV4> =
            self.table.values().filter(|e| e.state.live()).map(|e| e.member.address).collect();
        let dead: Vec<SocketAddrV4> =
            self.table.values().filter(|e| e.state == State::Dead).map(|e| e.member.address).collect();
        // Now and then a dead one: after a partition heals, that is how the halves find each other again.
        let pool = if !dead.is_empty() && (live.is_empty() || self.rng.random_range(0..3) == 0) {
            dead
        } else {
            live
        };
        if let Some(&to) = pool.get(self.rng.random_range(0..pool.len().max(1))) {
            self.send_view(to, true, out);
        }
    }

    fn join_step(&mut self, out: &mut Vec<Action>) {
        let Some(at) = self.join_at else { return };
        if self.joined || self.now < at {
            return;
        }
        for seed in self.seeds.clone() {
            self.send_view(seed, true, out);
        }
        let jitter = self.rng.random_range(0..=self.join_wait / 2);
        self.join_at = Some(self.now + self.join_wait + jitter);
        self.join_wait = (self.join_wait * 2).min(self.settings.join_backoff_max_ms);
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.incarnation += 1;
        self.version += 1;
        out.push(Action::Incarnation(self.incarnation));
        self.probe = None;
        self.spread.push(self.me_update());
        let mut targets: Vec<SocketAddrV4> =
            self.table.values().filter(|e| e.state.live()).map(|e| e.member.address).collect();
        targets.shuffle(&mut self.rng);
        targets.truncate(self.settings.fanout * 2);
        for to in targets {
            self.send(to, Body::Gossip, true, out);
        }
    }

    fn tell(&mut self, out: &mut Vec<Action>) {
        if self.now < self.next_tell {
            return;
        }
        self.next_tell = self.now + self.settings.period_ms.max(1_000);
        let counts = self.refusals();
        let total = counts.total();
        if total > self.told {
            out.push(Action::Refused(Told { counts, new: total - self.told, last_sender: self.last_sender }));
            self.told = total;
        }
    }

    /// Sends the whole view in parts under the largest datagram; only the first part asks for a reply.
    pub(crate) fn send_view(&mut self, to: SocketAddrV4, reply: bool, out: &mut Vec<Action>) {
        let mut updates: Vec<Update> = vec![self.me_update()];
        updates.extend(self.table.values().map(|e| Update {
            state: e.state,
            incarnation: e.incarnation,
            member: e.member.clone(),
        }));
        let mut part =
            Envelope { from: self.me.id.clone(), body: Body::PushPull { reply }, updates: Vec::new() };
        let mut len = wire::encoded_len(&part);
        for update in updates {
            let more = wire::update_len(&update);
            if len + more + 2 > wire::LARGEST && !part.updates.is_empty() {
                self.emit(to, &part, out);
                part.body = Body::PushPull { reply: false };
                part.updates.clear();
                len = wire::encoded_len(&part);
            }
            len += more;
            part.updates.push(update);
        }
        self.emit(to, &part, out);
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, body: Body, with_me: bool, out: &mut Vec<Action>) {
        let first = with_me.then(|| self.me_update());
        self.send_with(to, body, first, out);
    }

    /// Sends `body` with `first` and as many pending updates as fit; this member's own news leads, since
    /// its load travels that way.
    fn send_with(&mut self, to: SocketAddrV4, body: Body, first: Option<Update>, out: &mut Vec<Action>) {
        let mut envelope = Envelope { from: self.me.id.clone(), body, updates: Vec::new() };
        let first = first.unwrap_or_else(|| self.me_update());
        let skip = first.member.id.clone();
        envelope.updates.push(first);
        let room = wire::LARGEST.saturating_sub(wire::encoded_len(&envelope) + 4);
        let limit = self.settings.retransmits(self.live_count());
        envelope.updates.extend(self.spread.take(room, limit, Some(&skip)));
        self.emit(to, &envelope, out);
    }

    fn emit(&mut self, to: SocketAddrV4, envelope: &Envelope, out: &mut Vec<Action>) {
        match wire::encode(envelope) {
            Some(bytes) => out.push(Action::Send { to, bytes }),
            None => self.refusals.unsent += 1,
        }
    }

    pub(crate) fn receive(&mut self, from: SocketAddrV4, bytes: &[u8], out: &mut Vec<Action>) {
        // A new address is counted only while the table has room: spoofed sources can't grow it.
        let seen = self.rate.get(&from).copied();
        let full = seen.is_none() && self.rate.len() >= self.settings.max_members * 2;
        if full || seen.is_some_and(|n| n >= self.settings.per_peer_per_second) {
            self.refusals.rate += 1;
            self.last_sender = Some(from);
            return;
        }
        *self.rate.entry(from).or_insert(0) += 1;
        let envelope = match wire::decode(bytes) {
            Ok(envelope) => envelope,
            Err(refusal) => {
                match refusal {
                    wire::Refusal::Oversized => self.refusals.oversized += 1,
                    wire::Refusal::Garbage => self.refusals.garbage += 1,
                    wire::Refusal::Version => self.refusals.version += 1,
                }
                self.last_sender = Some(from);
                return;
            }
        };
        if envelope.from == self.me.id {
            self.refusals.conflict += 1;
            self.last_sender = Some(from);
            return;
        }
        if !matches!(envelope.body, Body::Nack { .. }) {
            self.joined = true;
        }
        for update in &envelope.updates {
            self.apply(update, &envelope.from, from, out);
        }
        if self.leaving {
            return;
        }
        match envelope.body {
            Body::Ping { seq, target } => {
                if target == self.me.id {
                    self.send(from, Body::Ack { seq }, true, out);
                }
            }
            Body::PingReq { seq, target, address } => self.relay(from, seq, target, address, out),
            Body::Ack { seq } => self.acked(seq, out),
            Body::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Body::PushPull { reply } => {
                if reply && self.replies < REPLIES_A_PERIOD * 2 {
                    self.replies += 1;
                    self.send_view(from, false, out);
                }
            }
            Body::Gossip => {}
        }
    }

    fn relay(
        &mut self,
        asker: SocketAddrV4,
        asker_seq: u32,
        target: Id,
        address: SocketAddrV4,
        out: &mut Vec<Action>,
    ) {
        if self.relays.len() >= RELAYS {
            return;
        }
        let seq = self.next_seq();
        let nack_at = self.now + self.settings.probe_timeout_ms * 4 / 5;
        self.relays.push(Relay { seq, asker, asker_seq, nack_at });
        self.send(address, Body::Ping { seq, target }, true, out);
    }

    fn acked(&mut self, seq: u32, out: &mut Vec<Action>) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
            probe.acked = true;
            return;
        }
        if let Some(i) = self.relays.iter().position(|r| r.seq == seq) {
            let relay = self.relays.swap_remove(i);
            self.send(relay.asker, Body::Ack { seq: relay.asker_seq }, true, out);
        }
    }
}
