//! Probes, direct and through others (SWIM, section 3.1), and what their failure says (Lifeguard, section 4.1).

use crate::member::{MemberId, MemberState};
use crate::membership::{Action, ChangeCause, MemberEntry, Membership};
use crate::wire::{Body, Update};
use rand::seq::SliceRandom;
use std::net::SocketAddrV4;

/// Indirect probes relayed for others at once; past it, a request is not relayed (the asker sees no nack).
const RELAYS: usize = 64;
/// Probes under way at once, and such as failed and may be answered late; a period without room begins none.
const PROBES: usize = 8;
/// An ack is waited for so many periods at most, however slow the member usually is.
const LONGEST_WAIT: u64 = 4;
/// Its own lag is told in such steps, in milliseconds.
const LAG_STEP_MS: u64 = 50;

pub(crate) struct Probe {
    pub(crate) target: MemberId,
    pub(crate) sequence: u32,
    started: u64,
    ask_others_at: u64,
    until: u64,
    pub(crate) indirect_sent: bool,
    pub(crate) nacks_expected: u32,
    pub(crate) nacks: u32,
}

pub(crate) struct Relay {
    pub(crate) sequence: u32,
    pub(crate) asker: SocketAddrV4,
    pub(crate) asker_seq: u32,
    pub(crate) nack_at: u64,
}

impl Membership {
    pub(crate) fn relay_nacks(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let (due, kept): (Vec<Relay>, Vec<Relay>) =
            self.relays.drain(..).partition(|r| r.nack_at <= now);
        self.relays = kept;
        for relay in due {
            if self.settings.lifeguard {
                self.send(
                    relay.asker,
                    Body::Nack {
                        sequence: relay.asker_seq,
                    },
                    false,
                    out,
                );
            }
        }
    }

    fn next_seq(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    pub(crate) fn probe_step(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        for at in 0..self.probes.len() {
            let probe = &self.probes[at];
            if !probe.indirect_sent && now >= probe.ask_others_at && now < probe.until {
                self.indirect_probe(at, out);
            }
        }
        while let Some(at) = self.probes.iter().position(|probe| now >= probe.until) {
            let probe = self.probes.swap_remove(at);
            self.probe_failed(probe, out);
        }
        if now < self.next_probe {
            return;
        }
        let period = self.scaled(self.settings.period_ms);
        self.next_probe = now + period;
        if self.probes.len() >= PROBES {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.next_seq();
        let entry = &self.table[&target];
        let address = entry.member.address;
        let wait = self.usual_wait(entry);
        let timeout = self.scaled(self.settings.probe_timeout_ms);
        // Lifeguard's buddy system: a suspect hears first that it is suspected, and can refute at once.
        let tell = self.settings.lifeguard && entry.state == MemberState::Suspect;
        let first = tell.then(|| self.accusation(entry));
        self.probes.push(Probe {
            target: target.clone(),
            sequence,
            started: now,
            ask_others_at: now + timeout.max(wait),
            until: now + period.max(wait + timeout),
            indirect_sent: false,
            nacks_expected: 0,
            nacks: 0,
        });
        self.send_with(address, Body::Ping { sequence, target }, first, out);
    }

    /// How long an ack of a member may take as it usually does, in milliseconds: twice its round trip, the usual
    /// one here, or what it says of its own, whichever is longest. A member that is slow but answers is not suspected anew each time.
    pub(crate) fn usual_wait(&self, entry: &MemberEntry) -> u64 {
        if !self.settings.lifeguard {
            return 0;
        }
        (2 * entry
            .round_trip_ms
            .max(self.round_trip_ms)
            .max(entry.member.usual_round_trip_ms as u64))
        .min(LONGEST_WAIT * self.settings.period_ms)
    }

    pub(crate) fn accusation(&self, entry: &MemberEntry) -> Update {
        let (accuser, member) = (Some(self.me.id.clone()), entry.member.clone());
        Update {
            state: MemberState::Suspect,
            incarnation: entry.incarnation,
            accuser,
            member,
        }
    }

    fn probe_failed(&mut self, probe: Probe, out: &mut Vec<Action>) {
        if self.settings.lifeguard {
            // Missing nacks say that the fault may be ours: our own accusations slow down.
            let missing = probe.nacks_expected.saturating_sub(probe.nacks);
            let delta = if probe.nacks_expected == 0 {
                1
            } else {
                missing
            };
            self.local_health = (self.local_health + delta).min(self.settings.local_health_max);
        }
        let (target, me) = (probe.target.clone(), self.me.id.clone());
        // Its ack may come yet: it tells how long one takes.
        if self.late.len() >= PROBES {
            self.late.pop_front();
        }
        self.late.push_back(probe);
        let Some(entry) = self.table.get(&target) else {
            return;
        };
        let (begins, incarnation) = (entry.state == MemberState::Alive, entry.incarnation);
        self.suspect(&target, incarnation, me, ChangeCause::ProbeMissed, out);
        // The suspect hears it now, not with the next probe: all of its time is for refuting.
        let entry = self
            .table
            .get(&target)
            .filter(|_| begins && self.settings.lifeguard);
        if let Some((to, first)) = entry.map(|e| (e.member.address, self.accusation(e))) {
            self.send_with(to, Body::Gossip, Some(first), out);
        }
    }

    fn indirect_probe(&mut self, at: usize, out: &mut Vec<Action>) {
        let probe = &mut self.probes[at];
        probe.indirect_sent = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        let Some(address) = self.table.get(&target).map(|e| e.member.address) else {
            return;
        };
        let mut helpers: Vec<SocketAddrV4> = self
            .table
            .values()
            .filter(|e| e.state == MemberState::Alive && e.member.id != target)
            .map(|e| e.member.address)
            .collect();
        helpers.shuffle(&mut self.rng);
        helpers.truncate(self.settings.indirect_probes);
        self.probes[at].nacks_expected = helpers.len() as u32;
        if self.settings.lifeguard {
            // The first one, or its ack, may just have been lost.
            self.send(
                address,
                Body::Ping {
                    sequence,
                    target: target.clone(),
                },
                true,
                out,
            );
        }
        for helper in helpers {
            self.send(
                helper,
                Body::PingReq {
                    sequence,
                    target: target.clone(),
                    address,
                },
                false,
                out,
            );
        }
    }

    /// SWIM's round robin: every live member once in a shuffled order, then a new order.
    fn next_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while self.next_in_order < self.order.len() {
                let id = self.order[self.next_in_order].clone();
                self.next_in_order += 1;
                if self.table.get(&id).is_some_and(|e| e.state.live()) {
                    return Some(id);
                }
            }
            self.order = self
                .table
                .values()
                .filter(|e| e.state.live())
                .map(|e| e.member.id.clone())
                .collect();
            self.order.shuffle(&mut self.rng);
            self.next_in_order = 0;
        }
        None
    }

