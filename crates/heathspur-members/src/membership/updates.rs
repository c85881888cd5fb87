//! Application of received updates to other members and to the local one.

use super::Membership;
use crate::event::{Action, ChangeCause};
use crate::member::MemberState;
use crate::member_states::Accusation;
use crate::rejected_input::RejectionReason;
use crate::state_record::{refuting_incarnation, UpdateEffect};
use crate::update_check::{check_known_update, check_update, is_too_far_ahead, UpdateSource};
use crate::wire::{Body, Envelope, Update};
use std::net::SocketAddrV4;

impl Membership {
    pub(super) fn apply_updates(
        &mut self,
        envelope: &Envelope,
        from: SocketAddrV4,
        out: &mut Vec<Action>,
    ) {
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

    pub(super) fn suspect(&mut self, accusation: Accusation<'_>, out: &mut Vec<Action>) {
        let Some(entry) = self.others.table().get(accusation.suspect) else {
            return;
        };
        let live_members = self.live_members();
        let timeout = self
            .detector
            .suspicion_timeout(entry, live_members, &self.settings);
        self.others.suspect(accusation, timeout, self.now, out);
    }
}
