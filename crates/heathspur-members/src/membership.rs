//! The member's state machine: composes its parts and turns events into actions.

use crate::anti_entropy::{self, AntiEntropy};
use crate::event::{Action, ChangeCause, Event};
use crate::failure_detector::{AckedProbe, DirectProbe, FailureDetector, IndirectProbe, Requester};
use crate::input_limits::InputLimits;
use crate::join::Join;
use crate::local_member::LocalMember;
use crate::member::{Load, Member, MemberId, MemberState, ZoneVote};
use crate::member_states::{Accusation, MemberStates};
use crate::member_table::MemberEntry;
use crate::rejected_input::{RejectedInput, RejectionReason};
use crate::settings::Settings;
use crate::state_record::{refuting_incarnation, UpdateEffect};
use crate::update_check::{check_known_update, check_update, is_too_far_ahead, UpdateSource};
use crate::view::{self, View, ViewResponder};
use crate::wire::{self, Body, DecodeError, Envelope, Update};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddrV4;

/// A leaving member announces that to this many times the gossip fanout.
const LEAVE_FANOUT_FACTOR: usize = 2;

/// One member's view of the fleet and its part in maintaining it.
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
            others: MemberStates::new(settings.max_pending),
            detector: FailureDetector::new(),
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
            let known =
                member.id == *self.local.id() || self.others.table().get(&member.id).is_some();
            if known || self.table_is_full() {
                continue;
            }
            self.others.add_known(member, incarnation, self.now);
            self.join.mark_joined();
        }
    }

    /// The current view.
    pub fn view(&self) -> View {
        view::snapshot(&self.local, self.others.table())
    }

    /// The version of the view, which rises with every change.
    pub fn version(&self) -> u64 {
        view::view_version(&self.local, self.others.table())
    }

    /// One other member as known here.
    pub fn entry(&self, id: &MemberId) -> Option<&MemberEntry> {
        self.others.table().get(id)
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
        self.limits.rejected(self.others.gossip().evicted())
    }

    /// Source addresses counted for the rate limit; at most twice `max_members`.
    pub fn counted_addresses(&self) -> usize {
        self.limits.counted_sources()
    }

    /// Updates queued for gossip.
    pub fn pending(&self) -> usize {
        self.others.gossip().len()
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
        let push_pull_interval = self
            .settings
            .push_pull_every_ms(1 + self.others.table().len());
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
        self.reap_if_due(out);
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
        let expired = self.others.table().expired_suspects(self.now);
        if self.settings.lifeguard {
            self.query_suspects(out);
        }
        for id in expired {
            self.others
                .declare_dead(&id, self.local.id(), self.now, out);
        }
    }

    /// Sends suspects the accusation shortly before they time out: this member may have missed their refutation.
    fn query_suspects(&mut self, out: &mut Vec<Action>) {
        for id in self.others.take_suspects_to_query(self.now) {
            self.send_accusation(&id, Body::Gossip, out);
        }
    }

    fn reap_if_due(&mut self, out: &mut Vec<Action>) {
        if !self.others.table().has_departed() || self.now < self.next_reap_at {
            return;
        }
        self.next_reap_at = self.now + self.settings.period_ms;
        self.others.reap(self.now, self.settings.dead_keep_ms, out);
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
        if !self.others.gossip().is_empty() {
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
        let peer = anti_entropy::choose_peer(self.others.table(), self.join.seeds(), &mut self.rng);
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
        let evicted = self.others.gossip().evicted();
        let report = self.limits.take_report(self.now, &self.settings, evicted);
        out.extend(report.map(Action::InputRejected));
    }

    fn advance_probes(&mut self, out: &mut Vec<Action>) {
        let table = self.others.table();
        let indirect =
            self.detector
                .take_due_indirect_probes(self.now, table, &self.settings, &mut self.rng);
        for probe in indirect {
            self.send_indirect_probe(probe, out);
        }
        for target in self.detector.take_failed_targets(self.now, &self.settings) {
            self.on_probe_failed(&target, out);
        }
        let table = self.others.table();
        let direct = self
            .detector
            .take_due_probe(self.now, table, &self.settings, &mut self.rng);
        if let Some(probe) = direct {
            self.send_direct_probe(probe, out);
        }
    }

    fn send_direct_probe(&mut self, probe: DirectProbe, out: &mut Vec<Action>) {
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
        let Some(known) = self.others.table().get(target).map(MemberEntry::record) else {
            return;
        };
        let accusation = Accusation {
            suspect: target,
            incarnation: known.incarnation,
            accuser: self.local.id().clone(),
            cause: ChangeCause::ProbeMissed,
        };
        self.suspect(accusation, out);
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
        let source = UpdateSource {
            sender: &envelope.from,
            address: from,
        };
        let mut local_update_seen = false;
        for update in &envelope.updates {
            let about_local = update.member.id == *self.local.id();
            // An update about the local member may be answered; one datagram must not cause many answers.
            if about_local && std::mem::replace(&mut local_update_seen, true) {
                continue;
            }
            let gossip_newcomer = !known_by_fleet || update.member.id == envelope.from;
            self.apply_update(update, &source, gossip_newcomer, out);
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
            table: self.others.table(),
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
        if self.others.record_round_trip(target, from, round_trip_ms) {
            let usual = self.detector.record_round_trip(round_trip_ms);
            self.local.set_usual_round_trip(usual);
        }
    }

    fn apply_update(
        &mut self,
        update: &Update,
        source: &UpdateSource<'_>,
        gossip_newcomer: bool,
        out: &mut Vec<Action>,
    ) {
        let known = self.others.table().get(&update.member.id);
        let rejection = check_update(update)
            .or_else(|| known.and_then(|known| check_known_update(update, source, known)));
        if let Some(reason) = rejection {
            self.limits.reject(reason, source.address);
            return;
        }
        if update.member.id == *self.local.id() {
            self.apply_local_update(update, source.address, out);
            return;
        }
        match known.map(|known| known.record().effect_of(update.record())) {
            None => self.apply_newcomer(update, gossip_newcomer, out),
            Some(effect) => self.apply_effect(effect, update, source, out),
        }
    }

    fn apply_newcomer(&mut self, update: &Update, gossip: bool, out: &mut Vec<Action>) {
        if !update.state.live() {
            return;
        }
        if self.table_is_full() {
            self.limits.count_table_full();
            return;
        }
        self.others.add_newcomer(update, gossip, self.now, out);
        if update.state == MemberState::Suspect {
            let accusation = Accusation {
                suspect: &update.member.id,
                incarnation: update.incarnation,
                accuser: update.accuser.as_ref().unwrap_or(&update.member.id).clone(),
                cause: ChangeCause::Gossip,
            };
            self.suspect(accusation, out);
        }
    }

    fn apply_effect(
        &mut self,
        effect: UpdateEffect,
        update: &Update,
        source: &UpdateSource<'_>,
        out: &mut Vec<Action>,
    ) {
        match effect {
            UpdateEffect::Alive => self.others.apply_alive(update, self.now, out),
            UpdateEffect::Left => self.others.apply_left(update, self.now, out),
            UpdateEffect::Unchanged if source.is_subject_of(update) => {
                self.others.update_member(&update.member);
            }
            UpdateEffect::Accused { declared_dead } => {
                let accusation = Accusation {
                    suspect: &update.member.id,
                    incarnation: update.incarnation,
                    accuser: update.accuser.as_ref().unwrap_or(source.sender).clone(),
                    cause: ChangeCause::Gossip,
                };
                self.suspect(accusation, out);
                if declared_dead {
                    self.others
                        .shorten_suspicion(&update.member.id, update.incarnation);
                }
            }
            UpdateEffect::Unchanged | UpdateEffect::Stale => {}
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

    fn suspect(&mut self, accusation: Accusation<'_>, out: &mut Vec<Action>) {
        let Some(entry) = self.others.table().get(accusation.suspect) else {
            return;
        };
        let live_members = self.live_members();
        let timeout = self
            .detector
            .suspicion_timeout(entry, live_members, &self.settings);
        self.others.suspect(accusation, timeout, self.now, out);
    }

    /// Reports and gossips this member's raised incarnation.
    fn announce_incarnation(&mut self, out: &mut Vec<Action>) {
        out.push(Action::IncarnationRaised(self.local.incarnation()));
        self.others.gossip_mut().push(self.local.update());
    }

    fn gossip_to_random_members(&mut self, out: &mut Vec<Action>) {
        for to in self.random_live_addresses(self.settings.fanout) {
            self.send(to, Body::Gossip, out);
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

    /// Live members by which SWIM's times and retransmissions scale, this one included.
    fn live_members(&self) -> usize {
        1 + self.others.table().live_len()
    }

    fn send_push_pull(&mut self, to: SocketAddrV4, reply: bool, out: &mut Vec<Action>) {
        for datagram in anti_entropy::push_pull_datagrams(&self.local, self.others.table(), reply) {
            self.emit(to, &datagram, out);
        }
    }

    /// Sends `body` to a suspect with the accusation in place of this member's own update.
    fn send_accusation(&mut self, suspect: &MemberId, body: Body, out: &mut Vec<Action>) {
        let Some(entry) = self.others.table().get(suspect) else {
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
        let mut envelope = Envelope {
            from: self.local.id().clone(),
            body,
            updates: vec![first],
        };
        let max_transmissions = self.settings.retransmits(self.live_members());
        self.others
            .gossip_mut()
            .fill(&mut envelope, max_transmissions);
        self.emit(to, &envelope, out);
    }

    fn emit(&mut self, to: SocketAddrV4, envelope: &Envelope, out: &mut Vec<Action>) {
        match wire::encode(envelope) {
            Some(bytes) => out.push(Action::Send { to, bytes }),
            None => self.limits.count_unsent(),
        }
    }
}

fn rejection_reason(error: DecodeError) -> RejectionReason {
    match error {
        DecodeError::Oversized { .. } => RejectionReason::Oversized,
        DecodeError::Malformed => RejectionReason::Malformed,
        DecodeError::UnsupportedVersion { .. } => RejectionReason::UnsupportedVersion,
    }
}
