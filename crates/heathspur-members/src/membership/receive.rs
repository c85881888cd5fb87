//! Handling of received datagrams and their messages.

use super::Membership;
use crate::event::Action;
use crate::failure_detector::{AckedProbe, Requester};
use crate::member::MemberId;
use crate::rejected_input::RejectionReason;
use crate::view::ViewResponder;
use crate::wire::{self, DecodeError, Message};
use std::net::SocketAddrV4;

impl Membership {
    pub(super) fn on_datagram(
        &mut self,
        from: SocketAddrV4,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
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
        if let Message::ViewRequest(request) = &envelope.body {
            self.on_view_request(from, request, bytes.len(), actions);
            return;
        }
        if envelope.from == *self.local.id() {
            self.limits.reject(RejectionReason::IdConflict, from);
            return;
        }
        if !matches!(
            envelope.body,
            Message::Nack { .. } | Message::ViewResponse(_)
        ) {
            self.join.mark_joined();
        }
        self.apply_updates(&envelope, from, actions);
        if !self.local.is_leaving() {
            self.on_message(from, envelope.body, actions);
        }
    }

    fn on_message(&mut self, from: SocketAddrV4, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Ping { sequence, target } => {
                if target == *self.local.id() {
                    self.send(from, Message::Ack { sequence }, actions);
                }
            }
            Message::PingReq {
                sequence,
                target,
                address,
            } => {
                let requester = Requester {
                    address: from,
                    sequence,
                };
                self.relay_probe(requester, target, address, actions);
            }
            Message::Ack { sequence } => self.on_ack(sequence, from, actions),
            Message::Nack { sequence } => self.detector.on_nack(sequence),
            Message::PushPull { reply } => {
                if reply && self.limits.admit_push_pull_reply() {
                    self.send_push_pull(from, false, actions);
                }
            }
            Message::Gossip | Message::ViewRequest(_) | Message::ViewResponse(_) => {}
        }
    }

    fn on_view_request(
        &mut self,
        from: SocketAddrV4,
        request: &wire::ViewRequest,
        request_len: usize,
        actions: &mut Vec<Action>,
    ) {
        let responder = ViewResponder {
            local: &self.local,
            table: self.others.table(),
            now: self.now,
            local_health: self.detector.local_health(),
            rejected: self.rejected_input().total(),
        };
        if let Some(response) = responder.respond(request, request_len) {
            self.emit(from, &response, actions);
        }
    }

    fn relay_probe(
        &mut self,
        requester: Requester,
        target: MemberId,
        address: SocketAddrV4,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.detector.relay(requester, self.now, &self.settings);
        if let Some(sequence) = sequence {
            self.send(address, Message::Ping { sequence, target }, actions);
        }
    }

    fn on_ack(&mut self, sequence: u32, from: SocketAddrV4, actions: &mut Vec<Action>) {
        match self.detector.on_ack(sequence, self.now) {
            Some(AckedProbe::Own {
                target,
                round_trip_ms,
            }) => self.record_round_trip(&target, from, round_trip_ms),
            Some(AckedProbe::Relayed(requester)) => {
                let sequence = requester.sequence;
                self.send(requester.address, Message::Ack { sequence }, actions);
            }
            None => {}
        }
    }

    /// Records the round trip of an ack that the target itself sent. The time of an ack that a helper relayed is not
    /// the target's round trip.
    fn record_round_trip(&mut self, target: &MemberId, from: SocketAddrV4, round_trip_ms: u64) {
        if self.others.record_round_trip(target, from, round_trip_ms) {
            let average = self.detector.record_round_trip(round_trip_ms);
            self.local.set_average_round_trip(average);
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
