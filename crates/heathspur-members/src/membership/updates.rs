//! Application of received updates to other members and to the local member.

use super::Membership;
use crate::event::{Action, ChangeCause};
use crate::member::MemberState;
use crate::member_states::Accusation;
use crate::rejected_input::RejectionReason;
use crate::state_record::{refuting_incarnation, UpdateEffect};
use crate::update_check::{check_known_update, check_update, is_too_far_ahead, UpdateSource};
use crate::wire::{Envelope, Message, Update};
use std::net::SocketAddrV4;

impl Membership {
    pub(super) fn apply_updates(
        &mut self,
        envelope: &Envelope,
        from: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        // The fleet already has the members that a newcomer receives by push-pull, so the newcomer does not gossip
        // them.
        let known_by_fleet =
            matches!(envelope.body, Message::PushPull { .. }) && self.join.is_newcomer(self.now);
        let source = UpdateSource {
            sender: &envelope.from,
            address: from,
        };
        let mut local_update_seen = false;
        for update in &envelope.updates {
            let about_local = update.member.id == *self.local.id();
            // Only the first update about the local member is applied: each may cause a reply, and one datagram must
            // not cause many replies.
            if about_local && std::mem::replace(&mut local_update_seen, true) {
                continue;
            }
            let gossip_newcomer = !known_by_fleet || update.member.id == envelope.from;
            self.apply_update(update, &source, gossip_newcomer, actions);
        }
    }

    fn apply_update(
        &mut self,
        update: &Update,
        source: &UpdateSource<'_>,
        gossip_newcomer: bool,
        actions: &mut Vec<Action>,
    ) {
        let known = self.others.table().get(&update.member.id);
        let rejection = check_update(update)
            .or_else(|| known.and_then(|known| check_known_update(update, source, known)));
        if let Some(reason) = rejection {
            self.limits.reject(reason, source.address);
            return;
        }
        if update.member.id == *self.local.id() {
            self.apply_local_update(update, source.address, actions);
            return;
        }
        match known.map(|known| known.record().effect_of(update.record())) {
            None => self.apply_newcomer(update, gossip_newcomer, actions),
            Some(effect) => self.apply_effect(effect, update, source, actions),
        }
    }

    fn apply_newcomer(&mut self, update: &Update, gossip: bool, actions: &mut Vec<Action>) {
        if !update.state.is_live() {
            return;
        }
        if self.table_is_full() {
            self.limits.count_table_full();
            return;
        }
        self.others.add_newcomer(update, gossip, self.now, actions);
        if update.state == MemberState::Suspect {
            let accusation = Accusation {
                suspect: &update.member.id,
                incarnation: update.incarnation,
                accuser: update.accuser.as_ref().unwrap_or(&update.member.id).clone(),
                cause: ChangeCause::Gossip,
            };
            self.suspect(accusation, actions);
        }
    }

    fn apply_effect(
        &mut self,
        effect: UpdateEffect,
        update: &Update,
        source: &UpdateSource<'_>,
        actions: &mut Vec<Action>,
    ) {
        match effect {
            UpdateEffect::Alive => self.others.apply_alive(update, self.now, actions),
            UpdateEffect::Left => self.others.apply_left(update, self.now, actions),
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
                self.suspect(accusation, actions);
                if declared_dead {
                    self.others
                        .shorten_suspicion(&update.member.id, update.incarnation);
                }
            }
            UpdateEffect::Unchanged | UpdateEffect::Stale => {}
        }
    }

    /// Refutes an accusation of the local member, or replies to one that was refuted before.
    fn apply_local_update(
        &mut self,
        update: &Update,
        from: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        if self.local.is_leaving() {
            return;
        }
        let own_incarnation = self.local.incarnation();
        let Some(refuting) = refuting_incarnation(own_incarnation, update.record()) else {
            // The sender has missed the refutation. Without a reply it would be the only member to declare this one
            // dead.
            if self.settings.lifeguard && update.state != MemberState::Alive {
                self.send(from, Message::Gossip, actions);
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
        self.announce_incarnation(actions);
        // The refutation is sent at once to the accuser and some random members instead of with the next gossip round.
        self.send(from, Message::Gossip, actions);
        self.gossip_to_random_members(actions);
    }

    pub(super) fn suspect(&mut self, accusation: Accusation<'_>, actions: &mut Vec<Action>) {
        let Some(entry) = self.others.table().get(accusation.suspect) else {
            return;
        };
        let live_members = self.live_members();
        let timeout = self
            .detector
            .suspicion_timeout(entry, live_members, &self.settings);
        self.others.suspect(accusation, timeout, self.now, actions);
    }
}
