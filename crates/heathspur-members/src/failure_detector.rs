//! The failure detector: direct and indirect probes (SWIM, section 3.1), and the local health score, which slows a
//! member whose own probes fail (Lifeguard, section 4.1): the probe interval and timeout are multiplied by the score
//! plus 1.
//!
//! It chooses the probe targets and determines which probes have failed. The caller sends the datagrams and starts the
//! suspicions.

use crate::member::{MemberId, MemberState};
use crate::member_table::{MemberEntry, MemberTable};
use crate::settings::Settings;
use crate::suspicion::SuspicionTimeout;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// The maximum number of indirect probes that are relayed for other members at once. Above it, a request is dropped
/// and the requester gets no nack.
const MAX_RELAYED_PROBES: usize = 64;
/// The maximum number of probes in flight, and of failed probes that may still be acked late. While it is reached, no
/// probe starts.
const MAX_PROBES: usize = 8;
/// The upper bound of the usual wait for an ack, in protocol periods, however slow the member is.
const MAX_ACK_WAIT_PERIODS: u64 = 4;
/// The step to which the published round trip is rounded down, so that views don't change with every probe.
const PUBLISHED_ROUND_TRIP_STEP_MS: u64 = 50;

/// A probe of one member, which starts as a direct probe and becomes indirect when its ack is late.
struct Probe {
    target: MemberId,
    sequence: u32,
    started_at: u64,
    /// When the indirect probes start unless the target has acked, in milliseconds.
    indirect_at: u64,
    /// When the probe fails unless the target has acked, in milliseconds.
    fails_at: u64,
    indirect_sent: bool,
    nacks_expected: u32,
    nacks_received: u32,
}

/// A probe that is made on behalf of another member.
struct RelayedProbe {
    sequence: u32,
    requester: Requester,
    /// When the requester receives a nack unless the target has acked, in milliseconds.
    nack_at: u64,
}

/// The member that requested an indirect probe, with the sequence number of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Requester {
    pub(crate) address: SocketAddrV4,
    pub(crate) sequence: u32,
}

/// A direct probe that the caller is to send.
pub(crate) struct DirectProbe {
    pub(crate) sequence: u32,
    pub(crate) target: MemberId,
    pub(crate) address: SocketAddrV4,
    /// Whether the target is under suspicion.
    pub(crate) suspected: bool,
}

/// An indirect probe that the caller is to request from `helpers`.
pub(crate) struct IndirectProbe {
    pub(crate) sequence: u32,
    pub(crate) target: MemberId,
    pub(crate) address: SocketAddrV4,
    pub(crate) helpers: Vec<SocketAddrV4>,
}

/// The probe to which an ack belongs.
pub(crate) enum AckedProbe {
    /// A probe by the local member, with its round trip.
    Own {
        target: MemberId,
        round_trip_ms: u64,
    },
    /// A probe that was relayed for another member, to which the ack is to be forwarded.
    Relayed(Requester),
}

/// The probes in flight, the order of the next ones, and the local health that their results imply.
pub(crate) struct FailureDetector {
    probes: Vec<Probe>,
    /// Failed probes, retained so that a late ack still yields a round trip.
    failed_probes: VecDeque<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    last_sequence: u32,
    /// The shuffled round-robin order of probe targets.
    target_order: Vec<MemberId>,
    next_target: usize,
    next_probe_at: u64,
    /// The local health score (Lifeguard); 0 is healthy.
    local_health: u32,
    /// The moving average of all members' round trips.
    average_round_trip_ms: u64,
}

impl FailureDetector {
    pub(crate) fn new() -> FailureDetector {
        FailureDetector {
            probes: Vec::new(),
            failed_probes: VecDeque::new(),
            relayed_probes: Vec::new(),
            last_sequence: 0,
            target_order: Vec::new(),
            next_target: 0,
            next_probe_at: 0,
            local_health: 0,
            average_round_trip_ms: 0,
        }
    }

    pub(crate) fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Raises the local health score by `by`, up to its maximum, after a failed probe or a refutation.
    pub(crate) fn degrade_local_health(&mut self, by: u32, settings: &Settings) {
        self.local_health = (self.local_health + by).min(settings.max_local_health);
    }

    /// Sets when the first probe starts.
    pub(crate) fn start_at(&mut self, time: u64) {
        self.next_probe_at = time;
    }

