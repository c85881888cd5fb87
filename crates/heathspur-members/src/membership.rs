//! The member's state machine: composes its parts and turns events into actions.

use crate::anti_entropy::{self, AntiEntropy};
use crate::event::{Action, ChangeCause, Event};
use crate::failure_detector::{AckedProbe, FailureDetector, IndirectProbe, Requester};
use crate::gossip_queue::GossipQueue;
use crate::input_limits::InputLimits;
use crate::join::Join;
use crate::local_member::LocalMember;
use crate::member::{Load, Member, MemberId, MemberState, ZoneVote};
use crate::member_table::{MemberEntry, MemberTable};
use crate::rejected_input::{RejectedInput, RejectionReason};
use crate::settings::Settings;
use crate::state_record::{refuting_incarnation, StateRecord, UpdateEffect};
use crate::suspicion::{Suspicion, SuspicionTimeout};
use crate::view::{self, View, ViewResponder};
use crate::wire::{self, Body, DecodeError, Envelope, Update};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddrV4;

/// An incarnation further ahead of the known one is rejected. A restarted member takes its incarnation from the wall
/// clock's milliseconds, so it is ahead by as long as the member ran: this is four years.
const MAX_INCARNATION_LEAD: u64 = 1 << 37;
/// No incarnation above this is accepted, so that a refutation can always exceed it.
const MAX_INCARNATION: u64 = 1 << 48;
/// A leaving member announces that to this many times the gossip fanout.
const LEAVE_FANOUT_FACTOR: usize = 2;
/// Bytes reserved for the growth of the length prefix when updates are added to a datagram.
const UPDATES_LENGTH_RESERVE_BYTES: usize = 4;

/// The origin of an update.
struct UpdateSource<'a> {
    sender: &'a MemberId,
    address: SocketAddrV4,
    /// Whether a newcomer in the update is to be gossiped further.
    gossip_newcomers: bool,
}

/// One member's view of the fleet and its part in maintaining it.
pub struct Membership {
    settings: Settings,
    /// Monotonic time of the last event, in milliseconds.
    now: u64,
    rng: StdRng,
    local: LocalMember,
    table: MemberTable,
    detector: FailureDetector,
    gossip: GossipQueue,
    next_gossip_at: u64,
    anti_entropy: AntiEntropy,
    join: Join,
    limits: InputLimits,
    next_reap_at: u64,
}

