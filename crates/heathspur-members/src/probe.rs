//! Probes, direct and through others (SWIM, section 3.1), and what their failure says (Lifeguard, section 4.1).

use crate::core::{Action, Cause, Members};
use crate::member::{Id, State};
use crate::wire::{Body, Update};
use rand::seq::SliceRandom;
use std::net::SocketAddrV4;

/// Indirect probes relayed for others at once; past it, a request is not relayed (the asker sees no nack).
const RELAYS: usize = 64;

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

impl Members {
    pub(crate) fn relay_nacks(&mut self, out: &mut Vec<Action>) {
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

    pub(crate) fn probe_step(&mut self, out: &mut Vec<Action>) {
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
            let (by, member) = (Some(self.me.id.clone()), e.member.clone());
            Update { state: State::Suspect, incarnation: e.incarnation, by, member }
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

    pub(crate) fn relay(
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

    pub(crate) fn acked(&mut self, seq: u32, out: &mut Vec<Action>) {
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