    pub(crate) fn relay(
        &mut self,
        asker: SocketAddrV4,
        asker_seq: u32,
        target: MemberId,
        address: SocketAddrV4,
        out: &mut Vec<Action>,
    ) {
        if self.relays.len() >= RELAYS {
            return;
        }
        let sequence = self.next_seq();
        let nack_at = self.now + self.settings.probe_timeout_ms * 4 / 5;
        self.relays.push(Relay {
            sequence,
            asker,
            asker_seq,
            nack_at,
        });
        self.send(address, Body::Ping { sequence, target }, true, out);
    }

    pub(crate) fn acked(&mut self, sequence: u32, from: SocketAddrV4, out: &mut Vec<Action>) {
        if let Some(at) = self.probes.iter().position(|p| p.sequence == sequence) {
            let probe = self.probes.swap_remove(at);
            self.local_health = self.local_health.saturating_sub(1);
            self.learn_round_trip(&probe, from);
            return;
        }
        if let Some(at) = self.late.iter().position(|p| p.sequence == sequence) {
            if let Some(probe) = self.late.remove(at) {
                self.learn_round_trip(&probe, from);
            }
            return;
        }
        if let Some(i) = self.relays.iter().position(|r| r.sequence == sequence) {
            let relay = self.relays.swap_remove(i);
            self.send(
                relay.asker,
                Body::Ack {
                    sequence: relay.asker_seq,
                },
                true,
                out,
            );
        }
    }

    /// How long the member itself took; what came through others says nothing of that.
    fn learn_round_trip(&mut self, probe: &Probe, from: SocketAddrV4) {
        let took = self.now - probe.started;
        let Some(entry) = self
            .table
            .get_mut(&probe.target)
            .filter(|e| e.member.address == from)
        else {
            return;
        };
        // A longer one counts at once, shorter ones bit by bit.
        let known = entry.round_trip_ms;
        entry.round_trip_ms = if took >= known {
            took
        } else {
            known - (known - took).div_ceil(4)
        };
        // Here all are taken together: one that is slow is not the usual.
        self.round_trip_ms = (7 * self.round_trip_ms + took) / 8;
        // In steps, so that others' views do not change with every probe here.
        self.me.usual_round_trip_ms = (self.round_trip_ms / LAG_STEP_MS * LAG_STEP_MS) as u32;
    }
}