impl Membership {
    /// A member that knows only itself, at `incarnation`, which must never go back across restarts. `random_seed`
    /// determines its random choices. The caller has checked the settings.
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
            table: MemberTable::new(),
            detector: FailureDetector::new(),
            gossip: GossipQueue::new(settings.max_pending),
            next_gossip_at: 0,
            anti_entropy: AntiEntropy::default(),
            join: Join::new(seeds.collect(), &settings),
            limits: InputLimits::default(),
            next_reap_at: 0,
            settings,
        }
    }

    /// Handles one event at monotonic time `now`, in milliseconds, and appends the actions that follow.
    pub fn handle(&mut self, now: u64, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Datagram { from, bytes } => self.on_datagram(from, bytes, out),
            Event::Tick => self.on_tick(out),
            Event::Join => self.on_join(out),
            Event::Leave => self.on_leave(out),
        }
    }

    /// Sets the load that this member publishes with its next datagrams.
    pub fn set_load(&mut self, load: Load) {
        self.local.set_load(load);
    }

    /// Sets the vote that this member publishes on its zone's decision; a new vote is gossiped at once.
    pub fn set_zone_vote(&mut self, vote: ZoneVote, out: &mut Vec<Action>) {
        if self.local.set_zone_vote(vote) {
            self.announce_incarnation(out);
            self.gossip_to_random_members(out);
        }
    }

    /// Adds members that are known to be alive without gossip of them, as in a fleet that stands already.
    pub fn add_known_members(&mut self, members: impl IntoIterator<Item = (Member, u64)>) {
        for (member, incarnation) in members {
            let known = member.id == *self.local.id() || self.table.get(&member.id).is_some();
            if known || self.table_is_full() {
                continue;
            }
            self.table.insert(member, incarnation, self.now);
            self.join.mark_joined();
        }
    }

    /// The current view.
    pub fn view(&self) -> View {
        view::snapshot(&self.local, &self.table)
    }

    /// The version of the view, which rises with every change.
    pub fn version(&self) -> u64 {
        view::view_version(&self.local, &self.table)
    }

    /// One other member as known here.
    pub fn entry(&self, id: &MemberId) -> Option<&MemberEntry> {
        self.table.get(id)
    }

    /// This member's own id.
    pub fn id(&self) -> &str {
        &self.local.id().0
    }

    /// This member's own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.local.incarnation()
    }

    /// Lifeguard's local health multiplier less one: 0 is healthy.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health()
    }

    /// Everything rejected since the start.
    pub fn rejected_input(&self) -> RejectedInput {
        self.limits.rejected(self.gossip.evicted())
    }

    /// Source addresses counted for the rate limit; at most twice `max_members`.
    pub fn counted_addresses(&self) -> usize {
        self.limits.counted_sources()
    }

    /// Updates queued for gossip.
    pub fn pending(&self) -> usize {
        self.gossip.len()
    }

    /// Whether a seed or another member has answered.
    pub fn joined(&self) -> bool {
        self.join.joined()
    }

    fn on_join(&mut self, out: &mut Vec<Action>) {
        self.join.start(self.now, &self.settings);
        // Members started together don't probe, gossip and exchange views in step.
        let first_probe = self.random_time_within(self.settings.period_ms);
        self.detector.start_at(first_probe);
        self.next_gossip_at = self.random_time_within(self.settings.gossip_ms);
        let push_pull_interval = self.settings.push_pull_every_ms(1 + self.table.len());
        let first_push_pull = self.random_time_within(push_pull_interval);
        self.anti_entropy.start_at(first_push_pull);
        self.on_tick(out);
    }

    fn random_time_within(&mut self, span_ms: u64) -> u64 {
        self.now + self.rng.random_range(0..span_ms.max(1))
    }

    fn on_leave(&mut self, out: &mut Vec<Action>) {
        if !self.local.leave() {
            return;
        }
        self.detector.stop();
        self.announce_incarnation(out);
        for to in self.random_live_addresses(self.settings.fanout * LEAVE_FANOUT_FACTOR) {
            self.send(to, Body::Gossip, out);
        }
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        self.limits.advance_window(self.now);
        self.expire_suspicions(out);
        self.reap(out);
        self.send_due_nacks(out);
        self.gossip_if_due(out);
        if self.local.is_leaving() {
            return;
        }
        self.advance_probes(out);
        self.push_pull_if_due(out);
        self.join_if_due(out);
        self.report_rejected_input(out);
    }

    fn expire_suspicions(&mut self, out: &mut Vec<Action>) {
        let expired = self.table.expired_suspects(self.now);
        if self.settings.lifeguard {
            self.query_suspects(out);
        }
        for id in expired {
            let Some(dead) = self.table.get(&id).and_then(|e| e.record().expire()) else {
                continue;
            };
            self.set_record(&id, dead, ChangeCause::SuspicionTimeout, out);
            self.gossip_accusation(&id, MemberState::Dead, self.local.id().clone());
        }
    }

    /// Sends suspects the accusation shortly before they time out: this member may have missed their refutation.
    fn query_suspects(&mut self, out: &mut Vec<Action>) {
        for id in self.table.take_suspects_to_query(self.now) {
            self.send_accusation(&id, Body::Gossip, out);
        }
    }

    fn reap(&mut self, out: &mut Vec<Action>) {
        if !self.table.has_departed() || self.now < self.next_reap_at {
            return;
        }
        self.next_reap_at = self.now + self.settings.period_ms;
        for entry in self.table.reap(self.now, self.settings.dead_keep_ms) {
            out.push(Action::StateChanged {
                id: entry.member.id,
                to: None,
                incarnation: entry.incarnation,
                cause: ChangeCause::Reaped,
            });
        }
    }

    fn send_due_nacks(&mut self, out: &mut Vec<Action>) {
        for requester in self.detector.take_unanswered_relays(self.now) {
            if self.settings.lifeguard {
                let sequence = requester.sequence;
                self.send(requester.address, Body::Nack { sequence }, out);
            }
        }
    }

    fn gossip_if_due(&mut self, out: &mut Vec<Action>) {
        if self.now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = self.now + self.settings.gossip_ms;
        if !self.gossip.is_empty() {
            self.gossip_to_random_members(out);
        }
    }

    fn push_pull_if_due(&mut self, out: &mut Vec<Action>) {
        let live_members = self.live_members();
        let due = self.join.joined()
            && self
                .anti_entropy
                .take_due(self.now, live_members, &self.settings);
        if !due {
            return;
        }
        let peer = anti_entropy::choose_peer(&self.table, self.join.seeds(), &mut self.rng);
        if let Some(peer) = peer {
            self.send_push_pull(peer, true, out);
        }
    }

    fn join_if_due(&mut self, out: &mut Vec<Action>) {
        let seeds = self
            .join
            .take_due_seeds(self.now, &self.settings, &mut self.rng);
        for seed in seeds {
            self.send_push_pull(seed, true, out);
        }
    }

    fn report_rejected_input(&mut self, out: &mut Vec<Action>) {
        let evicted = self.gossip.evicted();
        let report = self.limits.take_report(self.now, &self.settings, evicted);
        out.extend(report.map(Action::InputRejected));
    }

    fn advance_probes(&mut self, out: &mut Vec<Action>) {
        let indirect = self.detector.take_due_indirect_probes(
            self.now,
            &self.table,
            &self.settings,
            &mut self.rng,
        );
        for probe in indirect {
            self.send_indirect_probe(probe, out);
        }
        for target in self.detector.take_failed_targets(self.now, &self.settings) {
            self.on_probe_failed(&target, out);
        }
        let direct =
            self.detector
                .take_due_probe(self.now, &self.table, &self.settings, &mut self.rng);
        let Some(probe) = direct else { return };
        let ping = Body::Ping {
            sequence: probe.sequence,
            target: probe.target.clone(),
        };
        if self.settings.lifeguard && probe.suspected {
            // Lifeguard's buddy system: the probe tells a suspect of its suspicion, so that it can refute at once.
            self.send_accusation(&probe.target, ping, out);
        } else {
            self.send(probe.address, ping, out);
        }
    }

    fn send_indirect_probe(&mut self, probe: IndirectProbe, out: &mut Vec<Action>) {
        let IndirectProbe {
            sequence,
            target,
            address,
            helpers,
        } = probe;
        if self.settings.lifeguard {
            // The first ping or its ack may just have been lost.
            let ping = Body::Ping {
                sequence,
                target: target.clone(),
            };
            self.send(address, ping, out);
        }
        for helper in helpers {
            let request = Body::PingReq {
                sequence,
                target: target.clone(),
                address,
            };
            self.send(helper, request, out);
        }
    }

    fn on_probe_failed(&mut self, target: &MemberId, out: &mut Vec<Action>) {
        let Some(known) = self.table.get(target).map(MemberEntry::record) else {
            return;
        };
        let accuser = self.local.id().clone();
        let cause = ChangeCause::ProbeMissed;
        self.suspect(target, known.incarnation, accuser, cause, out);
        if known.state == MemberState::Alive && self.settings.lifeguard {
            // Sent now and not with the next probe, so that the suspect has all of its time to refute.
            self.send_accusation(target, Body::Gossip, out);
        }
    }

    fn on_datagram(&mut self, from: SocketAddrV4, bytes: &[u8], out: &mut Vec<Action>) {
        if !self.limits.admit(from, &self.settings) {
            return;
        }
        let envelope = match wire::decode(bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                self.limits.reject(rejection_reason(error), from);
                return;
            }
        };
        if let Body::ViewRequest(request) = &envelope.body {
            self.on_view_request(from, request, bytes.len(), out);
            return;
        }
        if envelope.from == *self.local.id() {
            self.limits.reject(RejectionReason::IdConflict, from);
            return;
        }
        if !matches!(envelope.body, Body::Nack { .. } | Body::ViewResponse(_)) {
            self.join.mark_joined();
        }
        self.apply_updates(&envelope, from, out);
        if !self.local.is_leaving() {
            self.on_message(from, envelope.body, out);
        }
    }

    fn apply_updates(&mut self, envelope: &Envelope, from: SocketAddrV4, out: &mut Vec<Action>) {
        // A newcomer learns by push-pull what the fleet knows already, and does not gossip it again.
        let known_by_fleet =
            matches!(envelope.body, Body::PushPull { .. }) && self.join.is_newcomer(self.now);
        let mut local_update_seen = false;
        for update in &envelope.updates {
            let about_local = update.member.id == *self.local.id();
            // An update about the local member may be answered; one datagram must not cause many answers.
            if about_local && std::mem::replace(&mut local_update_seen, true) {
                continue;
            }
            let source = UpdateSource {
                sender: &envelope.from,
                address: from,
                gossip_newcomers: !known_by_fleet || update.member.id == envelope.from,
            };
            self.apply_update(update, &source, out);
        }
    }

    fn on_message(&mut self, from: SocketAddrV4, message: Body, out: &mut Vec<Action>) {
        match message {
            Body::Ping { sequence, target } => {
                if target == *self.local.id() {
                    self.send(from, Body::Ack { sequence }, out);
                }
            }
            Body::PingReq {
                sequence,
                target,
                address,
            } => {
                let requester = Requester {
                    address: from,
                    sequence,
                };
                self.relay_probe(requester, target, address, out);
            }
            Body::Ack { sequence } => self.on_ack(sequence, from, out),
            Body::Nack { sequence } => self.detector.on_nack(sequence),
            Body::PushPull { reply } => {
                if reply && self.limits.admit_push_pull_reply() {
                    self.send_push_pull(from, false, out);
                }
            }
            Body::Gossip | Body::ViewRequest(_) | Body::ViewResponse(_) => {}
        }
    }

    fn on_view_request(
        &mut self,
        from: SocketAddrV4,
        request: &wire::ViewRequest,
        request_len: usize,
        out: &mut Vec<Action>,
    ) {
        let responder = ViewResponder {
            local: &self.local,
            table: &self.table,
            now: self.now,
            local_health: self.detector.local_health(),
            rejected: self.rejected_input().total(),
        };
        if let Some(response) = responder.respond(request, request_len) {
            self.emit(from, &response, out);
        }
    }

    fn relay_probe(
        &mut self,
        requester: Requester,
        target: MemberId,
        address: SocketAddrV4,
        out: &mut Vec<Action>,
    ) {
        let sequence = self.detector.relay(requester, self.now, &self.settings);
        if let Some(sequence) = sequence {
            self.send(address, Body::Ping { sequence, target }, out);
        }
    }

    fn on_ack(&mut self, sequence: u32, from: SocketAddrV4, out: &mut Vec<Action>) {
        match self.detector.on_ack(sequence, self.now) {
            Some(AckedProbe::Own {
                target,
                round_trip_ms,
            }) => self.record_round_trip(&target, from, round_trip_ms),
            Some(AckedProbe::Relayed(requester)) => {
                let sequence = requester.sequence;
                self.send(requester.address, Body::Ack { sequence }, out);
            }
            None => {}
        }
    }

    /// Records the round trip of the target itself; an ack relayed by a helper has none.
    fn record_round_trip(&mut self, target: &MemberId, from: SocketAddrV4, round_trip_ms: u64) {
        if self.table.record_round_trip(target, from, round_trip_ms) {
            let usual = self.detector.record_round_trip(round_trip_ms);
            self.local.set_usual_round_trip(usual);
        }
    }

    fn apply_update(&mut self, update: &Update, source: &UpdateSource, out: &mut Vec<Action>) {
        if let Some(reason) = self.rejects(update, source) {
            self.limits.reject(reason, source.address);
            return;
        }
        if update.member.id == *self.local.id() {
            self.apply_local_update(update, source.address, out);
            return;
        }
        let Some(entry) = self.table.get(&update.member.id) else {
            self.add_newcomer(update, source.gossip_newcomers, out);
            return;
        };
        let known = entry.record();
        self.apply_known_update(update, source, known, out);
    }

    /// Why an update is rejected whatever it reports; `None` if it is plausible.
    fn rejects(&self, update: &Update, source: &UpdateSource) -> Option<RejectionReason> {
        let member = &update.member;
        if !member.well_formed() {
            return Some(RejectionReason::Malformed);
        }
        if update.incarnation > MAX_INCARNATION {
            return Some(RejectionReason::FutureIncarnation);
        }
        let entry = self.table.get(&member.id)?;
        if is_too_far_ahead(update.incarnation, entry.incarnation) {
            return Some(RejectionReason::FutureIncarnation);
        }
        // Only the member itself, from its new address, may change the address of a known id.
        let moved = member.address != entry.member.address;
        (moved && !source.is_subject_of(update)).then_some(RejectionReason::IdConflict)
    }

    fn apply_known_update(
        &mut self,
        update: &Update,
        source: &UpdateSource,
        known: StateRecord,
        out: &mut Vec<Action>,
    ) {
        let id = &update.member.id;
        let reported = update.record();
        match known.effect_of(reported) {
            UpdateEffect::Alive => self.apply_alive(update, out),
            UpdateEffect::Unchanged if source.is_subject_of(update) => {
                // First-hand load and vote; not gossiped, since each member publishes its own.
                self.table.update_member(&update.member);
            }
            UpdateEffect::Accused { declared_dead } => {
                let accuser = update.accuser.as_ref().unwrap_or(source.sender).clone();
                self.suspect(id, reported.incarnation, accuser, ChangeCause::Gossip, out);
                if declared_dead {
                    self.table.shorten_suspicion(id, reported.incarnation);
                }
            }
            UpdateEffect::Left => {
                self.set_record(id, reported, ChangeCause::Left, out);
                self.gossip.push(update.clone());
            }
            UpdateEffect::Unchanged | UpdateEffect::Stale => {}
        }
    }

    fn apply_alive(&mut self, update: &Update, out: &mut Vec<Action>) {
        let incarnation = update.incarnation;
        if self.table.mark_alive(&update.member, incarnation, self.now) {
            let id = &update.member.id;
            out.push(state_changed(id, update.record(), ChangeCause::Refuted));
        }
        self.gossip.push(update.clone());
    }

    fn add_newcomer(&mut self, update: &Update, gossip: bool, out: &mut Vec<Action>) {
        if !update.state.live() {
            return;
        }
        if self.table_is_full() {
            self.limits.count_table_full();
            return;
        }
        let id = &update.member.id;
        let alive = StateRecord {
            state: MemberState::Alive,
            incarnation: update.incarnation,
        };
        self.table
            .insert(update.member.clone(), update.incarnation, self.now);
        out.push(state_changed(id, alive, ChangeCause::Joined));
        if gossip {
            self.gossip.push(Update {
                state: MemberState::Alive,
                accuser: None,
                ..update.clone()
            });
        }
        if update.state == MemberState::Suspect {
            let accuser = update.accuser.as_ref().unwrap_or(id).clone();
            self.suspect(id, update.incarnation, accuser, ChangeCause::Gossip, out);
        }
    }

    /// Refutes an accusation of this member, and answers one that was refuted before.
    fn apply_local_update(&mut self, update: &Update, from: SocketAddrV4, out: &mut Vec<Action>) {
        if self.local.is_leaving() {
            return;
        }
        let own_incarnation = self.local.incarnation();
        let Some(refuting) = refuting_incarnation(own_incarnation, update.record()) else {
            // The sender has missed the refutation; without an answer it alone would take this member for dead.
            if self.settings.lifeguard && update.state != MemberState::Alive {
                self.send(from, Body::Gossip, out);
            }
            return;
        };
        if is_too_far_ahead(update.incarnation, own_incarnation) {
            self.limits.reject(RejectionReason::FutureIncarnation, from);
            return;
        }
        self.local.raise_incarnation(refuting);
        if self.settings.lifeguard {
            self.detector.degrade_local_health(1, &self.settings);
        }
        self.announce_incarnation(out);
        // The refutation goes to the accuser and to a few more at once, not with the next gossip round.
        self.send(from, Body::Gossip, out);
        self.gossip_to_random_members(out);
    }

    /// Starts a suspicion of `id` at `incarnation`, or confirms the running one.
    fn suspect(
        &mut self,
        id: &MemberId,
        incarnation: u64,
        accuser: MemberId,
        cause: ChangeCause,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        if let Some(suspected) = entry.record().suspect(incarnation) {
            let timeout = self.suspicion_timeout(entry);
            let suspicion = Suspicion::new(self.now, timeout, accuser.clone());
            if self.table.mark_suspect(id, suspected, suspicion, self.now) {
                out.push(state_changed(id, suspected, cause));
            }
            self.gossip_accusation(id, MemberState::Suspect, accuser);
        } else if self.settings.lifeguard && self.table.confirm_suspicion(id, incarnation, &accuser)
        {
            // A confirmation is gossiped too, since it shortens the timers of others.
            self.gossip_accusation(id, MemberState::Suspect, accuser);
        }
    }

    fn suspicion_timeout(&self, entry: &MemberEntry) -> SuspicionTimeout {
        let live_members = self.live_members();
        let (minimum_ms, maximum_ms) = self.settings.suspicion_ms(live_members);
        if !self.settings.lifeguard {
            // In plain SWIM a suspicion has a fixed time.
            return SuspicionTimeout {
                minimum_ms,
                maximum_ms: minimum_ms,
                expected_confirmations: 0,
            };
        }
        // A slow member refutes as slowly as it answers probes.
        let ack_wait = self.detector.usual_ack_wait(entry, &self.settings);
        // The suspect and this member can't confirm.
        let other_members = live_members.saturating_sub(2);
        SuspicionTimeout {
            minimum_ms: minimum_ms + ack_wait,
            maximum_ms: maximum_ms + ack_wait,
            expected_confirmations: self.settings.indirect_probes.min(other_members),
        }
    }

    fn set_record(
        &mut self,
        id: &MemberId,
        record: StateRecord,
        cause: ChangeCause,
        out: &mut Vec<Action>,
    ) {
        if self.table.set_record(id, record, self.now) {
            out.push(state_changed(id, record, cause));
        }
    }

    fn gossip_accusation(&mut self, id: &MemberId, state: MemberState, accuser: MemberId) {
        if let Some(entry) = self.table.get(id) {
            self.gossip.push(entry.accusation(state, accuser));
        }
    }

    /// Reports and gossips this member's raised incarnation.
    fn announce_incarnation(&mut self, out: &mut Vec<Action>) {
        out.push(Action::IncarnationRaised(self.local.incarnation()));
        self.gossip.push(self.local.update());
    }

    fn gossip_to_random_members(&mut self, out: &mut Vec<Action>) {
        for to in self.random_live_addresses(self.settings.fanout) {
            self.send(to, Body::Gossip, out);
        }
    }

    fn random_live_addresses(&mut self, count: usize) -> Vec<SocketAddrV4> {
        let mut addresses = self.table.live_addresses();
        addresses.shuffle(&mut self.rng);
        addresses.truncate(count);
        addresses
    }

    fn table_is_full(&self) -> bool {
        1 + self.table.len() >= self.settings.max_members
    }

    /// Live members by which SWIM's times and retransmissions scale, this one included.
    fn live_members(&self) -> usize {
        1 + self.table.live_len()
    }

    fn send_push_pull(&mut self, to: SocketAddrV4, reply: bool, out: &mut Vec<Action>) {
        for datagram in anti_entropy::push_pull_datagrams(&self.local, &self.table, reply) {
            self.emit(to, &datagram, out);
        }
    }

    /// Sends `body` to a suspect with the accusation in place of this member's own update.
    fn send_accusation(&mut self, suspect: &MemberId, body: Body, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get(suspect) else {
            return;
        };
        let to = entry.member.address;
        let accusation = entry.accusation(MemberState::Suspect, self.local.id().clone());
        self.send_with_first_update(to, body, accusation, out);
    }

    /// Sends `body` with this member's own update, which carries its load, and queued gossip.
    fn send(&mut self, to: SocketAddrV4, body: Body, out: &mut Vec<Action>) {
        self.send_with_first_update(to, body, self.local.update(), out);
    }

    /// Sends `body` with `first` and as many queued updates as fit.
    fn send_with_first_update(
        &mut self,
        to: SocketAddrV4,
        body: Body,
        first: Update,
        out: &mut Vec<Action>,
    ) {
        let first_id = first.member.id.clone();
        let mut envelope = Envelope {
            from: self.local.id().clone(),
            body,
            updates: vec![first],
        };
        let used = wire::encoded_len(&envelope) + UPDATES_LENGTH_RESERVE_BYTES;
        let capacity = wire::MAX_DATAGRAM_BYTES.saturating_sub(used);
        let max_transmissions = self.settings.retransmits(self.live_members());
        let queued = self.gossip.take(capacity, max_transmissions, &first_id);
        envelope.updates.extend(queued);
        self.emit(to, &envelope, out);
    }

    fn emit(&mut self, to: SocketAddrV4, envelope: &Envelope, out: &mut Vec<Action>) {
        match wire::encode(envelope) {
            Some(bytes) => out.push(Action::Send { to, bytes }),
            None => self.limits.count_unsent(),
        }
    }
}

impl UpdateSource<'_> {
    /// Whether the update was sent by the member that it is about.
    fn is_subject_of(&self, update: &Update) -> bool {
        *self.sender == update.member.id && self.address == update.member.address
    }
}

fn is_too_far_ahead(reported: u64, known: u64) -> bool {
    reported > known.saturating_add(MAX_INCARNATION_LEAD)
}

fn state_changed(id: &MemberId, record: StateRecord, cause: ChangeCause) -> Action {
    Action::StateChanged {
        id: id.clone(),
        to: Some(record.state),
        incarnation: record.incarnation,
        cause,
    }
}

fn rejection_reason(error: DecodeError) -> RejectionReason {
    match error {
        DecodeError::Oversized { .. } => RejectionReason::Oversized,
        DecodeError::Malformed => RejectionReason::Malformed,
        DecodeError::UnsupportedVersion { .. } => RejectionReason::UnsupportedVersion,
    }
}