    /// Drops the probes in flight, since a leaving member must not accuse others.
    pub(crate) fn stop(&mut self) {
        self.probes.clear();
    }

    /// Returns the time in which the ack of a member usually arrives, in milliseconds: twice the longest of its
    /// measured round trip, the local average and the average that it publishes, bounded by [`MAX_ACK_WAIT_PERIODS`];
    /// 0 without Lifeguard. It prevents repeated suspicions of a slow member that does answer.
    fn usual_ack_wait(&self, entry: &MemberEntry, settings: &Settings) -> u64 {
        if !settings.lifeguard {
            return 0;
        }
        let round_trip = entry
            .round_trip_ms()
            .max(self.average_round_trip_ms)
            .max(u64::from(entry.member.average_round_trip_ms));
        (2 * round_trip).min(MAX_ACK_WAIT_PERIODS * settings.protocol_period_ms)
    }

    /// Returns the timeout of a suspicion of a member in a fleet of `live_members`.
    pub(crate) fn suspicion_timeout(
        &self,
        entry: &MemberEntry,
        live_members: usize,
        settings: &Settings,
    ) -> SuspicionTimeout {
        let (minimum_ms, maximum_ms) = settings.suspicion_bounds_ms(live_members);
        if !settings.lifeguard {
            // In plain SWIM the suspicion timeout is fixed.
            return SuspicionTimeout {
                minimum_ms,
                maximum_ms: minimum_ms,
                expected_confirmations: 0,
            };
        }
        // A slow member refutes as slowly as it answers probes.
        let ack_wait = self.usual_ack_wait(entry, settings);
        // Neither the suspect nor the local member can confirm the suspicion.
        let other_members = live_members.saturating_sub(2);
        SuspicionTimeout {
            minimum_ms: minimum_ms + ack_wait,
            maximum_ms: maximum_ms + ack_wait,
            expected_confirmations: settings.indirect_probes.min(other_members),
        }
    }

    /// Starts the indirect phase of the probes whose direct ack is late, and returns the probes to request.
    pub(crate) fn take_due_indirect_probes(
        &mut self,
        now: u64,
        table: &MemberTable,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Vec<IndirectProbe> {
        let mut requests = Vec::new();
        for probe in &mut self.probes {
            if probe.indirect_sent || now < probe.indirect_at || now >= probe.fails_at {
                continue;
            }
            probe.indirect_sent = true;
            let Some(target) = table.get(&probe.target) else {
                continue;
            };
            let mut helpers = table.addresses(|entry| {
                entry.state == MemberState::Alive && entry.member.id != probe.target
            });
            helpers.shuffle(rng);
            helpers.truncate(settings.indirect_probes);
            probe.nacks_expected = helpers.len() as u32;
            requests.push(IndirectProbe {
                sequence: probe.sequence,
                target: probe.target.clone(),
                address: target.member.address,
                helpers,
            });
        }
        requests
    }

    /// Ends the probes that were not acked in time and returns their targets.
    pub(crate) fn take_failed_targets(&mut self, now: u64, settings: &Settings) -> Vec<MemberId> {
        let mut targets = Vec::new();
        while let Some(at) = self.probes.iter().position(|probe| now >= probe.fails_at) {
            let probe = self.probes.swap_remove(at);
            if settings.lifeguard {
                self.degrade_local_health(probe.local_health_penalty(), settings);
            }
            targets.push(probe.target.clone());
            if self.failed_probes.len() >= MAX_PROBES {
                self.failed_probes.pop_front();
            }
            self.failed_probes.push_back(probe);
        }
        targets
    }

    /// Starts and returns the direct probe of this period if it is due.
    pub(crate) fn take_due_probe(
        &mut self,
        now: u64,
        table: &MemberTable,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Option<DirectProbe> {
        if now < self.next_probe_at {
            return None;
        }
        let period = self.scale_by_local_health(settings.protocol_period_ms, settings);
        self.next_probe_at = now + period;
        if self.probes.len() >= MAX_PROBES {
            return None;
        }
        let target = self.take_next_target(table, rng)?;
        let entry = table.get(&target)?;
        let sequence = self.next_sequence();
        let ack_wait = self.usual_ack_wait(entry, settings);
        let timeout = self.scale_by_local_health(settings.probe_timeout_ms, settings);
        self.probes.push(Probe {
            target: target.clone(),
            sequence,
            started_at: now,
            indirect_at: now + timeout.max(ack_wait),
            fails_at: now + period.max(ack_wait + timeout),
            indirect_sent: false,
            nacks_expected: 0,
            nacks_received: 0,
        });
        Some(DirectProbe {
            sequence,
            target,
            address: entry.member.address,
            suspected: entry.state == MemberState::Suspect,
        })
    }

    /// Registers a probe on behalf of another member and returns its sequence number; `None` if too many probes are
    /// being relayed.
    pub(crate) fn relay(
        &mut self,
        requester: Requester,
        now: u64,
        settings: &Settings,
    ) -> Option<u32> {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return None;
        }
        let sequence = self.next_sequence();
        self.relayed_probes.push(RelayedProbe {
            sequence,
            requester,
            // The nack is sent before the requester's own probe timeout has passed.
            nack_at: now + settings.probe_timeout_ms * 4 / 5,
        });
        Some(sequence)
    }

    /// Ends the relayed probes that were not acked in time and returns their requesters, which are to receive a nack.
    pub(crate) fn take_unanswered_relays(&mut self, now: u64) -> Vec<Requester> {
        let relayed = self.relayed_probes.drain(..);
        let (due, waiting): (Vec<_>, Vec<_>) = relayed.partition(|relay| relay.nack_at <= now);
        self.relayed_probes = waiting;
        due.into_iter().map(|relay| relay.requester).collect()
    }

    /// Ends the probe to which an ack belongs and returns it; `None` if there is no such probe.
    pub(crate) fn on_ack(&mut self, sequence: u32, now: u64) -> Option<AckedProbe> {
        if let Some(at) = self.probes.iter().position(|p| p.sequence == sequence) {
            self.local_health = self.local_health.saturating_sub(1);
            return Some(self.probes.swap_remove(at).acked(now));
        }
        let mut failed = self.failed_probes.iter();
        if let Some(at) = failed.position(|p| p.sequence == sequence) {
            return self.failed_probes.remove(at).map(|probe| probe.acked(now));
        }
        let mut relayed = self.relayed_probes.iter();
        let at = relayed.position(|relay| relay.sequence == sequence)?;
        let relay = self.relayed_probes.swap_remove(at);
        Some(AckedProbe::Relayed(relay.requester))
    }

    pub(crate) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probes.iter_mut().find(|p| p.sequence == sequence) {
            probe.nacks_received += 1;
        }
    }

