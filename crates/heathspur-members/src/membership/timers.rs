//! Handling of a tick: the timers of suspicions, gossip, push-pull, joining and probes.

use super::Membership;
use crate::anti_entropy;
use crate::event::{Action, ChangeCause};
use crate::failure_detector::{DirectProbe, IndirectProbe};
use crate::member::{MemberId, MemberState};
use crate::member_states::Accusation;
use crate::member_table::MemberEntry;
use crate::wire::Message;

impl Membership {
    pub(super) fn on_tick(&mut self, actions: &mut Vec<Action>) {
        self.limits.advance_window(self.now);
        self.expire_suspicions(actions);
        self.reap_if_due(actions);
        self.send_due_nacks(actions);
        self.gossip_if_due(actions);
        if self.local.is_leaving() {
            return;
        }
        self.advance_probes(actions);
        self.push_pull_if_due(actions);
        self.join_if_due(actions);
        self.report_rejected_input(actions);
    }

    fn expire_suspicions(&mut self, actions: &mut Vec<Action>) {
        let expired = self.others.table().expired_suspects(self.now);
        if self.settings.lifeguard {
            self.query_suspects(actions);
        }
        for id in expired {
            self.others
                .declare_dead(&id, self.local.id(), self.now, actions);
        }
    }

    /// Sends the accusation to suspects once more before their suspicion times out, since the local member may have
    /// missed their refutation.
    fn query_suspects(&mut self, actions: &mut Vec<Action>) {
        for id in self.others.take_suspects_to_query(self.now) {
            self.send_accusation(&id, Message::Gossip, actions);
        }
    }

    fn reap_if_due(&mut self, actions: &mut Vec<Action>) {
        if !self.others.table().has_departed() || self.now < self.next_reap_at {
            return;
        }
        self.next_reap_at = self.now + self.settings.protocol_period_ms;
        self.others
            .reap(self.now, self.settings.dead_retention_ms, actions);
    }

    fn send_due_nacks(&mut self, actions: &mut Vec<Action>) {
        for requester in self.detector.take_unanswered_relays(self.now) {
            if self.settings.lifeguard {
                let sequence = requester.sequence;
                self.send(requester.address, Message::Nack { sequence }, actions);
            }
        }
    }

    fn gossip_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = self.now + self.settings.gossip_interval_ms;
        if !self.others.gossip().is_empty() {
            self.gossip_to_random_members(actions);
        }
    }

    fn push_pull_if_due(&mut self, actions: &mut Vec<Action>) {
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
            self.send_push_pull(peer, true, actions);
        }
    }

    fn join_if_due(&mut self, actions: &mut Vec<Action>) {
        let seeds = self
            .join
            .take_due_seeds(self.now, &self.settings, &mut self.rng);
        for seed in seeds {
            self.send_push_pull(seed, true, actions);
        }
    }

    fn report_rejected_input(&mut self, actions: &mut Vec<Action>) {
        let evicted = self.others.gossip().evicted();
        let report = self.limits.take_report(self.now, &self.settings, evicted);
        actions.extend(report.map(Action::InputRejected));
    }

    fn advance_probes(&mut self, actions: &mut Vec<Action>) {
        let table = self.others.table();
        let indirect =
            self.detector
                .take_due_indirect_probes(self.now, table, &self.settings, &mut self.rng);
        for probe in indirect {
            self.send_indirect_probe(probe, actions);
        }
        for target in self.detector.take_failed_targets(self.now, &self.settings) {
            self.on_probe_failed(&target, actions);
        }
        let table = self.others.table();
        let direct = self
            .detector
            .take_due_probe(self.now, table, &self.settings, &mut self.rng);
        if let Some(probe) = direct {
            self.send_direct_probe(probe, actions);
        }
    }

    fn send_direct_probe(&mut self, probe: DirectProbe, actions: &mut Vec<Action>) {
        let ping = Message::Ping {
            sequence: probe.sequence,
            target: probe.target.clone(),
        };
        if self.settings.lifeguard && probe.suspected {
            // Lifeguard's buddy system: the probe of a suspect carries the accusation, so that the suspect can refute
            // it at once.
            self.send_accusation(&probe.target, ping, actions);
        } else {
            self.send(probe.address, ping, actions);
        }
    }

    fn send_indirect_probe(&mut self, probe: IndirectProbe, actions: &mut Vec<Action>) {
        let IndirectProbe {
            sequence,
            target,
            address,
            helpers,
        } = probe;
        if self.settings.lifeguard {
            // The direct probe is repeated, since the first ping or its ack may have been lost.
            let ping = Message::Ping {
                sequence,
                target: target.clone(),
            };
            self.send(address, ping, actions);
        }
        for helper in helpers {
            let request = Message::PingReq {
                sequence,
                target: target.clone(),
                address,
            };
            self.send(helper, request, actions);
        }
    }

    fn on_probe_failed(&mut self, target: &MemberId, actions: &mut Vec<Action>) {
        let Some(known) = self.others.table().get(target).map(MemberEntry::record) else {
            return;
        };
        let accusation = Accusation {
            suspect: target,
            incarnation: known.incarnation,
            accuser: self.local.id().clone(),
            cause: ChangeCause::ProbeMissed,
        };
        self.suspect(accusation, actions);
        if known.state == MemberState::Alive && self.settings.lifeguard {
            // The accusation is sent now instead of with the next probe, so that the suspect has the full timeout to
            // refute it.
            self.send_accusation(target, Message::Gossip, actions);
        }
    }
}
