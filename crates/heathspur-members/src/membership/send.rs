//! Sending of datagrams with piggybacked updates.

use super::Membership;
use crate::anti_entropy;
use crate::event::Action;
use crate::member::{MemberId, MemberState};
use crate::wire::{self, Envelope, Message, Update};
use std::net::SocketAddrV4;

impl Membership {
    pub(super) fn send_push_pull(
        &mut self,
        to: SocketAddrV4,
        reply: bool,
        actions: &mut Vec<Action>,
    ) {
        for datagram in anti_entropy::push_pull_datagrams(&self.local, self.others.table(), reply) {
            self.emit(to, &datagram, actions);
        }
    }

    /// Sends `body` to a suspect, with the accusation in place of the local member's own update.
    pub(super) fn send_accusation(
        &mut self,
        suspect: &MemberId,
        body: Message,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.others.table().get(suspect) else {
            return;
        };
        let to = entry.member.address;
        let accusation = entry.accusation(MemberState::Suspect, self.local.id().clone());
        self.send_with_first_update(to, body, accusation, actions);
    }

    /// Sends `body` with the local member's own update, which carries its load, and with queued gossip.
    pub(super) fn send(&mut self, to: SocketAddrV4, body: Message, actions: &mut Vec<Action>) {
        self.send_with_first_update(to, body, self.local.update(), actions);
    }

    /// Sends `body` with `first` and as many queued updates as fit.
    fn send_with_first_update(
        &mut self,
        to: SocketAddrV4,
        body: Message,
        first: Update,
        actions: &mut Vec<Action>,
    ) {
        let mut envelope = Envelope {
            from: self.local.id().clone(),
            body,
            updates: vec![first],
        };
        let max_transmissions = self.settings.max_transmissions(self.live_members());
        self.others
            .gossip_mut()
            .fill(&mut envelope, max_transmissions);
        self.emit(to, &envelope, actions);
    }

    pub(super) fn emit(
        &mut self,
        to: SocketAddrV4,
        envelope: &Envelope,
        actions: &mut Vec<Action>,
    ) {
        match wire::encode(envelope) {
            Some(bytes) => actions.push(Action::Send { to, bytes }),
            None => self.limits.count_unsent(),
        }
    }
}