    /// Adds a round trip to the moving average, with a weight of 1/8, and returns the average as it is to be published,
    /// in milliseconds.
    pub(crate) fn record_round_trip(&mut self, round_trip_ms: u64) -> u64 {
        self.average_round_trip_ms = (7 * self.average_round_trip_ms + round_trip_ms) / 8;
        self.average_round_trip_ms / PUBLISHED_ROUND_TRIP_STEP_MS * PUBLISHED_ROUND_TRIP_STEP_MS
    }

    fn scale_by_local_health(&self, milliseconds: u64, settings: &Settings) -> u64 {
        if settings.lifeguard {
            milliseconds * (u64::from(self.local_health) + 1)
        } else {
            milliseconds
        }
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Returns the next target in SWIM's round robin, which probes every live member once in a random order and then
    /// draws a new order.
    fn take_next_target(&mut self, table: &MemberTable, rng: &mut StdRng) -> Option<MemberId> {
        if let Some(target) = self.take_live_target(table) {
            return Some(target);
        }
        self.target_order = table.live_ids();
        self.target_order.shuffle(rng);
        self.next_target = 0;
        self.take_live_target(table)
    }

    fn take_live_target(&mut self, table: &MemberTable) -> Option<MemberId> {
        while let Some(id) = self.target_order.get(self.next_target) {
            self.next_target += 1;
            if table.get(id).is_some_and(|entry| entry.state.is_live()) {
                return Some(id.clone());
            }
        }
        None
    }
}

impl Probe {
    /// Returns by how much the failure raises the local health score. Missing nacks indicate that the fault may be
    /// local.
    fn local_health_penalty(&self) -> u32 {
        if self.nacks_expected == 0 {
            1
        } else {
            self.nacks_expected.saturating_sub(self.nacks_received)
        }
    }

    fn acked(self, now: u64) -> AckedProbe {
        AckedProbe::Own {
            target: self.target,
            round_trip_ms: now - self.started_at,
        }
    }
}
